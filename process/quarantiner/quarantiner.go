package quarantiner

import (
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebelldoor"
)

const (
	// minCrashes is how many crashes quarantine a part.
	minCrashes = 3
	// proofHolds is how long the first event of an answer proves its parts sound also
	// against later crashes: VMs learn of crashes and of proofs in any order.
	proofHolds = 5 * time.Second
	// sameCrashWithin is within what time two streams that end at one engine are taken for
	// the same crash.
	sameCrashWithin = 700 * time.Millisecond
	// quarantineFor is how long after the latest crash a part is kept away from engines.
	// After that one more crash is enough to quarantine it again.
	quarantineFor = 10 * time.Minute
	// forgetAfter is how long after the latest crash a part is forgotten, and
	// forgetClearedAfter the same for one that has been proven sound.
	forgetAfter        = time.Hour
	forgetClearedAfter = 30 * time.Second
	// maxSuspects bounds the parts that are kept, and maxCrashes the crashes of each.
	maxSuspects = 256
	maxCrashes  = 8
	// maxProofs bounds the sound parts that are remembered before any of them is accused.
	maxProofs = 4096
)

// key identifies a part of the prompts of one service.
type key struct{ service, part string }

// crash is the end of an engine as it began to answer a request with a part.
type crash struct {
	target  string
	account string
	at      time.Duration
}

// suspect is what is known of an accused part.
type suspect struct {
	crashes []crash
	// soundAt is when an answer with the part last had its first event, -1 if never.
	soundAt time.Duration
	// quarantined is set once the part has been quarantined, for the log.
	quarantined bool
}

// Verdict tells why a request is kept away from engines.
type Verdict struct {
	Part    string
	Crashes int
	// Age is the time since the latest crash.
	Age time.Duration
}

// Quarantiner keeps the suspected parts of one VM. It is safe for concurrent use.
type Quarantiner struct {
	clock   bluebelldoor.Clock
	log     hclog.Logger
	changed func()

	mu       sync.Mutex
	suspects map[key]*suspect
	proofs   *proofs
	digest   uint64
}

// New returns a quarantiner. changed is called when there is something to tell peers; it
// must not block or call the quarantiner.
func New(clock bluebelldoor.Clock, changed func(), log hclog.Logger) *Quarantiner {
	return &Quarantiner{clock: clock, log: log, changed: changed, suspects: map[key]*suspect{}, proofs: newProofs(maxProofs)}
}

// RecordCrash records that an engine of a service crashed after it had begun to answer a
// request of an account with these parts, and before the first event of that answer.
func (q *Quarantiner) RecordCrash(service, account string, parts []string, target bluebelldoor.TargetIncarnation) {
	if len(parts) == 0 {
		return
	}
	q.mu.Lock()
	now := q.clock.Now()
	q.prune(now)
	for _, part := range parts {
		q.addCrash(key{service, part}, crash{target.ID, account, now}, now, "")
	}
	q.updateDigest(now)
	q.mu.Unlock()
	q.changed()
}

// RecordSound records that an engine has sent the first event of an answer to a request with
// these parts.
func (q *Quarantiner) RecordSound(service string, parts []string) {
	if len(parts) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	for _, part := range parts {
		k := key{service, part}
		q.proofs.add(k, now)
		if s := q.suspects[k]; s != nil {
			q.clear(k, s, now, now)
		}
	}
}

// Check returns why a request of an account with these parts must not be sent to engines of
// a service, and false if it may.
func (q *Quarantiner) Check(service, account string, parts []string) (Verdict, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.suspects) == 0 {
		return Verdict{}, false
	}
	now := q.clock.Now()
	for _, part := range parts {
		if s := q.suspects[key{service, part}]; s != nil {
			if n, last := s.held(account); n >= minCrashes && now-last < quarantineFor {
				return Verdict{part, n, now - last}, true
			}
		}
	}
	return Verdict{}, false
}

// Count returns the number of quarantined parts.
func (q *Quarantiner) Count() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n, now := 0, q.clock.Now()
	for _, s := range q.suspects {
		if s.isQuarantined(now) {
			n++
		}
	}
	return n
}

// counts reports whether a crash speaks against a part: no proof of it was newer, or held
// when the crash came.
func (s *suspect) counts(c crash) bool { return s.soundAt < 0 || c.at > s.soundAt+proofHolds }

// held returns how many crashes speak against the part for an account, and when the latest
// was. Crashes of several accounts count for all; those of one account for that account
// only, lest it has the parts of others refused.
func (s *suspect) held(account string) (n int, last time.Duration) {
	own, all := 0, 0
	several := false
	first := ""
	for _, c := range s.crashes {
		if !s.counts(c) {
			continue
		}
		if all == 0 {
			first = c.account
		}
		several = several || c.account != first
		all++
		if c.account == account {
			own++
		}
		last = max(last, c.at)
	}
	if several {
		return all, last
	}
	return own, last
}

func (s *suspect) isQuarantined(now time.Duration) bool {
	for _, c := range s.crashes {
		if n, last := s.held(c.account); n >= minCrashes && now-last < quarantineFor {
			return true
		}
	}
	return false
}

// addCrash records one crash, unless it is known. The caller holds q.mu.
func (q *Quarantiner) addCrash(k key, c crash, now time.Duration, peer string) {
	s := q.suspects[k]
	if s == nil {
		if len(q.suspects) >= maxSuspects && !q.evict(now) {
			return
		}
		s = &suspect{soundAt: -1}
		if at, ok := q.proofs.last(k); ok {
			s.soundAt = at
		}
		q.suspects[k] = s
	}
	for _, known := range s.crashes {
		if known.target == c.target && (known.at-c.at).Abs() < sameCrashWithin {
			return
		}
	}
	if len(s.crashes) >= maxCrashes {
		s.crashes = s.crashes[1:]
	}
	s.crashes = append(s.crashes, c)
	q.log.Info("engine crashed at a part", "service", k.service, "part", k.part, "target", c.target, "account", c.account, "ageMs", (now - c.at).Milliseconds(),
		"crashes", len(s.crashes), "counts", s.counts(c), "peer", peer)
	q.logQuarantine(k, s, now)
}

// logQuarantine logs that a part is quarantined. The caller holds q.mu.
func (q *Quarantiner) logQuarantine(k key, s *suspect, now time.Duration) {
	if s.quarantined || !s.isQuarantined(now) {
		return
	}
	s.quarantined = true
	var targets []string
	for _, c := range s.crashes {
		targets = append(targets, c.target)
	}
	q.log.Warn("part quarantined", "service", k.service, "part", k.part, "targets", strings.Join(targets, ","), "forMs", quarantineFor.Milliseconds())
}

// clear records a proof that a part is sound. The caller holds q.mu.
func (q *Quarantiner) clear(k key, s *suspect, at, now time.Duration) {
	if at <= s.soundAt {
		return
	}
	wasCleared := s.isCleared()
	s.soundAt = at
	if s.quarantined && !s.isQuarantined(now) {
		s.quarantined = false
		q.log.Info("part proven sound", "service", k.service, "part", k.part, "ageMs", (now - at).Milliseconds())
	}
	if !wasCleared && s.isCleared() {
		q.updateDigest(now)
	}
}

// latest returns when the part was last accused.
func (s *suspect) latest() time.Duration {
	last := time.Duration(0)
	for _, c := range s.crashes {
		last = max(last, c.at)
	}
	return last
}

// isCleared reports whether no crash speaks against the part any more.
func (s *suspect) isCleared() bool {
	for _, c := range s.crashes {
		if s.counts(c) {
			return false
		}
	}
	return true
}

// prune removes parts that have not been accused for long. The caller holds q.mu.
func (q *Quarantiner) prune(now time.Duration) {
	for k, s := range q.suspects {
		age := now - s.latest()
		if age > forgetAfter || age > forgetClearedAfter && s.isCleared() {
			delete(q.suspects, k)
		}
	}
}

// evict removes the part with the oldest crash among those that are not quarantined, and
// reports whether there was one. The caller holds q.mu.
func (q *Quarantiner) evict(now time.Duration) bool {
	var oldest *key
	for k, s := range q.suspects {
		if !s.isQuarantined(now) && (oldest == nil || s.latest() < q.suspects[*oldest].latest()) {
			oldest = &k
		}
	}
	if oldest == nil {
		return false
	}
	delete(q.suspects, *oldest)
	return true
}

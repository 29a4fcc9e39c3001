package quarantiner

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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
	// forgetAfter is how long a crash is remembered, and forgetClearedAfter the same for one
	// whose parts have all been proven sound.
	forgetAfter        = time.Hour
	forgetClearedAfter = 30 * time.Second
	// maxCrashes bounds the crashes that are remembered, and maxParts the parts of each. A
	// target that ends takes all its requests with it, and each of them is accused.
	maxCrashes = 512
	maxParts   = 32
	// maxProofs bounds the sound parts and requests that are remembered before any of them is
	// accused.
	maxProofs = 8192
)

// key identifies a part of the prompts of one service.
type key struct{ service, part string }

// crash is the end of an engine after it had begun to answer a request, and before the
// first event of that answer.
type crash struct {
	service string
	target  string
	account string
	// parts are the shared parts of the request's prompt.
	parts []string
	at    time.Duration
}

// isSameEvent reports whether two requests were ended by one crash.
func (c *crash) isSameEvent(other *crash) bool {
	return c.service == other.service && c.target == other.target && (c.at-other.at).Abs() < sameCrashWithin
}

// Verdict tells why a request is kept away from engines.
type Verdict struct {
	Part    string
	Crashes int
	// Age is the time since the latest crash.
	Age time.Duration
}

// Quarantiner keeps the crashes that accuse parts of prompts, on one VM. It is safe for
// concurrent use.
type Quarantiner struct {
	clock   bluebelldoor.Clock
	log     hclog.Logger
	changed func()

	mu      sync.Mutex
	crashes []*crash
	// byPart are the crashes that accuse a part, the oldest first.
	byPart map[key][]*crash
	// digestOfAll is the sum of the digests of all crashes, if digestValid is set.
	digestOfAll uint64
	digestValid bool
	// active is the number of crashes.
	active atomic.Int64
	// soundAt is when an answer with a part of one of the crashes last had its first event.
	soundAt map[key]time.Duration
	proofs  *proofs
	// quarantined are the sets of parts that have been quarantined, joined, for the log.
	quarantined map[string]bool
}

// New returns a quarantiner. changed is called when there is something to tell peers; it
// must not block or call the quarantiner.
func New(clock bluebelldoor.Clock, changed func(), log hclog.Logger) *Quarantiner {
	return &Quarantiner{
		clock: clock, log: log, changed: changed,
		byPart: map[key][]*crash{}, soundAt: map[key]time.Duration{}, proofs: newProofs(maxProofs), quarantined: map[string]bool{},
	}
}

// RecordCrash records that an engine of a service crashed after it had begun to answer a
// request of an account with these parts, and before the first event of that answer.
func (q *Quarantiner) RecordCrash(service, account string, parts []string, target bluebelldoor.TargetIncarnation) {
	if len(parts) == 0 {
		return
	}
	q.mu.Lock()
	now := q.clock.Now()
	q.addCrash(&crash{service, target.ID, account, parts[:min(len(parts), maxParts)], now}, now, "")
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
		q.proofs.add(key{service, part}, now)
		q.clear(key{service, part}, now)
	}
}

// Check returns why a request of an account with these parts must not be sent to engines of
// a service, and false if it may. It may if it lacks one of several parts of which each may
// be the cause: then its answer tells which is sound.
func (q *Quarantiner) Check(service, account string, parts []string) (Verdict, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.crashes) == 0 {
		return Verdict{}, false
	}
	now := q.clock.Now()
	for _, part := range parts {
		n, last, causes := q.evidence(key{service, part}, account)
		if n < minCrashes || now-last >= quarantineFor {
			continue
		}
		if !slices.ContainsFunc(causes, func(cause string) bool { return !slices.Contains(parts, cause) }) {
			return Verdict{part, n, now - last}, true
		}
	}
	return Verdict{}, false
}

// HasSuspects reports whether any part is accused. If none is, sound requests need not be
// told apart.
func (q *Quarantiner) HasSuspects() bool { return q.active.Load() > 0 }

// Count returns the number of sets of parts that are quarantined.
func (q *Quarantiner) Count() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.quarantinedSets(q.clock.Now()))
}

// counts reports whether a crash speaks against one of its parts: no proof of it was newer,
// or held when the crash came. The caller holds q.mu.
func (q *Quarantiner) counts(c *crash, part string) bool {
	at, ok := q.soundAt[key{c.service, part}]
	return !ok || c.at > at+proofHolds
}

// evidence returns how many crashes speak against a part for an account, when the latest
// was, and the parts that are in all of them, of which any may be the cause. Crashes of
// several accounts count for all; those of one account for that account only, lest it has
// the parts of others refused. The caller holds q.mu.
func (q *Quarantiner) evidence(k key, account string) (n int, last time.Duration, causes []string) {
	var against []*crash
	accounts := map[string]bool{}
	for _, c := range q.byPart[k] {
		if q.counts(c, k.part) {
			against = append(against, c)
			accounts[c.account] = true
		}
	}
	if len(accounts) == 1 && !accounts[account] {
		return 0, 0, nil
	}
	for i, c := range against {
		if !slices.ContainsFunc(against[:i], c.isSameEvent) {
			n++
		}
		last = max(last, c.at)
		live := slices.DeleteFunc(slices.Clone(c.parts), func(part string) bool { return !q.counts(c, part) })
		if i == 0 {
			causes = live
		}
		causes = slices.DeleteFunc(causes, func(part string) bool { return !slices.Contains(live, part) })
	}
	return n, last, causes
}

// quarantinedSets returns the sets of parts that are quarantined, joined. The caller holds
// q.mu.
func (q *Quarantiner) quarantinedSets(now time.Duration) map[string]bool {
	out := map[string]bool{}
	for k, crashes := range q.byPart {
		if len(crashes) < minCrashes {
			continue
		}
		for _, c := range crashes {
			if n, last, causes := q.evidence(k, c.account); n >= minCrashes && now-last < quarantineFor {
				slices.Sort(causes)
				out[c.service+"/"+strings.Join(slices.Compact(causes), ",")] = true
				break
			}
		}
	}
	return out
}

// logChanges logs which sets of parts are quarantined now and were not, and the other way
// round. The caller holds q.mu.
func (q *Quarantiner) logChanges(now time.Duration) {
	sets := q.quarantinedSets(now)
	for set := range sets {
		if !q.quarantined[set] {
			q.log.Warn("parts quarantined", "parts", set, "forMs", quarantineFor.Milliseconds())
		}
	}
	for set := range q.quarantined {
		if !sets[set] {
			q.log.Info("parts no longer quarantined", "parts", set)
		}
	}
	q.quarantined = sets
}

// addCrash records a crash, unless it is known, and reports whether it does. The caller
// holds q.mu.
func (q *Quarantiner) addCrash(c *crash, now time.Duration, peer string) {
	q.prune(now)
	known := func(other *crash) bool {
		return c.isSameEvent(other) && c.account == other.account && slices.Equal(c.parts, other.parts)
	}
	if slices.ContainsFunc(q.byPart[key{c.service, c.parts[0]}], known) || len(q.crashes) >= maxCrashes && !q.evict(now) {
		return
	}
	for _, part := range c.parts {
		k := key{c.service, part}
		if at, ok := q.proofs.last(k); ok {
			q.soundAt[k] = max(at, q.soundAt[k])
		}
	}
	q.crashes = append(q.crashes, c)
	for _, part := range c.parts {
		k := key{c.service, part}
		q.byPart[k] = append(q.byPart[k], c)
	}
	q.digestValid = false
	q.active.Store(int64(len(q.crashes)))
	q.log.Info("engine crashed before the first event", "service", c.service, "target", c.target, "account", c.account,
		"parts", strings.Join(c.parts, ","), "proven", strings.Join(q.proven(c), ","), "ageMs", (now - c.at).Milliseconds(), "known", len(q.crashes), "peer", peer)
	q.logChanges(now)
}

// clear records a proof that a part is sound. The caller holds q.mu.
func (q *Quarantiner) clear(k key, at time.Duration) {
	known, accused := q.soundAt[k]
	if !accused {
		accused = len(q.byPart[k]) > 0
	}
	if !accused || at <= known {
		return
	}
	q.soundAt[k], q.digestValid = at, false
	if len(q.quarantined) > 0 {
		q.logChanges(q.clock.Now())
	}
}

// proven returns the parts of a crash that it does not speak against. The caller holds q.mu.
func (q *Quarantiner) proven(c *crash) []string {
	return slices.DeleteFunc(slices.Clone(c.parts), func(part string) bool { return q.counts(c, part) })
}

// isCleared reports whether a crash speaks against none of its parts any more. The caller
// holds q.mu.
func (q *Quarantiner) isCleared(c *crash) bool {
	return !slices.ContainsFunc(c.parts, func(part string) bool { return q.counts(c, part) })
}

// prune forgets old crashes. The caller holds q.mu.
func (q *Quarantiner) prune(now time.Duration) {
	q.forget(func(c *crash) bool { return now-c.at > forgetAfter || now-c.at > forgetClearedAfter && q.isCleared(c) })
}

// forget forgets the crashes of which old is true, and the proofs of parts that no other
// crash accuses. The caller holds q.mu.
func (q *Quarantiner) forget(old func(*crash) bool) {
	if !slices.ContainsFunc(q.crashes, old) {
		return
	}
	q.crashes = slices.DeleteFunc(q.crashes, old)
	q.byPart = map[key][]*crash{}
	for _, c := range q.crashes {
		for _, part := range c.parts {
			k := key{c.service, part}
			q.byPart[k] = append(q.byPart[k], c)
		}
	}
	maps.DeleteFunc(q.soundAt, func(k key, _ time.Duration) bool { return len(q.byPart[k]) == 0 })
	q.digestValid = false
	q.active.Store(int64(len(q.crashes)))
}

// evict forgets an eighth of the crashes, and reports whether there were any to forget: the
// oldest of those whose parts no other crash accuses, or else of those that contribute to no
// quarantine. The caller holds q.mu.
func (q *Quarantiner) evict(now time.Duration) bool {
	single := func(c *crash) bool {
		return !slices.ContainsFunc(c.parts, func(part string) bool { return len(q.byPart[key{c.service, part}]) > 1 })
	}
	idle := func(c *crash) bool {
		return !slices.ContainsFunc(c.parts, func(part string) bool {
			n, last, _ := q.evidence(key{c.service, part}, c.account)
			return n >= minCrashes && now-last < quarantineFor && q.counts(c, part)
		})
	}
	for _, mayForget := range []func(*crash) bool{single, idle} {
		chosen := map[*crash]bool{}
		for _, c := range q.crashes {
			if len(chosen) < maxCrashes/8 && mayForget(c) {
				chosen[c] = true
			}
		}
		if len(chosen) > 0 {
			q.forget(func(c *crash) bool { return chosen[c] })
			return true
		}
	}
	return false
}

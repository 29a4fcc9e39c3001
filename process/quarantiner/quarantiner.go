package quarantiner

import (
	"fmt"
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
	// quarantineFor is how long after the latest crash a part is kept away from targets.
	// After that one more crash is enough to quarantine it again.
	quarantineFor = 10 * time.Minute
	// forgetAfter is how long a crash is remembered, and forgetClearedAfter the same for one
	// that contributes to no quarantine and whose parts have all been in complete answers
	// since.
	forgetAfter        = time.Hour
	forgetClearedAfter = 30 * time.Second
	pruneInterval      = time.Second
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

// crash is a request that a target had when it ended.
type crash struct {
	*event
	account string
	// parts are the shared parts of the request's prompt, and its digest.
	parts []string
}

// has reports whether the request had all of these parts.
func (c *crash) has(parts []string) bool { return containsAll(c.parts, parts) }

func containsAll(parts, wanted []string) bool {
	return !slices.ContainsFunc(wanted, func(part string) bool { return !slices.Contains(parts, part) })
}

// Verdict tells why a request is kept away from targets.
type Verdict struct {
	Part    string
	Crashes int
	// Age is the time since the latest crash.
	Age time.Duration
	// Set identifies the parts of which any may be the cause.
	Set string
}

// Quarantiner keeps the crashes that accuse parts of prompts, on one VM. It is safe for
// concurrent use.
type Quarantiner struct {
	clock    bluebelldoor.Clock
	log      hclog.Logger
	changed  func()
	mayProbe func(set string) bool
	earliest func() time.Duration

	mu      sync.Mutex
	crashes []*crash
	// events are those of the crashes.
	events map[targetKey][]*event
	// byPart are the crashes that accuse a part, in the order in which they became known.
	byPart map[key][]*crash
	// digestOfAll is the sum of the digests of all crashes, if digestValid is set.
	digestOfAll uint64
	digestValid bool
	// active is the number of crashes.
	active atomic.Int64
	// sound are the complete answers with the parts of the crashes.
	sound  map[key]*soundness
	proofs *proofs
	// sets are the sets of parts that are guilty by what is known, if setsValid is set, until
	// setsUntil.
	sets      []*guiltySet
	setsValid bool
	setsUntil time.Duration
	// logged are the names of the sets that were last logged as quarantined.
	logged    map[string]bool
	nextPrune time.Duration
	// nextProbe is when a request with a set may next be tried.
	nextProbe map[string]time.Duration
}

// Option configures a quarantiner.
type Option func(*Quarantiner)

// WithProber lets the VM try a request with a quarantined set of parts from time to time if
// mayProbe returns true. It should do so on one VM only. mayProbe must not block.
func WithProber(mayProbe func(set string) bool) Option {
	return func(q *Quarantiner) { q.mayProbe = mayProbe }
}

// WithEarliest sets the function that returns the earliest time, by the clock, at which what
// the VM notices now may have happened. It must not block.
func WithEarliest(earliest func() time.Duration) Option {
	return func(q *Quarantiner) { q.earliest = earliest }
}

// New returns a quarantiner. changed is called when there is something to tell peers; it
// must not block or call the quarantiner.
func New(clock bluebelldoor.Clock, changed func(), log hclog.Logger, options ...Option) *Quarantiner {
	q := &Quarantiner{
		clock: clock, log: log, changed: changed,
		mayProbe: func(string) bool { return false },
		earliest: clock.Now,
		events:   map[targetKey][]*event{},
		byPart:   map[key][]*crash{}, sound: map[key]*soundness{}, proofs: newProofs(maxProofs), logged: map[string]bool{}, nextProbe: map[string]time.Duration{},
	}
	for _, o := range options {
		o(q)
	}
	return q
}

// Request is a request that a target had when it ended.
type Request struct {
	Account string
	// Parts are the shared parts of its prompt, and its digest.
	Parts []string
}

// Crash is the end of a target, or of its connections, as this VM has noticed it.
type Crash struct {
	Service string
	Target  bluebelldoor.TargetIncarnation
	// Ago is the time since the VM noticed it, Span how much earlier it may have been, and
	// LivedAgo the time since the target last took a request.
	Ago, Span, LivedAgo time.Duration
	// Ended is set if the target has ended for good.
	Ended bool
	// Requests are those that the target had.
	Requests []Request
}

// RecordCrash records the end of a target.
func (q *Quarantiner) RecordCrash(c Crash) {
	q.mu.Lock()
	now := q.clock.Now()
	report := &event{
		service: c.Service, target: fmt.Sprintf("%s/%d", c.Target.ID, c.Target.StartedAt),
		since: now - c.Ago - c.Span, at: now - c.Ago, ended: c.Ended,
	}
	q.attribute(report, now-c.LivedAgo)
	e := q.eventOf(report)
	for _, r := range c.Requests {
		if len(r.Parts) > 0 {
			q.addCrash(&crash{e, r.Account, r.Parts[:min(len(r.Parts), maxParts)]}, now, "")
		}
	}
	q.logChanges(now)
	q.mu.Unlock()
	q.changed()
}

// RecordSound records that the answer to a request with these parts was complete.
func (q *Quarantiner) RecordSound(service string, parts []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	p, changed := newProof(q.earliest()), false
	for _, part := range parts {
		k := key{service, part}
		q.proofs.add(k, p)
		if len(q.byPart[k]) > 0 && q.soundness(k).add(p, minProofGap) {
			q.digestValid, changed = false, true
		}
	}
	if changed && len(q.guilty()) > 0 {
		q.setsValid = false
		q.logChanges(now)
	}
}

// Check returns why a request of an account with these parts must not be sent to targets of
// a service, and false if it may. It may if it lacks one of several parts of which each may
// be the cause: then its answer tells which is sound.
func (q *Quarantiner) Check(service, account string, parts []string) (Verdict, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.crashes) == 0 {
		return Verdict{}, false
	}
	now := q.clock.Now()
	for _, g := range q.guilty() {
		if g.service == service && g.accuses(account) && now-g.last < quarantineFor && containsAll(parts, g.parts) {
			return Verdict{Part: g.firstOf(parts), Crashes: g.crashes, Age: now - g.last, Set: g.name}, true
		}
	}
	return Verdict{}, false
}

// BeginProbe reports whether a request that a verdict concerns is sent all the same, to
// find a verdict that is wrong. Probes are rare, and rarer the more crashes accuse the set.
func (q *Quarantiner) BeginProbe(v Verdict) bool {
	wait := probationAfter(v.Crashes)
	if v.Age < wait || !q.mayProbe(v.Set) {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	if now < q.nextProbe[v.Set] {
		return false
	}
	q.nextProbe[v.Set] = now + wait
	q.log.Info("a request with quarantined parts is sent as a probe", "parts", v.Set, "crashes", v.Crashes, "ageMs", v.Age.Milliseconds())
	return true
}

// probationAfter returns the time after the latest of n crashes from which probes are sent.
func probationAfter(n int) time.Duration {
	const first, growth = 10 * time.Second, 4
	wait := first
	for range n - minCrashes {
		wait = min(wait*growth, quarantineFor)
	}
	return wait
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

// quarantinedSets returns the names of the sets that are quarantined. The caller holds q.mu.
func (q *Quarantiner) quarantinedSets(now time.Duration) map[string]bool {
	out := map[string]bool{}
	for _, g := range q.guilty() {
		if now-g.last < quarantineFor {
			out[g.name] = true
		}
	}
	return out
}

// logChanges logs which sets of parts are quarantined now and were not, and the other way
// round. The caller holds q.mu.
func (q *Quarantiner) logChanges(now time.Duration) {
	sets := q.quarantinedSets(now)
	for _, g := range q.guilty() {
		if sets[g.name] && !q.logged[g.name] {
			q.log.Warn("parts quarantined", "parts", g.name, "crashes", g.crashes, "answers", g.answers, "account", g.account, "forMs", quarantineFor.Milliseconds())
		}
	}
	for set := range q.logged {
		if !sets[set] {
			delete(q.nextProbe, set)
			q.log.Info("parts no longer quarantined", "parts", set)
		}
	}
	q.logged = sets
}

// addCrash records a crash, unless it is known. The caller holds q.mu.
func (q *Quarantiner) addCrash(c *crash, now time.Duration, peer string) {
	q.prune(now)
	known := func(other *crash) bool {
		return c.event == other.event && c.account == other.account && slices.Equal(c.parts, other.parts)
	}
	if slices.ContainsFunc(q.byPart[key{c.service, c.parts[0]}], known) {
		return
	}
	if len(q.crashes) >= maxCrashes {
		q.evict()
	}
	q.crashes = append(q.crashes, c)
	if !slices.Contains(q.events[targetKey{c.service, c.target}], c.event) {
		q.addEvent(c.event)
	}
	for _, part := range c.parts {
		k := key{c.service, part}
		q.byPart[k] = append(q.byPart[k], c)
		if p, ok := q.proofs.last(k); ok {
			q.soundness(k).add(p, 0)
		}
	}
	q.digestValid, q.setsValid = false, false
	q.active.Store(int64(len(q.crashes)))
	q.log.Info("target ended with a request", "service", c.service, "target", c.target, "account", c.account,
		"parts", strings.Join(c.parts, ","), "proven", strings.Join(q.proven(c), ","), "ageMs", (now - c.at).Milliseconds(), "spanMs", (c.at - c.since).Milliseconds(), "ended", c.ended, "known", len(q.crashes), "peer", peer)
}

func (q *Quarantiner) soundness(k key) *soundness {
	s := q.sound[k]
	if s == nil {
		s = &soundness{}
		q.sound[k] = s
	}
	return s
}

// isProven reports whether a part of a crash has been in a complete answer since, or shortly
// before it. The caller holds q.mu.
func (q *Quarantiner) isProven(c *crash, part string) bool {
	return q.answersSince(key{c.service, part}, c.at) > 0
}

// answersSince returns the number of complete answers with a part since a crash, or shortly
// before. The caller holds q.mu.
func (q *Quarantiner) answersSince(k key, crashedAt time.Duration) int {
	return q.sound[k].since(crashedAt - proofHolds)
}

// proven returns the parts of a crash that have been proven sound. The caller holds q.mu.
func (q *Quarantiner) proven(c *crash) []string {
	return slices.DeleteFunc(slices.Clone(c.parts), func(part string) bool { return !q.isProven(c, part) })
}

// isCleared reports whether a crash contributes to no quarantine and all its parts have been
// proven sound. The caller holds q.mu.
func (q *Quarantiner) isCleared(c *crash) bool { return len(q.proven(c)) == len(c.parts) }

// prune forgets old crashes. The caller holds q.mu.
func (q *Quarantiner) prune(now time.Duration) {
	if now < q.nextPrune {
		return
	}
	q.nextPrune = now + pruneInterval
	old := func(c *crash) bool { return now-c.at > forgetClearedAfter }
	if !slices.ContainsFunc(q.crashes, old) {
		return
	}
	guilty := q.guilty()
	q.forget(func(c *crash) bool {
		return now-c.at > forgetAfter || old(c) && q.isCleared(c) && !isExplained(c, guilty)
	})
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
	q.indexEvents()
	maps.DeleteFunc(q.sound, func(k key, _ *soundness) bool { return len(q.byPart[k]) == 0 })
	q.digestValid, q.setsValid = false, false
	q.active.Store(int64(len(q.crashes)))
}

// evict forgets an eighth of the crashes: those that say least, the oldest first. The caller
// holds q.mu.
func (q *Quarantiner) evict() {
	ranked := q.byRank()
	chosen := map[*crash]bool{}
	for _, c := range ranked[len(ranked)-maxCrashes/8:] {
		chosen[c] = true
	}
	q.forget(func(c *crash) bool { return chosen[c] })
}

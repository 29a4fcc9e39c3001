package limiter

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebelldoor"
)

const (
	// relaxDelay is for how long after a limit was named a response without it, or with
	// a higher one, is ignored: responses on different connections overtake each other.
	relaxDelay = 400 * time.Millisecond
	// retention is how long the end of a limit is kept, so that peers that have missed
	// it don't bring the limit back, and the limit of a target that is not registered.
	retention = 2 * time.Minute
)

// Fleet provides what the limiter needs to know of the other VMs and the targets.
type Fleet struct {
	// Self is the name of the VM.
	Self string
	// Peers sends requests for permits to other VMs.
	Peers bluebelldoor.FleetClient
	// Hubs returns the VMs that grant permits.
	Hubs func() []bluebelldoor.MemberState
	// Coverage returns the fraction of the known VMs that this VM sees alive.
	Coverage func() float64
	// Share returns this VM's fraction of the limits on all VMs together.
	Share func() float64
	// Registered reports whether a target is registered.
	Registered func(bluebelldoor.TargetIncarnation) bool
	// Changed is called when there are changes to send to peers. It must not block.
	Changed func()
	// Counted counts an outcome of a request for a permit.
	Counted func(outcome string)
}

// Limiter tracks the limits of targets on one VM, requests permits to send to limited
// targets, and grants those of the targets assigned to its VM. It is safe for concurrent
// use.
type Limiter struct {
	fleet  Fleet
	clock  bluebelldoor.Clock
	log    hclog.Logger
	random func() float64

	// hasLimits is set if limits is not empty. It avoids the mutex in the common case:
	// each choice of a target checks every candidate.
	hasLimits atomic.Bool
	mu        sync.Mutex
	limits    map[bluebelldoor.TargetIncarnation]*limit
	// active is the number of limits that have not ended, digest identifies them and
	// their approximate rates.
	active int
	digest uint64
	// silentUntil is until when a grantor that did not answer is not asked again.
	silentUntil map[string]time.Duration
}

// limit is what is known of a target's limit.
type limit struct {
	perSecond float64
	ended     bool
	// observedAt is when a response last named the limit, or showed that it had ended.
	observedAt time.Duration
	// asking serializes the VM's requests for permits.
	asking chan struct{}
	// deniedUntil is until when the VM need not ask for a permit.
	deniedUntil time.Duration
	// granted is the bucket of the permits that this VM grants, own that of the VM's
	// share, which it uses while the grantor does not answer; nil until needed.
	granted, own *bucket
}

// Option configures a limiter.
type Option func(*Limiter)

// WithRandom replaces the source of random numbers in [0, 1).
func WithRandom(random func() float64) Option {
	return func(l *Limiter) { l.random = random }
}

// New returns a limiter without limits.
func New(fleet Fleet, clock bluebelldoor.Clock, log hclog.Logger, options ...Option) *Limiter {
	l := &Limiter{
		fleet:       fleet,
		clock:       clock,
		log:         log,
		random:      rand.Float64,
		limits:      map[bluebelldoor.TargetIncarnation]*limit{},
		silentUntil: map[string]time.Duration{},
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// Observe records what a response of a target says of its limit.
func (l *Limiter) Observe(t *bluebelldoor.Instance, said bluebelldoor.RateLimit) {
	if said.Unknown || !said.Named && !l.hasLimits.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now, known := l.clock.Now(), l.limits[t.Incarnation()]
	limited := known != nil && !known.ended
	switch {
	case !said.Named && !limited:
	case limited && now-known.observedAt < relaxDelay && !(said.Named && said.PerSecond <= known.perSecond):
	default:
		l.set(t.Incarnation(), observation{said.PerSecond, !said.Named, now}, "")
	}
}

// observation is what a VM has learned of a target's limit.
type observation struct {
	perSecond float64
	ended     bool
	at        time.Duration
}

// set applies an observation of this VM, or of the named peer. The caller holds l.mu.
func (l *Limiter) set(target bluebelldoor.TargetIncarnation, o observation, peer string) {
	known := l.limits[target]
	if known == nil {
		known = &limit{ended: true, asking: make(chan struct{}, 1)}
		l.limits[target] = known
		l.hasLimits.Store(true)
	}
	l.digest ^= known.digest(target)
	before, began := known.digest(target), known.ended && !o.ended
	known.perSecond, known.ended, known.observedAt = o.perSecond, o.ended, o.at
	l.digest ^= known.digest(target)
	if known.digest(target) == before {
		return
	}
	switch {
	case o.ended:
		l.active--
		known.deniedUntil, known.granted, known.own = 0, nil, nil
		l.log.Info("target's limit ended", "target", target.ID, "peer", peer, "limitedTargets", l.active)
	case began:
		l.active++
		l.log.Info("target named a limit", "target", target.ID, "perSecond", o.perSecond, "peer", peer, "limitedTargets", l.active)
	default:
		l.log.Info("target changed its limit", "target", target.ID, "perSecond", o.perSecond, "peer", peer)
	}
	l.fleet.Changed()
}

// Limit returns the limit of a target in requests per second, and whether it has one.
func (l *Limiter) Limit(t *bluebelldoor.Instance) (float64, bool) {
	if !l.hasLimits.Load() {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.current(t); known != nil {
		return known.perSecond, true
	}
	return 0, false
}

// current returns the limit of a target, nil if it has none. The caller holds l.mu.
func (l *Limiter) current(t *bluebelldoor.Instance) *limit {
	if known := l.limits[t.Incarnation()]; known != nil && !known.ended {
		return known
	}
	return nil
}

// Count returns the number of targets with a limit.
func (l *Limiter) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.active
}

// prune removes ended limits and those of unregistered targets after the retention. The
// caller holds l.mu.
func (l *Limiter) prune(now time.Duration) {
	for target, known := range l.limits {
		if now-known.observedAt < retention || !known.ended && l.fleet.Registered(target) {
			continue
		}
		if !known.ended {
			l.active--
		}
		l.digest ^= known.digest(target)
		delete(l.limits, target)
	}
	l.hasLimits.Store(len(l.limits) > 0)
}

package limiter

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebelldoor"
)

// relaxDelay is for how long after a limit was named a response without it, or with a
// higher one, is ignored: responses on different connections overtake each other.
const relaxDelay = 400 * time.Millisecond

// Limiter tracks the limits of targets on one VM. It is safe for concurrent use.
type Limiter struct {
	clock bluebelldoor.Clock
	log   hclog.Logger

	mu     sync.Mutex
	limits map[bluebelldoor.TargetIncarnation]*limit
}

// limit is what is known of a target's limit.
type limit struct {
	perSecond float64
	// observedAt is when a response last named the limit.
	observedAt time.Duration
}

// New returns a limiter without limits.
func New(clock bluebelldoor.Clock, log hclog.Logger) *Limiter {
	return &Limiter{clock: clock, log: log, limits: map[bluebelldoor.TargetIncarnation]*limit{}}
}

// Observe records what a response of a target says of its limit.
func (l *Limiter) Observe(t *bluebelldoor.Instance, said bluebelldoor.RateLimit) {
	if said.Unknown {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now, known := l.clock.Now(), l.limits[t.Incarnation()]
	switch {
	case known == nil && !said.Named:
	case known == nil:
		l.limits[t.Incarnation()] = &limit{said.PerSecond, now}
		l.log.Info("target named a limit", "target", t.ID, "perSecond", said.PerSecond, "limitedTargets", len(l.limits))
	case said.Named && said.PerSecond <= known.perSecond:
		known.perSecond, known.observedAt = said.PerSecond, now
	case now-known.observedAt < relaxDelay:
	case said.Named:
		known.perSecond, known.observedAt = said.PerSecond, now
	default:
		delete(l.limits, t.Incarnation())
		l.log.Info("target's limit ended", "target", t.ID, "limitedTargets", len(l.limits))
	}
}

// Limit returns the limit of a target in requests per second, and whether it has one.
func (l *Limiter) Limit(t *bluebelldoor.Instance) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.limits[t.Incarnation()]; known != nil {
		return known.perSecond, true
	}
	return 0, false
}

// Count returns the number of targets with a limit.
func (l *Limiter) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.limits)
}

// Forget removes the limit of a target that has ended.
func (l *Limiter) Forget(t *bluebelldoor.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.limits, t.Incarnation())
}

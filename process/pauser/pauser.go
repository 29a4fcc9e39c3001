// Package pauser tracks targets that have asked this VM to stop sending for a
// while. Other VMs may still send to them.
//
// It does not choose targets; the relayer checks it before each send.
package pauser

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebelldoor"
)

const (
	maxPause = 10 * time.Minute
	// jitterRatio and maxJitter bound the random extension of a pause. It keeps
	// VMs that were paused at the same moment from resuming together.
	jitterRatio = 0.2
	maxJitter   = 500 * time.Millisecond
)

// Pauser tracks the paused targets of one VM. It is safe for concurrent use.
type Pauser struct {
	clock  bluebelldoor.Clock
	log    hclog.Logger
	random func() float64

	// hasPauses is set if pausedUntil is not empty. It avoids the mutex in the
	// common case: each choice of a target checks every candidate.
	hasPauses   atomic.Bool
	mu          sync.Mutex
	pausedUntil map[bluebelldoor.TargetIncarnation]time.Duration
}

// Option configures a pauser.
type Option func(*Pauser)

// WithRandom replaces the source of random numbers in [0, 1).
func WithRandom(random func() float64) Option {
	return func(p *Pauser) { p.random = random }
}

// New returns a pauser without pauses.
func New(clock bluebelldoor.Clock, log hclog.Logger, options ...Option) *Pauser {
	p := &Pauser{clock: clock, log: log, random: rand.Float64, pausedUntil: map[bluebelldoor.TargetIncarnation]time.Duration{}}
	for _, o := range options {
		o(p)
	}
	return p
}

// Pause records that a target has asked for a pause of d. A shorter pause does not
// end a longer one.
func (p *Pauser) Pause(t *bluebelldoor.Instance, d time.Duration) {
	if d <= 0 {
		return
	}
	now := p.clock.Now()
	d = min(d, maxPause)
	until := now + d + p.Jitter(d)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(now)
	previous, paused := p.pausedUntil[t.Incarnation()]
	if until <= previous {
		return
	}
	p.pausedUntil[t.Incarnation()] = until
	p.hasPauses.Store(true)
	if !paused {
		p.log.Info("target requested a pause", "target", t.ID, "forMs", d.Milliseconds(), "pausedTargets", len(p.pausedUntil))
	}
}

// Jitter returns a random extension of a pause of d.
func (p *Pauser) Jitter(d time.Duration) time.Duration {
	limit := min(time.Duration(jitterRatio*float64(d)), maxJitter)
	return time.Duration(p.random() * float64(limit))
}

// Remaining returns the remainder of the target's pause, 0 if it has none.
func (p *Pauser) Remaining(t *bluebelldoor.Instance) time.Duration {
	if !p.hasPauses.Load() {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.prune(now)
	return max(0, p.pausedUntil[t.Incarnation()]-now)
}

// prune removes pauses that are over. The caller holds the mutex.
func (p *Pauser) prune(now time.Duration) {
	for incarnation, until := range p.pausedUntil {
		if until <= now {
			delete(p.pausedUntil, incarnation)
		}
	}
	p.hasPauses.Store(len(p.pausedUntil) > 0)
}

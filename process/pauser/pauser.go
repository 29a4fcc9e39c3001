// Package pauser keeps the targets that have asked for a pause: they want
// nothing from this VM for a while, although others may send to them.
//
// It does not choose targets; the relayer asks it before each send.
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
	// longest bounds a pause.
	longest = 10 * time.Minute
	// spreadPart and spreadMost bound what is added to a pause at random, lest
	// all VMs that were told at the same moment come back at the same moment.
	spreadPart = 0.2
	spreadMost = 500 * time.Millisecond
)

// Pauser keeps the pauses of one VM. It is safe for concurrent use.
type Pauser struct {
	clock  bluebelldoor.Clock
	log    hclog.Logger
	random func() float64

	// any tells that until is not empty: most VMs know of no pause most of the time,
	// and each choice of a target asks for all targets.
	any   atomic.Bool
	mu    sync.Mutex
	until map[bluebelldoor.TargetStart]time.Duration
}

// Option changes a pauser.
type Option func(*Pauser)

// WithRandom replaces the source of random numbers from 0 to 1.
func WithRandom(random func() float64) Option {
	return func(p *Pauser) { p.random = random }
}

// New returns a pauser that knows of no pause.
func New(clock bluebelldoor.Clock, log hclog.Logger, options ...Option) *Pauser {
	p := &Pauser{clock: clock, log: log, random: rand.Float64, until: map[bluebelldoor.TargetStart]time.Duration{}}
	for _, o := range options {
		o(p)
	}
	return p
}

// Pause notes that a target wants nothing for d. A shorter pause does not end a
// longer one.
func (p *Pauser) Pause(t *bluebelldoor.Instance, d time.Duration) {
	if d <= 0 {
		return
	}
	now := p.clock.Now()
	d = min(d, longest)
	until := now + d + p.Spread(d)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(now)
	before, paused := p.until[t.Start()]
	if until <= before {
		return
	}
	p.until[t.Start()] = until
	p.any.Store(true)
	if !paused {
		p.log.Info("target asks for a pause", "target", t.ID, "forMs", d.Milliseconds(), "pausedTargets", len(p.until))
	}
}

// Spread returns a random time to add to a pause of d.
func (p *Pauser) Spread(d time.Duration) time.Duration {
	most := min(time.Duration(spreadPart*float64(d)), spreadMost)
	return time.Duration(p.random() * float64(most))
}

// Left returns how long the target's pause still lasts, 0 if it has none.
func (p *Pauser) Left(t *bluebelldoor.Instance) time.Duration {
	if !p.any.Load() {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.prune(now)
	return max(0, p.until[t.Start()]-now)
}

// prune forgets pauses that are over. It needs the mutex.
func (p *Pauser) prune(now time.Duration) {
	for start, until := range p.until {
		if until <= now {
			delete(p.until, start)
		}
	}
	p.any.Store(len(p.until) > 0)
}

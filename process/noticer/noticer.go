// Package noticer tells since when something that the VM notices now may have been so. A VM
// that was suspended, or got no processor time, notices late what happened meanwhile.
//
// It does not notice anything itself, and knows nothing of delays outside of the VM.
package noticer

import (
	"sync/atomic"
	"time"

	"bluebelldoor"
)

const (
	// interval is the time between two ticks. After a gap of minGap between ticks the VM counts
	// as having stood still.
	interval = 100 * time.Millisecond
	minGap   = 300 * time.Millisecond
	// catchUpTime is how long after such a gap the VM still processes what came meanwhile.
	catchUpTime = 500 * time.Millisecond
)

// Noticer tells how late a VM notices things. It is safe for concurrent use.
type Noticer struct {
	clock bluebelldoor.Clock
	state atomic.Pointer[state]
}

// state is what is known at a tick.
type state struct {
	// tick is when it was.
	tick time.Duration
	// gapBegan and gapEnded are the bounds of the last gap, 0 if there was none.
	gapBegan, gapEnded time.Duration
}

func (s *state) after(now time.Duration) *state {
	if now-s.tick < minGap {
		return &state{now, s.gapBegan, s.gapEnded}
	}
	began := s.tick
	if s.tick-s.gapEnded < catchUpTime && s.gapEnded > 0 {
		began = s.gapBegan // the VM had not caught up
	}
	return &state{now, began, now}
}

// New returns a noticer and a function that stops it.
func New(clock bluebelldoor.Clock) (*Noticer, func()) {
	n := &Noticer{clock: clock}
	n.state.Store(&state{tick: clock.Now()})
	ticker, stopped := time.NewTicker(interval), make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				n.state.Store(n.state.Load().after(clock.Now()))
			case <-stopped:
				return
			}
		}
	}()
	return n, func() {
		ticker.Stop()
		close(stopped)
	}
}

// Earliest returns the earliest time, by the VM's clock, at which something may have happened
// that is noticed now: now, unless the VM stood still until shortly before.
func (n *Noticer) Earliest() time.Duration {
	now := n.clock.Now()
	s := n.state.Load().after(now)
	if s.gapEnded > 0 && now-s.gapEnded < catchUpTime {
		return s.gapBegan
	}
	return now
}

// Package pacer runs the rounds of a loop: periodically, and sooner on request.
//
// It is not for work that must happen at a given time; rounds may be late.
package pacer

import (
	"context"
	"time"
)

// Pacer runs the rounds of one loop. Trigger is safe for concurrent use.
type Pacer struct {
	interval, minInterval time.Duration
	requested             chan struct{}
}

// New returns a pacer with a round every interval, and at least minInterval between
// two rounds.
func New(interval, minInterval time.Duration) *Pacer {
	return &Pacer{interval: interval, minInterval: minInterval, requested: make(chan struct{}, 1)}
}

// Trigger requests an immediate round. It does not block.
func (p *Pacer) Trigger() {
	select {
	case p.requested <- struct{}{}:
	default:
	}
}

// Run runs rounds until ctx ends. triggered is true for the first round and for
// those that Trigger requested.
func (p *Pacer) Run(ctx context.Context, round func(triggered bool)) {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for triggered := true; ; {
		round(triggered)
		select {
		case <-ctx.Done():
			return
		case <-time.After(p.minInterval):
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			triggered = false
		case <-p.requested:
			triggered = true
			ticker.Reset(p.interval)
		}
	}
}

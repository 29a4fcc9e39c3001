package runner

import (
	"context"
	"time"
)

const (
	// newStreamsFor is the part of a planned stop in which new streams are
	// still taken from callers with old addresses.
	newStreamsFor = 0.3
	// lastTaken is the time before the end of a stop up to which requests are
	// still taken: longer than most take, so that the last are not cut.
	lastTaken = time.Second
	// stopEarly is the time before the platform's limit at which a stop ends.
	stopEarly = 400 * time.Millisecond
	// oldAddressTimes is how many times an answer's validity callers may use
	// it, as the slowest of them do.
	oldAddressTimes = 3
	// lastRefusals is how long refusals may take to leave, lastPoll how often
	// that is looked at; both fit well into stopEarly.
	lastRefusals = 100 * time.Millisecond
	lastPoll     = time.Millisecond
	// quietFor is how long no request must have come before a stop ends early.
	quietFor = time.Second
)

// Drain is a planned stop: the VM is no longer named to callers, goes on
// serving those that hold an old answer, and ends when they have gone or the
// time is over. It returns how many requests were cut.
func (r *Relay) Drain(ctx context.Context) int {
	began := r.adapters.Clock.Now()
	r.fire(leave)
	r.log.Info("draining", "busy", r.acceptor.Busy())
	r.acceptor.Leave()
	r.gossiper.Hurry()
	limit := r.settings.StopWithin - stopEarly
	old := min(limit, oldAddressTimes*min(entryValidFor, r.settings.AddressValidFor))
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	quiet := began
	for ctx.Err() == nil {
		now := r.adapters.Clock.Now()
		elapsed := now - began
		if elapsed > time.Duration(float64(r.settings.StopWithin)*newStreamsFor) {
			r.relayer.Leave()
		}
		if elapsed > limit-lastTaken {
			r.relayer.Close()
		}
		if r.acceptor.Busy() > 0 {
			quiet = now
		}
		if elapsed >= limit || elapsed >= old && now-quiet >= quietFor {
			break
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	r.awaitLast(ctx)
	cut := r.acceptor.Busy()
	r.log.Info("drained", "cut", cut)
	return cut
}

// awaitLast waits for requests that came in the last moment: they are refused
// at once, but the refusal has to leave.
func (r *Relay) awaitLast(ctx context.Context) {
	until := r.adapters.Clock.Now() + lastRefusals
	for ctx.Err() == nil && r.acceptor.Busy() > 0 && r.adapters.Clock.Now() < until {
		time.Sleep(lastPoll)
	}
}

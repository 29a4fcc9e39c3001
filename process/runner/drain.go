package runner

import (
	"context"
	"time"
)

const (
	// newStreamsFraction is the fraction of StopWithin during which new streams
	// are still accepted from callers that use an old address.
	newStreamsFraction = 0.3
	// refuseFraction is the fraction of StopWithin, at its end, in which new requests are
	// refused. Most requests take less time. Those that do not are told so at the end.
	refuseFraction = 0.25
	// stopMargin is how long before the platform's limit a stop ends.
	stopMargin = 400 * time.Millisecond
	// addressReuseFactor is how many times the validity of a directory response
	// the slowest callers go on using it.
	addressReuseFactor = 3
	// refusalFlushTimeout bounds the wait for the last refusals to be sent,
	// which is polled every refusalFlushPoll. It is well below stopMargin.
	refusalFlushTimeout = 100 * time.Millisecond
	refusalFlushPoll    = time.Millisecond
	// idleBeforeStop is how long the VM must have been without requests before
	// a stop ends early.
	idleBeforeStop = time.Second
)

// Drain performs a planned stop: the directory no longer names the VM, which
// serves callers that still use its address until there are none or the time
// for the stop is over. Drain returns the number of requests that were cut off.
func (r *Relay) Drain(ctx context.Context) int {
	started := r.adapters.Clock.Now()
	r.fire(triggerDrain)
	r.log.Info("draining", "busy", r.acceptor.ActiveRequests())
	r.acceptor.Drain()
	r.gossiper.Trigger()
	limit := r.settings.StopWithin - stopMargin
	oldAddresses := min(limit, addressReuseFactor*min(maxResponseTTL, r.settings.AddressValidFor))
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	lastBusy := started
	for ctx.Err() == nil {
		now := r.adapters.Clock.Now()
		elapsed := now - started
		if elapsed > time.Duration(float64(r.settings.StopWithin)*newStreamsFraction) {
			r.relayer.Drain()
		}
		if elapsed > limit-time.Duration(float64(r.settings.StopWithin)*refuseFraction) {
			r.relayer.Close()
		}
		if r.acceptor.ActiveRequests() > 0 {
			lastBusy = now
		}
		if elapsed >= limit || elapsed >= oldAddresses && now-lastBusy >= idleBeforeStop {
			break
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	r.relayer.End()
	r.flushRefusals(ctx)
	cut := r.acceptor.ActiveRequests()
	r.log.Info("drained", "cut", cut)
	return cut
}

// flushRefusals waits for the last requests: they are refused immediately, but
// the refusals still have to be sent.
func (r *Relay) flushRefusals(ctx context.Context) {
	deadline := r.adapters.Clock.Now() + refusalFlushTimeout
	for ctx.Err() == nil && r.acceptor.ActiveRequests() > 0 && r.adapters.Clock.Now() < deadline {
		time.Sleep(refusalFlushPoll)
	}
}

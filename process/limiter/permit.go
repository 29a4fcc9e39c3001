package limiter

import (
	"context"
	"time"

	"bluebelldoor"
	"bluebelldoor/process/ranker"
)

const (
	// permitValidity is how long a permit may be used: a request that is delayed for
	// longer would come on top of those permitted since.
	permitValidity = 500 * time.Millisecond
	// askTimeout bounds a request for a permit, which takes one round trip between two
	// VMs.
	askTimeout = 150 * time.Millisecond
	// silencePeriod is how long a grantor that did not answer is not asked again.
	silencePeriod = time.Second
	// minDenial is the least time between two requests of a VM for a permit, if the
	// first was denied.
	minDenial = 20 * time.Millisecond
	// unregisteredRetry is after what time to ask again for a permit for a target that
	// the grantor does not know: it reads of new targets within about that time.
	unregisteredRetry = 200 * time.Millisecond
)

// Outcomes of requests for permits, for the metrics.
const (
	outcomeGranted    = "granted"
	outcomeDenied     = "denied"
	outcomeUnanswered = "unanswered"
)

// Permit allows one send to a limited target. Its zero value allows none.
type Permit struct {
	target bluebelldoor.TargetIncarnation
	until  time.Duration
}

// Allows reports whether a request with this permit may be sent to a target: it is not
// limited, or the permit is for it and still valid.
func (l *Limiter) Allows(p Permit, t *bluebelldoor.Instance) bool {
	if _, limited := l.Limit(t); !limited {
		return true
	}
	return p.target == t.Incarnation() && l.clock.Now() < p.until
}

// Remaining returns for how long the VM gets no permit for a target, 0 if it may get one.
func (l *Limiter) Remaining(t *bluebelldoor.Instance) time.Duration {
	if !l.hasLimits.Load() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.current(t); known != nil {
		return max(0, known.deniedUntil-l.clock.Now())
	}
	return 0
}

// Acquire requests a permit to send one request to a target, and reports whether the
// request may be sent. A target without a limit needs no permit.
func (l *Limiter) Acquire(ctx context.Context, t *bluebelldoor.Instance) (Permit, bool) {
	if !l.hasLimits.Load() {
		return Permit{}, true
	}
	l.mu.Lock()
	known := l.current(t)
	l.mu.Unlock()
	if known == nil {
		return Permit{}, true
	}
	select {
	case known.asking <- struct{}{}:
	case <-ctx.Done():
		return Permit{}, false
	}
	defer func() { <-known.asking }()
	if l.Remaining(t) > 0 {
		return Permit{}, false
	}
	askedAt := l.clock.Now()
	reply := l.ask(ctx, t.Incarnation(), known)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !reply.Granted {
		retry := time.Duration(min(reply.RetryMs, maxPromise.Milliseconds())) * time.Millisecond
		known.deniedUntil = l.clock.Now() + max(minDenial, retry)
		return Permit{}, false
	}
	return Permit{t.Incarnation(), askedAt + permitValidity}, true
}

// ask asks the grantor of a target, or takes from the VM's own share if it does not
// answer.
func (l *Limiter) ask(ctx context.Context, target bluebelldoor.TargetIncarnation, known *limit) *bluebelldoor.PermitReply {
	address, self := l.grantor(target)
	askedAt := l.clock.Now()
	l.mu.Lock()
	in := &bluebelldoor.PermitRequest{From: l.fleet.Self, Limit: known.message(target, askedAt)}
	silent := !self && (address == "" || l.clock.Now() < l.silentUntil[address])
	l.mu.Unlock()
	switch {
	case self:
		return l.count(l.Permit(in))
	case silent:
		return l.takeShare(known)
	}
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := l.fleet.Peers.Permit(askCtx, address, in)
	if ctx.Err() != nil {
		// The request has ended; the grantor may be well.
		return &bluebelldoor.PermitReply{}
	}
	if err != nil {
		l.log.Warn("grantor of permits did not answer", "target", target.ID, "peer", address, "error", err)
		l.mu.Lock()
		l.silentUntil[address] = l.clock.Now() + silencePeriod
		l.mu.Unlock()
		return l.takeShare(known)
	}
	// The reply may have waited, but for no longer than since the request.
	reply.Limit.AgeMs += (l.clock.Now() - askedAt).Milliseconds()
	l.Merge(address, []bluebelldoor.TargetLimit{reply.Limit})
	l.mu.Lock()
	known.own = nil
	l.mu.Unlock()
	return l.count(reply)
}

// takeShare takes a permit from this VM's own share of a limit.
func (l *Limiter) takeShare(known *limit) *bluebelldoor.PermitReply {
	l.fleet.Counted(outcomeUnanswered)
	l.mu.Lock()
	defer l.mu.Unlock()
	if known.own == nil {
		known.own = newBucket(l.clock.Now())
	}
	granted, retry := known.own.take(rateOf(known.perSecond, l.fleet.Share()), l.clock.Now())
	return &bluebelldoor.PermitReply{Granted: granted, RetryMs: retryMs(retry)}
}

func (l *Limiter) count(reply *bluebelldoor.PermitReply) *bluebelldoor.PermitReply {
	if reply.Granted {
		l.fleet.Counted(outcomeGranted)
	} else {
		l.fleet.Counted(outcomeDenied)
	}
	return reply
}

// grantor returns the peer address of the VM that grants the permits of a target, "" if
// there is none, and whether it is this VM.
func (l *Limiter) grantor(target bluebelldoor.TargetIncarnation) (address string, self bool) {
	var names []string
	addresses := map[string]string{}
	for _, m := range l.fleet.Hubs() {
		if !m.Leaving {
			names = append(names, m.Name)
			addresses[m.Name] = m.PeerAddress
		}
	}
	first := ranker.First("limit/"+target.ID, names)
	return addresses[first], first == l.fleet.Self
}

// Permit handles a request for a permit, as the grantor of the target. The request
// carries the limit that the requester knows, as it may be the first to know of it.
func (l *Limiter) Permit(in *bluebelldoor.PermitRequest) *bluebelldoor.PermitReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.merge(in.From, in.Limit)
	now, known := l.clock.Now(), l.limits[in.Limit.Target]
	switch {
	case known == nil:
		// The target is not registered here, or not yet.
		return &bluebelldoor.PermitReply{Limit: in.Limit, RetryMs: unregisteredRetry.Milliseconds()}
	case known.ended:
		return &bluebelldoor.PermitReply{Limit: known.message(in.Limit.Target, now), Granted: true}
	case known.granted == nil:
		known.granted = newBucket(now)
	}
	granted, retry := known.granted.take(rateOf(known.perSecond, l.fleet.Coverage()), now)
	return &bluebelldoor.PermitReply{Limit: known.message(in.Limit.Target, now), Granted: granted, RetryMs: retryMs(retry)}
}

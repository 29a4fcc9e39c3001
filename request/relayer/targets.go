package relayer

import (
	"context"
	"math/rand/v2"
	"time"

	"bluebelldoor"
	"bluebelldoor/process/registrar"
	"bluebelldoor/request/placer"
)

// permitPollInterval is the least time between two requests for a permit for a stream
// that waits for one.
const permitPollInterval = 10 * time.Millisecond

// maxPermitTime bounds the time that a request spends on requests for permits until it is
// placed: with many limited targets, or others of this VM that ask before it, they would add
// up, and the caller could have been refused.
const maxPermitTime = 300 * time.Millisecond

// limitedSpread is over what time callers return that were refused because all targets
// were at their limits: the targets accept them one by one.
const limitedSpread = time.Second

// HandleResponseHead applies what a target announces in a response header: that
// it is leaving, that it asks for a pause, or that it limits requests. It is called
// for every response.
func (r *Relayer) HandleResponseHead(t *bluebelldoor.Instance, head bluebelldoor.ResponseHead) {
	if head.Malformed != "" {
		r.log.Warn("malformed field in response header", "target", t.ID, "error", head.Malformed)
	}
	if head.Leaving {
		r.sources.MarkLeaving(t)
	}
	r.Pauses.Pause(t, head.PauseFor)
	r.Limits.Observe(t, head.Limit)
}

// candidates returns the targets of the service that the request may be sent to.
func (j *job) candidates(now time.Duration) ([]*registrar.Target, []placer.Candidate) {
	return j.openTargets(now, j.unavailableFor)
}

// destinations returns the targets of the service to which a generation may be copied.
// They include those at their limits: the stream waits for a permit after the copy.
func (j *job) destinations(now time.Duration) ([]*registrar.Target, []placer.Candidate) {
	return j.openTargets(now, func(t *registrar.Target) time.Duration { return j.Pauses.Remaining(t.Instance) })
}

// openTargets returns the targets that accept new work, are not excluded, and for which
// unavailableFor returns 0.
func (j *job) openTargets(now time.Duration, unavailableFor func(*registrar.Target) time.Duration) ([]*registrar.Target, []placer.Candidate) {
	view := j.sources.View()
	var targets []*registrar.Target
	var candidates []placer.Candidate
	for _, t := range view.ServiceTargets(j.serviceName) {
		if !view.AcceptsNewWork(t.Instance) || j.isExcluded(t) || unavailableFor(t) > 0 {
			continue
		}
		targets = append(targets, t)
		candidates = append(candidates, placer.Candidate{Instance: t.Instance, Cold: now < t.ColdUntil, Lapsed: t.Lapsed})
	}
	return targets, candidates
}

// exclude excludes a target from further sends and moves of the request.
func (j *job) exclude(t *registrar.Target) {
	j.excludedMu.Lock()
	defer j.excludedMu.Unlock()
	j.excluded[t.ID] = true
}

func (j *job) isExcluded(t *registrar.Target) bool {
	j.excludedMu.Lock()
	defer j.excludedMu.Unlock()
	return j.excluded[t.ID]
}

// unavailableFor returns how long until a target accepts the request from this VM: it has
// asked for a pause, or has reached its limit, or the request has no time left to ask for a
// permit.
func (j *job) unavailableFor(t *registrar.Target) time.Duration {
	if _, limited := j.Limits.Limit(t.Instance); limited && j.permitTime >= maxPermitTime {
		return max(defaultRetryAfter, j.Pauses.Remaining(t.Instance), j.Limits.Remaining(t.Instance))
	}
	return max(j.Pauses.Remaining(t.Instance), j.Limits.Remaining(t.Instance))
}

// shortestWait returns how long until the first open target of the service accepts
// requests from this VM again, and whether it has asked for a pause. The time is 0 if one
// accepts requests now or none is open.
func (j *job) shortestWait() (wait time.Duration, paused bool) {
	view := j.sources.View()
	for _, t := range view.ServiceTargets(j.serviceName) {
		if !view.AcceptsNewWork(t.Instance) {
			continue
		}
		remaining := j.unavailableFor(t)
		if remaining == 0 {
			return 0, false
		}
		if wait == 0 || remaining < wait {
			wait, paused = remaining, j.Pauses.Remaining(t.Instance) == remaining
		}
	}
	return wait, paused
}

// refusalNoTarget returns the refusal for a request that has no candidates.
func (j *job) refusalNoTarget() *bluebelldoor.Refusal {
	wait, paused := j.shortestWait()
	if wait == 0 {
		return bluebelldoor.NewRefusal(bluebelldoor.NoTarget, "no target of the service accepts requests").WithRetryAfter(defaultRetryAfter)
	}
	if paused {
		detail := "all targets have asked for a pause, the shortest ends in " + wait.Round(time.Millisecond).String()
		return bluebelldoor.NewRefusal(bluebelldoor.TargetsPaused, detail).WithRetryAfter(wait + j.Pauses.Jitter(wait))
	}
	detail := "all targets have reached their limits or pause, the first accepts requests in " + wait.Round(time.Millisecond).String()
	return bluebelldoor.NewRefusal(bluebelldoor.TargetsLimited, detail).WithRetryAfter(wait + rand.N(limitedSpread))
}

// acquirePermit requests a permit to send the request to a target, which it needs if the
// target is limited, and reports whether it may be sent.
func (j *job) acquirePermit(ctx context.Context, t *registrar.Target) bool {
	permit, granted := j.Limits.Acquire(ctx, t.Instance)
	j.permitted = permit
	if !granted && j.ctx.Err() == nil {
		perSecond, _ := j.Limits.Limit(t.Instance)
		j.log.Info("target at its limit", "id", j.request.ID, "target", t.ID, "limit", perSecond,
			"retryMs", j.Limits.Remaining(t.Instance).Milliseconds(), "permitMs", j.permitTime.Milliseconds())
	}
	return granted
}

// acquireInTime is acquirePermit within maxPermitTime for all targets together. Generations
// that queue have a limit of their own, the latest start.
func (j *job) acquireInTime(t *registrar.Target) bool {
	if j.mustQueue() {
		return j.acquirePermit(j.ctx, t)
	}
	began := j.clock.Now()
	ctx, cancel := context.WithTimeout(j.ctx, maxPermitTime-j.permitTime)
	defer cancel()
	granted := j.acquirePermit(ctx, t)
	j.permitTime += j.clock.Now() - began
	return granted
}

// awaitPermit requests a permit until it is granted, for at most limit.
func (j *job) awaitPermit(t *registrar.Target, limit time.Duration) bool {
	for until := j.clock.Now() + limit; ; {
		if j.acquirePermit(j.ctx, t) {
			return true
		}
		wait := max(permitPollInterval, j.Limits.Remaining(t.Instance))
		if j.ctx.Err() != nil || j.clock.Now()+wait > until {
			return false
		}
		time.Sleep(wait)
	}
}

package relayer

import (
	"time"

	"bluebelldoor"
	"bluebelldoor/process/registrar"
	"bluebelldoor/request/placer"
)

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
	view := j.sources.View()
	var targets []*registrar.Target
	var candidates []placer.Candidate
	for _, t := range view.ServiceTargets(j.serviceName) {
		if !view.AcceptsNewWork(t.Instance) || j.excluded[t.ID] || j.Pauses.Remaining(t.Instance) > 0 {
			continue
		}
		targets = append(targets, t)
		candidates = append(candidates, placer.Candidate{Instance: t.Instance, Cold: now < t.ColdUntil, Lapsed: t.Lapsed})
	}
	return targets, candidates
}

// shortestPause returns how long until the first open target of the service
// accepts requests from this VM again, 0 if one does now or none is open.
func (j *job) shortestPause() time.Duration {
	view := j.sources.View()
	soonest := time.Duration(0)
	for _, t := range view.ServiceTargets(j.serviceName) {
		if !view.AcceptsNewWork(t.Instance) {
			continue
		}
		remaining := j.Pauses.Remaining(t.Instance)
		if remaining == 0 {
			return 0
		}
		if soonest == 0 || remaining < soonest {
			soonest = remaining
		}
	}
	return soonest
}

// refusalNoTarget returns the refusal for a request that has no candidates.
func (j *job) refusalNoTarget() *bluebelldoor.Refusal {
	if pause := j.shortestPause(); pause > 0 {
		detail := "all targets have asked for a pause, the shortest ends in " + pause.Round(time.Millisecond).String()
		return bluebelldoor.NewRefusal(bluebelldoor.TargetsPaused, detail).WithRetryAfter(pause + j.Pauses.Jitter(pause))
	}
	return bluebelldoor.NewRefusal(bluebelldoor.NoTarget, "no target of the service accepts requests").WithRetryAfter(defaultRetryAfter)
}

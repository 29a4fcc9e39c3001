package relayer

import (
	"time"

	"bluebelldoor"
	"bluebelldoor/process/registrar"
	"bluebelldoor/request/placer"
)

// Heard takes what a target says of itself in the head of an answer, whatever
// request it answers.
func (r *Relayer) Heard(t *bluebelldoor.Instance, head bluebelldoor.AnswerHead) {
	if head.Malformed != "" {
		r.log.Warn("field of an answer not read", "target", t.ID, "error", head.Malformed)
	}
	if head.Leaving {
		r.sources.Leaves(t)
	}
	r.Pauses.Pause(t, head.PauseFor)
}

// candidates returns the targets of the service that may get the request.
func (j *job) candidates(now time.Duration) ([]*registrar.Target, []placer.Candidate) {
	view := j.sources.View()
	var targets []*registrar.Target
	var candidates []placer.Candidate
	for _, t := range view.Serving(j.name) {
		if !view.Open(t.Instance) || j.excluded[t.ID] || j.Pauses.Left(t.Instance) > 0 {
			continue
		}
		targets = append(targets, t)
		candidates = append(candidates, placer.Candidate{Instance: t.Instance, Cold: now < t.ColdUntil, Lapsed: t.Lapsed})
	}
	return targets, candidates
}

// pauseLeft returns when the first target of the service takes requests of this VM
// again, 0 where one does or none is open.
func (j *job) pauseLeft() time.Duration {
	view := j.sources.View()
	soonest := time.Duration(0)
	for _, t := range view.Serving(j.name) {
		if !view.Open(t.Instance) {
			continue
		}
		left := j.Pauses.Left(t.Instance)
		if left == 0 {
			return 0
		}
		if soonest == 0 || left < soonest {
			soonest = left
		}
	}
	return soonest
}

// noTarget refuses a request that no target may get now.
func (j *job) noTarget() *bluebelldoor.Refusal {
	if left := j.pauseLeft(); left > 0 {
		detail := "every target wants a pause, the shortest lasts " + left.Round(time.Millisecond).String()
		return bluebelldoor.Refuse(bluebelldoor.TargetsPaused, detail).WithRetryAfter(left + j.Pauses.Spread(left))
	}
	return bluebelldoor.Refuse(bluebelldoor.NoTarget, "no target of the service may take work").WithRetryAfter(comeBack)
}

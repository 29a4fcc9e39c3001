package relayer

import (
	"time"

	"github.com/pkg/errors"

	"bluebelldoor/process/registrar"
	"bluebelldoor/request/placer"
	"bluebelldoor/request/ramper"
)

// copiedEventTime is the time in which a generation that has been copied is expected to
// go on. Its prompt is not read again.
const copiedEventTime = time.Second

// slowStart returns how the request treats targets in slow start.
func (j *job) slowStart() placer.SlowStart {
	if !j.terms().Adaptive() {
		return placer.SlowStart{}
	}
	return placer.SlowStart{InForce: true, VMShare: j.sources.Share(), Overflow: placer.OverflowAlways}
}

// observeTargets tells the ledger of the targets of adaptive services if the view has
// changed. The caller must hold r.mu.
func (r *Relayer) observeTargets(now time.Duration) {
	view := r.sources.View()
	if view == r.observed {
		return
	}
	r.observed = view
	services := map[string][]ramper.Target{}
	if routing := view.Routing(); routing != nil {
		for _, name := range routing.AdaptiveServices() {
			services[name] = newTargets(view.ServiceTargets(name), now)
		}
	}
	r.ledger.ObserveTargets(services, r.sources.Share(), now)
	r.logSlowStarts()
}

// newTargets returns the targets that may get requests.
func newTargets(targets []*registrar.Target, now time.Duration) []ramper.Target {
	out := make([]ramper.Target, 0, len(targets))
	for _, t := range targets {
		if !t.Leaving {
			out = append(out, ramper.Target{TargetIncarnation: t.Incarnation(), Slots: t.Slots, Cold: now < t.ColdUntil})
		}
	}
	return out
}

// beginAttempt records that the request is about to be sent to a target. The caller must
// hold r.mu.
func (j *job) beginAttempt(t *registrar.Target, now time.Duration) {
	generation := time.Duration(0)
	if j.route.Generates && !j.route.Streamed {
		generation = time.Duration(j.expectedTokens()) * maxTokenTime
	}
	j.sent = j.ledger.NewAttempt(t.Incarnation(), j.request.PromptTokens, generation, now)
}

// copyAttempt returns the attempt of a generation that goes on from a copy.
func copyAttempt(t *registrar.Target, now time.Duration) ramper.Attempt {
	return ramper.Attempt{Target: t.Incarnation(), SentAt: now, Expected: copiedEventTime}
}

// recordAnswer records the first event or the whole answer of a generation. Answers to
// other requests don't show how many generations a target can bear.
func (j *job) recordAnswer() {
	if !j.route.Generates {
		return
	}
	j.recordVerdict(func(now time.Duration) ramper.Verdict {
		return j.ledger.RecordAnswer(j.sent, j.sources.Share(), now)
	})
}

// recordUnanswered records that the latest attempt has ended without an answer.
func (j *job) recordUnanswered() {
	j.recordVerdict(func(now time.Duration) ramper.Verdict {
		return j.ledger.RecordUnanswered(j.sent, j.expired(), j.sources.Share(), now)
	})
}

// recordTrouble records that the latest attempt has failed. The reason is a log field.
func (j *job) recordTrouble(reason string) {
	j.recordVerdict(func(now time.Duration) ramper.Verdict {
		return j.ledger.RecordTrouble(j.sent, reason, j.sources.Share(), now)
	})
}

// recordBreak records the end of a stream before it was complete, unless its target was to
// end it: that has announced that it is leaving, or the generation has moved.
func (s *stream) recordBreak() {
	j := s.job
	s.mu.Lock()
	target, moving := s.target, s.move != nil
	s.mu.Unlock()
	switch {
	case j.ctx.Err() != nil && s.forwarded == 0:
		j.recordUnanswered()
	case j.ctx.Err() == nil && !moving && j.sources.View().AcceptsNewWork(target.Instance):
		j.recordTrouble("connection")
	}
}

// recordFailedRerun records that a stream could not be run again on a target. What keeps the
// VM from sending it there is no trouble of the target.
func (j *job) recordFailedRerun(err error) {
	unsent := errors.Is(err, errNotPermitted) || errors.Is(err, errPaused) || errors.Is(err, errNoPermit) || errors.Is(err, errQuarantined)
	if j.ctx.Err() == nil && !unsent {
		j.recordTrouble("connection")
	}
}

// recordVerdict records an event of the latest attempt and counts its verdict. A target that
// has just announced that it is leaving is no longer judged.
func (j *job) recordVerdict(record func(now time.Duration) ramper.Verdict) {
	if !j.terms().Adaptive() {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.clock.Now()
	j.observeTargets(now)
	if verdict := record(now); verdict != ramper.VerdictNone {
		j.Metrics.CountSlowStart(string(verdict))
	}
	j.logSlowStarts()
}

// logSlowStarts logs and counts the targets that have entered or left slow start. The
// caller must hold r.mu.
func (r *Relayer) logSlowStarts() {
	for _, c := range r.ledger.TakeSlowStartChanges() {
		if c.Entered {
			r.Metrics.CountSlowStart("entered")
			r.log.Info("target enters slow start", "target", c.Target, "why", c.Reason, "credit", c.Credit, "window", c.Window, "slots", c.Slots)
			continue
		}
		r.Metrics.CountSlowStart("left")
		r.log.Info("target leaves slow start", "target", c.Target, "credit", c.Credit, "window", c.Window, "slots", c.Slots)
	}
}

// SlowStarts returns how many targets are in slow start on this VM.
func (r *Relayer) SlowStarts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.SlowStarts()
}

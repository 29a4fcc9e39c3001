package relayer

import (
	"time"

	"github.com/pkg/errors"

	"bluebelldoor/connection/exchanger"
	"bluebelldoor/process/registrar"
	"bluebelldoor/request/placer"
)

const (
	// copyWait bounds how long a stream waits for the word of its last copy
	// after its engine has ended it: as long as the copy may take, for a late
	// answer is worth more than a broken one.
	copyWait = 3 * time.Second
	// maxOnLeaving is how often a stream is moved off a target again on which it went
	// on although that was leaving.
	maxOnLeaving = 2
)

// goOn continues a stream that its engine has ended: from a copy, or, where
// the route allows it, after the last event at any target.
func (s *stream) goOn(cause error) (*exchanger.Answer, *placer.Reservation) {
	s.events.drop()
	s.mu.Lock()
	m := s.move
	s.mu.Unlock()
	if m != nil {
		if answer, reservation := s.fromCopy(m); answer != nil {
			return answer, reservation
		}
	}
	if !s.job.route.Resumable {
		return nil, nil
	}
	return s.resume(cause)
}

// fromCopy waits for the last copy and goes on from it.
func (s *stream) fromCopy(m *move) (*exchanger.Answer, *placer.Reservation) {
	j := s.job
	select {
	case <-m.done:
	case <-time.After(copyWait):
	case <-j.ctx.Done():
	}
	s.mu.Lock()
	source := s.target
	s.move = nil
	s.mu.Unlock()
	select {
	case <-m.done:
	default:
		j.log.Warn("copy not ready in time", "id", j.request.ID, "source", source.ID)
		j.end(m.reservation)
		return nil, nil
	}
	if m.copied == "" {
		return nil, nil
	}
	if answer := s.sendCopy(m.target, m.copied); answer != nil {
		return answer, m.reservation
	}
	j.end(m.reservation)
	if source.ID == m.target.ID {
		return nil, nil
	}
	// The source keeps the memory of what it stopped.
	return s.sendCopy(source, m.copied), nil
}

// sendCopy asks a target to go on from a copy; nil if it does not.
func (s *stream) sendCopy(t *registrar.Target, copied string) *exchanger.Answer {
	j := s.job
	o := j.outgoing(t, s.events.lastID, copied)
	o.Fresh = true
	o.Permit = func() error { return j.permitCopy(t) }
	j.budget(1)
	answer, err := j.Targets.Send(j.ctx, t.Instance, o)
	if err != nil {
		j.log.Warn("copy not resumed", "id", j.request.ID, "target", t.ID, "error", err)
		j.Metrics.Moved("notResumed")
		return nil
	}
	if status := answer.Response().StatusCode; status != 200 {
		j.log.Warn("copy not resumed", "id", j.request.ID, "target", t.ID, "status", status)
		j.Metrics.Moved("notResumed")
		answer.Close()
		return nil
	}
	s.mu.Lock()
	s.target = t
	s.mu.Unlock()
	j.Metrics.Moved("resumed")
	j.log.Info("stream moved", "id", j.request.ID, "target", t.ID, "after", s.events.lastID)
	if !j.sources.View().Open(t.Instance) && s.onLeaving < maxOnLeaving {
		s.onLeaving++
		go j.moveOne(s, t)
	}
	return answer
}

// permitCopy lets a generation go on where its copy is, unless that target has been
// leaving for long, is out of service, or wants a pause by now.
func (j *job) permitCopy(t *registrar.Target) error {
	switch {
	case !j.sources.View().Finishes(t.Instance, j.clock.Now(), j.settings.Load().Leaving):
		return errClosed
	case j.Pauses.Left(t.Instance) > 0:
		return errPaused
	default:
		return nil
	}
}

// resume goes on after the last event at another target, as a new run.
func (s *stream) resume(cause error) (*exchanger.Answer, *placer.Reservation) {
	j := s.job
	j.excluded[s.target.ID] = true
	for j.mayRepeat() {
		t, reservation, refusal := j.place()
		if refusal != nil {
			j.log.Info("stream not resumed", "id", j.request.ID, "why", refusal.Error())
			return nil, nil
		}
		after := s.events.lastID
		if after == "" {
			after = j.request.ResumeAfter
		}
		answer, err := j.Targets.Send(j.ctx, t.Instance, j.outgoing(t, after, ""))
		if err == nil && answer.Response().StatusCode == 200 {
			j.runs++
			s.mu.Lock()
			s.target = t
			s.mu.Unlock()
			j.log.Info("stream resumed", "id", j.request.ID, "target", t.ID, "after", after, "cause", cause.Error())
			return answer, reservation
		}
		if err == nil {
			err = errors.Errorf("status %d", answer.Response().StatusCode)
			answer.Close()
		}
		j.log.Warn("stream not resumed", "id", j.request.ID, "target", t.ID, "after", after, "why", err.Error())
		j.end(reservation)
		j.runs++
		j.excluded[t.ID] = true
	}
	return nil, nil
}

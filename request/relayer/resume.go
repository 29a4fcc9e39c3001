package relayer

import (
	"time"

	"github.com/pkg/errors"

	"bluebelldoor/connection/exchanger"
	"bluebelldoor/process/registrar"
	"bluebelldoor/request/placer"
)

const (
	// lastCopyTimeout is how long a stream waits for its last copy after its
	// engine has ended it. It covers the longest copy, as a late stream is worth
	// more than a broken one.
	lastCopyTimeout = 3 * time.Second
	// maxPermitWait is how long a stream waits for a permit to continue on a limited
	// target: less than callers wait for an event.
	maxPermitWait = 1500 * time.Millisecond
	// maxResumesOnLeaving is how many times a stream that resumed on a leaving
	// target is moved off it again.
	maxResumesOnLeaving = 2
)

// continueStream continues a stream that its engine has ended: from a copy or, if
// the route allows it, after the last event on any target.
func (s *stream) continueStream(cause error) (*exchanger.Response, *placer.Reservation) {
	s.events.dropPartial()
	s.mu.Lock()
	m := s.move
	s.mu.Unlock()
	if m != nil {
		if response, reservation := s.resumeFromCopy(m); response != nil {
			return response, reservation
		}
	}
	if !s.job.route.Resumable {
		return nil, nil
	}
	return s.rerun(cause)
}

// resumeFromCopy waits for the last copy and resumes from it.
func (s *stream) resumeFromCopy(m *move) (*exchanger.Response, *placer.Reservation) {
	j := s.job
	select {
	case <-m.done:
	case <-time.After(lastCopyTimeout):
	case <-j.ctx.Done():
	}
	s.mu.Lock()
	source := s.target
	s.move = nil
	s.mu.Unlock()
	select {
	case <-m.done:
	default:
		j.log.Warn("last copy not finished in time", "id", j.request.ID, "source", source.ID)
		j.endReservation(m.reservation)
		return nil, nil
	}
	if m.copyID == "" {
		return nil, nil
	}
	if response := s.resumeCopyAt(m.target, m.copyID); response != nil {
		if m.target.ID == source.ID {
			return response, j.reserveAtSource(s, source)
		}
		return response, m.reservation
	}
	j.endReservation(m.reservation)
	if source.ID == m.target.ID {
		return nil, nil
	}
	// The source keeps the memory of a generation that it stopped.
	if response := s.resumeCopyAt(source, m.copyID); response != nil {
		return response, j.reserveAtSource(s, source)
	}
	return nil, nil
}

// reserveAtSource records the load of a generation that continues at the source of a move. Its
// first reservation ended with the response that the last copy stopped.
func (j *job) reserveAtSource(s *stream, source *registrar.Target) *placer.Reservation {
	demand := j.copyDemand(source, j.request.PromptTokens+s.forwardedEvents()*j.service.Engine.TokensPerEvent)
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.reserveCopy(source.ID, demand)
}

// resumeCopyAt asks a target to resume from a copy. It returns nil if the target
// does not.
func (s *stream) resumeCopyAt(t *registrar.Target, copyID string) *exchanger.Response {
	j := s.job
	request := j.targetRequest(t, s.events.lastID, copyID)
	request.NewConn = true
	request.Permit = func() error { return j.permitCopy(t) }
	if !j.awaitPermit(t, maxPermitWait) {
		j.log.Warn("copy not resumed", "id", j.request.ID, "target", t.ID, "error", errNoPermit)
		j.Metrics.CountMoveStep("notResumed")
		return nil
	}
	j.takeRetryBudget(1)
	response, err := j.send(t, request)
	if err != nil {
		j.log.Warn("copy not resumed", "id", j.request.ID, "target", t.ID, "error", err)
		j.Metrics.CountMoveStep("notResumed")
		return nil
	}
	if status := response.HTTPResponse().StatusCode; status != 200 {
		j.exposure.Left()
		j.log.Warn("copy not resumed", "id", j.request.ID, "target", t.ID, "status", status)
		j.Metrics.CountMoveStep("notResumed")
		response.Close()
		return nil
	}
	s.mu.Lock()
	s.target = t
	s.mu.Unlock()
	j.sent = copyAttempt(t, j.clock.Now())
	j.Metrics.CountMoveStep("resumed")
	j.log.Info("stream moved", "id", j.request.ID, "target", t.ID, "after", s.events.lastID)
	if !j.sources.View().AcceptsNewWork(t.Instance) && s.resumesOnLeaving < maxResumesOnLeaving {
		s.resumesOnLeaving++
		go j.moveGeneration(s, t)
	}
	return response
}

// permitCopy allows a generation to resume on the target that holds its copy,
// unless that target has been leaving for too long, is out of service, or has
// asked for a pause.
func (j *job) permitCopy(t *registrar.Target) error {
	switch {
	case !j.sources.View().AcceptsContinuation(t.Instance, j.clock.Now(), j.settings.Load().LeavingGrace):
		return errNotPermitted
	case j.Pauses.Remaining(t.Instance) > 0:
		return errPaused
	case !j.Limits.Allows(j.permitted, t.Instance):
		return errNoPermit
	default:
		return nil
	}
}

// rerun runs the request again on another target, to continue after the last event.
func (s *stream) rerun(cause error) (*exchanger.Response, *placer.Reservation) {
	j := s.job
	j.exclude(s.target)
	for j.mayRetry() {
		t, reservation, refusal := j.placePermitted()
		if refusal != nil {
			j.log.Info("stream not resumed", "id", j.request.ID, "why", refusal.Error())
			return nil, nil
		}
		if t == nil {
			return nil, nil
		}
		after := s.events.lastID
		if after == "" {
			after = j.request.ResumeAfter
		}
		response, err := j.send(t, j.targetRequest(t, after, ""))
		if err == nil && response.HTTPResponse().StatusCode == 200 {
			j.maybeExecuted++
			s.mu.Lock()
			s.target = t
			s.mu.Unlock()
			j.log.Info("stream resumed", "id", j.request.ID, "target", t.ID, "after", after, "cause", cause.Error())
			return response, reservation
		}
		if err == nil {
			err = errors.Errorf("status %d", response.HTTPResponse().StatusCode)
			j.exposure.Left()
			response.Close()
		}
		j.recordFailedRerun(err)
		j.log.Warn("stream not resumed", "id", j.request.ID, "target", t.ID, "after", after, "why", err.Error())
		j.endReservation(reservation)
		j.maybeExecuted++
		j.exclude(t)
	}
	return nil, nil
}

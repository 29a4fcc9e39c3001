package relayer

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"bluebelldoor"
	"bluebelldoor/process/registrar"
	"bluebelldoor/request/placer"
)

const (
	// maxDestinations is how many destinations are tried for a generation.
	maxDestinations = 4
	// firstEventPollInterval and firstEventTimeout apply to the wait for a
	// generation's first event, before which there is nothing to copy.
	firstEventPollInterval = 30 * time.Millisecond
	firstEventTimeout      = 3 * time.Second
	// forgetDelay is longer than any request may take.
	forgetDelay = 2 * time.Minute
	// copyRetryDelay is the delay before a copy is retried because its source
	// already makes another one.
	copyRetryDelay = 20 * time.Millisecond
)

// HandleLeaving moves the generations off a target that accepts no new requests,
// and drops the target's state once nothing can run there any more.
func (r *Relayer) HandleLeaving(t *registrar.Target) {
	r.forget(t)
	time.AfterFunc(forgetDelay, func() { r.forget(t) })
	go func() {
		for _, s := range r.streamsOn(t) {
			go s.job.moveGeneration(s, t)
		}
	}()
}

// forget drops the state of a target, including idle connections. Requests that
// still run there may recreate some of it.
func (r *Relayer) forget(t *registrar.Target) {
	r.Targets.CloseIdle(t.Instance)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.Forget(t.ID)
}

// StreamingTargets returns the engines on which streams of this VM run, without
// those that have asked for a pause or limit requests.
func (r *Relayer) StreamingTargets() []*bluebelldoor.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[string]bool{}
	var out []*bluebelldoor.Instance
	for s := range r.streams {
		s.mu.Lock()
		t := s.target
		s.mu.Unlock()
		_, limited := r.Limits.Limit(t.Instance)
		if s.job.service.Engine != nil && !seen[t.ID] && !limited && r.Pauses.Remaining(t.Instance) == 0 {
			seen[t.ID] = true
			out = append(out, t.Instance)
		}
	}
	return out
}

// streamsOn returns the streams that run on a target.
func (r *Relayer) streamsOn(t *registrar.Target) []*stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*stream
	for s := range r.streams {
		if s.runsOn(t) {
			out = append(out, s)
		}
	}
	return out
}

// runsOn reports whether the stream still runs on this incarnation of a target and
// is not being moved.
func (s *stream) runsOn(t *registrar.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.ended && !s.isMoving() && s.target.ID == t.ID && s.target.StartedAt == t.StartedAt
}

// isMoving reports whether a last copy is in progress or the stream has yet to continue from
// one. A stream whose last copy has failed may still run, and can be moved again. The caller
// must hold s.mu.
func (s *stream) isMoving() bool {
	if s.move == nil {
		return false
	}
	select {
	case <-s.move.done:
		return s.move.copyID != ""
	default:
		return true
	}
}

func (s *stream) forwardedEvents() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.forwarded
}

// moveGeneration moves a generation to another engine: it makes a first copy while
// the generation runs, and a last one after it has stopped.
func (j *job) moveGeneration(s *stream, t *registrar.Target) {
	if j.service.Engine == nil || !j.service.Engine.CanCopy || !s.awaitFirstEvent(t) {
		return
	}
	lifecycle := j.newLifecycle()
	tokens := j.request.PromptTokens + s.forwardedEvents()*j.service.Engine.TokensPerEvent
	releaseSource := j.Turns.Acquire(j.ctx, t.ID, j.request.ID, tokens)
	defer releaseSource()
	lifecycle.fire(turnGranted)
	tried := map[string]bool{t.ID: true}
	for range maxDestinations {
		if !s.runsOn(t) || j.ctx.Err() != nil {
			lifecycle.fire(streamEnded)
			return
		}
		destination, reservation, releaseDestination := j.acquireDestination(t, tried, tokens)
		if destination == nil {
			break
		}
		j.copyTo(s, t, &move{done: make(chan struct{}), target: destination, reservation: reservation}, lifecycle)
		releaseDestination()
		if lifecycle.ended() {
			return
		}
		tried[destination.ID] = true
	}
	lifecycle.fire(noDestination)
	j.log.Warn("no engine accepts the generation", "id", j.request.ID, "source", t.ID, "tokens", tokens, "tried", len(tried)-1)
}

// awaitFirstEvent reports whether the stream forwards an event on the target
// before the timeout.
func (s *stream) awaitFirstEvent(t *registrar.Target) bool {
	for waited := time.Duration(0); waited < firstEventTimeout; waited += firstEventPollInterval {
		if !s.runsOn(t) {
			return false
		}
		if s.forwardedEvents() > 0 {
			return true
		}
		time.Sleep(firstEventPollInterval)
	}
	return false
}

// acquireDestination reserves an engine that is the destination of no other copy,
// since the last copy of one generation would wait for the first copy of the
// other. If all engines are taken, it reserves the best of them.
func (j *job) acquireDestination(source *registrar.Target, tried map[string]bool, tokens int) (*registrar.Target, *placer.Reservation, func()) {
	excluded := maps.Clone(tried)
	for range maxDestinations {
		destination, reservation := j.reserveDestination(source, excluded, tokens)
		if destination == nil {
			break
		}
		if release, free := j.Turns.TryAcquire(j.ctx, destination.ID, j.request.ID); free {
			return destination, reservation, release
		}
		j.endReservation(reservation)
		excluded[destination.ID] = true
	}
	destination, reservation := j.reserveDestination(source, tried, tokens)
	return destination, reservation, func() {}
}

// reserveDestination reserves an engine for a copy, preferably in the data centre
// of the source, as copies between data centres take twice as long.
func (j *job) reserveDestination(source *registrar.Target, tried map[string]bool, tokens int) (*registrar.Target, *placer.Reservation) {
	now := j.clock.Now()
	targets, candidates := j.destinations(now)
	avoidLimited := j.hasUnlimited(targets, tried)
	n := 0
	for i, t := range targets {
		if _, limited := j.Limits.Limit(t.Instance); !tried[t.ID] && (!limited || !avoidLimited) {
			targets[n], candidates[n] = t, candidates[i]
			n++
		}
	}
	demand := j.copyDemand(source, tokens)
	// The time in which a generation can be moved off a leaving target is short.
	demand.SlowStart = placer.SlowStart{}
	j.mu.Lock()
	defer j.mu.Unlock()
	choice := j.ledger.Pick(candidates[:n], demand, now, rand.Float64)
	if choice.Index < 0 {
		demand.Limits = nil
		choice = j.ledger.Pick(candidates[:n], demand, now, rand.Float64)
	}
	if choice.Index < 0 {
		return nil, nil
	}
	j.logDestination(source, targets[choice.Index], choice, demand, n)
	return targets[choice.Index], j.reserveCopy(targets[choice.Index].ID, demand)
}

// copyDemand returns the requirements of a copy of the generation on its destination.
func (j *job) copyDemand(source *registrar.Target, tokens int) placer.Demand {
	demand := j.demand()
	demand.DataCentre, demand.IsCopy, demand.HeldTokens, demand.Limits = source.DataCentre, true, tokens, placer.CopyLimits
	return demand
}

// reserveCopy records the copy of a generation on a target. The caller must hold r.mu.
func (j *job) reserveCopy(target string, demand placer.Demand) *placer.Reservation {
	reservation := j.ledger.Start(target, 0, 0)
	reservation.UpdateMemory(max(demand.HeldTokens, demand.Tokens), demand.HeldTokens)
	if demand.Protected {
		reservation.Protect()
	}
	return reservation
}

// logDestination logs and counts the destination of a protected stream.
func (j *job) logDestination(source, destination *registrar.Target, choice placer.Choice, demand placer.Demand, candidates int) {
	if !demand.Protected {
		return
	}
	j.Metrics.CountProtected("move", choice.Safe)
	j.log.Info("destination chosen", "id", j.request.ID, "source", source.ID, "target", destination.ID, "of", candidates,
		"cost", round3(choice.Cost), "prefill", choice.Prefill, "gapMs", choice.ExpectedGap.Milliseconds(), "safe", choice.Safe)
}

// hasUnlimited reports whether a target that has not been tried has no limit.
func (j *job) hasUnlimited(targets []*registrar.Target, tried map[string]bool) bool {
	return slices.ContainsFunc(targets, func(t *registrar.Target) bool {
		_, limited := j.Limits.Limit(t.Instance)
		return !limited && !tried[t.ID]
	})
}

// copyTo copies a generation to a destination. It ends the reservation there
// unless the stream will continue there.
func (j *job) copyTo(s *stream, source *registrar.Target, m *move, lifecycle *moveLifecycle) {
	destination, reservation := m.target, m.reservation
	began := j.clock.Now()
	first, err := j.copyWithRetry(source, destination, false)
	if err != nil {
		j.endReservation(reservation)
		j.log.Warn("first copy failed", "id", j.request.ID, "source", source.ID, "target", destination.ID, "error", err)
		lifecycle.fire(firstCopyFailed)
		return
	}
	took := j.clock.Now() - began
	if !s.startMove(m, source) {
		j.endReservation(reservation)
		j.freeCopy(source, first.Handle)
		lifecycle.fire(streamEnded)
		return
	}
	lifecycle.fire(firstCopyDone)
	defer close(m.done)
	last, err := j.copyWithRetry(source, destination, true)
	var copyErr *bluebelldoor.CopyError
	switch {
	case err == nil:
		m.copyID = last.CopyID
		lifecycle.fire(lastCopyDone)
	case errors.As(err, &copyErr) && copyErr.StoppedCopyID != "":
		j.endReservation(reservation)
		m.copyID, m.target = copyErr.StoppedCopyID, source
		lifecycle.fire(keptAtSource)
	default:
		m.running = notStopped(err)
		j.endReservation(reservation)
		j.log.Warn("last copy failed", "id", j.request.ID, "source", source.ID, "target", destination.ID, "stopped", !m.running, "error", err)
		lifecycle.fire(lastCopyFailed)
	}
	j.log.Info("generation copied", "id", j.request.ID, "source", source.ID, "target", destination.ID,
		"firstMs", took.Milliseconds(), "bothMs", (j.clock.Now() - began).Milliseconds(), "events", last.Events, "copied", m.copyID)
}

// notStopped reports whether the error of a last copy shows that it has not stopped the
// generation: it was not asked for, or the generation had ended.
func notStopped(err error) bool {
	var copyErr *bluebelldoor.CopyError
	return errors.Is(err, errPaused) || errors.As(err, &copyErr) && copyErr.Status == http.StatusNotFound
}

// startMove sets the move from which the stream continues when its source ends
// it. It returns false if the stream no longer runs on the source.
func (s *stream) startMove(m *move, source *registrar.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.isMoving() || s.target.ID != source.ID {
		return false
	}
	s.move = m
	return true
}

// copyWithRetry makes a copy, and retries while the source is busy with another
// copy of the same generation.
func (j *job) copyWithRetry(source, destination *registrar.Target, stop bool) (bluebelldoor.CopyResult, error) {
	for {
		if j.Pauses.Remaining(source.Instance) > 0 {
			return bluebelldoor.CopyResult{}, &bluebelldoor.CopyError{Cause: errPaused}
		}
		result, err := j.Mover.Copy(j.ctx, source.Instance, destination.Instance, j.request.ID, stop)
		var copyErr *bluebelldoor.CopyError
		if err == nil || !errors.As(err, &copyErr) || copyErr.Status != 409 || j.ctx.Err() != nil {
			return result, err
		}
		time.Sleep(copyRetryDelay)
	}
}

// freeCopy frees a copy that is not used. It does not use the request's context,
// as the caller may have disconnected.
func (j *job) freeCopy(source *registrar.Target, handle string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := j.Mover.Free(ctx, source.Instance, handle); err != nil {
		j.log.Warn("could not free copy", "id", j.request.ID, "source", source.ID, "handle", handle, "error", err)
	}
}

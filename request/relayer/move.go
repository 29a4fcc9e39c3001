package relayer

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"bluebelldoor"
	"bluebelldoor/process/registrar"
	"bluebelldoor/request/placer"
)

const (
	// moveTries bounds the destinations that are tried for a generation.
	moveTries = 4
	// beginPoll and beginWait bound the wait for a generation's first event:
	// before it there is nothing to copy.
	beginPoll = 30 * time.Millisecond
	beginWait = 3 * time.Second
	// forgetAfter is above the longest time that a request may take.
	forgetAfter = 2 * time.Minute
	// busyPause is the pause after a source that is copying already.
	busyPause = 20 * time.Millisecond
)

// Leaving moves the generations off a target that takes no new work, and
// forgets it when nothing can run there any more.
func (r *Relayer) Leaving(t *registrar.Target) {
	r.forget(t)
	time.AfterFunc(forgetAfter, func() { r.forget(t) })
	go func() {
		for _, s := range r.on(t) {
			go s.job.moveOne(s, t)
		}
	}()
}

// forget drops what is kept of a target, idle connections among it. What still
// runs there may bring some of it back.
func (r *Relayer) forget(t *registrar.Target) {
	r.Targets.Forget(t.Instance)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.Forget(t.ID)
}

// Streaming returns the targets on which generations of this VM run and which may
// be asked.
func (r *Relayer) Streaming() []*bluebelldoor.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[string]bool{}
	var out []*bluebelldoor.Instance
	for s := range r.streams {
		s.mu.Lock()
		t := s.target
		s.mu.Unlock()
		if s.job.service.Engine != nil && !seen[t.ID] && r.Pauses.Left(t.Instance) == 0 {
			seen[t.ID] = true
			out = append(out, t.Instance)
		}
	}
	return out
}

// on returns the streams that run on a target.
func (r *Relayer) on(t *registrar.Target) []*stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*stream
	for s := range r.streams {
		if s.at(t) {
			out = append(out, s)
		}
	}
	return out
}

// at reports whether the stream still runs on a target.
func (s *stream) at(t *registrar.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.ended && s.move == nil && s.target.ID == t.ID && s.target.Born == t.Born
}

func (s *stream) progress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.made
}

// moveOne takes a generation to another engine: a first copy while it runs,
// then a last one after it has stopped.
func (j *job) moveOne(s *stream, t *registrar.Target) {
	if j.service.Engine == nil || !j.service.Engine.Moves || !s.awaitBegin(t) {
		return
	}
	life := j.newLife()
	tokens := j.request.PromptTokens + s.progress()*j.service.Engine.TokensPerEvent
	release := j.Turns.Acquire(j.ctx, t.ID, j.request.ID, tokens)
	defer release()
	life.step(turnCame)
	tried := map[string]bool{t.ID: true}
	for range moveTries {
		if !s.at(t) || j.ctx.Err() != nil {
			life.step(streamEnded)
			return
		}
		destination, reservation, giveBack := j.freeDestination(t, tried, tokens)
		if destination == nil {
			break
		}
		j.copyTo(s, t, destination, reservation, life)
		giveBack()
		if life.over() {
			return
		}
		tried[destination.ID] = true
	}
	life.step(noDestination)
	j.log.Warn("no engine can take a generation", "id", j.request.ID, "source", t.ID, "tokens", tokens, "tried", len(tried)-1)
}

func (s *stream) awaitBegin(t *registrar.Target) bool {
	for waited := time.Duration(0); waited < beginWait; waited += beginPoll {
		if !s.at(t) {
			return false
		}
		if s.progress() > 0 {
			return true
		}
		time.Sleep(beginPoll)
	}
	return false
}

// freeDestination chooses an engine for a copy that no other copy goes to: the
// last copy of one generation would wait for the first copy of the other. Where
// all are taken, the best of them is.
func (j *job) freeDestination(source *registrar.Target, tried map[string]bool, tokens int) (*registrar.Target, *placer.Reservation, func()) {
	passed := maps.Clone(tried)
	for range moveTries {
		destination, reservation := j.destination(source, passed, tokens)
		if destination == nil {
			break
		}
		if giveBack, free := j.Turns.TryAcquire(j.ctx, destination.ID, j.request.ID); free {
			return destination, reservation, giveBack
		}
		j.end(reservation)
		passed[destination.ID] = true
	}
	destination, reservation := j.destination(source, tried, tokens)
	return destination, reservation, func() {}
}

// destination chooses an engine for a copy, near the source: copies between
// data centres take twice as long.
func (j *job) destination(source *registrar.Target, tried map[string]bool, tokens int) (*registrar.Target, *placer.Reservation) {
	now := j.clock.Now()
	targets, candidates := j.candidates(now)
	kept := 0
	for i, t := range targets {
		if !tried[t.ID] {
			targets[kept], candidates[kept] = t, candidates[i]
			kept++
		}
	}
	demand := j.demand()
	demand.DataCentre, demand.Copied, demand.Held, demand.Limits = source.DataCentre, true, tokens, placer.CopyLimits
	j.mu.Lock()
	defer j.mu.Unlock()
	choice := j.ledger.Pick(candidates[:kept], demand, now, rand.Float64)
	if choice.Index < 0 {
		demand.Limits = nil
		choice = j.ledger.Pick(candidates[:kept], demand, now, rand.Float64)
	}
	if choice.Index < 0 {
		return nil, nil
	}
	reservation := j.ledger.Start(targets[choice.Index].ID, 0, 0)
	reservation.Need(max(tokens, demand.Tokens), tokens)
	return targets[choice.Index], reservation
}

// copyTo copies a generation to a destination. The reservation there ends with it
// unless the stream goes on there.
func (j *job) copyTo(s *stream, source, destination *registrar.Target, reservation *placer.Reservation, life *life) {
	began := j.clock.Now()
	first, err := j.copy(source, destination, false)
	if err != nil {
		j.end(reservation)
		j.log.Warn("first copy failed", "id", j.request.ID, "source", source.ID, "target", destination.ID, "error", err)
		life.step(firstFailed)
		return
	}
	took := j.clock.Now() - began
	m := &move{done: make(chan struct{}), target: destination, reservation: reservation}
	if !s.startMove(m, source) {
		j.end(reservation)
		j.free(source, first.Handle)
		life.step(streamEnded)
		return
	}
	life.step(firstCopied)
	defer close(m.done)
	last, err := j.copy(source, destination, true)
	var failed *bluebelldoor.CopyError
	switch {
	case err == nil:
		m.copied = last.Copy
		life.step(lastCopied)
	case errors.As(err, &failed) && failed.Stopped != "":
		j.end(reservation)
		m.copied, m.target, m.reservation = failed.Stopped, source, nil
		life.step(keptAtSource)
	default:
		j.end(reservation)
		j.log.Warn("last copy failed", "id", j.request.ID, "source", source.ID, "target", destination.ID, "error", err)
		life.step(lastFailed)
	}
	j.log.Info("generation copied", "id", j.request.ID, "source", source.ID, "target", destination.ID,
		"firstMs", took.Milliseconds(), "bothMs", (j.clock.Now() - began).Milliseconds(), "events", last.Events, "copied", m.copied)
}

// startMove makes the stream go on from a move when its source ends it, and
// reports whether the stream still runs there.
func (s *stream) startMove(m *move, source *registrar.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.move != nil || s.target.ID != source.ID {
		return false
	}
	s.move = m
	return true
}

// copy repeats a copy while the source is busy with another of the same run.
func (j *job) copy(source, destination *registrar.Target, stop bool) (bluebelldoor.CopyResult, error) {
	for {
		if j.Pauses.Left(source.Instance) > 0 {
			return bluebelldoor.CopyResult{}, &bluebelldoor.CopyError{Cause: errPaused}
		}
		result, err := j.Mover.Copy(j.ctx, source.Instance, destination.Instance, j.request.ID, stop)
		var failed *bluebelldoor.CopyError
		if err == nil || !errors.As(err, &failed) || failed.Status != 409 || j.ctx.Err() != nil {
			return result, err
		}
		time.Sleep(busyPause)
	}
}

// free drops a copy that is not used. It is not bound to the request, whose
// caller may have left.
func (j *job) free(source *registrar.Target, handle string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := j.Mover.Free(ctx, source.Instance, handle); err != nil {
		j.log.Warn("copy not freed", "id", j.request.ID, "source", source.ID, "handle", handle, "error", err)
	}
}

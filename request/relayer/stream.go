package relayer

import (
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bluebelldoor"
	"bluebelldoor/connection/exchanger"
	"bluebelldoor/process/registrar"
	"bluebelldoor/request/placer"
)

const (
	// copyWait bounds how long a stream waits for the word of its last copy
	// after its engine has ended it: as long as the copy may take, for a late
	// answer is worth more than a broken one.
	copyWait = 3 * time.Second
	// needEvery is how many events pass between two looks at the memory that a
	// stream will come to need.
	needEvery = 16
	// restPart is the part of what a generation has made that is expected to
	// come once it has outgrown its estimate: lengths have heavy tails.
	restPart = 0.3
	// maxOnLeaving is how often a stream is moved off a target again on which it went
	// on although that was leaving.
	maxOnLeaving = 2
	// streamBuffer holds some events.
	streamBuffer = 8 << 10
)

// stream is an answer of events on its way to the caller.
type stream struct {
	job    *job
	events events

	mu     sync.Mutex
	target *registrar.Target
	made   int // events passed on
	move   *move
	ended  bool

	// first, last and pause belong to the goroutine that passes events on:
	// when the first and the last event left, and the longest time between.
	first, last, pause time.Duration
	pauseAfter         string
	// between are the times between events since the last look at the target's
	// pace.
	between []time.Duration
	// onLeaving is how often the stream went on at a target that was leaving.
	onLeaving int
	// resumed tells that the next event is the first after a move.
	resumed bool
}

// move is a last copy under way: the engine ends the stream, which goes on
// from the copy.
type move struct {
	done        chan struct{}
	target      *registrar.Target
	copied      string
	reservation *placer.Reservation
}

func (j *job) end(reservation *placer.Reservation) {
	if reservation == nil {
		return
	}
	j.mu.Lock()
	reservation.End()
	j.mu.Unlock()
}

// read notes that a request's prompt has been read.
func (j *job) read(reservation *placer.Reservation) {
	if reservation == nil {
		return
	}
	j.mu.Lock()
	reservation.Read()
	j.mu.Unlock()
}

// grow notes that a generation has outgrown the length that was expected.
func (j *job) grow(s *stream, reservation *placer.Reservation) {
	if j.service.Engine == nil || !j.route.Generates {
		return
	}
	made := s.made * j.service.Engine.TokensPerEvent
	expected := max(j.expected(), int(float64(made)*(1+restPart)))
	j.mu.Lock()
	reservation.Need(j.request.PromptTokens+expected, j.request.PromptTokens+made)
	j.ledger.Pace(s.target.ID, s.between)
	j.mu.Unlock()
	s.between = s.between[:0]
}

// stream passes events on as they come, also from other engines.
func (j *job) stream(t *registrar.Target, answer *exchanger.Answer, reservation *placer.Reservation) {
	s := &stream{job: j, target: t}
	j.mu.Lock()
	j.streams[s] = struct{}{}
	j.mu.Unlock()
	defer j.drop(s)
	if err := j.call.Begin(answer.Response().StatusCode, j.Codec.AnswerHeader(answer.Response()), !answer.Unframed()); err != nil {
		j.note("caller left", bluebelldoor.CallerGone, err.Error(), "target", t.ID)
		return
	}
	if !j.sources.View().Open(t.Instance) {
		// The target's notice came while the request was on its way.
		go j.moveOne(s, t)
	}
	moves := 0
	defer func() {
		if answer != nil {
			answer.Close()
		}
		j.end(reservation)
	}()
	for {
		err := s.pump(answer, reservation)
		if err == nil {
			j.note("answered", bluebelldoor.OK, "", append(s.times(), "moves", moves)...)
			return
		}
		answer.Close()
		j.end(reservation)
		if j.ctx.Err() != nil {
			s.abort(err)
			return
		}
		s.resumed, s.between = true, nil
		answer, reservation = s.goOn(err)
		if answer == nil {
			s.abort(err)
			return
		}
		moves++
	}
}

func (j *job) drop(s *stream) {
	s.mu.Lock()
	s.ended = true
	m := s.move
	s.mu.Unlock()
	if m != nil {
		// A move that the stream did not wait for.
		j.end(m.reservation)
	}
	j.mu.Lock()
	delete(j.streams, s)
	j.mu.Unlock()
}

// abort ends a stream that can't go on, so that it looks broken.
func (s *stream) abort(err error) {
	j := s.job
	code, detail := bluebelldoor.TargetLost, err.Error()
	switch {
	case j.expired():
		code = bluebelldoor.TargetTimeout
	case j.ctx.Err() != nil:
		code = bluebelldoor.CallerGone
	}
	j.note("broken off", code, detail, s.times()...)
	j.call.Abort()
}

// pump passes whole events on until the answer ends. It returns nil if the
// answer was whole.
func (s *stream) pump(answer *exchanger.Answer, reservation *placer.Reservation) error {
	buffer := make([]byte, streamBuffer)
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			if failed := s.pass(buffer[:n], reservation); failed != nil {
				return failed
			}
		}
		if errors.Is(err, io.EOF) {
			if rest := s.events.partial; len(rest) > 0 {
				if failed := s.job.call.Write(rest); failed != nil {
					return failed
				}
			}
			return s.job.call.Finish()
		}
		if err != nil {
			return err
		}
	}
}

// clocked notes the time of an event.
func (s *stream) clocked() {
	now := s.job.clock.Now()
	if s.first == 0 {
		s.first = now
	} else if now-s.last > s.pause {
		s.pause, s.pauseAfter = now-s.last, s.events.lastID
	}
	if s.last > 0 && !s.resumed {
		s.between = append(s.between, (now-s.last)/time.Duration(max(1, s.events.count-s.made)))
	}
	late := s.last > 0 && s.job.route.MaxPause > 0 && now-s.last > s.job.route.MaxPause
	s.last = now
	if late && !s.resumed {
		s.job.stalled(s.target, now)
	}
	s.resumed = false
}

// stalled notes that an event of a target came later than the route allows.
func (j *job) stalled(t *registrar.Target, now time.Duration) {
	j.mu.Lock()
	j.ledger.Stall(t.ID, t.DataCentre, now)
	j.mu.Unlock()
}

// times returns the fields of a log line on the stream's pace.
func (s *stream) times() []any {
	first := time.Duration(0)
	if s.first > 0 {
		first = s.first - s.job.arrived
	}
	return []any{
		"target", s.target.ID, "events", s.made, "lastEvent", s.events.lastID,
		"firstMs", first.Milliseconds(), "longestPauseMs", s.pause.Milliseconds(), "pauseBefore", s.pauseAfter,
	}
}

func (s *stream) pass(part []byte, reservation *placer.Reservation) error {
	whole := s.events.add(part)
	if len(whole) == 0 {
		return nil
	}
	if err := s.job.call.Write(whole); err != nil {
		return err
	}
	s.clocked()
	first, look := s.made == 0, s.made/needEvery != s.events.count/needEvery
	s.job.traffic.passed(s.events.count-s.made, len(whole))
	s.mu.Lock()
	s.made = s.events.count
	s.mu.Unlock()
	s.events.taken(len(whole))
	if reservation != nil && look {
		s.job.grow(s, reservation)
	}
	if first {
		s.job.read(reservation)
		s.job.Metrics.FirstByte(s.job.priority, s.job.clock.Now()-s.job.arrived)
	}
	return nil
}

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

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
	// needEvery is how many events pass between two looks at the memory that a
	// stream will come to need.
	needEvery = 16
	// restPart is the part of what a generation has made that is expected to
	// come once it has outgrown its estimate: lengths have heavy tails.
	restPart = 0.3
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
		var why string
		code, why = j.whyEnded()
		detail = why + ": " + detail
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
	if s.last > 0 && !s.resumed && len(s.between) < needEvery {
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

package relayer

import (
	"io"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bluebelldoor"
	"bluebelldoor/connection/exchanger"
	"bluebelldoor/process/accountant"
	"bluebelldoor/process/registrar"
	"bluebelldoor/request/placer"
)

const (
	// reservationUpdateEvents is how many events are forwarded between two
	// updates of the memory that a stream is expected to need.
	reservationUpdateEvents = 16
	// firstSampleIntervals is the size of the first sample of a stream on a target in a service
	// with protected streams. Engines stay for seconds only, so their interval is needed soon.
	firstSampleIntervals = 4
	// expectedRestRatio is the expected rest of a generation that has outgrown
	// its estimate, relative to what it has produced: the distribution of lengths
	// is heavy-tailed.
	expectedRestRatio = 0.3
	// streamBufferBytes is enough for several events.
	streamBufferBytes = 8 << 10
	// maxEventBytes bounds an event, which is held in memory until it is complete. Events
	// hold a few tokens.
	maxEventBytes = 1 << 20
)

// stream is an event stream that is being forwarded to the caller.
type stream struct {
	job    *job
	events eventSplitter
	// memory is that of the incomplete event.
	memory *accountant.Allocation

	mu        sync.Mutex
	target    *registrar.Target
	forwarded int // events sent to the caller
	move      *move
	ended     bool

	// The fields below belong to the goroutine that forwards events.

	// firstEvent and lastEvent are when the first and the latest events were
	// forwarded, longestPause is the longest time between two events, and
	// pauseBefore the ID of the event after it.
	firstEvent, lastEvent, longestPause time.Duration
	pauseBefore                         string
	// intervals are the times between events since the target's event interval
	// was last updated.
	intervals []time.Duration
	// mixes is set in a service with protected streams, sampled once the stream has recorded
	// intervals of its target there.
	mixes, sampled bool
	// resumesOnLeaving is how many times the stream resumed on a leaving target.
	resumesOnLeaving int
	// resumed reports whether the next event is the first after a move.
	resumed bool
	// shared is how many tokens were recorded as used by the account.
	shared int
}

// move is a last copy in progress. The engine ends the stream, which then
// continues from the copy.
type move struct {
	done        chan struct{}
	target      *registrar.Target
	copyID      string
	reservation *placer.Reservation
	// running is set if the last copy certainly did not stop the generation.
	running bool
}

func (j *job) endReservation(reservation *placer.Reservation) {
	if reservation == nil {
		return
	}
	j.mu.Lock()
	reservation.End()
	j.mu.Unlock()
}

// recordPromptRead records that the target has processed the prompt.
func (j *job) recordPromptRead(reservation *placer.Reservation) {
	if reservation == nil {
		return
	}
	j.mu.Lock()
	reservation.PromptRead()
	j.mu.Unlock()
}

// updateReservation updates the memory that a generation needs and is expected to
// need, and the event interval of its target.
func (j *job) updateReservation(s *stream, reservation *placer.Reservation) {
	if j.service.Engine == nil || !j.route.Generates {
		return
	}
	generated := s.forwarded * j.service.Engine.TokensPerEvent
	expected := max(j.expectedTokens(), int(float64(generated)*(1+expectedRestRatio)))
	j.mu.Lock()
	reservation.UpdateMemory(j.request.PromptTokens+expected, j.request.PromptTokens+generated)
	s.recordIntervals(s.intervals)
	j.recordMade(s)
	j.mu.Unlock()
	s.intervals = s.intervals[:0]
}

// recordIntervals records a sample of the target's event intervals. The caller must hold r.mu.
func (s *stream) recordIntervals(sample []time.Duration) {
	s.job.ledger.RecordIntervals(s.target.ID, sample)
	if s.mixes {
		s.job.ledger.RecordStreamIntervals(s.job.serviceName, s.target.ID, sample)
	}
	s.sampled = true
}

// isSampleDue reports whether the events that have just arrived complete a sample.
func (s *stream) isSampleDue() bool {
	return s.forwarded/reservationUpdateEvents != s.events.count/reservationUpdateEvents ||
		s.mixes && !s.sampled && len(s.intervals) >= firstSampleIntervals
}

// recordShortStream records the intervals of a stream that ended before its first sample,
// without the last one: the last event may hold fewer tokens.
func (s *stream) recordShortStream() {
	if !s.mixes || s.sampled || len(s.intervals) < 2 {
		return
	}
	s.job.mu.Lock()
	s.recordIntervals(s.intervals[:len(s.intervals)-1])
	s.job.mu.Unlock()
}

// forwardStream forwards events as they arrive, and continues on other engines.
func (j *job) forwardStream(t *registrar.Target, response *exchanger.Response, reservation *placer.Reservation) {
	s := &stream{job: j, target: t, memory: j.Memory.Begin(), mixes: j.route.Generates && j.terms().ProtectsStreams()}
	defer s.memory.End()
	j.mu.Lock()
	j.streams[s] = struct{}{}
	j.mu.Unlock()
	defer j.removeStream(s)
	if err := j.call.Begin(response.HTTPResponse().StatusCode, j.Codec.ResponseHeader(response.HTTPResponse()), !response.CloseDelimited()); err != nil {
		j.logOutcome("caller left", bluebelldoor.CallerGone, err.Error(), "target", t.ID)
		return
	}
	if !j.sources.View().AcceptsNewWork(t.Instance) {
		// The target stopped accepting requests while this one was in transit.
		go j.moveGeneration(s, t)
	}
	moves := 0
	defer func() {
		if response != nil {
			response.Close()
		}
		j.endReservation(reservation)
	}()
	for {
		err := s.forwardResponse(response, reservation)
		if err == nil {
			s.recordShortStream()
			j.logOutcome("answered", bluebelldoor.OK, "", append(s.timingFields(), "moves", moves)...)
			return
		}
		response.Close()
		j.exposure.Left()
		j.endReservation(reservation)
		if j.ctx.Err() != nil {
			s.abort(err)
			return
		}
		s.resumed, s.sampled, s.intervals = true, false, nil
		response, reservation = s.continueStream(err)
		if response == nil {
			s.abort(err)
			return
		}
		moves++
	}
}

func (j *job) removeStream(s *stream) {
	s.mu.Lock()
	s.ended = true
	m := s.move
	s.mu.Unlock()
	if m != nil {
		// The stream ended without waiting for the move.
		j.endReservation(m.reservation)
	}
	j.mu.Lock()
	j.recordMade(s)
	delete(j.streams, s)
	j.mu.Unlock()
}

// abort ends a stream that cannot continue, in such a way that the caller sees it
// as incomplete.
func (s *stream) abort(err error) {
	j := s.job
	code, detail := bluebelldoor.TargetLost, err.Error()
	switch {
	case j.expired():
		code = bluebelldoor.TargetTimeout
	case j.ctx.Err() != nil:
		var why string
		code, why = j.endCause()
		detail = why + ": " + detail
	}
	j.logOutcome("broken off", code, detail, s.timingFields()...)
	j.call.Abort()
}

// forwardResponse forwards complete events until the response ends. It returns nil
// if the response was complete.
func (s *stream) forwardResponse(response *exchanger.Response, reservation *placer.Reservation) error {
	buffer := make([]byte, streamBufferBytes)
	eventsBefore := s.forwarded
	for {
		n, err := response.Read(buffer)
		if n > 0 {
			if writeErr := s.forwardChunk(buffer[:n], reservation); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) && response.CloseDelimited() {
			err = s.checkClose(eventsBefore)
		}
		if errors.Is(err, io.EOF) {
			s.job.recordAnswered(true)
			if rest := s.events.partial; len(rest) > 0 {
				if writeErr := s.job.call.Write(rest); writeErr != nil {
					return writeErr
				}
			}
			return s.job.call.Finish()
		}
		if err != nil {
			if s.hasMove() {
				s.job.exposure.Left()
			} else {
				s.job.recordBroken(s.target, brokenPoint(s.forwarded-eventsBefore), s.forwarded, false, err)
			}
			s.recordBreak()
			return err
		}
	}
}

// checkClose returns io.EOF if the close of a response without framing ends the stream, or
// why it does not. Only the events and what the VM itself has asked for show that such a
// response was cut.
func (s *stream) checkClose(eventsBefore int) error {
	switch {
	case len(s.events.partial) > 0 || s.forwarded == eventsBefore:
		return errTruncated
	case s.stoppedForCopy():
		return errStopped
	}
	return io.EOF
}

// hasMove reports whether a last copy has been asked for.
func (s *stream) hasMove() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.move != nil
}

// stoppedForCopy reports whether a last copy may have stopped the generation. It waits for the
// answer to the last copy.
func (s *stream) stoppedForCopy() bool {
	s.mu.Lock()
	m := s.move
	s.mu.Unlock()
	if m == nil {
		return false
	}
	select {
	case <-m.done:
		return !m.running
	case <-time.After(lastCopyTimeout):
	case <-s.job.ctx.Done():
	}
	return true
}

// recordTiming records when events were forwarded.
func (s *stream) recordTiming() {
	now := s.job.clock.Now()
	if s.firstEvent == 0 {
		s.firstEvent = now
	} else if now-s.lastEvent > s.longestPause {
		s.longestPause, s.pauseBefore = now-s.lastEvent, s.events.lastID
	}
	if s.lastEvent > 0 && !s.resumed && len(s.intervals) < reservationUpdateEvents {
		s.intervals = append(s.intervals, (now-s.lastEvent)/time.Duration(max(1, s.events.count-s.forwarded)))
	}
	late := s.lastEvent > 0 && s.job.route.MaxEventGap > 0 && now-s.lastEvent > s.job.route.MaxEventGap
	s.lastEvent = now
	if late && !s.resumed {
		s.job.recordStall(s.target, now)
	}
	s.resumed = false
}

// recordStall records that an event came later than the route allows.
func (j *job) recordStall(t *registrar.Target, now time.Duration) {
	j.mu.Lock()
	j.ledger.RecordStall(t.ID, t.DataCentre, now)
	j.mu.Unlock()
}

// timingFields returns the log fields on the stream's progress and timing.
func (s *stream) timingFields() []any {
	first := time.Duration(0)
	if s.firstEvent > 0 {
		first = s.firstEvent - s.job.arrived
	}
	fields := []any{
		"target", s.target.ID, "events", s.forwarded, "lastEvent", s.events.lastID,
		"firstMs", first.Milliseconds(), "longestPauseMs", s.longestPause.Milliseconds(), "pauseBefore", s.pauseBefore,
	}
	if s.forwarded == 0 {
		fields = append(fields, "parts", strings.Join(s.job.request.SharedParts, ","))
	}
	return fields
}

// forwardChunk forwards the events that a part of the response completes.
func (s *stream) forwardChunk(part []byte, reservation *placer.Reservation) error {
	if !s.memory.Resize(s.events.sizeWith(part)) {
		return errNoMemory
	}
	complete := s.events.feed(part)
	if len(s.events.partial)-len(complete) > maxEventBytes {
		return errEventTooLong
	}
	if len(complete) == 0 {
		return nil
	}
	if err := s.job.call.Write(complete); err != nil {
		return err
	}
	resumed := s.resumed
	s.recordTiming()
	first, due := s.forwarded == 0, s.isSampleDue()
	s.job.traffic.add(s.events.count-s.forwarded, len(complete))
	s.mu.Lock()
	s.forwarded = s.events.count
	s.mu.Unlock()
	s.events.consume(len(complete))
	s.memory.Resize(s.events.sizeWith(nil))
	if reservation != nil && due {
		s.job.updateReservation(s, reservation)
	}
	if first || resumed {
		s.job.recordAnswer()
	}
	if first {
		s.job.recordPromptRead(reservation)
		s.job.Metrics.ObserveFirstEvent(s.job.priority, s.job.clock.Now()-s.job.arrived)
	}
	return nil
}

package streamer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"bluebelldoor"
)

// run is one generation on one target.
type run struct {
	streamer    *Streamer
	job         Job
	admissionID string
	target      *bluebelldoor.Target
	id          string
	sink        bluebelldoor.Sink
	sequence    int
	resumed     bool
	// lastToken is when the last token arrived, or when the job arrived or was
	// resumed.
	lastToken time.Time
	stalled   time.Duration
	// timedOut reports whether the watchdog ended the last read.
	timedOut bool
	watchdog *time.Timer
}

// start sends the generation and reads it to its end. The result is as for
// Streamer.attempt.
func (r *run) start(ctx context.Context) (bluebelldoor.GenerateResult, bool) {
	end, err := r.watch(ctx, func(ctx context.Context) (bluebelldoor.GenerationEnd, error) {
		return r.streamer.engines.Generate(ctx, r.target, bluebelldoor.Generation{
			ID:        r.id,
			Model:     r.job.Request.Model,
			Prompt:    r.job.Request.Prompt,
			MaxTokens: r.job.Request.MaxTokens,
			Priority:  r.job.Class.Priority(),
			Within:    time.Until(r.job.Deadline),
			Permit:    r.permit,
		}, r.token)
	})
	if err == nil {
		return r.complete(end), false
	}
	var refusal *bluebelldoor.Refusal
	if errors.As(err, &refusal) {
		return r.rejected(refusal)
	}
	var sendErr *bluebelldoor.SendError
	if errors.As(err, &sendErr) && sendErr.Executed == bluebelldoor.ExecutedNo {
		r.record("not sent: %v", err)
		r.streamer.gate.Failed(r.admissionID)
		return r.failed(bluebelldoor.TargetRefused, bluebelldoor.ExecutedNo, err), true
	}
	return r.resume(ctx, err)
}

// permit is the last check before the request is sent.
func (r *run) permit() error {
	now := time.Now()
	if refusal := r.streamer.state().CheckSend(r.target.Name(), now); refusal != nil {
		return refusal
	}
	if !now.Before(r.job.Deadline) {
		return bluebelldoor.NewRefusal(bluebelldoor.DeadlinePassed, "the deadline passed before the request was sent")
	}
	return nil
}

// rejected ends an attempt that permit refused. Another target may be tried if
// this one was closed in the meantime.
func (r *run) rejected(refusal *bluebelldoor.Refusal) (bluebelldoor.GenerateResult, bool) {
	r.record("not permitted: %v", refusal)
	r.streamer.gate.Abandon(r.admissionID)
	return bluebelldoor.GenerateResult{Refusal: refusal}, refusal.Code() == bluebelldoor.NoTarget
}

// watch runs a read under a watchdog that cancels it if no token comes for the
// document's stall time, or if this VM moves its streams to other VMs.
func (r *run) watch(ctx context.Context, read func(context.Context) (bluebelldoor.GenerationEnd, error)) (bluebelldoor.GenerationEnd, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(r.streamer.moveOn, cancel)
	defer stop()
	r.watchdog = time.AfterFunc(r.stallAfter(), cancel)
	end, err := read(ctx)
	r.timedOut = !r.watchdog.Stop()
	return end, err
}

func (r *run) stallAfter() time.Duration {
	return r.streamer.state().View().Document().Limits().StallAfter
}

// token receives one token from the target and passes it to the caller.
func (r *run) token(t bluebelldoor.Token) error {
	r.watchdog.Reset(r.stallAfter())
	now := time.Now()
	gap := now.Sub(r.lastToken)
	r.lastToken = now
	class := r.job.Class.Name()
	first := r.sequence == 0
	r.sequence = t.Sequence
	switch {
	case first:
		r.streamer.metrics.ObserveFirstToken(class, gap)
	default:
		r.streamer.metrics.ObserveInterTokenLatency(class, gap)
		r.stalled += max(gap-stallThreshold, 0)
	}
	r.streamer.gate.Produced(r.admissionID, t.Sequence, gap)
	if r.sink.Token(r.id, t) != nil {
		return errCallerGone
	}
	return nil
}

// complete ends a generation that was read to its end.
func (r *run) complete(end bluebelldoor.GenerationEnd) bluebelldoor.GenerateResult {
	r.streamer.metrics.Preempted(end.Preemptions)
	r.streamer.metrics.ObserveStallTime(r.job.Class.Name(), r.stalled)
	r.record("completed: %d tokens, %s, preempted %d times", end.Tokens, end.Reason, end.Preemptions)
	r.streamer.gate.Done(r.admissionID)
	result := bluebelldoor.GenerateResult{Generation: r.id, Tokens: end.Tokens, Reason: end.Reason}
	if end.Reason == "cancelled" {
		result.Refusal = bluebelldoor.NewRefusal(bluebelldoor.AnswerTruncated, "the generation was cancelled").
			WithExecuted(bluebelldoor.ExecutedYes)
	}
	return result
}

// resume continues to read the generation after an interruption until it is
// complete, the target no longer knows it or stays unreachable, or the run ends
// for a reason other than its target.
func (r *run) resume(ctx context.Context, cause error) (bluebelldoor.GenerateResult, bool) {
	var unreachableSince time.Time
	for {
		if result, ended := r.endedLocally(ctx, cause); ended {
			return result, false
		}
		var sendErr *bluebelldoor.SendError
		if errors.As(cause, &sendErr) && (sendErr.UnknownGeneration || sendErr.WrongRequestID) || r.unreachableTooLong(unreachableSince) {
			return r.lost(cause)
		}
		r.record("resuming after token %d: %v", r.sequence, cause)
		r.streamer.metrics.Resumed()
		before := r.sequence
		end, err := r.watch(ctx, func(ctx context.Context) (bluebelldoor.GenerationEnd, error) {
			return r.streamer.engines.Resume(ctx, r.target, r.id, r.sequence, r.token)
		})
		if err == nil {
			return r.complete(end), false
		}
		cause = err
		if !r.unreachable(before) {
			unreachableSince = time.Time{}
			continue
		}
		if unreachableSince.IsZero() {
			unreachableSince = time.Now()
		}
		sleep(ctx, resumeInterval)
	}
}

// unreachable reports whether an attempt to resume brought no token because the
// target is unreachable. A target that sends no token but still reports its load
// is slow, not lost: it may be processing a long prompt, or have preempted the
// generation.
func (r *run) unreachable(before int) bool {
	slow := r.timedOut && r.streamer.hasRecentReport(r.target.Name())
	return r.sequence == before && !slow
}

// unreachableTooLong reports whether the target has been unreachable for longer
// than allowed. A zero time means that it is reachable.
func (r *run) unreachableTooLong(since time.Time) bool {
	return !since.IsZero() && time.Since(since) > unreachableStalls*r.stallAfter()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// endedLocally reports whether the run ends for reasons other than its target:
// the caller disconnected, this VM moves its streams to other VMs, or the
// deadline has passed.
func (r *run) endedLocally(ctx context.Context, cause error) (bluebelldoor.GenerateResult, bool) {
	switch {
	case r.streamer.moveOn.Err() != nil:
		r.record("stream moved to other VMs after token %d", r.sequence)
		r.streamer.gate.Abandon(r.admissionID)
		return bluebelldoor.GenerateResult{
			Generation: r.id,
			Tokens:     r.sequence,
			Refusal:    bluebelldoor.NewRefusal(bluebelldoor.MovedOn, errMoveOn.Error()).WithExecuted(bluebelldoor.ExecutedYes),
		}, true
	case errors.Is(cause, errCallerGone), errors.Is(ctx.Err(), context.Canceled):
		r.record("caller disconnected after token %d", r.sequence)
		r.streamer.gate.Abandon(r.admissionID)
		r.cancelLater(resumeWindow)
		return r.failed(bluebelldoor.AnswerTruncated, bluebelldoor.ExecutedYes, errCallerGone), true
	case ctx.Err() != nil:
		r.record("deadline passed after token %d", r.sequence)
		r.streamer.gate.Abandon(r.admissionID)
		r.cancelLater(disconnectTime)
		return r.failed(bluebelldoor.DeadlinePassed, r.executed(), errors.New("the deadline passed")), true
	}
	return bluebelldoor.GenerateResult{}, false
}

func (r *run) executed() bluebelldoor.Executed {
	if r.sequence > 0 {
		return bluebelldoor.ExecutedYes
	}
	return bluebelldoor.ExecutedUnknown
}

// lost ends a generation whose target is lost. Another target may be tried while
// the caller has received no token; later the caller gets an error instead, since
// tokens of two generations must not be mixed in one response.
func (r *run) lost(cause error) (bluebelldoor.GenerateResult, bool) {
	r.record("target lost after token %d: %v", r.sequence, cause)
	r.streamer.gate.Failed(r.admissionID)
	r.cancelLater(disconnectTime)
	code := bluebelldoor.TargetLost
	var sendErr *bluebelldoor.SendError
	if errors.As(cause, &sendErr) && sendErr.WrongRequestID {
		code = bluebelldoor.AnswerCrossed
	}
	retry := !r.resumed && (r.sequence == 0 || !r.job.Request.Streamed)
	return r.failed(code, r.executed(), cause), retry
}

func (r *run) failed(code bluebelldoor.Code, e bluebelldoor.Executed, cause error) bluebelldoor.GenerateResult {
	result := bluebelldoor.GenerateResult{
		Tokens:  r.sequence,
		Refusal: bluebelldoor.NewRefusal(code, cause.Error()).WithExecuted(e).WithRetryAfter(lostRetryAfter),
	}
	if r.sequence > 0 {
		result.Generation = r.id
	}
	return result
}

// cancelLater cancels the generation after a delay to free the engine's memory.
// Engines ignore it if the generation has a reader by then.
func (r *run) cancelLater(after time.Duration) {
	time.AfterFunc(after, func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := r.streamer.engines.Cancel(ctx, r.target, r.id); err != nil {
			r.streamer.log.Debug("cannot cancel generation", "request", r.job.Request.ID, "error", err)
		}
	})
}

func (r *run) record(format string, args ...any) {
	r.streamer.journal.Record(r.job.Request.ID, format, args...)
}

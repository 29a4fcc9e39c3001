package relayer

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"bluebelldoor"
	"bluebelldoor/connection/exchanger"
	"bluebelldoor/process/registrar"
	"bluebelldoor/request/placer"
)

const (
	// comeBack is when a caller that was refused for want of something short
	// may come back; callers cut it to a third of the time they have left.
	comeBack = 300 * time.Millisecond
	// maxUnrun bounds the targets that may refuse a request unrun before the
	// caller is refused.
	maxUnrun = 3
	// maxUnsent bounds the targets of which none took a byte: a data centre of
	// them may be dark.
	maxUnsent = 10
	// retryShare is the part of the budget that retries may use; the rest is
	// kept for generations that move.
	retryShare = 0.6
	// maxBuffered is the size up to which an answer is read whole before the
	// caller gets it, so that one that breaks off can still be replaced.
	maxBuffered = 256 << 10
)

var (
	errClosed    = errors.New("the target takes no new work, or the request is no longer allowed")
	errPaused    = errors.New("the target wants nothing from this VM for now")
	errTooLarge  = errors.New("the answer is too large to be kept")
	errTruncated = errors.New("the answer broke off")
)

// try sends the request to a target, and reports whether the caller has its
// final answer.
func (j *job) try(t *registrar.Target, reservation *placer.Reservation) bool {
	defer j.end(reservation)
	if j.route.Generates {
		j.sources.Placed()
	}
	answer, err := j.Targets.Send(j.ctx, t.Instance, j.outgoing(t, j.request.ResumeAfter, ""))
	if err != nil {
		return j.sendFailed(t, err)
	}
	defer answer.Close()
	if answer.Head().NotExecuted {
		return j.notRun(t, answer)
	}
	j.runs++
	status := answer.Response().StatusCode
	if status >= http.StatusInternalServerError && j.mayRepeat() {
		j.outcome(t, true)
		j.again(t, "target failed", "status", status)
		return false
	}
	j.outcome(t, status >= http.StatusInternalServerError)
	if j.route.Streamed && status == http.StatusOK {
		j.stream(t, answer, reservation)
		return true
	}
	return j.whole(t, answer)
}

// again logs that the request will go to a further target.
func (j *job) again(t *registrar.Target, why string, more ...any) {
	j.excluded[t.ID] = true
	args := append([]any{"id", j.request.ID, "target", t.ID, "why", why, "runs", j.runs, "unrun", j.unrun}, more...)
	j.log.Info("sending again", args...)
}

// sendFailed handles a send without an answer.
func (j *job) sendFailed(t *registrar.Target, err error) bool {
	if j.ctx.Err() != nil {
		var failed *bluebelldoor.SendError
		if errors.As(err, &failed) && failed.Executed != bluebelldoor.ExecutedNo {
			j.runs++
		}
		return false
	}
	var failed *bluebelldoor.SendError
	if !errors.As(err, &failed) {
		return j.unsent(t, err)
	}
	j.outcome(t, true)
	if failed.Executed == bluebelldoor.ExecutedNo {
		j.mu.Lock()
		j.ledger.Unreachable(t.ID, j.clock.Now())
		j.mu.Unlock()
		return j.unsent(t, err)
	}
	j.runs++
	if j.mayRepeat() {
		j.again(t, err.Error())
		return false
	}
	j.refuse(bluebelldoor.Refuse(bluebelldoor.OutcomeUnknown, "target "+t.ID+": "+err.Error()).WithExecuted(bluebelldoor.ExecutedUnknown))
	return true
}

// unsent handles a send of which no byte left.
func (j *job) unsent(t *registrar.Target, err error) bool {
	j.unsends++
	if j.unsends >= maxUnsent {
		j.refuse(bluebelldoor.Refuse(bluebelldoor.NoTarget, "target "+t.ID+": "+err.Error()).WithRetryAfter(comeBack))
		return true
	}
	if refusal := j.admitted(); refusal != nil {
		j.refuse(refusal)
		return true
	}
	j.again(t, err.Error())
	return false
}

// admitted repeats the checks of a request that has not been sent, for they
// may be why it was not.
func (j *job) admitted() *bluebelldoor.Refusal {
	view := j.sources.View()
	if j.stillAllowed(view) == nil {
		return nil
	}
	name, deadline := j.name, j.deadline
	refusal := j.admit()
	if refusal == nil && j.name != name {
		j.excluded = map[string]bool{}
	}
	j.deadline = deadline
	return refusal
}

// notRun handles a target's word that it did not and will not run the request.
func (j *job) notRun(t *registrar.Target, answer *exchanger.Answer) bool {
	j.unrun++
	status := answer.Response().StatusCode
	if _, err := io.CopyN(io.Discard, answer, maxBuffered); err != nil && !errors.Is(err, io.EOF) {
		j.log.Debug("refusal not read to its end", "id", j.request.ID, "target", t.ID, "error", err)
	}
	if status == http.StatusBadRequest {
		j.refuse(bluebelldoor.Refuse(bluebelldoor.BadRequest, "the target can't read the request"))
		return true
	}
	if j.unrun < maxUnrun && j.ctx.Err() == nil && j.budget(retryShare) {
		j.again(t, "target refused", "status", status)
		return false
	}
	if j.pauseLeft() > 0 {
		j.refuse(j.noTarget())
		return true
	}
	j.refuse(bluebelldoor.Refuse(bluebelldoor.TargetRefused, "target "+t.ID+" refused the request").WithRetryAfter(comeBack))
	return true
}

// whole passes an answer on that is not a stream of events.
func (j *job) whole(t *registrar.Target, answer *exchanger.Answer) bool {
	body, err := readWhole(answer)
	switch {
	case err == nil:
		j.passOn(t, answer.Response(), body)
		return true
	case errors.Is(err, errTooLarge):
		j.pump(t, answer, body)
		return true
	case j.ctx.Err() != nil:
		return false
	}
	j.outcome(t, true)
	if j.mayRepeat() {
		j.again(t, err.Error())
		return false
	}
	j.refuse(bluebelldoor.Refuse(bluebelldoor.AnswerTruncated, "target "+t.ID+": "+err.Error()).WithExecuted(bluebelldoor.ExecutedYes))
	return true
}

func readWhole(answer *exchanger.Answer) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(answer, maxBuffered))
	if err != nil {
		return nil, errors.Wrap(errTruncated, err.Error())
	}
	if len(body) == maxBuffered {
		return body, errTooLarge
	}
	return body, nil
}

// pump passes a large answer on as it comes.
func (j *job) pump(t *registrar.Target, answer *exchanger.Answer, first []byte) {
	err := j.call.Begin(answer.Response().StatusCode, j.Codec.AnswerHeader(answer.Response()), !answer.Unframed())
	if err == nil {
		err = j.call.Write(first)
	}
	buffer := make([]byte, 32<<10)
	for err == nil {
		n, failed := answer.Read(buffer)
		if err = j.call.Write(buffer[:n]); err != nil {
			break
		}
		j.traffic.passed(0, n)
		if errors.Is(failed, io.EOF) {
			j.finish(t)
			return
		}
		err = failed
	}
	j.note("broken off", bluebelldoor.AnswerTruncated, err.Error(), "target", t.ID)
	j.call.Abort()
}

// finish ends a large answer as whole.
func (j *job) finish(t *registrar.Target) {
	if err := j.call.Finish(); err != nil {
		j.note("caller left", bluebelldoor.CallerGone, err.Error(), "target", t.ID)
		return
	}
	j.note("answered", bluebelldoor.OK, "", "target", t.ID)
}

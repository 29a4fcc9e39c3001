package relayer

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"bluebelldoor"
	"bluebelldoor/connection/exchanger"
	"bluebelldoor/process/accountant"
	"bluebelldoor/process/registrar"
	"bluebelldoor/request/placer"
)

const (
	// defaultRetryAfter is the Retry-After of refusals for a short-lived
	// shortage; callers cut it to a third of the time they have left.
	defaultRetryAfter = 300 * time.Millisecond
	// maxNotExecuted is how many targets may respond that they did not execute a
	// request before the caller is refused.
	maxNotExecuted = 3
	// maxUnsent is after how many sends that failed before their first byte the
	// caller is refused. It allows for a data centre of unreachable targets.
	maxUnsent = 10
	// retryBudgetShare is the fraction of the budget that retries may use; the
	// rest is kept for generations that move.
	retryBudgetShare = 0.6
	// maxBufferedBytes is the size up to which a response is read completely
	// before it is sent to the caller, so that a truncated one can be retried.
	maxBufferedBytes = 256 << 10
	// bufferedReadBytes is the size of the reads of such a response.
	bufferedReadBytes = 4 << 10
)

var (
	errNotPermitted = errors.New("target accepts no new requests, or the request is no longer authorized")
	errPaused       = errors.New("target has asked this VM to pause")
	errQuarantined  = errors.New("the request or a part of its prompt is kept away from targets")
	errNoPermit     = errors.New("target has a limit, and this VM has no valid permit")
	errEventTooLong = errors.New("target sent an event of more than 1 MiB")
	errNoMemory     = errors.New("no memory left for the rest of a large event")
	errTooLarge     = errors.New("response too large to buffer")
	errTruncated    = errors.New("response truncated")
	errStopped      = errors.New("the generation was stopped for a copy")
)

// attempt sends the request to a target and reports whether the caller has its
// final response.
func (j *job) attempt(t *registrar.Target, reservation *placer.Reservation) bool {
	defer j.endReservation(reservation)
	if j.route.Generates {
		j.sources.GenerationPlaced()
	}
	response, err := j.send(t, j.targetRequest(t, j.request.ResumeAfter, ""))
	if err != nil {
		return j.handleSendError(t, err)
	}
	defer response.Close()
	defer func() { j.exposure.Left() }()
	if response.Head().NotExecuted {
		return j.handleNotExecuted(t, response)
	}
	j.maybeExecuted++
	status := response.HTTPResponse().StatusCode
	if status >= http.StatusInternalServerError {
		j.recordTrouble("status")
	}
	if status >= http.StatusInternalServerError && j.mayRetry() {
		j.recordOutcome(t, true)
		j.prepareRetry(t, "target failed", "status", status)
		return false
	}
	j.recordOutcome(t, status >= http.StatusInternalServerError)
	if j.route.Streamed && status == http.StatusOK {
		j.forwardStream(t, response, reservation)
		return true
	}
	return j.forwardBuffered(t, response)
}

// prepareRetry excludes the target and logs that the request is sent to another.
func (j *job) prepareRetry(t *registrar.Target, why string, more ...any) {
	j.exclude(t)
	args := append([]any{"id", j.request.ID, "target", t.ID, "why", why, "runs", j.maybeExecuted, "unrun", j.notExecuted}, more...)
	j.log.Info("sending again", args...)
}

// handleSendError handles a send that got no response.
func (j *job) handleSendError(t *registrar.Target, err error) bool {
	if j.ctx.Err() != nil {
		var sendErr *bluebelldoor.SendError
		if errors.As(err, &sendErr) && sendErr.Executed != bluebelldoor.ExecutedNo {
			j.maybeExecuted++
			j.recordUnanswered()
		}
		return false
	}
	var sendErr *bluebelldoor.SendError
	if !errors.As(err, &sendErr) {
		return j.handleUnsent(t, err)
	}
	j.recordOutcome(t, true)
	j.recordTrouble("connection")
	if sendErr.Executed == bluebelldoor.ExecutedNo {
		j.mu.Lock()
		j.ledger.RecordUnreachable(t.ID, j.clock.Now())
		j.mu.Unlock()
		return j.handleUnsent(t, err)
	}
	j.maybeExecuted++
	if j.mayRetry() {
		j.prepareRetry(t, err.Error())
		return false
	}
	j.refuse(bluebelldoor.NewRefusal(bluebelldoor.OutcomeUnknown, "target "+t.ID+": "+err.Error()).WithExecuted(bluebelldoor.ExecutedUnknown))
	return true
}

// handleUnsent handles an attempt in which no byte was sent.
func (j *job) handleUnsent(t *registrar.Target, err error) bool {
	j.unsent++
	if refusal := j.checkSuspects(); refusal != nil {
		j.refuse(refusal)
		return true
	}
	if j.unsent >= maxUnsent {
		j.refuse(bluebelldoor.NewRefusal(bluebelldoor.NoTarget, "target "+t.ID+": "+err.Error()).WithRetryAfter(defaultRetryAfter))
		return true
	}
	if refusal := j.readmit(); refusal != nil {
		j.refuse(refusal)
		return true
	}
	j.prepareRetry(t, err.Error())
	if errors.Is(err, errNoPermit) {
		// The target has just named its limit. It may still be sent the request with a
		// permit.
		delete(j.excluded, t.ID)
	}
	return false
}

// readmit repeats the admission checks for a request that was not sent, since a
// failed check may be the reason.
func (j *job) readmit() *bluebelldoor.Refusal {
	view := j.sources.View()
	if j.checkAccess(view) == nil {
		return nil
	}
	name, deadline := j.serviceName, j.deadline
	refusal := j.admit()
	if refusal == nil && j.serviceName != name {
		j.excluded = map[string]bool{}
	}
	j.deadline = deadline
	return refusal
}

// handleNotExecuted handles the statement of a target that it did not and will
// not run the request.
func (j *job) handleNotExecuted(t *registrar.Target, response *exchanger.Response) bool {
	j.notExecuted++
	status := response.HTTPResponse().StatusCode
	if status == http.StatusServiceUnavailable {
		j.recordTrouble("refusal")
	}
	if _, err := io.CopyN(io.Discard, response, maxBufferedBytes); err != nil && !errors.Is(err, io.EOF) {
		j.log.Debug("refusal body not fully read", "id", j.request.ID, "target", t.ID, "error", err)
	}
	if status == http.StatusBadRequest {
		j.refuse(bluebelldoor.NewRefusal(bluebelldoor.BadRequest, "target rejected the request as malformed"))
		return true
	}
	if j.notExecuted < maxNotExecuted && j.ctx.Err() == nil && j.takeRetryBudget(retryBudgetShare) {
		j.prepareRetry(t, "target refused", "status", status)
		return false
	}
	if wait, _ := j.shortestWait(); wait > 0 {
		j.refuse(j.refusalNoTarget())
		return true
	}
	j.refuse(bluebelldoor.NewRefusal(bluebelldoor.TargetRefused, "target "+t.ID+" refused the request").WithRetryAfter(defaultRetryAfter))
	return true
}

// forwardBuffered forwards a response that is not an event stream, buffered if
// it is small enough.
func (j *job) forwardBuffered(t *registrar.Target, response *exchanger.Response) bool {
	memory := j.Memory.Begin()
	defer memory.End()
	body, err := readBuffered(response, memory)
	switch {
	case err == nil:
		success := response.HTTPResponse().StatusCode < http.StatusBadRequest
		j.recordAnswered(success)
		if success {
			j.recordAnswer()
		}
		j.respond(t, response.HTTPResponse(), body)
		return true
	case errors.Is(err, errTooLarge):
		j.forwardLarge(t, response, body)
		return true
	case j.ctx.Err() != nil:
		j.recordUnanswered()
		return false
	}
	j.recordOutcome(t, true)
	j.recordTrouble("connection")
	j.recordBroken(t, brokenPoint(len(body)), len(body), false, err)
	if j.mayRetry() {
		j.prepareRetry(t, err.Error())
		return false
	}
	j.refuse(bluebelldoor.NewRefusal(bluebelldoor.AnswerTruncated, "target "+t.ID+": "+err.Error()).WithExecuted(bluebelldoor.ExecutedYes))
	return true
}

// readBuffered reads a whole body. The error is errTooLarge, with the part that has been
// read, if the rest is too large to be kept as well.
func readBuffered(response io.Reader, memory *accountant.Allocation) ([]byte, error) {
	var body []byte
	buffer := make([]byte, bufferedReadBytes)
	for {
		n, err := response.Read(buffer)
		var taken bool
		if body, taken = memory.Append(body, buffer[:n], maxBufferedBytes); !taken {
			// What does not fit is passed on with the rest, and then forgotten.
			return append(body, buffer[:n]...), errTooLarge
		}
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, errors.Wrap(errTruncated, err.Error())
		case len(body) >= maxBufferedBytes:
			return body, errTooLarge
		}
	}
}

// forwardLarge forwards a response as it arrives, starting with the buffered part.
func (j *job) forwardLarge(t *registrar.Target, response *exchanger.Response, first []byte) {
	err := j.call.Begin(response.HTTPResponse().StatusCode, j.Codec.ResponseHeader(response.HTTPResponse()), !response.CloseDelimited())
	if err == nil {
		err = j.call.Write(first)
	}
	buffer := make([]byte, 32<<10)
	for err == nil {
		n, readErr := response.Read(buffer)
		if err = j.call.Write(buffer[:n]); err != nil {
			break
		}
		j.traffic.add(0, n)
		if errors.Is(readErr, io.EOF) {
			j.recordAnswered(response.HTTPResponse().StatusCode < http.StatusBadRequest)
			j.finishLarge(t)
			return
		}
		if err = readErr; err != nil {
			j.recordBroken(t, brokenInBody, len(first), false, err)
		}
	}
	j.logOutcome("broken off", bluebelldoor.AnswerTruncated, err.Error(), "target", t.ID)
	j.call.Abort()
}

// finishLarge ends a large response as complete.
func (j *job) finishLarge(t *registrar.Target) {
	if err := j.call.Finish(); err != nil {
		j.logOutcome("caller left", bluebelldoor.CallerGone, err.Error(), "target", t.ID)
		return
	}
	j.logOutcome("answered", bluebelldoor.OK, "", "target", t.ID)
}

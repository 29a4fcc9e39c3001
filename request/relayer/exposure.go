package relayer

import (
	"context"
	"io"
	"syscall"

	"github.com/pkg/errors"

	"bluebelldoor"
	"bluebelldoor/connection/exchanger"
	"bluebelldoor/process/detector"
	"bluebelldoor/process/quarantiner"
	"bluebelldoor/process/registrar"
)

// send sends the request to a target, and records that it is there until the response has
// ended.
func (j *job) send(t *registrar.Target, request *exchanger.Request) (*exchanger.Response, error) {
	var exposure *detector.Exposure
	permit := request.Permit
	request.Permit = func() error {
		if err := permit(); err != nil {
			return err
		}
		exposure = j.Ends.Begin(j.serviceName, t.Instance, j.account, j.suspects())
		return nil
	}
	response, err := j.Targets.Send(j.ctx, t.Instance, request)
	j.exposure = exposure
	if err == nil {
		return response, nil
	}
	var sendErr *bluebelldoor.SendError
	if errors.As(err, &sendErr) && sendErr.Executed != bluebelldoor.ExecutedNo && !sendErr.WrongRequestID {
		j.recordBroken(t, brokenUnanswered, 0, sendErr.ConnReused, err)
	} else {
		j.exposure.Left()
	}
	return nil, err
}

// recordAnswered records that the response was complete. A success proves that the parts of
// the prompt, and the request itself, are sound.
func (j *job) recordAnswered(success bool) {
	if success {
		j.Parts.RecordSound(j.serviceName, j.suspects())
	}
	j.exposure.Answered()
}

// recordBroken records that a response was not complete: the target has ended its connection,
// or the VM does not wait any more. received is the number of events, or of bytes of another
// body.
func (j *job) recordBroken(t *registrar.Target, point string, received int, connReused bool, err error) {
	if j.ctx.Err() != nil || !endedByTarget(err) {
		j.exposure.Left()
		return
	}
	j.logBroken(t, point, received, connReused, err)
	j.exposure.Broken(connReused)
}

// newDetector returns a detector of the ends of targets that asks nobody.
func (r *Relayer) newDetector() *detector.Detector {
	d, _ := detector.New(detector.Sources{
		Ask:            func(context.Context, string, *bluebelldoor.Instance) detector.SignOfLife { return detector.Unknown },
		AcceptsNewWork: func(t *bluebelldoor.Instance) bool { return r.sources.View().AcceptsNewWork(t) },
		Replaced:       r.IsReplaced,
		Ended:          r.HandleEnd,
	}, r.clock)
	return d
}

// HandleEnd accuses the requests that a target had when it ended.
func (r *Relayer) HandleEnd(end detector.End) {
	var requests []quarantiner.Request
	for _, request := range end.Requests {
		requests = append(requests, quarantiner.Request{Account: request.Account, Parts: request.Suspects})
	}
	r.Parts.RecordCrash(quarantiner.Crash{
		Service: end.Service, Target: end.Target, Ago: end.Ago, Span: end.Span, LivedAgo: end.LivedAgo, Ended: end.Ended, Requests: requests,
	})
}

// IsReplaced reports whether another start of a target, or another target at its address, is
// registered.
func (r *Relayer) IsReplaced(service string, t *bluebelldoor.Instance) bool {
	view := r.sources.View()
	if current := view.Target(t.ID); current != nil && current.StartedAt != t.StartedAt {
		return true
	}
	for _, other := range view.ServiceTargets(service) {
		if other.Address == t.Address && other.ID != t.ID {
			return true
		}
	}
	return false
}

// AskTarget looks for a sign of life of a target that has ended a connection. Engines report
// when they started; of other targets it is only known whether they accept connections. One
// that has asked for a pause, or names a limit, gets no request for it.
func (r *Relayer) AskTarget(ctx context.Context, service string, t *bluebelldoor.Instance) detector.SignOfLife {
	routing := r.sources.View().Routing()
	_, limited := r.Limits.Limit(t)
	if kind := routing.Service(service); kind == nil || kind.Engine == nil || limited || r.Pauses.Remaining(t) > 0 {
		return signOf(r.Targets.Probe(ctx, t), detector.Accepts)
	}
	startedAt, err := r.Starts.StartedAt(ctx, t)
	if err == nil && startedAt != 0 && startedAt != t.StartedAt {
		return detector.Refuses
	}
	return signOf(err, detector.Responds)
}

// signOf returns what the error of a question shows of a target, and sign if there is none.
func signOf(err error, sign detector.SignOfLife) detector.SignOfLife {
	if err == nil {
		return sign
	}
	for _, refused := range []error{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF} {
		if errors.Is(err, refused) {
			return detector.Refuses
		}
	}
	return detector.Unknown
}

package executor

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"bluebelldoor"
	"bluebelldoor/process/ranker"
	"bluebelldoor/request/keeper"
)

// sendOnce sends a call that may not be repeated. At most one attempt can reach a
// target: the next target is tried only if the call is known not to have run on
// the one before.
func (x *Executor) sendOnce(ctx context.Context, service string, c bluebelldoor.Call, deadline time.Time) keeper.Outcome {
	last := refusedOutcome(bluebelldoor.NoTarget, bluebelldoor.ExecutedNo, "no target serves "+service)
	for _, t := range x.targets(service, c.ID) {
		out, retryable := x.attempt(ctx, t, c, deadline)
		if !retryable {
			return out
		}
		last = out
	}
	return last
}

// attempt sends the call to one target. It also reports whether another target
// may be tried, which requires that the call did not run.
func (x *Executor) attempt(ctx context.Context, t *bluebelldoor.Target, c bluebelldoor.Call, deadline time.Time) (keeper.Outcome, bool) {
	c.Within = time.Until(deadline)
	c.Permit = func() error {
		now := time.Now()
		if refusal := x.control.State().CheckSend(t.Name(), now); refusal != nil {
			return refusal
		}
		if !now.Before(deadline) {
			return bluebelldoor.NewRefusal(bluebelldoor.DeadlinePassed, "the deadline passed before the call was sent")
		}
		return nil
	}
	answer, err := x.applications.Do(ctx, t, c)
	if err == nil {
		x.journal.Record(c.ID, "target %s answered with status %d", t.Name(), answer.Status)
		return keeper.Outcome{Answer: answer}, false
	}
	x.journal.Record(c.ID, "target %s: %v", t.Name(), err)
	var refusal *bluebelldoor.Refusal
	if errors.As(err, &refusal) {
		return keeper.Outcome{Refusal: refusal}, refusal.Code() == bluebelldoor.NoTarget
	}
	var failure *bluebelldoor.SendError
	if errors.As(err, &failure) && failure.Executed == bluebelldoor.ExecutedNo {
		return refusedOutcome(bluebelldoor.TargetRefused, bluebelldoor.ExecutedNo, err.Error()), true
	}
	if failure != nil && failure.WrongRequestID {
		return refusedOutcome(bluebelldoor.AnswerCrossed, bluebelldoor.ExecutedUnknown, err.Error()), false
	}
	return refusedOutcome(bluebelldoor.OutcomeUnknown, bluebelldoor.ExecutedUnknown, err.Error()), false
}

// targets returns up to maxAttempts open targets of a service in this VM's data
// centre, then as many in others, each group in an order that depends on the
// request ID.
func (x *Executor) targets(service, id string) []*bluebelldoor.Target {
	s := x.control.State()
	var near, far []string
	d := s.View().Document()
	for _, t := range d.Targets() {
		for _, served := range t.Services() {
			switch {
			case served != service || s.View().ClosedReason(t.Name()) != "":
			case t.DataCentre() == x.settings.DataCentre():
				near = append(near, t.Name())
			default:
				far = append(far, t.Name())
			}
		}
	}
	var out []*bluebelldoor.Target
	for _, name := range append(ranker.Top(id, near, maxAttempts), ranker.Top(id, far, maxAttempts)...) {
		out = append(out, d.Target(name))
	}
	return out
}

// executeRepeatable runs a call that may be repeated, with attempts on several
// targets if needed, until its deadline.
func (x *Executor) executeRepeatable(ctx context.Context, service string, c bluebelldoor.Call, deadline time.Time) keeper.Outcome {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	last := refusedOutcome(bluebelldoor.NoTarget, bluebelldoor.ExecutedNo, "no target serves "+service)
	mayHaveRun := false
	for attempts := 0; attempts < maxAttempts && ctx.Err() == nil; {
		targets := x.targets(service, c.ID)
		if len(targets) == 0 {
			return last
		}
		t := targets[attempts%len(targets)]
		attempts++
		out, _ := x.attempt(ctx, t, c, deadline)
		if out.Refusal == nil {
			return out
		}
		last = out
		mayHaveRun = mayHaveRun || out.Refusal.Executed() != bluebelldoor.ExecutedNo
		time.Sleep(rand.N(50 * time.Millisecond))
	}
	if mayHaveRun {
		last.Refusal = last.Refusal.WithExecuted(bluebelldoor.ExecutedUnknown)
	}
	return last
}

package executor

import (
	"context"
	"time"

	"bluebelldoor"
	"bluebelldoor/request/keeper"
)

// forwardToHome forwards a call to its key's home. If the home does not answer,
// the witness reports whether the call may have run; this VM never sends it.
func (x *Executor) forwardToHome(ctx context.Context, k keeper.Key, account, service string, c bluebelldoor.Call, deadline time.Time) keeper.Outcome {
	if vm := x.vm(k.Home); vm != nil && k.Home != x.settings.Name() {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		reply, err := x.peers.Forward(ctx, vm.PeerAddress(), &bluebelldoor.ForwardRequest{
			Key:         c.Key,
			Account:     account,
			ID:          c.ID,
			Service:     service,
			Method:      c.Method,
			Path:        c.Path,
			ContentType: c.ContentType,
			Body:        c.Body,
			WithinMs:    time.Until(deadline).Milliseconds(),
		})
		if err == nil {
			return outcomeFromReply(reply)
		}
		x.journal.Record(c.ID, "home %s did not answer: %v", k.Home, err)
	}
	return x.askWitness(k, c.ID)
}

// askWitness asks the key's witness whether the call may have run. It does not use
// the call's context: the deadline may have passed while the home did not answer,
// and a definite verdict that the call did not run is still useful to the caller.
func (x *Executor) askWitness(k keeper.Key, id string) keeper.Outcome {
	verdict := keeper.MayHaveRun
	switch vm := x.vm(k.Witness); {
	case k.Witness == x.settings.Name():
		x.mu.Lock()
		verdict = x.witness.Query(k, x.control.Uptime())
		x.mu.Unlock()
	case vm != nil:
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		defer cancel()
		if reply, err := x.peers.Ask(ctx, vm.PeerAddress(), &bluebelldoor.KeyRequest{Key: k.Sign(x.settings.FleetSecret())}); err == nil {
			verdict = keeper.Verdict(reply.Verdict)
		}
	}
	x.journal.Record(id, "witness %q answered %s", k.Witness, verdict)
	if verdict == keeper.NotRun {
		return refusedOutcome(bluebelldoor.KeyDead, bluebelldoor.ExecutedNo, "the key's home is gone and never sent the call; use a new key")
	}
	return refusedOutcome(bluebelldoor.OutcomeUnknown, bluebelldoor.ExecutedUnknown, "the key's home does not answer and may have sent the call")
}

func outcomeFromReply(r *bluebelldoor.ForwardReply) keeper.Outcome {
	if r.Refusal == nil && r.Answer != nil {
		return keeper.Outcome{Answer: *r.Answer}
	}
	if r.Refusal == nil {
		return refusedOutcome(bluebelldoor.OutcomeUnknown, bluebelldoor.ExecutedUnknown, "the key's home sent an empty reply")
	}
	refusal := bluebelldoor.NewRefusal(bluebelldoor.Code(r.Refusal.Code), r.Refusal.Detail).
		WithExecuted(bluebelldoor.Executed(r.Refusal.Executed)).
		WithRetryAfter(time.Duration(r.Refusal.RetryAfterMs) * time.Millisecond)
	return keeper.Outcome{Refusal: refusal}
}

// Forward runs a call that a peer forwards to this VM as the key's home.
func (x *Executor) Forward(ctx context.Context, in *bluebelldoor.ForwardRequest) *bluebelldoor.ForwardReply {
	deadline := time.Now().Add(time.Duration(in.WithinMs) * time.Millisecond)
	out := x.executeForwarded(ctx, in, deadline)
	if out.Refusal == nil {
		return &bluebelldoor.ForwardReply{Answer: &out.Answer}
	}
	return &bluebelldoor.ForwardReply{Refusal: &bluebelldoor.RefusalMessage{
		Code:         int(out.Refusal.Code()),
		Executed:     string(out.Refusal.Executed()),
		RetryAfterMs: out.Refusal.RetryAfter().Milliseconds(),
		Detail:       out.Refusal.Detail(),
	}}
}

func (x *Executor) executeForwarded(ctx context.Context, in *bluebelldoor.ForwardRequest, deadline time.Time) keeper.Outcome {
	k, err := keeper.ParseKey(x.settings.FleetSecret(), in.Key)
	if err != nil || k.Account != in.Account {
		return refusedOutcome(bluebelldoor.KeyInvalid, bluebelldoor.ExecutedNo, "invalid key")
	}
	if !x.home.Owns(k) {
		// The home was an earlier process of this VM, which has ended.
		return x.askWitness(k, in.ID)
	}
	return x.executeAtHome(ctx, k, in.Service, bluebelldoor.Call{
		ID:          in.ID,
		Method:      in.Method,
		Path:        in.Path,
		ContentType: in.ContentType,
		Body:        in.Body,
		Key:         in.Key,
	}, deadline)
}

// Announce handles, as the witness, the announcement of a home that is about to
// send a call.
func (x *Executor) Announce(in *bluebelldoor.KeyRequest) *bluebelldoor.AnnounceReply {
	k, err := keeper.ParseKey(x.settings.FleetSecret(), in.Key)
	if err != nil {
		return &bluebelldoor.AnnounceReply{}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return &bluebelldoor.AnnounceReply{Confirmed: x.witness.Announce(k, x.control.Uptime())}
}

// Ask reports, as the witness, whether a key's call may have run.
func (x *Executor) Ask(in *bluebelldoor.KeyRequest) *bluebelldoor.AskReply {
	k, err := keeper.ParseKey(x.settings.FleetSecret(), in.Key)
	if err != nil {
		return &bluebelldoor.AskReply{Verdict: string(keeper.NotWitness)}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return &bluebelldoor.AskReply{Verdict: string(x.witness.Query(k, x.control.Uptime()))}
}

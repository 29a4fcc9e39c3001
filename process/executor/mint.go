package executor

import (
	"context"
	"math"
	"time"

	"bluebelldoor"
	"bluebelldoor/process/controller"
	"bluebelldoor/process/ranker"
	"bluebelldoor/request/identifier"
	"bluebelldoor/request/keeper"
)

// Mint returns a new key for a client account, with this VM as its home.
func (x *Executor) Mint(ctx context.Context, account string) (string, time.Duration, *bluebelldoor.Refusal) {
	s := x.control.State()
	if refusal := s.CheckFresh(time.Now()); refusal != nil {
		return "", 0, refusal
	}
	if s.Draining() {
		return "", 0, bluebelldoor.NewRefusal(bluebelldoor.Draining, "this VM is leaving").WithRetryAfter(retryAfter)
	}
	x.mu.Lock()
	full := x.home.Full()
	x.mu.Unlock()
	if full {
		return "", 0, bluebelldoor.NewRefusal(bluebelldoor.QueueFull, "too many keys are in use").WithRetryAfter(retryAfter)
	}
	validFor := s.View().Document().Limits().KeyValidFor
	k := keeper.Key{
		Home:            x.settings.Name(),
		HomeIncarnation: x.control.Incarnation(),
		Account:         account,
		Nonce:           identifier.Nonce(),
		ExpiresMs:       (x.control.Uptime() + validFor).Milliseconds(),
	}
	if refusal := x.chooseWitness(ctx, &k, s, validFor); refusal != nil {
		return "", 0, refusal
	}
	return k.Sign(x.settings.FleetSecret()), validFor, nil
}

// chooseWitness sets a live peer as the key's witness if the fleet has more than
// one VM. It prefers a peer in another data centre, which fails independently of
// the home. It asks the peer for its current incarnation, since a peer that has
// restarted since its last reply could never confirm.
func (x *Executor) chooseWitness(ctx context.Context, k *keeper.Key, s *controller.State, validFor time.Duration) *bluebelldoor.Refusal {
	others, candidates := x.witnessCandidates(s, k.Nonce)
	if others == 0 {
		return nil
	}
	for _, name := range candidates {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		in := &bluebelldoor.StateRequest{From: x.settings.Name(), Revision: math.MaxUint64, ListVersion: math.MaxUint64}
		reply, err := x.peers.State(callCtx, s.View().List().VM(name).PeerAddress(), in)
		cancel()
		if err != nil || reply.Name != name || reply.Draining {
			continue
		}
		uptime := time.Duration(reply.UptimeMs) * time.Millisecond
		k.Witness = name
		k.WitnessIncarnation = reply.Incarnation
		k.WitnessUntilMs = (uptime + validFor + witnessMargin).Milliseconds()
		return nil
	}
	return bluebelldoor.NewRefusal(bluebelldoor.NoWitness, "no other VM answers").WithRetryAfter(retryAfter)
}

// witnessCandidates returns the number of other VMs, and the names of a few that
// seem alive, in the order in which to ask them.
func (x *Executor) witnessCandidates(s *controller.State, nonce string) (others int, candidates []string) {
	var far, near []string
	now := time.Now()
	for _, vm := range s.View().List().VMs() {
		if vm.Name() == x.settings.Name() || vm.Leaving() {
			continue
		}
		others++
		switch {
		case !s.Alive(vm.Name(), now):
		case vm.DataCentre() != x.settings.DataCentre():
			far = append(far, vm.Name())
		default:
			near = append(near, vm.Name())
		}
	}
	return others, append(ranker.Top(nonce, far, maxAttempts), ranker.Top(nonce, near, 1)...)
}

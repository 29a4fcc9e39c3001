package gossiper_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/gossiper"
)

// waitingPeer sends a VM messages that have waited.
type waitingPeer struct {
	vm        *gossiper.Gossiper
	began     time.Time
	heartbeat uint64
}

// send lets the VM read a message of the peer that was written some time ago and tells of
// another member.
func (p *waitingPeer) send(waited time.Duration) {
	const peerClock = 10 * time.Minute
	p.heartbeat++
	state := func(name string, ageMs int64) bluebelldoor.MemberState {
		return bluebelldoor.MemberState{Name: name, PeerAddress: name, Incarnation: 1, Heartbeat: p.heartbeat, Ready: true, Hub: true, AgeMs: ageMs}
	}
	p.vm.Exchange(context.Background(), &bluebelldoor.ExchangeMessage{
		From: "sender", SentAtMs: (peerClock + time.Since(p.began) - waited).Milliseconds(),
		Members: []bluebelldoor.MemberState{state("sender", 0), state("other", 200)},
		Crashes: []bluebelldoor.PromptCrash{{Service: "s", Target: "t/1", AgeMs: 10, Parts: []bluebelldoor.PromptPart{{ID: "p", Proofs: []bluebelldoor.PartProof{{ID: 1, AgeMs: 20}}}}}},
	})
}

// TestMessageThatWaited guards against a message that has waited and makes its sender, and the
// members of which it tells, look alive, or the crashes of which it tells young.
func TestMessageThatWaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		var told []bluebelldoor.PromptCrash
		stop := n.startWith(0, vmSpec{"dc-0", 1}, nil, func(h *gossiper.Hooks) {
			h.Crashes = func(uint64) (uint64, []bluebelldoor.PromptCrash) { return 0, nil }
			h.ApplyCrashes = func(_ string, crashes []bluebelldoor.PromptCrash) { told = crashes }
		})
		defer stop()
		peer := &waitingPeer{vm: n.vms[name(0)], began: time.Now()}
		peer.send(0)
		assert.Assert(t, told[0].Undated)
		time.Sleep(time.Second)
		peer.send(0)
		assert.Assert(t, told[0].AgeMs == 10 && !told[0].Undated)
		assert.Equal(t, len(peer.vm.Alive()), 3)
		for range 4 {
			time.Sleep(time.Second)
			peer.send(3 * time.Second)
		}
		const drift = 2 // milliseconds
		assert.Assert(t, (3010-told[0].AgeMs) <= drift, "%d", told[0].AgeMs)
		assert.Assert(t, (3020-told[0].Parts[0].Proofs[0].AgeMs) <= drift)
		assert.Equal(t, peer.vm.LateMessages(), int64(4))
		time.Sleep(time.Second)
		assert.Equal(t, len(peer.vm.Alive()), 1)
	})
}

// TestReplyAfterStandstill guards against a VM that stood still and passes on what it knew of
// other members with the ages of before.
func TestReplyAfterStandstill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		stop := n.startWith(0, vmSpec{"dc-0", 1}, nil, func(*gossiper.Hooks) {})
		peer := &waitingPeer{vm: n.vms[name(0)], began: time.Now()}
		peer.send(0)
		time.Sleep(time.Second)
		stop() // its rounds, as if it stood still
		time.Sleep(4 * time.Second)
		reply := peer.vm.Exchange(context.Background(), &bluebelldoor.ExchangeMessage{From: "unknown", Members: []bluebelldoor.MemberState{{Name: "unknown", Incarnation: 1, Heartbeat: 1}}})
		assert.Equal(t, len(reply.Members), 3)
		for _, m := range reply.Members[1:] {
			assert.Assert(t, m.AgeMs >= 5000, "%s: %d ms", m.Name, m.AgeMs)
		}
	})
}

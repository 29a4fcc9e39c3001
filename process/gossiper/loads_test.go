package gossiper_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/gossiper"
)

// loadLedger records the VMs' own loads, and the loads that each has received.
type loadLedger struct {
	own      map[string]map[string]int            // requests by VM and target
	received map[string]map[string]map[string]int // by VM, peer and target
}

func newLoadLedger() *loadLedger {
	return &loadLedger{own: map[string]map[string]int{}, received: map[string]map[string]map[string]int{}}
}

func (b *loadLedger) start(vm string) {
	b.own[vm] = map[string]int{}
	b.received[vm] = map[string]map[string]int{}
}

func (b *loadLedger) loads(vm string) []bluebelldoor.TargetLoad {
	var out []bluebelldoor.TargetLoad
	for target, requests := range b.own[vm] {
		out = append(out, bluebelldoor.TargetLoad{Target: target, Requests: requests})
	}
	return out
}

func (b *loadLedger) apply(vm, peer string, delta bluebelldoor.LoadDelta) bool {
	received := b.received[vm][peer]
	if delta.After > 0 && received == nil {
		return false
	}
	if delta.After == 0 {
		received = map[string]int{}
	}
	for _, l := range delta.Loads {
		received[l.Target] = l.Requests
		if l.Requests == 0 {
			delete(received, l.Target)
		}
	}
	b.received[vm][peer] = received
	return true
}

// TestLoadsHeld changes loads at random on hubs while messages are lost, VMs restart,
// and some drop the loads that they received. A second after the last change, each VM
// must have the loads of each other.
func TestLoadsHeld(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomLoads(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func runRandomLoads(t *testing.T, random *rand.Rand) {
	const vms, targets, steps = 6, 40, 300
	n, ledger := newNetwork(), newLoadLedger()
	stops := make([]func(), vms)
	start := func(i int) {
		n.mu.Lock()
		ledger.start(name(i))
		n.mu.Unlock()
		stops[i] = n.startWith(i, vmSpec{fmt.Sprintf("dc-%d", i%3), 0.4}, []string{name(0), name(1)}, func(h *gossiper.Hooks) {
			h.OwnLoads = func() []bluebelldoor.TargetLoad {
				n.mu.Lock()
				defer n.mu.Unlock()
				return ledger.loads(name(i))
			}
			h.ApplyPeerLoads = func(peer string, delta bluebelldoor.LoadDelta) bool {
				n.mu.Lock()
				defer n.mu.Unlock()
				return ledger.apply(name(i), peer, delta)
			}
		})
	}
	for i := range vms {
		start(i)
	}
	defer func() { stopAll(stops) }()
	time.Sleep(3 * time.Second)
	for range steps {
		i := random.IntN(vms)
		n.mu.Lock()
		switch kind := random.IntN(100); {
		case kind < 80:
			ledger.own[name(i)][fmt.Sprint("e", random.IntN(targets))] = 1 + random.IntN(5)
		case kind < 94:
			delete(ledger.own[name(i)], fmt.Sprint("e", random.IntN(targets)))
		case kind < 96:
			n.partitioned[name(i)] = !n.partitioned[name(i)]
		case kind < 98:
			// A VM drops the loads of a peer that was silent for too long.
			delete(ledger.received[name(i)], name(random.IntN(vms)))
		default:
			n.mu.Unlock()
			stops[i]()
			start(i)
			n.mu.Lock()
		}
		n.mu.Unlock()
		n.vms[name(i)].Trigger()
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
	n.mu.Lock()
	clear(n.partitioned)
	n.mu.Unlock()
	time.Sleep(5 * time.Second)
	n.mu.Lock()
	for i := range vms {
		ledger.own[name(i)]["last"] = 1 + i
	}
	n.mu.Unlock()
	time.Sleep(time.Second)
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range vms {
		for j := range vms {
			if i != j {
				assert.Assert(t, maps.Equal(ledger.received[name(i)][name(j)], ledger.own[name(j)]), "%s has loads of %s %v, not %v",
					name(i), name(j), ledger.received[name(i)][name(j)], ledger.own[name(j)])
			}
		}
	}
}

// TestLoadsTold bounds the bytes that a hub sends per start of a generation: a message
// must carry the loads that changed, not all of them.
func TestLoadsTold(t *testing.T) {
	const vms, targets, seconds, startsPerSecond, others = 15, 127, 10, 20, 14
	// The size in bytes of a message without loads, and of a load in it.
	const frame, change = 600, 120
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		loads := make([]bluebelldoor.TargetLoad, targets)
		for i := range loads {
			loads[i] = bluebelldoor.TargetLoad{Target: fmt.Sprintf("i-%010d", i), Requests: 3, Tokens: 9000, HeldTokens: 6000, PrefillTokens: 3000}
		}
		initial := loads
		var stops []func()
		for i := range vms {
			stops = append(stops, n.startWith(i, vmSpec{fmt.Sprintf("dc-%d", i%5), 0.8}, []string{name(0)}, func(h *gossiper.Hooks) {
				h.OwnLoads = func() []bluebelldoor.TargetLoad {
					n.mu.Lock()
					defer n.mu.Unlock()
					if i == 0 {
						return loads
					}
					return initial
				}
			}))
		}
		defer stopAll(stops)
		time.Sleep(8 * time.Second)
		n.mu.Lock()
		clear(n.bytes)
		n.mu.Unlock()
		for i := range seconds * startsPerSecond {
			n.mu.Lock()
			loads = slices.Clone(loads)
			loads[i%targets].Requests++
			n.mu.Unlock()
			n.vms[name(0)].Trigger()
			time.Sleep(time.Second / startsPerSecond)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		sent := n.bytes[name(0)] / seconds
		limit := others * (startsPerSecond*(frame+change) + 5*(frame+change*startsPerSecond/4) + vms*frame)
		assert.Check(t, sent < limit, "%d bytes a second, limit %d", sent, limit)
		t.Logf("%d bytes a second", sent)
	})
}

// TestHearLoads checks that changes of a member's loads are applied only if those before
// them were received.
func TestHearLoads(t *testing.T) {
	for name, c := range map[string]struct {
		after    []uint64 // of the deltas at heartbeats 1, 2, …
		applies  bool     // whether deltas can be applied
		received uint64
	}{
		"all":                 {[]uint64{0}, true, 1},
		"changes after all":   {[]uint64{0, 1}, true, 2},
		"changes without all": {[]uint64{1}, true, 0},
		"changes after a gap": {[]uint64{0, 1, 3}, true, 2},
		"changes not applied": {[]uint64{0, 1}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			table := gossiper.NewTable(bluebelldoor.MemberState{Name: "self"})
			for i, after := range c.after {
				state := bluebelldoor.MemberState{Name: "peer", Incarnation: 7, Heartbeat: uint64(i + 1)}
				table.Merge("peer", []bluebelldoor.MemberState{state}, time.Hour)
				table.MergeLoads("peer", bluebelldoor.LoadDelta{After: after}, func(string, bluebelldoor.LoadDelta) bool { return c.applies })
			}
			received, _ := table.LoadsReceived("peer")
			assert.Equal(t, received, c.received)
		})
	}
}

// TestHeldOfEarlierStart checks that a peer that has the loads of an earlier process of
// the VM gets all loads.
func TestHeldOfEarlierStart(t *testing.T) {
	for name, c := range map[string]struct {
		of    int64
		after uint64
	}{
		"this start":    {5, 3},
		"earlier start": {4, 0},
	} {
		t.Run(name, func(t *testing.T) {
			self := bluebelldoor.MemberState{Name: "self", Incarnation: 5}
			g := gossiper.New(self, nil, offsetClock{time.Now().Add(-time.Hour)}, endpoint{newNetwork(), "self"}, gossiper.Hooks{
				ApplyPeerLoads: func(string, bluebelldoor.LoadDelta) bool { return true },
				Delta: func(context.Context, bluebelldoor.Position, bool, *bluebelldoor.RecordDelta) bluebelldoor.RecordDelta {
					return bluebelldoor.RecordDelta{EvidenceAgeMs: -1}
				},
				ApplyDelta: func(context.Context, bluebelldoor.RecordDelta, time.Duration, bool) {},
			}, hclog.NewNullLogger())
			out := g.Exchange(t.Context(), &bluebelldoor.ExchangeMessage{
				From: "peer", Members: []bluebelldoor.MemberState{{Name: "peer", Heartbeat: 1}}, HeldHeartbeat: 3, HeldIncarnation: c.of,
			})
			assert.Equal(t, out.Loads.After, c.after)
		})
	}
}

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

// loadBook is what VMs have on targets, and what each holds of the others'.
type loadBook struct {
	own  map[string]map[string]int            // requests by VM and target
	held map[string]map[string]map[string]int // by VM, peer and target
}

func newLoadBook() *loadBook {
	return &loadBook{own: map[string]map[string]int{}, held: map[string]map[string]map[string]int{}}
}

func (b *loadBook) begin(vm string) {
	b.own[vm] = map[string]int{}
	b.held[vm] = map[string]map[string]int{}
}

func (b *loadBook) loads(vm string) []bluebelldoor.TargetLoad {
	var out []bluebelldoor.TargetLoad
	for target, requests := range b.own[vm] {
		out = append(out, bluebelldoor.TargetLoad{Target: target, Requests: requests})
	}
	return out
}

func (b *loadBook) take(vm, peer string, news bluebelldoor.LoadDelta) bool {
	held := b.held[vm][peer]
	if news.After > 0 && held == nil {
		return false
	}
	if news.After == 0 {
		held = map[string]int{}
	}
	for _, l := range news.Loads {
		held[l.Target] = l.Requests
		if l.Requests == 0 {
			delete(held, l.Target)
		}
	}
	b.held[vm][peer] = held
	return true
}

// TestLoadsHeld lets loads change at random on VMs that serve, while messages are
// lost, VMs start anew, and some forget what they were told. A second after the last
// change each holds of each what that has.
func TestLoadsHeld(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playLoads(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func playLoads(t *testing.T, random *rand.Rand) {
	const vms, targets, steps = 6, 40, 300
	n, book := newNetwork(), newLoadBook()
	stops := make([]func(), vms)
	begin := func(i int) {
		n.mu.Lock()
		book.begin(name(i))
		n.mu.Unlock()
		stops[i] = n.beginWith(i, spec{fmt.Sprintf("dc-%d", i%3), 0.4}, []string{name(0), name(1)}, func(h *gossiper.Hooks) {
			h.Loads = func() []bluebelldoor.TargetLoad {
				n.mu.Lock()
				defer n.mu.Unlock()
				return book.loads(name(i))
			}
			h.Told = func(peer string, news bluebelldoor.LoadDelta) bool {
				n.mu.Lock()
				defer n.mu.Unlock()
				return book.take(name(i), peer, news)
			}
		})
	}
	for i := range vms {
		begin(i)
	}
	defer func() { stopAll(stops) }()
	time.Sleep(3 * time.Second)
	for range steps {
		i := random.IntN(vms)
		n.mu.Lock()
		switch kind := random.IntN(100); {
		case kind < 80:
			book.own[name(i)][fmt.Sprint("e", random.IntN(targets))] = 1 + random.IntN(5)
		case kind < 94:
			delete(book.own[name(i)], fmt.Sprint("e", random.IntN(targets)))
		case kind < 96:
			n.cut[name(i)] = !n.cut[name(i)]
		case kind < 98:
			// As for a peer that was silent for too long.
			delete(book.held[name(i)], name(random.IntN(vms)))
		default:
			n.mu.Unlock()
			stops[i]()
			begin(i)
			n.mu.Lock()
		}
		n.mu.Unlock()
		n.vms[name(i)].Hurry()
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
	n.mu.Lock()
	clear(n.cut)
	n.mu.Unlock()
	time.Sleep(5 * time.Second)
	n.mu.Lock()
	for i := range vms {
		book.own[name(i)]["last"] = 1 + i
	}
	n.mu.Unlock()
	time.Sleep(time.Second)
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range vms {
		for j := range vms {
			if i != j {
				assert.Assert(t, maps.Equal(book.held[name(i)][name(j)], book.own[name(j)]), "%s holds of %s %v, not %v",
					name(i), name(j), book.held[name(i)][name(j)], book.own[name(j)])
			}
		}
	}
}

// TestLoadsTold bounds what one start of a generation costs a VM that serves: it
// tells the others of the target where something changed, not of all that it uses.
func TestLoadsTold(t *testing.T) {
	const vms, targets, seconds, startsASecond, others = 15, 127, 10, 20, 14
	// What a change of one target may take in a message beside its frame.
	const frame, change = 600, 120
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		loads := make([]bluebelldoor.TargetLoad, targets)
		for i := range loads {
			loads[i] = bluebelldoor.TargetLoad{Target: fmt.Sprintf("i-%010d", i), Requests: 3, Tokens: 9000, Held: 6000, Prefill: 3000}
		}
		first := loads
		var stops []func()
		for i := range vms {
			stops = append(stops, n.beginWith(i, spec{fmt.Sprintf("dc-%d", i%5), 0.8}, []string{name(0)}, func(h *gossiper.Hooks) {
				h.Loads = func() []bluebelldoor.TargetLoad {
					n.mu.Lock()
					defer n.mu.Unlock()
					if i == 0 {
						return loads
					}
					return first
				}
			}))
		}
		defer stopAll(stops)
		time.Sleep(8 * time.Second)
		n.mu.Lock()
		clear(n.bytes)
		n.mu.Unlock()
		for i := range seconds * startsASecond {
			n.mu.Lock()
			loads = slices.Clone(loads)
			loads[i%targets].Requests++
			n.mu.Unlock()
			n.vms[name(0)].Hurry()
			time.Sleep(time.Second / startsASecond)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		sent := n.bytes[name(0)] / seconds
		most := others * (startsASecond*(frame+change) + 5*(frame+change*startsASecond/4) + vms*frame)
		assert.Check(t, sent < most, "%d bytes a second, %d are enough", sent, most)
		t.Logf("%d bytes a second", sent)
	})
}

// TestHearLoads takes changes of a member's loads only where those before are held.
func TestHearLoads(t *testing.T) {
	for name, c := range map[string]struct {
		after []uint64 // of the tellings at heartbeats 1, 2, …
		takes bool     // whether the loads can be taken
		held  uint64
	}{
		"all":                      {[]uint64{0}, true, 1},
		"changes after all":        {[]uint64{0, 1}, true, 2},
		"changes without all":      {[]uint64{1}, true, 0},
		"changes after a gap":      {[]uint64{0, 1, 3}, true, 2},
		"changes that can't go in": {[]uint64{0, 1}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			table := gossiper.NewTable(bluebelldoor.MemberState{Name: "self"})
			for i, after := range c.after {
				state := bluebelldoor.MemberState{Name: "peer", Incarnation: 7, Heartbeat: uint64(i + 1)}
				table.Merge("peer", []bluebelldoor.MemberState{state}, time.Hour)
				table.HearLoads("peer", bluebelldoor.LoadDelta{After: after}, func(string, bluebelldoor.LoadDelta) bool { return c.takes })
			}
			held, _ := table.Held("peer")
			assert.Equal(t, held, c.held)
		})
	}
}

// TestHeldOfEarlierStart tells all loads to a peer that holds those of an earlier start
// of the VM.
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
			g := gossiper.New(self, nil, steady{time.Now().Add(-time.Hour)}, from{newNetwork(), "self"}, gossiper.Hooks{
				Told: func(string, bluebelldoor.LoadDelta) bool { return true },
				Delta: func(context.Context, uint64, bool) bluebelldoor.RecordDelta {
					return bluebelldoor.RecordDelta{EvidenceAgeMs: -1}
				},
				Receive: func(context.Context, bluebelldoor.RecordDelta, time.Duration, bool) {},
			}, hclog.NewNullLogger())
			out := g.Exchange(t.Context(), &bluebelldoor.ExchangeMessage{
				From: "peer", Members: []bluebelldoor.MemberState{{Name: "peer", Heartbeat: 1}}, Held: 3, HeldOf: c.of,
			})
			assert.Equal(t, out.Loads.After, c.after)
		})
	}
}

package placer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/request/placer"
)

// reservingVM is a VM with a ledger in tests of reservations.
type reservingVM struct {
	name   string
	ledger *placer.Ledger
	now    time.Duration // of the next pickAll
}

func newReservingVM(name string) *reservingVM {
	return &reservingVM{name: name, ledger: placer.NewLedger()}
}

// tell reports all loads of a VM to another at 0.
func (v *reservingVM) tell(to *reservingVM) {
	to.ledger.ApplyPeerLoads(v.name, bluebelldoor.LoadDelta{Loads: v.ledger.OwnLoads()}, 0)
}

// fill fills targets up to a memory in use, as seen from the VMs.
func fill(held map[string]int, now time.Duration, vms ...*reservingVM) {
	var loads []bluebelldoor.TargetLoad
	for target, tokens := range held {
		loads = append(loads, bluebelldoor.TargetLoad{Target: target, Requests: 5, Tokens: tokens, HeldTokens: tokens})
	}
	for _, v := range vms {
		v.ledger.ApplyPeerLoads("other", bluebelldoor.LoadDelta{Loads: loads}, now)
	}
}

// reserve reserves memory for a generation of 5,000 tokens.
func (v *reservingVM) reserve(previous *placer.MemoryReservation, candidates []placer.Candidate, now time.Duration) *placer.MemoryReservation {
	return v.ledger.ReserveMemory(previous, v.name, candidates, largeDemand, now)
}

// pick returns the target that a VM chooses, "" for none.
func (v *reservingVM) pick(candidates []placer.Candidate, d placer.Demand, now time.Duration) string {
	choice := v.ledger.Pick(candidates, d, now, func() float64 { return 0 })
	if choice.Index < 0 {
		return ""
	}
	return candidates[choice.Index].Instance.ID
}

var (
	mixedKind   = &bluebelldoor.EngineKind{MemoryTokens: mixedMemory}
	largeDemand = placer.Demand{Tokens: 5012, HeldTokens: 5000, Engine: mixedKind, MaxColdPerSecond: -1, Limits: placer.NewLimits(true, false)}
	// smallDemand is that of a deferrable generation.
	smallDemand = placer.Demand{Long: true, Tokens: 1512, HeldTokens: 1500, Engine: mixedKind, MaxColdPerSecond: -1, Limits: placer.NewLimits(true, false)}
)

func targetsOf(ids ...string) []placer.Candidate {
	var out []placer.Candidate
	for _, id := range ids {
		out = append(out, placer.Candidate{Instance: instance(id, "x")})
	}
	return out
}

// TestReserveChoice checks at which target memory is reserved, and that one that no wait can
// help gets no reservation.
func TestReserveChoice(t *testing.T) {
	held := map[string]int{"a": 23_000, "b": 21_000, "c": 22_000}
	for name, c := range map[string]struct {
		prepare    func(*reservingVM)
		candidates []placer.Candidate
		demand     placer.Demand
		want       string
	}{
		"least missing memory":  {nil, targetsOf("a", "b", "c"), largeDemand, "b"},
		"few prompts to read":   {func(v *reservingVM) { v.ledger.Start("b", 0, 0); v.ledger.Start("b", 6000, 6000).UpdateMemory(0, 0) }, targetsOf("a", "b", "c"), largeDemand, "c"},
		"an unreachable target": {func(v *reservingVM) { v.ledger.RecordUnreachable("b", 0) }, targetsOf("a", "b", "c"), largeDemand, "c"},
		"a cold and a lapsed target": {nil, []placer.Candidate{
			{Instance: instance("a", "x")}, {Instance: instance("b", "x"), Cold: true}, {Instance: instance("c", "x"), Lapsed: true},
		}, largeDemand, "a"},
		"no free slot": {func(v *reservingVM) {
			for range 24 {
				v.ledger.Start("b", 0, 0)
			}
		}, targetsOf("a", "b", "c"), largeDemand, "c"},
		"one target":             {nil, targetsOf("a"), largeDemand, "a"},
		"no target":              {nil, nil, largeDemand, ""},
		"larger than the memory": {nil, targetsOf("a", "b"), placer.Demand{HeldTokens: 25_000, Engine: mixedKind, Limits: largeDemand.Limits}, ""},
		"no engine kind":         {nil, targetsOf("a", "b"), placer.Demand{HeldTokens: 5000, Limits: largeDemand.Limits}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			v := newReservingVM("v")
			fill(held, 0, v)
			if c.prepare != nil {
				c.prepare(v)
			}
			got := v.ledger.ReserveMemory(nil, v.name, c.candidates, c.demand, 0)
			assert.Equal(t, got.Target(), c.want)
		})
	}
}

// TestReserveCounts checks that reserved memory counts as in use for all requests of all VMs
// but the owner, and that it is told for a target where the VM has no request: without that,
// smaller requests of other VMs overtake the owner without limit.
func TestReserveCounts(t *testing.T) {
	v, w := newReservingVM("v"), newReservingVM("w")
	only := targetsOf("a")
	fill(map[string]int{"a": 20_000}, 0, v, w)
	assert.Equal(t, w.pick(only, smallDemand, 0), "a")
	reservation := v.reserve(nil, only, 0)
	assert.Equal(t, reservation.Target(), "a")
	assert.Equal(t, v.pick(only, smallDemand, 0), "", "another request of the same VM")
	v.tell(w)
	assert.Equal(t, w.pick(only, smallDemand, 0), "", "another VM")
	owner := largeDemand
	owner.Reservation = reservation
	assert.Equal(t, v.pick(only, owner, 0), "", "the owner, as long as it lacks memory")

	fill(map[string]int{"a": 19_000}, 0, v, w)
	assert.Equal(t, v.pick(only, owner, 0), "a", "the owner, once there is room")
	assert.Equal(t, w.pick(only, largeDemand, 0), "")
	backfilling := smallDemand
	backfilling.Backfills = true
	assert.Equal(t, w.pick(only, backfilling, 0), "a", "a short urgent one")

	reservation.End()
	reservation.End()
	assert.Equal(t, len(v.ledger.OwnLoads()), 0)
	v.tell(w)
	assert.Equal(t, w.pick(only, smallDemand, 0), "a")
}

// TestReserveChanges checks reports of changed loads: one with a reservation and no request is
// kept, and one without either ends it. A reservation that outlasted its owner would keep
// memory idle.
func TestReserveChanges(t *testing.T) {
	w := newReservingVM("w")
	only := targetsOf("a")
	fill(map[string]int{"a": 20_000}, 0, w)
	change := func(load bluebelldoor.TargetLoad) {
		load.Target = "a"
		assert.Assert(t, w.ledger.ApplyPeerLoads("v", bluebelldoor.LoadDelta{After: 1, Loads: []bluebelldoor.TargetLoad{load}}, 0))
	}
	w.ledger.ApplyPeerLoads("v", bluebelldoor.LoadDelta{}, 0)
	change(bluebelldoor.TargetLoad{Reserved: 5000})
	assert.Equal(t, w.pick(only, smallDemand, 0), "")
	change(bluebelldoor.TargetLoad{})
	assert.Equal(t, w.pick(only, smallDemand, 0), "a")
}

// TestReserveIdle checks that the memory of an idle target stays reserved. An idle target gets
// any request otherwise.
func TestReserveIdle(t *testing.T) {
	w := newReservingVM("w")
	w.ledger.ApplyPeerLoads("v", bluebelldoor.LoadDelta{Loads: []bluebelldoor.TargetLoad{{Target: "a", Reserved: 23_000}}}, 0)
	assert.Equal(t, w.pick(targetsOf("a"), smallDemand, 0), "")
	assert.Equal(t, w.pick(targetsOf("a"), placer.Demand{HeldTokens: 1000, Tokens: 1012, Engine: mixedKind, MaxColdPerSecond: -1, Limits: placer.NewLimits(true, false)}, 0), "a")
}

// TestReserveMoves checks that a reservation stays where it is for small differences, as each
// move is told to all VMs, and moves to a target that is expected to have room much sooner, or
// if its own has left.
func TestReserveMoves(t *testing.T) {
	v := newReservingVM("v")
	all := targetsOf("a", "b")
	fill(map[string]int{"a": 21_000, "b": 22_000}, 0, v)
	r := v.reserve(nil, all, 0)
	assert.Equal(t, r.Target(), "a")
	fill(map[string]int{"a": 21_000, "b": 20_800}, 0, v)
	r = v.reserve(r, all, 0)
	assert.Equal(t, r.Target(), "a")
	fill(map[string]int{"a": 23_000, "b": 20_000}, 0, v)
	r = v.reserve(r, all, 0)
	assert.Equal(t, r.Target(), "b")
	r = v.reserve(r, targetsOf("a"), 0)
	assert.Equal(t, r.Target(), "a")
	assert.Equal(t, len(v.ledger.OwnLoads()), 1)
	r = v.reserve(r, nil, 0)
	assert.Assert(t, r == nil)
	assert.Equal(t, len(v.ledger.OwnLoads()), 0)
}

// TestReserveTwoVMs checks that of two VMs that have reserved at the same target before they
// heard of each other, one keeps its reservation and the other moves on. If both kept theirs,
// neither could use the memory.
func TestReserveTwoVMs(t *testing.T) {
	const targets = 8
	moved := map[string]int{}
	for seed := range 20 {
		v, w := newReservingVM("v"), newReservingVM("w")
		held := map[string]int{}
		var candidates []placer.Candidate
		for i := range targets {
			id := fmt.Sprintf("e%d-%d", seed, i)
			held[id] = 21_000 + 300*i
			candidates = append(candidates, targetsOf(id)...)
		}
		fill(held, 0, v, w)
		rv, rw := v.reserve(nil, candidates, 0), w.reserve(nil, candidates, 0)
		first := rv.Target()
		assert.Equal(t, rw.Target(), first)
		v.tell(w)
		w.tell(v)
		rv, rw = v.reserve(rv, candidates, 0), w.reserve(rw, candidates, 0)
		assert.Assert(t, (rv.Target() == first) != (rw.Target() == first), "%q and %q, at first both %q", rv.Target(), rw.Target(), first)
		assert.Assert(t, rv.Target() != "" && rw.Target() != "")
		if rv.Target() == first {
			moved["w"]++
		} else {
			moved["v"]++
		}
		v.tell(w)
		w.tell(v)
		after := [2]string{rv.Target(), rw.Target()}
		rv, rw = v.reserve(rv, candidates, 0), w.reserve(rw, candidates, 0)
		assert.Equal(t, [2]string{rv.Target(), rw.Target()}, after, "the reservations do not move again")
	}
	assert.Assert(t, moved["v"] > 0 && moved["w"] > 0, "one VM always moves on: %v", moved)
}

// TestReserveBound checks that at most a quarter of the targets have reservations. Reserved
// memory is idle, and VMs that each reserved at a target of their own could hold up all others.
func TestReserveBound(t *testing.T) {
	const targets = 8
	held := map[string]int{}
	var candidates []placer.Candidate
	for i := range targets {
		id := fmt.Sprintf("e%d", i)
		held[id] = 22_000
		candidates = append(candidates, targetsOf(id)...)
	}
	var vms []*reservingVM
	for i := range targets {
		vms = append(vms, newReservingVM(fmt.Sprint("vm-", i)))
	}
	fill(held, 0, vms...)
	reserved := map[string]bool{}
	for _, v := range vms {
		if target := v.reserve(nil, candidates, 0).Target(); target != "" {
			assert.Assert(t, !reserved[target])
			reserved[target] = true
		}
		for _, other := range vms {
			if other != v {
				v.tell(other)
			}
		}
	}
	assert.Equal(t, len(reserved), targets/4)
}

// TestReserveDeadVM checks that the reservation of a VM that has died ends when its report
// expires, and not before.
func TestReserveDeadVM(t *testing.T) {
	v, w := newReservingVM("v"), newReservingVM("w")
	only := targetsOf("a")
	fill(map[string]int{"a": 20_000}, 0, v, w)
	assert.Equal(t, v.reserve(nil, only, 0).Target(), "a")
	v.tell(w)
	const expiry = 3 * time.Second // of a VM's report
	for now := time.Duration(0); now <= 2*expiry; now += 100 * time.Millisecond {
		fill(map[string]int{"a": 20_000}, now, w)
		want := ""
		if now > expiry {
			want = "a"
		}
		assert.Equal(t, w.pick(only, smallDemand, now), want, "at %v", now)
		assert.Equal(t, w.reserve(nil, only, now).Target() == "", now <= expiry, "at %v", now)
		if now > expiry {
			return
		}
	}
}

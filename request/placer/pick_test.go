package placer_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/request/placer"
)

func instance(id, dataCentre string) *bluebelldoor.Instance {
	return &bluebelldoor.Instance{ID: id, DataCentre: dataCentre, Slots: 24}
}

// startCalls returns a function that starts n requests on target a.
func startCalls(n int) func(*placer.Ledger) {
	return func(l *placer.Ledger) {
		for range n {
			l.Start("a", 0, 0)
		}
	}
}

// TestPick checks which of two candidates is chosen.
func TestPick(t *testing.T) {
	kind := &bluebelldoor.EngineKind{MemoryTokens: memoryTokens}
	for name, c := range map[string]struct {
		a, b    placer.Candidate
		prepare func(*placer.Ledger)
		demand  placer.Demand
		want    int
	}{
		"less loaded": {
			placer.Candidate{Instance: instance("a", "x")},
			placer.Candidate{Instance: instance("b", "x")},
			func(l *placer.Ledger) { l.Start("a", 9000, 0) },
			placer.Demand{Tokens: 4000, Engine: kind},
			1,
		},
		"a peer's load counts": {
			placer.Candidate{Instance: instance("a", "x")},
			placer.Candidate{Instance: instance("b", "x")},
			func(l *placer.Ledger) {
				l.ApplyPeerLoads("vm", bluebelldoor.LoadDelta{Loads: []bluebelldoor.TargetLoad{{Target: "b", Requests: 3, Tokens: 9000}}}, 0)
			},
			placer.Demand{Tokens: 4000, Engine: kind},
			0,
		},
		"queued prompts cost more than memory": {
			placer.Candidate{Instance: instance("a", "x")},
			placer.Candidate{Instance: instance("b", "x")},
			func(l *placer.Ledger) { l.Start("a", 6000, 6000); l.Start("b", 12000, 0) },
			placer.Demand{Tokens: 4000, Engine: kind},
			1,
		},
		"a copy needs no prefill": {
			placer.Candidate{Instance: instance("a", "x")},
			placer.Candidate{Instance: instance("b", "x")},
			func(l *placer.Ledger) { l.Start("a", 6000, 6000); l.Start("b", 22000, 0) },
			placer.Demand{Tokens: 4000, Engine: kind, IsCopy: true, DataCentre: "x"},
			0,
		},
		"a copy stays in its data centre despite some overcommitment": {
			placer.Candidate{Instance: instance("a", "y")},
			placer.Candidate{Instance: instance("b", "x")},
			func(l *placer.Ledger) { l.Start("b", 34000, 0) },
			placer.Demand{Tokens: 4000, Engine: kind, IsCopy: true, DataCentre: "x"},
			1,
		},
		"memory that can't be copied within the notice": {
			placer.Candidate{Instance: instance("a", "x")},
			placer.Candidate{Instance: instance("b", "x")},
			func(l *placer.Ledger) {
				l.Start("a", 0, 0).UpdateMemory(20000, 18000)
				l.Start("b", 3000, 3000)
			},
			placer.Demand{Tokens: 4000, HeldTokens: 3500, Engine: &bluebelldoor.EngineKind{
				MemoryTokens: memoryTokens, CanCopy: true, BytesPerToken: 160_000, LinkBytesPerSecond: 2e9,
			}},
			1,
		},
		"a copy stays in its data centre": {
			placer.Candidate{Instance: instance("a", "y")},
			placer.Candidate{Instance: instance("b", "x")},
			func(l *placer.Ledger) { l.Start("b", 12000, 0) },
			placer.Demand{Tokens: 4000, Engine: kind, IsCopy: true, DataCentre: "x"},
			1,
		},
		"not enough memory": {
			placer.Candidate{Instance: instance("a", "x")},
			placer.Candidate{Instance: instance("b", "x")},
			func(l *placer.Ledger) { l.Start("a", 32000, 0); l.Start("b", 9000, 3000) },
			placer.Demand{Tokens: 6000, Engine: kind},
			1,
		},
		"warm before cold": {
			placer.Candidate{Instance: instance("a", "x"), Cold: true},
			placer.Candidate{Instance: instance("b", "x")},
			func(*placer.Ledger) {},
			placer.Demand{Tokens: 6000, Engine: kind, MaxColdPerSecond: 5},
			1,
		},
		"a failing target": {
			placer.Candidate{Instance: instance("a", "x")},
			placer.Candidate{Instance: instance("b", "x")},
			func(l *placer.Ledger) {
				for range 5 {
					l.RecordOutcome("b", true)
				}
			},
			placer.Demand{},
			0,
		},
		"an unreachable target": {
			placer.Candidate{Instance: instance("a", "x")},
			placer.Candidate{Instance: instance("b", "x")},
			func(l *placer.Ledger) {
				l.RecordUnreachable("b", 0)
				l.Start("a", 30000, 6000)
			},
			placer.Demand{Tokens: 3000, Engine: kind},
			0,
		},
		"a target whose events are late": {
			placer.Candidate{Instance: instance("a", "x")},
			placer.Candidate{Instance: instance("b", "x")},
			func(l *placer.Ledger) {
				l.RecordStall("b", "x", 0)
				l.RecordStall("b", "x", 0)
				l.Start("a", 6000, 0)
			},
			placer.Demand{Tokens: 3000, Engine: kind, DataCentre: "x"},
			0,
		},
		"a data centre behind links that lose packets": {
			placer.Candidate{Instance: instance("a", "x")},
			placer.Candidate{Instance: instance("b", "y")},
			func(l *placer.Ledger) {
				for i := range 12 {
					l.RecordStall(fmt.Sprint(i), "y", 0)
				}
				l.Start("a", 12000, 0)
			},
			placer.Demand{Tokens: 3000, Engine: kind, DataCentre: "x"},
			0,
		},
		"a local runner that is half full": {
			placer.Candidate{Instance: instance("a", "x")},
			placer.Candidate{Instance: instance("b", "y")},
			startCalls(12), // of 24 slots
			placer.Demand{DataCentre: "x"},
			0,
		},
		"a local runner that is nearly full": {
			placer.Candidate{Instance: instance("a", "x")},
			placer.Candidate{Instance: instance("b", "y")},
			startCalls(18), // of 24 slots
			placer.Demand{DataCentre: "x"},
			1,
		},
		"the less loaded runner": {
			placer.Candidate{Instance: instance("a", "x")},
			placer.Candidate{Instance: instance("b", "x")},
			startCalls(12), // of 24 slots
			placer.Demand{DataCentre: "x"},
			1,
		},
		"a lapsed entry": {
			placer.Candidate{Instance: instance("a", "x"), Lapsed: true},
			placer.Candidate{Instance: instance("b", "x")},
			func(l *placer.Ledger) { l.Start("b", 9000, 0) },
			placer.Demand{Tokens: 6000, Engine: kind},
			1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := placer.NewLedger()
			c.prepare(l)
			got := l.Pick([]placer.Candidate{c.a, c.b}, c.demand, 0, func() float64 { return 0.5 })
			assert.Equal(t, got.Index, c.want)
		})
	}
}

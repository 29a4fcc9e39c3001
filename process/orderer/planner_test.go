package orderer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/orderer"
)

var (
	start  = time.Unix(1000, 0)
	model  = bluebelldoor.Weights{Kind: "model", Name: "gait", Version: "1"}
	old    = bluebelldoor.Weights{Kind: "adapter", Name: "shoes", Version: "1"}
	target = bluebelldoor.NewTarget(bluebelldoor.TargetSpec{
		Name: "engine", Kind: bluebelldoor.KindEngine, Role: "mixed", Weights: []bluebelldoor.Weights{model},
	})
)

// The limits of the test document: one issuer, one load a minute, a lease of 3 s.
const (
	lease        = 3 * time.Second
	loadInterval = time.Minute
)

func document(revision uint64) *bluebelldoor.Document {
	return bluebelldoor.NewDocument(bluebelldoor.DocumentSpec{
		Revision: revision, Targets: []*bluebelldoor.Target{target},
		Limits: bluebelldoor.Limits{LoadsPerMinute: 1, FreshFor: lease},
	})
}

func list(version uint64, names ...string) *bluebelldoor.VMList {
	var vms []*bluebelldoor.VM
	for _, name := range names {
		vms = append(vms, bluebelldoor.NewVM(bluebelldoor.VMSpec{Name: name}))
	}
	return bluebelldoor.NewVMList(version, vms)
}

// newIssuer returns the planner of a fleet's only VM, and the time from which it
// issues orders.
func newIssuer() (*orderer.Planner, time.Time) {
	p := orderer.NewPlanner("vm-1")
	p.Assign(document(2), list(1, "vm-1"), start)
	return p, start.Add(lease + loadInterval)
}

func TestNext(t *testing.T) {
	for name, c := range map[string]struct {
		state bluebelldoor.EngineState
		kind  bluebelldoor.OrderKind
	}{
		"role first":      {bluebelldoor.EngineState{Role: "decode"}, bluebelldoor.OrderRole},
		"unload first":    {bluebelldoor.EngineState{Role: "mixed", Loaded: []bluebelldoor.Weights{old}}, bluebelldoor.OrderUnload},
		"load":            {bluebelldoor.EngineState{Role: "mixed"}, bluebelldoor.OrderLoad},
		"already loading": {bluebelldoor.EngineState{Role: "mixed", Loading: []bluebelldoor.Weights{model}}, ""},
		"up to date":      {bluebelldoor.EngineState{Role: "mixed", Loaded: []bluebelldoor.Weights{model}}, ""},
		"newer issuer":    {bluebelldoor.EngineState{Fence: 3 << 20}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			p, now := newIssuer()
			o, ok := p.Next(target, c.state, now)
			assert.Equal(t, ok, c.kind != "")
			if ok {
				assert.Equal(t, o.Kind, c.kind)
				assert.Assert(t, o.Fence > c.state.Fence && o.Fence>>20 == 2)
			}
		})
	}
}

// TestPace checks that a slot issues one load per interval, also if the first
// load never reached the engine.
func TestPace(t *testing.T) {
	p, now := newIssuer()
	empty := bluebelldoor.EngineState{Role: "mixed"}
	_, ok := p.Next(target, empty, now)
	assert.Assert(t, ok)
	_, ok = p.Next(target, empty, now.Add(loadInterval-1))
	assert.Assert(t, !ok)
	_, ok = p.Next(target, empty, now.Add(loadInterval))
	assert.Assert(t, ok)
}

// TestHandover checks that the new holder of a slot waits until the former
// holder's lease has expired and its last load no longer counts.
func TestHandover(t *testing.T) {
	p := orderer.NewPlanner("vm-1")
	p.Assign(document(2), list(1, "vm-2"), start)
	assert.Assert(t, !p.IsIssuer(target, start.Add(time.Hour)), "another VM holds the slot")
	acquired := start.Add(time.Hour)
	p.Assign(document(2), list(2, "vm-1"), acquired)
	assert.Assert(t, !p.IsIssuer(target, acquired.Add(lease+loadInterval-1)))
	assert.Assert(t, p.IsIssuer(target, acquired.Add(lease+loadInterval)))
	p.Assign(document(3), list(2, "vm-1"), acquired.Add(lease))
	assert.Assert(t, p.IsIssuer(target, acquired.Add(lease+loadInterval)), "a new document must not revoke the slot")
}

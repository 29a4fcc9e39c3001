package router_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/slotter"
	"bluebelldoor/request/router"
)

var now = time.Unix(1000, 0)

// candidate returns a warm, idle target, modified by change.
func candidate(name string, change func(*router.Candidate)) *router.Candidate {
	c := &router.Candidate{
		Target: bluebelldoor.NewTarget(bluebelldoor.TargetSpec{
			Name: name, Models: []string{"m"}, MaxRunning: 4, MemoryTokens: 1000, ColdSlots: 2,
		}),
		Load: router.NewLoad(), HasReport: true, Warm: true, SameDataCentre: true,
		Report: bluebelldoor.LoadReport{Received: now},
	}
	if change != nil {
		change(c)
	}
	return c
}

func cold(slots ...slotter.Slot) func(*router.Candidate) {
	return func(c *router.Candidate) { c.Warm, c.Slots = false, slots }
}

func TestChoose(t *testing.T) {
	free := slotter.Slot{Drained: true}
	for name, c := range map[string]struct {
		a, b func(*router.Candidate)
		want string
	}{
		"fewer generations":     {func(c *router.Candidate) { c.Report.Running = 2 }, nil, "b"},
		"more free memory":      {func(c *router.Candidate) { c.Report.MemoryUsed = 500 }, nil, "b"},
		"same data centre":      {func(c *router.Candidate) { c.SameDataCentre = false }, nil, "b"},
		"not a closed one":      {func(c *router.Candidate) { c.ClosedReason = "out" }, nil, "b"},
		"not without a report":  {func(c *router.Candidate) { c.HasReport = false }, nil, "b"},
		"not a leaving one":     {func(c *router.Candidate) { c.Report.Leaving = true }, nil, "b"},
		"not a stale report":    {func(c *router.Candidate) { c.Report.Received = now.Add(-time.Minute) }, nil, "b"},
		"cold since the report": {func(c *router.Candidate) { c.Load.MarkCold(now) }, nil, "b"},
		"not a failing one": {func(c *router.Candidate) {
			c.Load.RecordFailure(now)
			c.Load.RecordFailure(now)
			c.Load.RecordFailure(now)
		}, cold(free), "b"},
		"cold with a slot":    {cold(free), cold(), "a"},
		"slot not usable yet": {cold(slotter.Slot{Drained: true, UsableAt: now.Add(1)}), cold(), ""},
		"slot not drained":    {cold(slotter.Slot{}), cold(), ""},
		"all slots in use":    {func(c *router.Candidate) { cold(free)(c); c.Report.Running = 2 }, cold(), ""},
		"all full":            {func(c *router.Candidate) { c.Report.Running = 9 }, func(c *router.Candidate) { c.Report.MemoryUsed = 990 }, ""},
		"memory nearly full":  {func(c *router.Candidate) { c.ClosedReason = "out" }, func(c *router.Candidate) { c.Report.MemoryUsed = 900 }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			table := router.NewTable("vm", 1, []*router.Candidate{candidate("a", c.a), candidate("b", c.b)})
			got := router.Router{}.Choose(table, "m", router.Demand{PromptTokens: 50, OutputTokens: 50, MeanRemaining: 50}, now, 1)
			if c.want == "" {
				assert.Assert(t, got == nil)
				return
			}
			assert.Assert(t, got != nil)
			assert.Equal(t, got.Target.Name(), c.want)
		})
	}
}

// TestSharedRoom checks that VMs that choose by the same report do not each use
// all the free capacity that it showed.
func TestSharedRoom(t *testing.T) {
	const vms, bound = 7, 8
	sent := 0
	for vm := range vms {
		c := candidate("a", func(c *router.Candidate) { c.Report.Running = 4 + 2 - 4 })
		table := router.NewTable(fmt.Sprint("vm-", vm), vms, []*router.Candidate{c})
		for i := range bound {
			d := router.Demand{PromptTokens: 1, OutputTokens: 1, MeanRemaining: 1}
			if (router.Router{}).Choose(table, "m", d, now, 1) == nil {
				break
			}
			c.Load.Start(fmt.Sprint(i), d, now.Add(1))
			sent++
		}
	}
	assert.Assert(t, sent <= bound, "%d sent; the report showed capacity for 4", sent)
}

// TestTold checks that the loads sent by peers replace the report, which lags,
// once all peers have sent theirs.
func TestTold(t *testing.T) {
	loads := func(requests, held, tokens int) []bluebelldoor.TargetLoad {
		return []bluebelldoor.TargetLoad{{Target: "a", Requests: requests, HeldTokens: held, Tokens: tokens}}
	}
	manyPeers := make([]string, 17)
	for i := range manyPeers {
		manyPeers[i] = fmt.Sprint("vm-", i)
	}
	for name, c := range map[string]struct {
		peers   []string
		loads   map[string][]bluebelldoor.TargetLoad
		report  bluebelldoor.LoadReport
		accepts bool
	}{
		"no peer loads, free by report":        {[]string{"b"}, nil, bluebelldoor.LoadReport{}, true},
		"no peer loads, full by report":        {[]string{"b"}, nil, bluebelldoor.LoadReport{Running: 6}, false},
		"full since the report":                {[]string{"b"}, map[string][]bluebelldoor.TargetLoad{"b": loads(6, 60, 60)}, bluebelldoor.LoadReport{}, false},
		"full since the report by two peers":   {[]string{"b", "c"}, map[string][]bluebelldoor.TargetLoad{"b": loads(3, 60, 60), "c": loads(3, 60, 60)}, bluebelldoor.LoadReport{}, false},
		"memory full since the report":         {[]string{"b"}, map[string][]bluebelldoor.TargetLoad{"b": loads(1, 900, 900)}, bluebelldoor.LoadReport{}, false},
		"memory expected to fill":              {[]string{"b"}, map[string][]bluebelldoor.TargetLoad{"b": loads(1, 700, 9000)}, bluebelldoor.LoadReport{}, false},
		"free since the report":                {[]string{"b"}, map[string][]bluebelldoor.TargetLoad{"b": nil}, bluebelldoor.LoadReport{Running: 6, MemoryUsed: 990}, true},
		"one peer missing, full by report":     {[]string{"b", "c"}, map[string][]bluebelldoor.TargetLoad{"b": nil}, bluebelldoor.LoadReport{Running: 6}, false},
		"one peer missing, full by peer loads": {[]string{"b", "c"}, map[string][]bluebelldoor.TargetLoad{"b": loads(6, 60, 60)}, bluebelldoor.LoadReport{}, false},
		"loads of a leaving VM":                {nil, map[string][]bluebelldoor.TargetLoad{"z": loads(6, 60, 60)}, bluebelldoor.LoadReport{}, false},
		"more than MaxPeers, full by report":   {manyPeers, nil, bluebelldoor.LoadReport{Running: 6}, false},
	} {
		t.Run(name, func(t *testing.T) {
			peers := router.NewPeerLoads()
			for vm, l := range c.loads {
				peers.Replace(vm, l, now)
			}
			target := candidate("a", func(a *router.Candidate) {
				a.Report = c.report
				a.Report.Received = now
			})
			table := router.NewTable("vm", 1, []*router.Candidate{target})
			table.Peers = c.peers
			got := router.New(peers).Choose(table, "m", router.Demand{PromptTokens: 50, OutputTokens: 50, MeanRemaining: 50}, now, 1)
			assert.Equal(t, got != nil, c.accepts)
		})
	}
}

// largeTable returns a table of many warm targets.
func largeTable(targets int) *router.Table {
	var all []*router.Candidate
	for i := range targets {
		all = append(all, candidate(fmt.Sprint("engine-", i), func(c *router.Candidate) {
			c.Report.Running = i % 4
			c.Report.MemoryUsed = i % 700
		}))
	}
	return router.NewTable("vm", 410, all)
}

func TestChooseAllocatesNothing(t *testing.T) {
	table, d := largeTable(1400), router.Demand{PromptTokens: 50, OutputTokens: 50, MeanRemaining: 50}
	random := rand.New(rand.NewPCG(1, 1))
	assert.Equal(t, testing.AllocsPerRun(1000, func() {
		router.Router{}.Choose(table, "m", d, now, random.Uint64())
	}), 0.0)
}

func BenchmarkChoose(b *testing.B) {
	for _, targets := range []int{20, 200, 1400} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			table, d := largeTable(targets), router.Demand{PromptTokens: 50, OutputTokens: 50, MeanRemaining: 50}
			random := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for b.Loop() {
				router.Router{}.Choose(table, "m", d, now, random.Uint64())
			}
		})
	}
}

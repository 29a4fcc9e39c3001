package placer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/request/placer"
)

const ms = time.Millisecond

func zero() float64 { return 0 }

// protectedDemand is that of a protected stream on engines with much memory.
func protectedDemand() placer.Demand {
	return placer.Demand{
		Tokens: 4000, HeldTokens: 3000, Long: true, DataCentre: "x", MaxColdPerSecond: -1, Engine: &bluebelldoor.EngineKind{MemoryTokens: 1e6},
		MixesStreams: true, Protected: true, MaxEventGap: maxGap,
	}
}

// expectedGap returns the gap that a protected stream must expect on a target.
func expectedGap(l *placer.Ledger, target string) time.Duration {
	return l.Pick([]placer.Candidate{{Instance: instance(target, "x")}}, protectedDemand(), 0, zero).ExpectedGap
}

// TestPauseFactor guards against a factor that follows a single outlier or too few intervals,
// that overlooks intervals which are rare but make one stream in ten late, or that leaves its
// bounds. All intervals are 10 ms but for long ones in a sample now and then.
func TestPauseFactor(t *testing.T) {
	for name, c := range map[string]struct {
		samples   int           // of 16 intervals
		every     int           // which sample has one long interval, 0 for none
		long      time.Duration // its length
		least, to float64
	}{
		"nothing seen":                     {1, 0, 0, 5, 5},
		"too few to lower it":              {800, 0, 0, 5, 5},
		"one outlier":                      {400, 400, 300 * ms, 5, 5},
		"a few outliers, rarer than asked": {4000, 200, 300 * ms, 2, 5},
		"none are long":                    {4000, 0, 0, 2, 2},
		"one stream in five has one of 3":  {4000, 45, 30 * ms, 2.8, 3.2},
		"one stream in five has one of 8":  {4000, 45, 80 * ms, 7.6, 8.4},
		"far longer":                       {4000, 45, time.Second, 10, 10},
		"after millions":                   {200_000, 45, 30 * ms, 2.8, 3.2},
	} {
		t.Run(name, func(t *testing.T) {
			l := placer.NewLedger()
			for n := range c.samples {
				sample := slices.Repeat([]time.Duration{10 * ms}, 16)
				if c.every > 0 && n%c.every == c.every-1 {
					sample[7] = c.long
				}
				l.RecordStreamIntervals("", "a", sample)
			}
			factor := float64(expectedGap(l, "a")) / float64(10*ms)
			assert.Assert(t, factor >= c.least && factor <= c.to, "factor %.2f", factor)
		})
	}
}

// TestPauseFactorOfServices guards against a factor that is taken from another service, and
// against one that no longer follows the intervals once many have been seen.
func TestPauseFactorOfServices(t *testing.T) {
	l := placer.NewLedger()
	record := func(service, target string, samples int, long time.Duration) {
		for n := range samples {
			sample := slices.Repeat([]time.Duration{10 * ms}, 16)
			if n%45 == 0 {
				sample[7] = long
			}
			l.RecordStreamIntervals(service, target, sample)
		}
	}
	record("other", "b", 10_000, 90*ms)
	record("", "a", 10_000, 30*ms)
	assert.Assert(t, expectedGap(l, "a") < 33*ms, "%v", expectedGap(l, "a"))
	record("", "a", 10_000, 70*ms)
	assert.Assert(t, expectedGap(l, "a") > 66*ms, "%v", expectedGap(l, "a"))
}

// TestUsualInterval guards against a target whose interval is learned late, swings with a slow
// period of 600 ms, or is lost with the load of the VM that knows it.
func TestUsualInterval(t *testing.T) {
	sample := func(n int, interval time.Duration) []time.Duration {
		return slices.Repeat([]time.Duration{interval}, n)
	}
	tell := func(l *placer.Ledger, loads ...bluebelldoor.TargetLoad) {
		l.ApplyPeerLoads("vm", bluebelldoor.LoadDelta{After: 1, Loads: loads}, 0)
	}
	for name, c := range map[string]struct {
		record    func(l *placer.Ledger)
		least, to time.Duration // usual interval
	}{
		"nothing known":    {func(*placer.Ledger) {}, 0, 0},
		"first events":     {func(l *placer.Ledger) { l.RecordStreamIntervals("", "a", sample(4, 20*ms)) }, 20 * ms, 20 * ms},
		"a single one":     {func(l *placer.Ledger) { l.RecordStreamIntervals("", "a", sample(1, 20*ms)) }, 20 * ms, 20 * ms},
		"none in a sample": {func(l *placer.Ledger) { l.RecordStreamIntervals("", "a", nil) }, 0, 0},
		"a slow period": {func(l *placer.Ledger) {
			for range 10 {
				l.RecordStreamIntervals("", "a", sample(16, 20*ms))
			}
			l.RecordStreamIntervals("", "a", sample(16, 50*ms))
		}, 20 * ms, 25 * ms},
		"becomes slow": {func(l *placer.Ledger) {
			for range 10 {
				l.RecordStreamIntervals("", "a", sample(16, 20*ms))
			}
			for range 24 {
				l.RecordStreamIntervals("", "a", sample(16, 40*ms))
			}
		}, 38 * ms, 40 * ms},
		"of a peer whose load has ended": {func(l *placer.Ledger) {
			tell(l, bluebelldoor.TargetLoad{Target: "a", Requests: 1, EventIntervalMs: 20})
			tell(l, bluebelldoor.TargetLoad{Target: "a"})
		}, 20 * ms, 20 * ms},
		"of a peer without load": {func(l *placer.Ledger) {
			tell(l, bluebelldoor.TargetLoad{Target: "a", EventIntervalMs: 20})
		}, 20 * ms, 20 * ms},
		"a single one against a peer's": {func(l *placer.Ledger) {
			tell(l, bluebelldoor.TargetLoad{Target: "a", EventIntervalMs: 20})
			l.RecordStreamIntervals("", "a", sample(1, 80*ms))
		}, 20 * ms, 25 * ms},
		"own before a peer's": {func(l *placer.Ledger) {
			tell(l, bluebelldoor.TargetLoad{Target: "a", EventIntervalMs: 40})
			l.RecordStreamIntervals("", "a", sample(16, 20*ms))
		}, 20 * ms, 20 * ms},
		"forgotten": {func(l *placer.Ledger) {
			tell(l, bluebelldoor.TargetLoad{Target: "a", EventIntervalMs: 40})
			l.RecordStreamIntervals("", "a", sample(16, 20*ms))
			l.Forget("a")
		}, 0, 0},
		"usual of the others": {func(l *placer.Ledger) {
			l.RecordStreamIntervals("", "b", sample(16, 30*ms))
		}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l := placer.NewLedger()
			c.record(l)
			usual := expectedGap(l, "a") / 5 // the factor until enough intervals are known
			assert.Assert(t, usual >= c.least && usual <= c.to, "%v", usual)
		})
	}
}

// TestIdleIntervals guards against an interval that peers never hear of because only short
// requests run on the target, and against reports that grow with the targets known.
func TestIdleIntervals(t *testing.T) {
	l, peer := placer.NewLedger(), placer.NewLedger()
	for i := range 100 {
		id := fmt.Sprintf("e%03d", i)
		r := l.Start(id, 10, 10)
		l.RecordStreamIntervals("", id, []time.Duration{20 * ms})
		r.End()
	}
	loads := l.OwnLoads()
	assert.Assert(t, len(loads) <= 32, "%d targets without load reported", len(loads))
	peer.ApplyPeerLoads("vm", bluebelldoor.LoadDelta{Loads: loads}, 0)
	assert.Equal(t, expectedGap(peer, "e099"), 100*ms)
	l.Start("e099", 10, 10)
	n := 0
	for _, load := range l.OwnLoads() {
		if load.Target == "e099" {
			n++
			assert.Equal(t, load.Requests, 1)
		}
	}
	assert.Equal(t, n, 1, "a target with load is reported once")
	for i := range 100 {
		l.Forget(fmt.Sprintf("e%03d", i))
	}
	assert.Equal(t, len(l.OwnLoads()), 1)

	// Without protected streams nothing is reported beyond the loads.
	l = placer.NewLedger()
	r := l.Start("a", 10, 10)
	l.RecordIntervals("a", slices.Repeat([]time.Duration{20 * ms}, 16))
	r.End()
	assert.Equal(t, len(l.OwnLoads()), 0)
}

// TestPacesAreBounded guards against memory that grows with the targets that peers name.
func TestPacesAreBounded(t *testing.T) {
	l := placer.NewLedger()
	for i := range 10_000 {
		l.ApplyPeerLoads("vm", bluebelldoor.LoadDelta{Loads: []bluebelldoor.TargetLoad{{Target: fmt.Sprint(i), EventIntervalMs: 20}}}, 0)
		l.RecordStreamIntervals("", fmt.Sprint(i), []time.Duration{20 * ms})
	}
	assert.Assert(t, l.TargetCount() <= 4096, "%d targets", l.TargetCount())
}

// TestPickBesideStreams guards against placement that puts protected streams where they are
// late, or other requests where they make them late. Engines fast and quick are safe, slow and
// tardy are not.
func TestPickBesideStreams(t *testing.T) {
	intervals := map[string]time.Duration{"fast": 20 * ms, "quick": 20 * ms, "slow": 40 * ms, "tardy": 40 * ms}
	protect := func(target string, n int) func(*placer.Ledger) {
		return func(l *placer.Ledger) {
			for range n {
				l.Start(target, 0, 0).Protect()
			}
		}
	}
	calls := func(target string, n int) func(*placer.Ledger) {
		return func(l *placer.Ledger) {
			for range n {
				l.Start(target, 0, 0)
			}
		}
	}
	type change func(d *placer.Demand)
	none := func(*placer.Demand) {}
	other := func(d *placer.Demand) { d.Protected, d.Long = false, false }
	moved := func(d *placer.Demand) { d.IsCopy = true }
	movedOther := func(d *placer.Demand) { d.Protected, d.Long, d.IsCopy = false, false, true }
	apart := func(d *placer.Demand) { d.MixesStreams, d.Protected, d.Long = false, false, false }
	for name, c := range map[string]struct {
		candidates []string
		prepare    func(*placer.Ledger)
		demand     change
		want       string
		safe       bool
	}{
		"safe though busier":                    {[]string{"slow", "fast"}, calls("fast", 10), none, "fast", true},
		"fewest streams where none is safe":     {[]string{"slow", "tardy"}, protect("slow", 1), none, "tardy", false},
		"unknown counts as usual, safe":         {[]string{"new", "fast", "quick", "slow"}, func(l *placer.Ledger) { calls("fast", 3)(l); calls("quick", 3)(l) }, none, "new", true},
		"unknown counts as usual, unsafe":       {[]string{"new", "fast", "slow", "tardy"}, calls("fast", 3), none, "fast", true},
		"another avoids the streams":            {[]string{"slow", "tardy"}, protect("slow", 2), other, "tardy", false},
		"another avoids safe ones a little":     {[]string{"fast", "slow"}, calls("slow", 5), other, "slow", false},
		"but not at any price":                  {[]string{"slow", "fast"}, calls("slow", 10), other, "fast", true},
		"another prefers safe ones to streams":  {[]string{"slow", "fast"}, protect("slow", 4), other, "fast", true},
		"no avoidance where none are protected": {[]string{"slow", "tardy"}, func(l *placer.Ledger) { protect("slow", 2)(l); calls("tardy", 3)(l) }, apart, "slow", false},
		"a move to a safe one":                  {[]string{"slow", "fast"}, calls("fast", 10), moved, "fast", true},
		"a move away from prompts":              {[]string{"fast", "quick"}, func(l *placer.Ledger) { l.Start("fast", 100, 100); calls("quick", 10)(l) }, moved, "quick", true},
		"a move to a safe one that reads":       {[]string{"slow", "fast"}, func(l *placer.Ledger) { l.Start("fast", 100, 100) }, moved, "fast", true},
		"a move of another disturbs none":       {[]string{"slow", "tardy"}, func(l *placer.Ledger) { protect("slow", 2)(l); calls("tardy", 3)(l) }, movedOther, "slow", false},
		"a short hint doesn't end a protection": {[]string{"slow", "fast"}, calls("fast", 5), func(d *placer.Demand) { d.Tokens, d.Long = 3010, false }, "fast", true},
		"peers' streams count as this VM's ones": {[]string{"slow", "tardy"}, func(l *placer.Ledger) {
			l.ApplyPeerLoads("vm", bluebelldoor.LoadDelta{Loads: []bluebelldoor.TargetLoad{{Target: "slow", Requests: 1, Streams: 1}}}, 0)
		}, none, "tardy", false},
	} {
		t.Run(name, func(t *testing.T) {
			l := placer.NewLedger()
			var candidates []placer.Candidate
			for _, id := range c.candidates {
				candidates = append(candidates, placer.Candidate{Instance: instance(id, "x")})
				if interval := intervals[id]; interval > 0 {
					l.RecordStreamIntervals("", id, slices.Repeat([]time.Duration{interval}, 16))
				}
			}
			c.prepare(l)
			d := protectedDemand()
			c.demand(&d)
			choice := l.Pick(candidates, d, 0, zero)
			assert.Equal(t, c.candidates[choice.Index], c.want, "cost %.2f", choice.Cost)
			assert.Equal(t, choice.Safe, c.safe)
			assert.Equal(t, choice.Protected, d.Protected)
			assert.Equal(t, choice.ExpectedGap > 0, d.MixesStreams)
		})
	}
}

// BenchmarkRecordStreamIntervals measures the cost of a sample of 16 intervals.
func BenchmarkRecordStreamIntervals(b *testing.B) {
	l := placer.NewLedger()
	sample := slices.Repeat([]time.Duration{20 * ms}, 16)
	for b.Loop() {
		l.RecordStreamIntervals("", "a", sample)
	}
}

// BenchmarkPickBesideStreams measures Pick for a protected stream, for the numbers of engines
// of BenchmarkPick.
func BenchmarkPickBesideStreams(b *testing.B) {
	for _, n := range []int{18, 71, 1400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := placer.NewLedger()
			candidates := make([]placer.Candidate, n)
			for i := range candidates {
				candidates[i] = placer.Candidate{Instance: instance(fmt.Sprintf("i-%010d", i), "x")}
				l.Start(candidates[i].Instance.ID, 3000, 0)
				l.RecordStreamIntervals("", candidates[i].Instance.ID, []time.Duration{20 * ms})
			}
			for b.Loop() {
				l.Start(candidates[0].Instance.ID, 10, 0).End()
				l.Pick(candidates, protectedDemand(), 0, zero)
			}
		})
	}
}

package placer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/request/placer"
)

// simulateSlowEngines simulates the placement of long generations, at a rate per
// second, on engines of which every third produces events more slowly. It returns
// the share of the generations on slow engines, and the highest number on one
// engine.
func simulateSlowEngines(rate float64, reportDelay time.Duration) (slowShare float64, peak int) {
	const (
		engines      = 12
		slowFactor   = 1.3
		interval     = 30 * time.Millisecond // between events
		sampleEvents = 16
		warmUp       = 10 * time.Second
		length       = 60 * time.Second
	)
	f := newFleet(1, engines, reportDelay)
	intervalOf := func(e int) time.Duration {
		if e%3 == 0 {
			return time.Duration(slowFactor * float64(interval))
		}
		return interval
	}
	placed, onSlow := 0, 0
	active := map[int]int{}
	var generate func(vm, e, remaining int, r *placer.Reservation, now time.Duration)
	generate = func(vm, e, remaining int, r *placer.Reservation, now time.Duration) {
		sample := make([]time.Duration, sampleEvents)
		for i := range sample {
			// An eighth of the events are delayed by a prompt that the engine reads.
			sample[i] = intervalOf(e)
			if f.random.IntN(8) == 0 {
				sample[i] *= 2
			}
		}
		f.ledgers[vm].RecordIntervals(f.engines[e].instance.ID, sample)
		f.reportLoads(vm, now)
		if remaining <= sampleEvents {
			r.End()
			active[e]--
			return
		}
		f.add(now+sampleEvents*intervalOf(e), func(now time.Duration) { generate(vm, e, remaining-sampleEvents, r, now) })
	}
	for now := time.Duration(0); now < length; now += time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)) {
		vm, events := f.random.IntN(len(f.ledgers)), 50+f.random.IntN(400)
		f.add(now, func(now time.Duration) {
			demand := placer.Demand{
				Tokens: 3000 + 4*events, HeldTokens: 3000, Long: true, DataCentre: f.engines[vm%3].instance.DataCentre,
				MaxColdPerSecond: -1, Engine: &bluebelldoor.EngineKind{MemoryTokens: memoryTokens},
			}
			e := byLedger(f, vm, demand, now)
			r := f.ledgers[vm].Start(f.engines[e].instance.ID, demand.Tokens, demand.HeldTokens)
			active[e]++
			peak = max(peak, active[e])
			if now > warmUp {
				placed++
				if e%3 == 0 {
					onSlow++
				}
			}
			f.reportLoads(vm, now)
			f.add(now+400*time.Millisecond, func(now time.Duration) {
				r.PromptRead()
				generate(vm, e, events, r, now)
			})
		})
	}
	f.run()
	return float64(onSlow) / float64(placed), peak
}

// TestSlowEngines simulates engines of which a third are slow. While the fast ones
// have room, the slow ones get at most half of a proportional share of the long
// generations; where all are full, at least half.
func TestSlowEngines(t *testing.T) {
	const half = 1.0 / 6
	for name, c := range map[string]struct {
		rate        float64 // long generations a second
		least, most float64 // share on slow engines
	}{
		"room on the fast ones": {2.5, 0, half},
		"half full":             {5, 0, half},
		"all full":              {14, half, 1},
	} {
		t.Run(name, func(t *testing.T) {
			for _, delay := range []time.Duration{0, 250 * time.Millisecond} {
				slowShare, peak := simulateSlowEngines(c.rate, delay)
				t.Logf("reports after %v: %.2f on slow engines, at most %d on one", delay, slowShare, peak)
				assert.Assert(t, slowShare >= c.least && slowShare <= c.most, "%.2f on slow engines", slowShare)
			}
		})
	}
}

// TestPace checks that the recorded event interval excludes delays by prompts that
// the engine reads, and follows an engine that becomes slow.
func TestPace(t *testing.T) {
	ms := func(values ...int) []time.Duration {
		var out []time.Duration
		for _, v := range values {
			out = append(out, time.Duration(v)*time.Millisecond)
		}
		return out
	}
	for name, c := range map[string]struct {
		samples [][]time.Duration
		want    int // ms reported to peers
	}{
		"no sample":           {nil, 0},
		"too few intervals":   {[][]time.Duration{ms(30, 30)}, 0},
		"even":                {[][]time.Duration{ms(30, 30, 30, 30)}, 30},
		"delayed by prompts":  {[][]time.Duration{ms(30, 62, 62, 30, 30, 62, 30, 62)}, 30},
		"two came together":   {[][]time.Duration{ms(30, 60, 0, 30, 30, 30, 30, 30)}, 30},
		"becomes slow":        {[][]time.Duration{ms(30, 30, 30), ms(60, 60, 60), ms(60, 60, 60), ms(60, 60, 60), ms(60, 60, 60)}, 58},
		"rounded for peers":   {[][]time.Duration{ms(31, 31, 31)}, 32},
		"two together, early": {[][]time.Duration{ms(0, 60, 30, 30, 30, 30, 30, 30, 30)}, 30},
	} {
		t.Run(name, func(t *testing.T) {
			l := placer.NewLedger()
			l.Start("e", 1, 1)
			for _, sample := range c.samples {
				l.RecordIntervals("e", sample)
			}
			assert.Equal(t, l.OwnLoads()[0].EventIntervalMs, c.want)
		})
	}
}

// TestPaceOfPeers checks that an engine's event interval is taken from peers where
// the VM has not measured it, and is forgotten with the engine.
func TestPaceOfPeers(t *testing.T) {
	l := placer.NewLedger()
	var candidates []placer.Candidate
	var loads []bluebelldoor.TargetLoad
	for i, interval := range []int{40, 30, 30} {
		id := fmt.Sprintf("e%d", i)
		candidates = append(candidates, placer.Candidate{Instance: &bluebelldoor.Instance{ID: id, DataCentre: "dc", Slots: 24}})
		loads = append(loads, bluebelldoor.TargetLoad{Target: id, Requests: 1 + i, EventIntervalMs: interval})
	}
	zero := func() float64 { return 0 }
	demand := placer.Demand{Tokens: 4000, HeldTokens: 3000, Long: true, DataCentre: "dc", MaxColdPerSecond: -1, Engine: &bluebelldoor.EngineKind{MemoryTokens: memoryTokens}}
	assert.Equal(t, l.Pick(candidates, demand, 0, zero).Index, 0)
	l.ApplyPeerLoads("vm", bluebelldoor.LoadDelta{Loads: loads}, 0)
	assert.Equal(t, l.Pick(candidates, demand, 0, zero).Index, 1)
	demand.Long = false
	assert.Equal(t, l.Pick(candidates, demand, 0, zero).Index, 0, "a short one goes to the least loaded")
	l.RecordIntervals("e0", []time.Duration{1, 1, 1})
	assert.Equal(t, l.TargetCount(), 1)
	l.Forget("e0")
	assert.Equal(t, l.TargetCount(), 0)
}

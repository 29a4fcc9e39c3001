package placer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/request/placer"
)

// engine is a model of an engine that reads prompts one after the other.
type engine struct {
	instance    *bluebelldoor.Instance
	prefilledAt time.Duration // when all queued prompts have been read
	tokens      int
	peakTokens  int
}

const (
	prefillPerMs = 14   // tokens
	tokenMs      = 8    // ms per generated token
	memoryTokens = 34e3 // per engine
	vmCount      = 6
)

// event is an action at a simulated time.
type event struct {
	at     time.Duration
	action func(now time.Duration)
}

// fleet simulates VMs that place generations on engines.
type fleet struct {
	random      *rand.Rand
	ledgers     []*placer.Ledger
	engines     []*engine
	events      []event
	waits       []time.Duration // from arrival until the prompt has been read
	memoryFull  int             // generations placed on an engine without memory for the prompt
	reportDelay time.Duration   // of loads between VMs
}

func newFleet(seed uint64, engines int, reportDelay time.Duration) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 7)), reportDelay: reportDelay}
	for range vmCount {
		f.ledgers = append(f.ledgers, placer.NewLedger())
	}
	for i := range engines {
		f.engines = append(f.engines, &engine{instance: &bluebelldoor.Instance{
			ID: fmt.Sprintf("e%02d", i), DataCentre: fmt.Sprintf("dc-%d", i%3), Slots: 24,
		}})
	}
	return f
}

func (f *fleet) add(at time.Duration, action func(time.Duration)) {
	i, _ := slices.BinarySearchFunc(f.events, at, func(e event, at time.Duration) int {
		if e.at <= at {
			return -1
		}
		return 1
	})
	f.events = slices.Insert(f.events, i, event{at, action})
}

func (f *fleet) run() {
	for len(f.events) > 0 {
		e := f.events[0]
		f.events = f.events[1:]
		e.action(e.at)
	}
}

// chooser returns the index of the engine for a generation that arrives at a VM.
type chooser func(f *fleet, vm int, demand placer.Demand, now time.Duration) int

func byLedger(f *fleet, vm int, demand placer.Demand, now time.Duration) int {
	candidates := make([]placer.Candidate, len(f.engines))
	for i, e := range f.engines {
		candidates[i] = placer.Candidate{Instance: e.instance}
	}
	return f.ledgers[vm].Pick(candidates, demand, now, f.random.Float64).Index
}

func atRandom(f *fleet, _ int, _ placer.Demand, _ time.Duration) int {
	return f.random.IntN(len(f.engines))
}

// arrive places a generation that arrives at a VM.
func (f *fleet) arrive(vm, prompt, output int, choose chooser, now time.Duration) {
	demand := placer.Demand{
		Tokens: prompt + output, DataCentre: f.engines[vm%3].instance.DataCentre, MaxColdPerSecond: -1,
		Engine: &bluebelldoor.EngineKind{MemoryTokens: memoryTokens},
	}
	e := f.engines[choose(f, vm, demand, now)]
	reservation := f.ledgers[vm].Start(e.instance.ID, demand.Tokens, prompt)
	f.reportLoads(vm, now)
	e.prefilledAt = max(e.prefilledAt, now) + time.Duration(prompt/prefillPerMs)*time.Millisecond
	f.waits = append(f.waits, e.prefilledAt-now)
	if e.tokens+prompt > memoryTokens {
		f.memoryFull++
	}
	e.tokens += prompt + output
	e.peakTokens = max(e.peakTokens, e.tokens)
	f.add(e.prefilledAt, func(now time.Duration) {
		reservation.PromptRead()
		reservation.UpdateMemory(prompt+output, prompt+output/2) // half of the output on average
		f.reportLoads(vm, now)
	})
	f.add(e.prefilledAt+time.Duration(output*tokenMs)*time.Millisecond, func(now time.Duration) {
		reservation.End()
		e.tokens -= prompt + output
		f.reportLoads(vm, now)
	})
}

// reportLoads reports a VM's loads to the other VMs after the report delay.
func (f *fleet) reportLoads(vm int, now time.Duration) {
	loads := f.ledgers[vm].OwnLoads()
	f.add(now+f.reportDelay, func(now time.Duration) {
		for other, l := range f.ledgers {
			if other != vm {
				l.ApplyPeerLoads(fmt.Sprint(vm), bluebelldoor.LoadDelta{Loads: loads}, now)
			}
		}
	})
}

// simulateReports simulates the users' mix of long reports and short checks at a
// rate per second.
func (f *fleet) simulateReports(rate float64, length time.Duration, choose chooser) {
	for now := time.Duration(0); now < length; now += time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)) {
		at, vm := now, f.random.IntN(len(f.ledgers))
		prompt, output := 2500+f.random.IntN(1000), 200+f.random.IntN(1500)
		if f.random.IntN(100) < 58 {
			prompt, output = 1500+f.random.IntN(2000), 4+f.random.IntN(16)
		}
		f.add(at, func(now time.Duration) { f.arrive(vm, prompt, output, choose, now) })
	}
	f.run()
}

// shareWithin returns the share of the generations whose prompt was read within
// limit.
func (f *fleet) shareWithin(limit time.Duration) float64 {
	n := 0
	for _, w := range f.waits {
		if w <= limit {
			n++
		}
	}
	return float64(n) / float64(len(f.waits))
}

// TestHerd checks that several VMs that see the same least loaded engine don't all
// choose it at the same moment. The objective is a first event within 1.5 s for
// 99.5% of the generations under normal load.
func TestHerd(t *testing.T) {
	const objective = 1500 * time.Millisecond
	for seed := range uint64(5) {
		timely := newFleet(seed, 18, time.Millisecond)
		timely.simulateReports(16.6, 60*time.Second, byLedger)
		assert.Check(t, timely.shareWithin(objective) >= 0.995, "seed %d: %.4f in time", seed, timely.shareWithin(objective))
		delayed := newFleet(seed, 18, 500*time.Millisecond)
		delayed.simulateReports(16.6, 60*time.Second, byLedger)
		baseline := newFleet(seed, 18, time.Millisecond)
		baseline.simulateReports(16.6, 60*time.Second, atRandom)
		late := func(f *fleet) float64 { return 1 - f.shareWithin(500*time.Millisecond) }
		assert.Check(t, late(timely) < late(delayed)/2, "seed %d: over half a second: timely reports %.4f, delayed reports %.4f", seed, late(timely), late(delayed))
		assert.Check(t, late(timely) < late(baseline)/2, "seed %d: over half a second: timely reports %.4f, random choice %.4f", seed, late(timely), late(baseline))
	}
}

// TestCrowdedMemory checks that generations are spread over engines whose memory is
// nearly full, so that few are preempted.
func TestCrowdedMemory(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed, 12, time.Millisecond)
		f.simulateReports(16, 60*time.Second, byLedger)
		baseline := newFleet(seed, 12, time.Millisecond)
		baseline.simulateReports(16, 60*time.Second, atRandom)
		assert.Check(t, f.memoryFull*10 <= baseline.memoryFull, "seed %d: %d without memory, random choice %d", seed, f.memoryFull, baseline.memoryFull)
	}
}

// TestBurst checks that queued prompts are spread evenly in a burst of 1.7 times the
// usual rate for some seconds.
func TestBurst(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed, 18, time.Millisecond)
		f.simulateReports(28.2, 8*time.Second, byLedger)
		assert.Check(t, f.shareWithin(1500*time.Millisecond) >= 0.99, "seed %d: %.4f in time", seed, f.shareWithin(1500*time.Millisecond))
	}
}

// overload simulates twice the prompts that the engines can read for 5 s, then a
// quarter of that for 15 s.
func (f *fleet) overload(arrive func(vm, prompt, output int, now time.Duration)) {
	const (
		meanPrompt = 2600
		length     = 20 * time.Second
		overload   = 5 * time.Second
	)
	rate := 2 * float64(len(f.engines)*prefillPerMs*1000) / meanPrompt
	for now := time.Duration(0); now < length; now += time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)) {
		if now > overload && f.random.IntN(8) > 0 {
			continue
		}
		at, vm := now, f.random.IntN(len(f.ledgers))
		prompt, output := 2500+f.random.IntN(1000), 100+f.random.IntN(100)
		if f.random.IntN(100) < 58 {
			prompt, output = 1500+f.random.IntN(1700), 4+f.random.IntN(16)
		}
		f.add(at, func(now time.Duration) { arrive(vm, prompt, output, now) })
	}
	f.run()
}

// queueingFleet is a fleet whose VMs queue generations until an engine has room.
type queueingFleet struct {
	*fleet
	queues  [vmCount]placer.Queue[func(chooser, time.Duration)]
	polling [vmCount]bool
}

// arrive queues a generation until an engine has room.
func (q *queueingFleet) arrive(vm, prompt, output int, now time.Duration) {
	const objective = 1500 * time.Millisecond
	arrived := now
	q.queues[vm].Add(&placer.QueueItem[func(chooser, time.Duration)]{
		OrderTime: now, StartBy: now + placer.MaxStartDelay(objective, prompt), ExpiresAt: time.Hour,
		Value: func(choose chooser, now time.Duration) {
			q.fleet.arrive(vm, prompt, output, choose, now)
			q.waits[len(q.waits)-1] += now - arrived
		},
	})
	q.admit(vm, now)
}

// admit sends queued generations to engines as long as one has room, and polls
// until the queue is empty.
func (q *queueingFleet) admit(vm int, now time.Duration) {
	candidates := make([]placer.Candidate, len(q.engines))
	for i, e := range q.engines {
		candidates[i] = placer.Candidate{Instance: e.instance}
	}
	demand := placer.Demand{
		DataCentre: q.engines[vm%3].instance.DataCentre, MaxColdPerSecond: -1,
		Engine: &bluebelldoor.EngineKind{MemoryTokens: memoryTokens}, Limits: placer.NewLimits(true, false),
	}
	for _, w := range q.queues[vm].Order(now) {
		choice := q.ledgers[vm].Pick(candidates, demand, now, q.random.Float64)
		if choice.Index < 0 {
			break
		}
		q.queues[vm].Remove(w)
		w.Value(func(*fleet, int, placer.Demand, time.Duration) int { return choice.Index }, now)
	}
	if q.queues[vm].Len() > 0 && !q.polling[vm] {
		q.polling[vm] = true
		q.add(now+10*time.Millisecond, func(now time.Duration) {
			q.polling[vm] = false
			q.admit(vm, now)
		})
	}
}

// TestOverload checks that in an overload of some seconds few generations are late
// beyond those whose prompts can't be read in time. First in, first out makes the
// others late as well, until the backlog is gone.
func TestOverload(t *testing.T) {
	const (
		objective = 1500 * time.Millisecond
		engines   = 12
		// excess is the share of the prompts that can't be read within the overload:
		// half of those of 5 s at twice the rate, out of these and 15 s at a quarter
		// of the rate.
		excess = 0.5 * 5 * 2 / (5*2 + 15*0.25)
	)
	for seed := range uint64(5) {
		baseline := newFleet(seed, engines, time.Millisecond)
		baseline.overload(func(vm, prompt, output int, now time.Duration) { baseline.arrive(vm, prompt, output, byLedger, now) })
		queueing := &queueingFleet{fleet: newFleet(seed, engines, time.Millisecond)}
		queueing.overload(queueing.arrive)
		assert.Equal(t, len(queueing.waits), len(baseline.waits))
		late, baselineLate := 1-queueing.shareWithin(objective), 1-baseline.shareWithin(objective)
		assert.Check(t, late < 0.7*baselineLate, "seed %d: late with the queue %.3f, first in first out %.3f", seed, late, baselineLate)
		assert.Check(t, late < 1.25*excess, "seed %d: late with the queue %.3f", seed, late)
	}
}

// TestCold checks that a cold target gets no more requests in any second than the
// VM's share of its rate.
func TestCold(t *testing.T) {
	l := placer.NewLedger()
	only := []placer.Candidate{{Instance: instance("a", "x"), Cold: true}}
	var sent []time.Duration
	for now := time.Duration(0); now < 10*time.Second; now += 13 * time.Millisecond {
		if l.Pick(only, placer.Demand{MaxColdPerSecond: 4.3}, now, func() float64 { return 0 }).Index == 0 {
			l.RecordCold("a", now)
			sent = append(sent, now)
		}
	}
	assert.Assert(t, len(sent) > 30)
	for i, from := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at < from+time.Second {
				n++
			}
		}
		assert.Assert(t, n <= 4, "%d in a second", n)
	}
}

// TestNobodyLeft checks that there is no choice without candidates, or where all
// are cold and at their rate limit.
func TestNobodyLeft(t *testing.T) {
	l := placer.NewLedger()
	assert.Equal(t, l.Pick(nil, placer.Demand{}, 0, func() float64 { return 0 }).Index, -1)
	cold := []placer.Candidate{{Instance: instance("a", "x"), Cold: true}}
	assert.Equal(t, l.Pick(cold, placer.Demand{MaxColdPerSecond: 0.5}, 0, func() float64 { return 0 }).Index, -1)
}

// BenchmarkPick measures Pick for today's numbers of engines and the planned one.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{18, 71, 1400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := placer.NewLedger()
			candidates := make([]placer.Candidate, n)
			for i := range candidates {
				candidates[i] = placer.Candidate{Instance: instance(fmt.Sprintf("i-%010d", i), "x")}
				l.Start(candidates[i].Instance.ID, 3000, 0)
			}
			demand := placer.Demand{Tokens: 4000, Engine: &bluebelldoor.EngineKind{MemoryTokens: memoryTokens}, MaxColdPerSecond: -1}
			for b.Loop() {
				l.Start(candidates[0].Instance.ID, 10, 0).End()
				l.Pick(candidates, demand, 0, rand.Float64)
			}
		})
	}
}

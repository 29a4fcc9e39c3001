package placer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/request/placer"
	"bluebelldoor/request/ramper"
)

const (
	rampPrompt   = 2200 // tokens
	rampSlots    = 24
	rampBase     = 2 // requests, for rampSlots
	errorTime    = 5 * time.Millisecond
	rampNewAt    = 7 * time.Second
	rampLength   = 22 * time.Second
	rampQueueFor = 750 * time.Millisecond
)

// rampEngine is an engine of which the test controls the pace and the errors.
type rampEngine struct {
	*engine
	startedAt time.Duration
	pace      func(now time.Duration) float64 // 1 is the usual one, 2 half as fast
	fails     func(now time.Duration) bool
	requests  int
	// beforeAnswer is the highest number of requests before the first answer.
	beforeAnswer int
	answered     bool
	// failedLate is the number of errors in the last 5 s.
	failedLate int
}

// rampFleet simulates VMs whose ledgers tell each other of their loads.
type rampFleet struct {
	*fleet
	engines []*rampEngine
	joinAt  []time.Duration // by VM
	queues  []placer.Queue[func(time.Duration, placer.Overflow) placer.Room]
	polling []bool
	inForce bool
	refused int
	changes [][]ramper.Change // by VM, of the last engine
}

func newRampFleet(vms, engines int) *rampFleet {
	f := &rampFleet{fleet: newFleet(2, 0, 0), inForce: true, joinAt: make([]time.Duration, vms)}
	f.ledgers = nil
	for range vms {
		f.ledgers = append(f.ledgers, placer.NewLedger())
	}
	f.queues, f.polling, f.changes = make([]placer.Queue[func(time.Duration, placer.Overflow) placer.Room], vms), make([]bool, vms), make([][]ramper.Change, vms)
	for i := range engines {
		f.engines = append(f.engines, &rampEngine{
			engine: &engine{instance: &bluebelldoor.Instance{ID: fmt.Sprintf("e%02d", i), StartedAt: 1, Slots: rampSlots}}, startedAt: -time.Minute,
			pace: func(time.Duration) float64 { return 1 }, fails: func(time.Duration) bool { return false },
		})
	}
	return f
}

func (f *rampFleet) last() *rampEngine { return f.engines[len(f.engines)-1] }

// observe tells a VM of the engines that have started.
func (f *rampFleet) observe(vm int, now time.Duration) []placer.Candidate {
	var candidates []placer.Candidate
	var targets []ramper.Target
	for _, e := range f.engines {
		if e.startedAt <= now {
			cold := now < e.startedAt+time.Second
			candidates = append(candidates, placer.Candidate{Instance: e.instance, Cold: cold})
			targets = append(targets, ramper.Target{TargetIncarnation: e.instance.Incarnation(), Slots: rampSlots, Cold: cold})
		}
	}
	f.ledgers[vm].ObserveTargets(map[string][]ramper.Target{"s": targets}, 1/float64(len(f.ledgers)), now)
	return candidates
}

func (f *rampFleet) place(vm, output int, now time.Duration, overflow placer.Overflow) placer.Room {
	l, share := f.ledgers[vm], 1/float64(len(f.ledgers))
	choice := l.Pick(f.observe(vm, now), placer.Demand{
		Tokens: rampPrompt + output, HeldTokens: rampPrompt, MaxColdPerSecond: -1, Engine: &bluebelldoor.EngineKind{MemoryTokens: 100_000},
		Limits: placer.NewLimits(true, false), SlowStart: placer.SlowStart{InForce: f.inForce, VMShare: share, Overflow: overflow},
	}, now, f.random.Float64)
	f.takeChanges(vm)
	if choice.Index < 0 {
		return max(choice.Missing, placer.NoPrefillCapacity)
	}
	e := f.engines[choice.Index]
	attempt := l.NewAttempt(e.instance.Incarnation(), rampPrompt, 0, now)
	reservation := l.Start(e.instance.ID, rampPrompt+output, rampPrompt)
	e.requests++
	if !e.answered {
		e.beforeAnswer = max(e.beforeAnswer, e.requests)
	}
	f.reportLoads(vm, now)
	end := func(now time.Duration) {
		reservation.End()
		e.requests--
		f.reportLoads(vm, now)
	}
	if e.fails(now) {
		if now > rampLength-5*time.Second {
			e.failedLate++
		}
		f.add(now+errorTime, func(now time.Duration) {
			l.RecordOutcome(e.instance.ID, true)
			l.RecordTrouble(attempt, "status", share, now)
			end(now)
		})
		return placer.HasRoom
	}
	pace := e.pace(now)
	e.prefilledAt = max(e.prefilledAt, now) + time.Duration(pace*rampPrompt/prefillPerMs*float64(time.Millisecond))
	f.add(e.prefilledAt, func(now time.Duration) {
		e.answered = true
		l.RecordOutcome(e.instance.ID, false)
		l.RecordAnswer(attempt, share, now)
		f.takeChanges(vm)
		reservation.PromptRead()
		f.reportLoads(vm, now)
	})
	f.add(e.prefilledAt+time.Duration(pace*float64(output*tokenMs)*float64(time.Millisecond)), end)
	return placer.HasRoom
}

// takeChanges keeps the changes of the last engine.
func (f *rampFleet) takeChanges(vm int) {
	for _, c := range f.ledgers[vm].TakeSlowStartChanges() {
		if c.Target == f.last().instance.ID {
			f.changes[vm] = append(f.changes[vm], c)
		}
	}
}

func (f *rampFleet) dispatch(vm int, now time.Duration) {
	queue := &f.queues[vm]
	overflow := queue.Overflow(now)
	queue.Dispatch(now, func(place func(time.Duration, placer.Overflow) placer.Room) placer.Room { return place(now, overflow) })
	f.refused += len(queue.RemoveExpired(now))
	if queue.Len() > 0 && !f.polling[vm] {
		f.polling[vm] = true
		f.add(now+10*time.Millisecond, func(now time.Duration) {
			f.polling[vm] = false
			f.dispatch(vm, now)
		})
	}
}

// simulate lets generations arrive at a rate per second.
func (f *rampFleet) simulate(rate float64) {
	for vm := range f.ledgers {
		f.add(f.joinAt[vm], func(now time.Duration) { f.observe(vm, now) })
	}
	for now := time.Duration(0); rate > 0 && now < rampLength; now += time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)) {
		vm, output := f.random.IntN(len(f.ledgers)), 10+f.random.IntN(200)
		if now < f.joinAt[vm] {
			continue
		}
		f.add(now, func(now time.Duration) {
			f.queues[vm].Add(&placer.QueueItem[func(time.Duration, placer.Overflow) placer.Room]{
				OrderTime: now, StartBy: now + rampQueueFor, ExpiresAt: now + rampQueueFor,
				Value: func(now time.Duration, overflow placer.Overflow) placer.Room {
					return f.place(vm, output, now, overflow)
				},
			})
			f.dispatch(vm, now)
		})
	}
	f.run()
}

// entered returns how many VMs had the last engine in slow start at least once, and
// inSlowStart how many have it now.
func (f *rampFleet) entered() (entered, inSlowStart int) {
	for _, changes := range f.changes {
		if n := len(changes); n > 0 {
			entered++
			if changes[n-1].Entered {
				inSlowStart++
			}
		}
	}
	return entered, inSlowStart
}

// TestSlowStart guards, for each load, against targets that get more than they have shown to
// bear, and against callers who are refused or targets that stay unused because of it. At
// 60 requests/s the engines read prompts for 0.79 of the time, at 80 they can't read all.
func TestSlowStart(t *testing.T) {
	const vms, calm, full = 12, 60, 80
	isNew := func(f *rampFleet) { f.last().startedAt = rampNewAt }
	checkFlood := func(most int) func(t *testing.T, f *rampFleet) {
		return func(t *testing.T, f *rampFleet) {
			entered, inSlowStart := f.entered()
			assert.Equal(t, entered, vms)
			assert.Equal(t, inSlowStart, 0)
			assert.Assert(t, f.last().beforeAnswer <= most, "%d requests before the first answer", f.last().beforeAnswer)
		}
	}
	checkNone := func(t *testing.T, f *rampFleet) {
		entered, _ := f.entered()
		assert.Equal(t, entered, 0)
		assert.Equal(t, f.refused, 0)
	}
	for name, c := range map[string]struct {
		rate    float64
		prepare func(f *rampFleet)
		check   func(t *testing.T, f *rampFleet)
	}{
		"new among warm ones": {calm, isNew, checkFlood(rampBase)},
		"new among full ones": {full, isNew, checkFlood(rampBase)},
		"new among full ones, without slow start": {full, func(f *rampFleet) { f.inForce = false; isNew(f) }, func(t *testing.T, f *rampFleet) {
			assert.Assert(t, f.last().beforeAnswer > rampBase, "%d requests: the load floods no new target", f.last().beforeAnswer)
		}},
		"12 VMs at once, before they hear of each other": {full, func(f *rampFleet) {
			isNew(f)
			f.reportDelay = 50 * time.Millisecond
		}, checkFlood(vms)},
		"all new at once": {calm, func(f *rampFleet) {
			for _, e := range f.engines {
				e.startedAt = 0
			}
		}, func(t *testing.T, f *rampFleet) {
			checkFlood(rampBase)(t, f)
			assert.Equal(t, f.refused, 0)
		}},
		"half speed": {calm, func(f *rampFleet) {
			isNew(f)
			f.last().pace = func(time.Duration) float64 { return 2 }
		}, checkFlood(rampBase)},
		"a pace that swings": {calm, func(f *rampFleet) {
			f.last().pace = func(now time.Duration) float64 {
				if now%(4*time.Second) < 600*time.Millisecond {
					return 2.5
				}
				return 1
			}
		}, checkNone},
		"fast errors": {calm, func(f *rampFleet) {
			f.last().fails = func(now time.Duration) bool { return now > rampNewAt }
		}, func(t *testing.T, f *rampFleet) {
			entered, inSlowStart := f.entered()
			assert.Assert(t, entered > 0 && inSlowStart > 0)
			assert.Assert(t, f.last().failedLate < calm*5/len(f.engines), "%d errors in the last 5 s", f.last().failedLate)
			assert.Equal(t, f.refused, 0)
		}},
		"idle": {0, isNew, func(t *testing.T, f *rampFleet) {
			f.observe(0, rampNewAt)
			for vm := range vms {
				assert.Equal(t, f.place(vm, 10, time.Hour, placer.OverflowNever), placer.HasRoom)
			}
			assert.Equal(t, f.ledgers[0].SlowStarts(), 1, "the window has grown by time")
		}},
		"a VM joins late, all warm": {calm, func(f *rampFleet) { f.joinAt[3] = rampNewAt }, checkNone},
		"a VM joins late, one new": {full, func(f *rampFleet) {
			isNew(f)
			f.joinAt[3] = rampNewAt + 100*time.Millisecond
		}, checkFlood(rampBase)},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRampFleet(vms, 12)
			c.prepare(f)
			f.simulate(c.rate)
			c.check(t, f)
		})
	}
}

// TestCreditWithoutRequests guards against peers that forget the credit of a VM, and shrink
// the window, whenever the VM has no requests at the target. They hear of changes only.
func TestCreditWithoutRequests(t *testing.T) {
	share, target := 0.5, bluebelldoor.TargetIncarnation{ID: "a", StartedAt: 1}
	own, peer := placer.NewLedger(), placer.NewLedger()
	for _, l := range []*placer.Ledger{own, peer} {
		l.ObserveTargets(map[string][]ramper.Target{"s": {{TargetIncarnation: target, Slots: rampSlots, Cold: true}}}, share, 0)
	}
	assert.Equal(t, peer.ApplyPeerLoads("own", bluebelldoor.LoadDelta{}, 0), true)
	attempt := own.NewAttempt(target, rampPrompt, 0, 0)
	reservation := own.Start("a", rampPrompt, rampPrompt)
	own.RecordAnswer(attempt, share, 200*time.Millisecond)
	window := func(after string) int {
		assert.Equal(t, peer.ApplyPeerLoads("own", bluebelldoor.LoadDelta{After: 1, Loads: own.OwnLoads()}, time.Second), true, after)
		return peer.Pick([]placer.Candidate{{Instance: &bluebelldoor.Instance{ID: "a", Slots: rampSlots}}}, placer.Demand{
			MaxColdPerSecond: -1, SlowStart: placer.SlowStart{InForce: true, VMShare: share},
		}, time.Second, func() float64 { return 0 }).Window
	}
	assert.Equal(t, window("the answer"), rampBase+1)
	reservation.End()
	assert.Equal(t, window("the end"), rampBase+1)
}

// TestOverflow guards against callers who are refused because of slow start alone, and
// against a new target that gets all for which the others have no room.
func TestOverflow(t *testing.T) {
	queued := func(arrived, expires time.Duration) placer.Overflow {
		q := placer.Queue[int]{}
		q.Add(&placer.QueueItem[int]{OrderTime: 990 * time.Millisecond, ExpiresAt: time.Minute})
		q.Add(&placer.QueueItem[int]{OrderTime: arrived, ExpiresAt: expires, Priority: 9})
		return q.Overflow(time.Second)
	}
	for name, c := range map[string]struct {
		targets, atWindow int // those that are not at their window are full
		overflow          placer.Overflow
		placed            bool
	}{
		"queued, all at their window":          {4, 4, queued(950*time.Millisecond, time.Minute), false},
		"one has waited":                       {4, 4, queued(800*time.Millisecond, time.Minute), true},
		"one is about to expire":               {4, 4, queued(950*time.Millisecond, 1020*time.Millisecond), true},
		"one has waited, most at their window": {4, 3, queued(0, time.Minute), true},
		"one has waited, one at its window":    {4, 1, queued(0, time.Minute), false},
		"can't queue, one at its window":       {4, 1, placer.OverflowAlways, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := placer.NewLedger()
			var candidates []placer.Candidate
			var targets []ramper.Target
			for i := range c.targets {
				e := &bluebelldoor.Instance{ID: fmt.Sprint(i), Slots: rampSlots}
				candidates = append(candidates, placer.Candidate{Instance: e})
				targets = append(targets, ramper.Target{TargetIncarnation: e.Incarnation(), Slots: rampSlots, Cold: i < c.atWindow})
				requests := rampSlots
				if i < c.atWindow {
					requests = rampBase
				}
				for range requests {
					l.Start(e.ID, 10, 10)
				}
			}
			l.ObserveTargets(map[string][]ramper.Target{"s": targets}, 1, 0)
			choice := l.Pick(candidates, placer.Demand{
				Engine: &bluebelldoor.EngineKind{MemoryTokens: memoryTokens}, MaxColdPerSecond: -1, Limits: placer.NewLimits(true, false),
				SlowStart: placer.SlowStart{InForce: true, VMShare: 1, Overflow: c.overflow},
			}, time.Second, func() float64 { return 0 })
			assert.Equal(t, choice.Index >= 0, c.placed)
			assert.Equal(t, choice.OverWindow, c.placed)
			assert.Equal(t, choice.Missing != placer.HasRoom, !c.placed)
		})
	}
}

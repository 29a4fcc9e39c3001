package placer_test

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/request/placer"
)

const (
	urgentObjective     = 1500 * time.Millisecond
	urgentTimeout       = 6 * time.Second
	deferrableObjective = 4 * time.Second
	deferrableTimeout   = 39 * time.Second
	// mixedMemory is the memory of an engine in the deployment that has deferrable routes.
	mixedMemory = 26_856
	// mixedEngines is the number of engines, of which a sixth leave every leaveInterval.
	mixedEngines  = 12
	leaveInterval = 3300 * time.Millisecond
	minNotice     = 1500 * time.Millisecond
	coldPeriod    = time.Second
	// updateTokens is after how many tokens the memory in use is updated.
	updateTokens = 64
)

// mixedCall is a generation of a caller, over its attempts.
type mixedCall struct {
	urgent         bool
	prompt, output int
	arrived        time.Duration // of the first attempt
	retry          bool
	begun          time.Duration // when its prompt was read, 0 if it was not served
}

func (c *mixedCall) objective() time.Duration {
	if c.urgent {
		return urgentObjective
	}
	return deferrableObjective
}

func (c *mixedCall) timeout() time.Duration {
	if c.urgent {
		return urgentTimeout
	}
	return deferrableTimeout
}

// inTime reports whether its first event came within the objective.
func (c *mixedCall) inTime() bool { return c.begun > 0 && c.begun-c.arrived <= c.objective() }

// mixedEngine is an engine of a mixedFleet.
type mixedEngine struct {
	*engine
	coldUntil time.Duration
	leaving   bool
	streams   map[*mixedStream]bool
}

// mixedStream is a generation that runs.
type mixedStream struct {
	vm          int
	call        *mixedCall
	engine      *mixedEngine
	reservation *placer.Reservation
	made        int // tokens
}

// mixedFleet simulates urgent generations beside deferrable ones that fill the memory, on
// engines that leave. The VMs queue and reserve as package relayer does.
type mixedFleet struct {
	*fleet
	mixed     []*mixedEngine
	created   int
	queues    [vmCount]placer.Queue[*mixedCall]
	demand    [vmCount]placer.UrgentDemand
	reserved  [vmCount]*placer.MemoryReservation
	owner     [vmCount]*mixedCall
	polling   [vmCount]bool
	calls     []*mixedCall
	owners    map[*mixedCall]bool // calls for which memory was reserved
	length    time.Duration
	headroom  bool
	reserving bool
}

func newMixedFleet(seed uint64, headroom, reserving bool) *mixedFleet {
	m := &mixedFleet{fleet: newFleet(seed, 0, 100*time.Millisecond), owners: map[*mixedCall]bool{}, length: 90 * time.Second, headroom: headroom, reserving: reserving}
	for range mixedEngines {
		m.addEngine(0)
	}
	for vm := range vmCount {
		m.report(vm, 0)
	}
	m.add(leaveInterval, m.leave)
	return m
}

func (m *mixedFleet) addEngine(coldUntil time.Duration) {
	i := &bluebelldoor.Instance{ID: fmt.Sprintf("e%03d", m.created), DataCentre: fmt.Sprintf("dc-%d", m.created%3), Slots: 24}
	m.created++
	m.mixed = append(m.mixed, &mixedEngine{engine: &engine{instance: i}, coldUntil: coldUntil, streams: map[*mixedStream]bool{}})
}

// report sends a VM's loads to the others several times a second, also without a placement.
func (m *mixedFleet) report(vm int, now time.Duration) {
	if now > m.length+urgentTimeout {
		return
	}
	m.reportLoads(vm, now)
	m.add(now+250*time.Millisecond, func(now time.Duration) { m.report(vm, now) })
}

// leave makes a sixth of the engines leave, with a notice in which their streams move.
func (m *mixedFleet) leave(now time.Duration) {
	if now > m.length {
		return
	}
	for range mixedEngines / 6 {
		i := m.random.IntN(mixedEngines)
		e := m.mixed[i]
		e.leaving = true
		m.mixed = slices.Delete(m.mixed, i, i+1)
		m.addEngine(now + coldPeriod)
		streams := slices.SortedFunc(maps.Keys(e.streams), func(a, b *mixedStream) int { return cmp.Compare(a.call.arrived, b.call.arrived) })
		for _, s := range streams {
			at := max(now, s.call.begun) + time.Duration(m.random.Int64N(int64(minNotice)))
			m.add(at, func(now time.Duration) { m.move(s, now) })
		}
	}
	m.add(now+leaveInterval, m.leave)
}

// move continues a stream on another engine.
func (m *mixedFleet) move(s *mixedStream, now time.Duration) {
	if !s.engine.streams[s] {
		return // it has ended
	}
	held := s.call.prompt + s.made
	d := m.newDemand(s.vm, s.call)
	d.IsCopy, d.HeldTokens, d.Limits = true, held, placer.CopyLimits
	choice := m.ledgers[s.vm].Pick(m.candidates(now), d, now, m.random.Float64)
	if choice.Index < 0 {
		d.Limits = nil
		choice = m.ledgers[s.vm].Pick(m.candidates(now), d, now, m.random.Float64)
	}
	s.reservation.End()
	delete(s.engine.streams, s)
	s.engine = m.mixed[choice.Index]
	s.engine.streams[s] = true
	s.reservation = m.ledgers[s.vm].Start(s.engine.instance.ID, 0, 0)
	s.reservation.UpdateMemory(s.call.prompt+s.call.output, held)
}

func (m *mixedFleet) candidates(now time.Duration) []placer.Candidate {
	out := make([]placer.Candidate, len(m.mixed))
	for i, e := range m.mixed {
		out[i] = placer.Candidate{Instance: e.instance, Cold: now < e.coldUntil}
	}
	return out
}

func (m *mixedFleet) newDemand(vm int, c *mixedCall) placer.Demand {
	return placer.Demand{
		Tokens: c.prompt + c.output, HeldTokens: c.prompt, Long: !c.urgent, DataCentre: fmt.Sprintf("dc-%d", vm%3),
		Backfills: c.urgent, Engine: &bluebelldoor.EngineKind{MemoryTokens: mixedMemory}, MaxColdPerSecond: (35*1.5 + 5) * 0.7 / vmCount,
	}
}

// arrive queues a call.
func (m *mixedFleet) arrive(vm int, c *mixedCall, now time.Duration) {
	w := &placer.QueueItem[*mixedCall]{Value: c, OrderTime: c.arrived, Long: !c.urgent}
	wait := placer.MaxUrgentQueueTime(urgentObjective, c.prompt)
	switch {
	case c.urgent:
		m.demand[vm].Record(c.prompt, now)
		w.StartBy = c.arrived + wait
	default:
		wait = placer.MaxQueueTime(deferrableObjective, c.prompt)
		w.Priority, w.StartBy = 2, c.arrived+placer.MaxStartDelay(deferrableObjective, c.prompt)
	}
	w.ExpiresAt = now + wait
	m.queues[vm].Add(w)
	m.dispatch(vm, now)
}

// dispatch places queued calls, reserves memory for the first urgent one that lacks it, and
// refuses those that have waited too long.
func (m *mixedFleet) dispatch(vm int, now time.Duration) {
	considered := false
	m.queues[vm].Dispatch(now, func(c *mixedCall) placer.Room {
		d, candidates := m.newDemand(vm, c), m.candidates(now)
		switch {
		case c.urgent:
			d.Limits = placer.NewLimits(true, false)
			if m.owner[vm] == c {
				d.Reservation = m.reserved[vm]
			}
		case m.headroom:
			d.Limits = placer.NewDeferrableLimits(m.demand[vm].Headroom(1.0/vmCount, now), c.retry)
		default:
			d.Limits = placer.NewDeferrableLimits(placer.Headroom{}, c.retry)
		}
		choice := m.ledgers[vm].Pick(candidates, d, now, m.random.Float64)
		if choice.Index >= 0 {
			m.release(vm, c)
			m.start(vm, c, choice.Index, now)
			return placer.HasRoom
		}
		if m.reserving && c.urgent && !c.retry && choice.Missing == placer.NoMemory && !considered {
			considered = true
			m.reserve(vm, c, candidates, d, now)
		}
		return max(choice.Missing, placer.NoPrefillCapacity)
	})
	for _, w := range m.queues[vm].RemoveExpired(now) {
		m.release(vm, w.Value)
		m.refuse(vm, w.Value, now)
	}
	if m.queues[vm].Len() > 0 && !m.polling[vm] {
		m.polling[vm] = true
		m.add(now+10*time.Millisecond, func(now time.Duration) {
			m.polling[vm] = false
			m.dispatch(vm, now)
		})
	}
}

func (m *mixedFleet) reserve(vm int, c *mixedCall, candidates []placer.Candidate, d placer.Demand, now time.Duration) {
	if m.owner[vm] != c {
		m.release(vm, m.owner[vm])
		m.owner[vm] = c
	}
	before := m.reserved[vm].Target()
	m.reserved[vm] = m.ledgers[vm].ReserveMemory(m.reserved[vm], fmt.Sprint(vm), candidates, d, now)
	if target := m.reserved[vm].Target(); target != "" && target != before {
		m.owners[c] = true
		m.reportLoads(vm, now)
	}
}

// release ends the reservation of a call.
func (m *mixedFleet) release(vm int, c *mixedCall) {
	if c != nil && m.owner[vm] == c {
		m.reserved[vm].End()
		m.reserved[vm], m.owner[vm] = nil, nil
	}
}

// refuse makes the caller retry once.
func (m *mixedFleet) refuse(vm int, c *mixedCall, now time.Duration) {
	if c.retry {
		return
	}
	c.retry = true
	delay := placer.RetryDelay(c.arrived+c.timeout()-now, c.objective(), m.random.Float64)
	m.add(now+delay, func(now time.Duration) { m.arrive(vm, c, now) })
}

// start runs a call on an engine.
func (m *mixedFleet) start(vm int, c *mixedCall, index int, now time.Duration) {
	e := m.mixed[index]
	if now < e.coldUntil {
		m.ledgers[vm].RecordCold(e.instance.ID, now)
	}
	s := &mixedStream{vm: vm, call: c, engine: e, reservation: m.ledgers[vm].Start(e.instance.ID, c.prompt+c.output, c.prompt)}
	m.reportLoads(vm, now)
	e.prefilledAt = max(e.prefilledAt, now) + time.Duration(c.prompt/prefillPerMs)*time.Millisecond
	c.begun = e.prefilledAt
	e.streams[s] = true
	m.add(c.begun, func(now time.Duration) {
		s.reservation.PromptRead()
		m.proceed(s, now)
	})
}

// proceed runs a stream until it has ended.
func (m *mixedFleet) proceed(s *mixedStream, now time.Duration) {
	if s.made >= s.call.output {
		s.reservation.End()
		delete(s.engine.streams, s)
		return
	}
	s.reservation.UpdateMemory(s.call.prompt+s.call.output, s.call.prompt+s.made)
	step := min(updateTokens, s.call.output-s.made)
	m.add(now+time.Duration(step*tokenMs)*time.Millisecond, func(now time.Duration) {
		s.made += step
		m.proceed(s, now)
	})
}

// urgentSize returns a prompt size with the percentiles 1,200, 2,000 and 3,400 (10th, 50th and
// 90th) and a maximum of 6,400.
func urgentSize(random *rand.Rand) int {
	return min(6400, int(2000*math.Exp(0.414*random.NormFloat64())))
}

// addCalls adds the calls of a kind that arrive at a rate per second.
func (m *mixedFleet) addCalls(rate float64, urgent bool) {
	for now := time.Duration(0); now < m.length; now += time.Duration(m.random.ExpFloat64() / rate * float64(time.Second)) {
		c := &mixedCall{urgent: urgent, arrived: now, prompt: urgentSize(m.random), output: 12}
		if !urgent {
			c.prompt, c.output = 2000+m.random.IntN(2000), 500+m.random.IntN(500)
		}
		m.calls = append(m.calls, c)
		vm := m.random.IntN(vmCount)
		m.add(now, func(now time.Duration) { m.arrive(vm, c, now) })
	}
}

// simulate simulates urgent calls beside deferrable ones that need a number of times the memory
// of the engines.
func (m *mixedFleet) simulate(urgentPerSecond, overload float64) {
	m.addCalls(urgentPerSecond, true)
	m.addCalls(deferrableRate(overload), false)
	m.run()
}

// deferrableRate returns the rate per second of deferrable calls that need a number of times the
// memory of the engines.
func deferrableRate(overload float64) float64 {
	// The means of the memory that one holds, in tokens, and of its time.
	const held, seconds = 3000 + 750/2, 750*tokenMs/1000.0 + 0.3
	return overload * mixedEngines * mixedMemory / (held * seconds)
}

// served returns the shares of the urgent calls that were in time, for each tenth of the sizes
// and in total, and the share of the deferrable ones that were served at all.
func (m *mixedFleet) served() (tenths []float64, urgent, deferrable float64) {
	var bySize, others []*mixedCall
	for _, c := range m.calls {
		if c.arrived < m.length/3 {
			continue // the queues and the memory fill
		}
		if c.urgent {
			bySize = append(bySize, c)
		} else {
			others = append(others, c)
		}
	}
	slices.SortStableFunc(bySize, func(a, b *mixedCall) int { return cmp.Compare(a.prompt, b.prompt) })
	for i := range 10 {
		tenths = append(tenths, shareOf(bySize[i*len(bySize)/10:(i+1)*len(bySize)/10], (*mixedCall).inTime))
	}
	return tenths, shareOf(bySize, (*mixedCall).inTime), shareOf(others, func(c *mixedCall) bool { return c.begun > 0 })
}

func shareOf(calls []*mixedCall, holds func(*mixedCall) bool) float64 {
	n := 0
	for _, c := range calls {
		if holds(c) {
			n++
		}
	}
	return float64(n) / float64(max(1, len(calls)))
}

// TestHeadroomTenths checks that no tenth of the sizes of urgent generations is served less than
// half as often as all of them, beside deferrable ones that need 1.3 times the memory, with
// engines that leave and loads that peers learn late. Without headroom and reservations, small
// and deferrable generations take the memory that large ones wait for.
func TestHeadroomTenths(t *testing.T) {
	const (
		urgentPerSecond = 22
		overload        = 1.3
		// minDeferrable is the share of the deferrable ones to be served: at most a quarter of
		// the memory is kept free.
		minDeferrable = 0.75 / overload
		seeds         = 3
	)
	lowestWithout, urgentWithout := 0.0, 0.0
	for seed := range uint64(seeds) {
		m := newMixedFleet(seed, true, true)
		m.simulate(urgentPerSecond, overload)
		tenths, urgent, deferrable := m.served()
		t.Logf("seed %d: tenths %.2f, urgent %.3f, deferrable %.3f, %d of %d reserved", seed, tenths, urgent, deferrable, len(m.owners), len(m.calls))
		assert.Check(t, slices.Min(tenths) >= urgent/2, "seed %d: tenths %.2f of all %.3f", seed, tenths, urgent)
		assert.Check(t, deferrable >= minDeferrable, "seed %d: %.3f of the deferrable ones served", seed, deferrable)
		without := newMixedFleet(seed, false, false)
		without.simulate(urgentPerSecond, overload)
		tenths, urgent, deferrable = without.served()
		t.Logf("seed %d, without: tenths %.2f, urgent %.3f, deferrable %.3f", seed, tenths, urgent, deferrable)
		lowestWithout += slices.Min(tenths)
		urgentWithout += urgent
	}
	assert.Check(t, lowestWithout < urgentWithout/2, "the load is too low to show the fault: without headroom, the lowest tenths sum up to %.2f, the urgent ones to %.2f", lowestWithout, urgentWithout)
}

// TestHeadroomNoUrgent checks that deferrable generations are served as without headroom if
// there are no urgent ones. Memory kept free for nobody would be lost.
func TestHeadroomNoUrgent(t *testing.T) {
	var begun [2][]time.Duration
	for i, on := range []bool{false, true} {
		m := newMixedFleet(1, on, on)
		m.length = 20 * time.Second
		m.addCalls(deferrableRate(1.3), false)
		m.run()
		for _, c := range m.calls {
			begun[i] = append(begun[i], c.begun)
		}
	}
	assert.DeepEqual(t, begun[0], begun[1])
}

// TestUrgentDemand checks the headroom that a VM asks for by the urgent generations that it saw.
func TestUrgentDemand(t *testing.T) {
	record := func(n, tokens int, from, every time.Duration) func(*placer.UrgentDemand) {
		return func(u *placer.UrgentDemand) {
			for i := range n {
				u.Record(tokens, from+time.Duration(i)*every)
			}
		}
	}
	for name, c := range map[string]struct {
		record func(*placer.UrgentDemand)
		share  float64
		now    time.Duration
		want   placer.Headroom
	}{
		"none":                         {func(*placer.UrgentDemand) {}, 1, 0, placer.Headroom{}},
		"the last one is long ago":     {record(100, 2000, 0, 0), 1, 10*time.Second + 1, placer.Headroom{}},
		"one":                          {record(1, 2000, 0, 0), 1, 0, placer.Headroom{Tokens: 2000, Targets: 2}},
		"one on a VM with few of all":  {record(1, 2000, 0, 0), 0.002, 0, placer.Headroom{Tokens: 2000, Targets: 2}},
		"a VM without a known share":   {record(100, 2000, 0, 0), 0, 0, placer.Headroom{Tokens: 2000, Targets: 2}},
		"20,000 tokens per second":     {record(100, 2000, 0, 100*time.Millisecond), 1, 10 * time.Second, placer.Headroom{Tokens: 2000, Targets: 4}},
		"the same as half of all":      {record(100, 2000, 0, 100*time.Millisecond), 0.5, 10 * time.Second, placer.Headroom{Tokens: 2000, Targets: 8}},
		"half of them are too old":     {record(101, 2000, 0, 100*time.Millisecond), 1, 15 * time.Second, placer.Headroom{Tokens: 2000, Targets: 3}},
		"more than are kept, in 5.1 s": {record(1000, 2000, 0, 10*time.Millisecond), 1, 10 * time.Second, placer.Headroom{Tokens: 2000, Targets: 41}},
	} {
		t.Run(name, func(t *testing.T) {
			var u placer.UrgentDemand
			c.record(&u)
			assert.Equal(t, u.Headroom(c.share, c.now), c.want)
			assert.Equal(t, u.Headroom(c.share, c.now), c.want, "the second time")
		})
	}
	var u placer.UrgentDemand
	for i := range 100 {
		u.Record(1000+i, 0)
	}
	u.Record(20_000, 0)
	assert.Equal(t, u.Headroom(1, 0).Tokens, 1098, "a single very large one does not count")
	u.Record(20_000, 0)
	u.Record(20_000, 0)
	assert.Equal(t, u.Headroom(1, 0).Tokens, 20_000, "the result is calculated anew after others")
}

// TestHeadroomPick checks which targets deferrable generations of 3,000 tokens may use.
func TestHeadroomPick(t *testing.T) {
	// many are 8 targets, of which a quarter keeps the headroom; 24,170 tokens are usable.
	many := map[string]int{"a": 10_000, "b": 12_000, "c": 20_000, "d": 20_000, "e": 20_000, "f": 20_000, "g": 20_000, "h": 20_000}
	idle := map[string]int{"a": 0, "b": 0, "c": 0, "d": 0, "e": 0, "f": 0, "g": 0, "h": 0}
	others := []string{"c", "d", "e", "f", "g", "h"}
	for name, c := range map[string]struct {
		held         map[string]int
		cold, lapsed string // IDs
		full         string
		headroom     placer.Headroom
		noKind       bool
		want         []string
	}{
		"room beside the headroom":         {held: many, headroom: placer.Headroom{Tokens: 6000, Targets: 2}, want: append([]string{"a", "b"}, others...)},
		"no room beside it":                {held: many, headroom: placer.Headroom{Tokens: 10_000, Targets: 2}, want: append([]string{"a"}, others...)},
		"no urgent ones":                   {held: many, want: append([]string{"a", "b"}, others...)},
		"more targets than may keep it":    {held: many, headroom: placer.Headroom{Tokens: 20_000, Targets: 30}, want: others},
		"larger than the memory":           {held: many, headroom: placer.Headroom{Tokens: 90_000, Targets: 2}, want: others},
		"larger than the memory, all idle": {held: idle, headroom: placer.Headroom{Tokens: 90_000, Targets: 2}, want: others},
		"no engine kind":                   {held: many, headroom: placer.Headroom{Tokens: 90_000, Targets: 2}, noKind: true, want: append([]string{"a", "b"}, others...)},
		"a cold and a lapsed one do not count": {
			held: many, cold: "a", lapsed: "b", headroom: placer.Headroom{Tokens: 20_000, Targets: 2},
			want: []string{"a", "b", "d", "e", "f", "g", "h"}, // one of the six warm ones keeps it
		},
		"one without a free slot does not count": {held: many, full: "a", headroom: placer.Headroom{Tokens: 20_000, Targets: 1}, want: others},
		"two targets":                            {held: map[string]int{"a": 10_000, "b": 18_000}, headroom: placer.Headroom{Tokens: 20_000, Targets: 2}, want: []string{"b"}},
		"one target":                             {held: map[string]int{"a": 10_000}, headroom: placer.Headroom{Tokens: 20_000, Targets: 2}, want: []string{"a"}},
		"one target with less room":              {held: map[string]int{"a": 16_000}, headroom: placer.Headroom{Tokens: 20_000, Targets: 2}},
		"one idle target":                        {held: map[string]int{"a": 0}, headroom: placer.Headroom{Tokens: 90_000, Targets: 2}, want: []string{"a"}},
		"all cold":                               {held: map[string]int{"a": 12_000}, cold: "a", headroom: placer.Headroom{Tokens: 20_000, Targets: 2}, want: []string{"a"}},
		"all lapsed":                             {held: map[string]int{"a": 20_000}, lapsed: "a", headroom: placer.Headroom{Tokens: 20_000, Targets: 2}, want: []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			v := newReservingVM("v")
			var candidates []placer.Candidate
			for _, id := range slices.Sorted(maps.Keys(c.held)) {
				candidates = append(candidates, placer.Candidate{Instance: instance(id, "x"), Cold: id == c.cold, Lapsed: id == c.lapsed})
				if c.held[id] > 0 {
					v.ledger.Start(id, c.held[id], 0).UpdateMemory(c.held[id], c.held[id])
				}
			}
			if c.full != "" {
				for range 23 {
					v.ledger.Start(c.full, 0, 0)
				}
			}
			d := placer.Demand{Tokens: 3700, HeldTokens: 3000, Long: true, Engine: mixedKind, MaxColdPerSecond: -1, Limits: placer.NewDeferrableLimits(c.headroom, false)}
			if c.noKind {
				d.Engine = nil
			}
			assert.DeepEqual(t, v.pickAll(candidates, d), c.want)
		})
	}
}

// TestHeadroomMoves checks that the headroom is kept on other targets once their loads, or the
// candidates, have changed.
func TestHeadroomMoves(t *testing.T) {
	v := newReservingVM("v")
	both := targetsOf("a", "b")
	a, b := v.ledger.Start("a", 0, 0), v.ledger.Start("b", 0, 0)
	d := placer.Demand{Tokens: 3700, HeldTokens: 3000, Long: true, Engine: mixedKind, MaxColdPerSecond: -1, Limits: placer.NewDeferrableLimits(placer.Headroom{Tokens: 20_000, Targets: 1}, false)}
	a.UpdateMemory(10_000, 10_000)
	b.UpdateMemory(15_000, 15_000)
	v.ledger.Start("c", 0, 0).UpdateMemory(9_000, 9_000)
	assert.DeepEqual(t, v.pickAll(both, d), []string{"b"})
	a.UpdateMemory(16_000, 16_000)
	assert.DeepEqual(t, v.pickAll(both, d), []string{"a"})
	assert.DeepEqual(t, v.pickAll(append(both, targetsOf("c")...), d), []string{"a", "b"})
}

// pickAll returns the candidates that Pick chooses if the others are no candidates, in a list in
// which these are unreachable.
func (v *reservingVM) pickAll(candidates []placer.Candidate, d placer.Demand) []string {
	var allowed []string
	for ; len(allowed) < len(candidates); v.now += time.Minute {
		for _, id := range allowed {
			v.ledger.RecordUnreachable(id, v.now)
		}
		id := v.pick(candidates, d, v.now)
		if id == "" || slices.Contains(allowed, id) {
			break
		}
		allowed = append(allowed, id)
	}
	slices.Sort(allowed)
	return allowed
}

// BenchmarkPickWaiting measures Pick for a deferrable generation that waits, while the loads stay
// the same and while they change before each Pick. Every 10 ms, each that waits is offered to
// all targets.
func BenchmarkPickWaiting(b *testing.B) {
	for _, n := range []int{44, 1400} {
		for _, changes := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/changes=%v", n, changes), func(b *testing.B) {
				l, candidates := fullLedger(n)
				d := placer.Demand{
					Tokens: 4000, HeldTokens: 3000, Long: true, Engine: mixedKind, MaxColdPerSecond: -1,
					Limits: placer.NewDeferrableLimits(placer.Headroom{Tokens: 6000, Targets: n / 4}, false),
				}
				r := l.Start(candidates[0].Instance.ID, 10, 0)
				for i := 0; b.Loop(); i++ {
					if changes {
						r.UpdateMemory(10, i%10)
					}
					if l.Pick(candidates, d, 0, rand.Float64).Index >= 0 {
						b.Fatal("there was room")
					}
				}
			})
		}
	}
}

// BenchmarkReserveMemory measures the reconsideration of a reservation while the loads change.
func BenchmarkReserveMemory(b *testing.B) {
	for _, n := range []int{44, 1400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, candidates := fullLedger(n)
			d := placer.Demand{Tokens: 4000, HeldTokens: 3000, Engine: mixedKind, MaxColdPerSecond: -1, Limits: placer.NewLimits(true, false)}
			r := l.Start(candidates[0].Instance.ID, 10, 0)
			var reserved *placer.MemoryReservation
			for i := 0; b.Loop(); i++ {
				r.UpdateMemory(10, i%10)
				reserved = l.ReserveMemory(reserved, "v", candidates, d, 0)
			}
		})
	}
}

// fullLedger returns a ledger with targets that have no room for 3,000 tokens.
func fullLedger(n int) (*placer.Ledger, []placer.Candidate) {
	l := placer.NewLedger()
	candidates := make([]placer.Candidate, n)
	for i := range candidates {
		id := fmt.Sprintf("i-%010d", i)
		candidates[i] = placer.Candidate{Instance: instance(id, "x")}
		l.Start(id, 0, 0).UpdateMemory(23_000+i%1000, 23_000+i%1000)
	}
	return l, candidates
}

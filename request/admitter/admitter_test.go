package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/slotter"
	"bluebelldoor/request/admitter"
	"bluebelldoor/request/router"
)

var (
	start   = time.Unix(1000, 0)
	report  = bluebelldoor.NewClass(bluebelldoor.ClassSpec{Name: "report", Priority: 1})
	desk    = bluebelldoor.NewClass(bluebelldoor.ClassSpec{Name: "desk", Priority: 3, DefaultWithin: time.Hour})
	account = bluebelldoor.NewClientAccount(bluebelldoor.AccountSpec{Name: "clinic", MaxStreams: 1000, Large: true})
)

// fixture is an admitter with a single target and a manual clock.
type fixture struct {
	*admitter.Admitter
	candidate *router.Candidate
	now       time.Time
	ids       int
}

func newFixture(batch, queue, vms int) *fixture {
	c := &router.Candidate{
		Target: bluebelldoor.NewTarget(bluebelldoor.TargetSpec{
			Name: "engine", Models: []string{"m"}, MaxRunning: batch, MemoryTokens: 1 << 20, ColdSlots: 1,
		}),
		Load: router.NewLoad(), HasReport: true, Warm: true, SameDataCentre: true, Report: bluebelldoor.LoadReport{Received: start},
	}
	f := &fixture{Admitter: admitter.New(router.Router{}, func() uint64 { return 1 }), candidate: c, now: start}
	d := bluebelldoor.NewDocument(bluebelldoor.DocumentSpec{Limits: bluebelldoor.Limits{QueueLength: queue}})
	f.SetTable(router.NewTable("vm", vms, []*router.Candidate{c}), d)
	return f
}

func (f *fixture) arrive(class *bluebelldoor.Class, a *bluebelldoor.ClientAccount, within time.Duration) (string, []admitter.Decision) {
	f.ids++
	id := fmt.Sprint(class.Name(), "-", f.ids)
	return id, f.Arrive(&admitter.Request{
		ID: id, Account: a, Class: class, Model: "m", PromptTokens: 1, MaxTokens: 10, Arrived: f.now, Deadline: f.now.Add(within),
	}, f.now)
}

// fill starts requests until the target accepts no more, and returns their IDs.
func (f *fixture) fill(t *testing.T) []string {
	t.Helper()
	var ids []string
	for {
		id, decisions := f.arrive(report, account, time.Hour)
		if len(decisions) == 0 {
			f.Abandon(id, f.now)
			return ids
		}
		assert.Assert(t, decisions[0].Refusal == nil)
		ids = append(ids, id)
	}
}

func started(decisions []admitter.Decision) []string {
	var ids []string
	for _, d := range decisions {
		if d.Refusal == nil {
			ids = append(ids, d.Request.ID)
		}
	}
	return ids
}

func TestRefusals(t *testing.T) {
	small := bluebelldoor.NewClientAccount(bluebelldoor.AccountSpec{Name: "small", MaxStreams: 2})
	for name, c := range map[string]struct {
		prepare func(t *testing.T, f *fixture)
		account *bluebelldoor.ClientAccount
		within  time.Duration
		code    bluebelldoor.Code
	}{
		"accepted":      {func(*testing.T, *fixture) {}, account, time.Minute, bluebelldoor.OK},
		"account limit": {func(_ *testing.T, f *fixture) { f.arrive(desk, small, time.Minute) }, small, time.Minute, bluebelldoor.AccountLimit},
		"queue full": {func(t *testing.T, f *fixture) {
			f.fill(t)
			f.arrive(desk, account, time.Hour)
			f.arrive(desk, account, time.Hour)
		}, account, time.Hour, bluebelldoor.QueueFull},
		"deadline too near":    {func(*testing.T, *fixture) {}, account, time.Millisecond, bluebelldoor.DeadlineTooNear},
		"closed target":        {func(_ *testing.T, f *fixture) { f.candidate.ClosedReason = "data centre out" }, account, time.Minute, bluebelldoor.NoTarget},
		"cold target, no slot": {func(_ *testing.T, f *fixture) { f.candidate.Warm = false }, account, time.Minute, bluebelldoor.ColdTargets},
		"cold target with a slot": {func(_ *testing.T, f *fixture) {
			f.candidate.Warm, f.candidate.Slots = false, []slotter.Slot{{Drained: true}}
		}, account, time.Minute, bluebelldoor.OK},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(4, 2, 2)
			c.prepare(t, f)
			_, decisions := f.arrive(desk, c.account, c.within)
			assert.Equal(t, len(decisions), 1)
			refusal := decisions[0].Refusal
			if c.code == bluebelldoor.OK {
				assert.Assert(t, refusal == nil)
				return
			}
			assert.Equal(t, refusal.Code(), c.code)
			assert.Equal(t, refusal.Executed(), bluebelldoor.ExecutedNo)
			assert.Assert(t, refusal.RetryAfter() > 0, "no retry time")
		})
	}
}

// TestOrder checks that waiting requests start by class, then by deadline.
func TestOrder(t *testing.T) {
	f := newFixture(2, 100, 1)
	running := f.fill(t)
	late, _ := f.arrive(desk, account, 2*time.Hour)
	soon, _ := f.arrive(desk, account, time.Hour)
	first, _ := f.arrive(report, account, 3*time.Hour)
	for i, want := range []string{first, soon, late} {
		assert.DeepEqual(t, started(f.Done(running[i], f.now)), []string{want})
	}
	assert.Equal(t, f.Waiting(), 0)
}

// TestNoStarvation checks that a low-priority request with less than half of its
// class's time left starts after at most eight others, while requests of higher
// priority keep arriving.
func TestNoStarvation(t *testing.T) {
	const bound = 8
	f := newFixture(1, 100, 1)
	running := f.fill(t)
	waiting, _ := f.arrive(desk, account, 29*time.Minute)
	for range bound + 1 {
		_, decisions := f.arrive(report, account, time.Hour)
		assert.Equal(t, len(decisions), 0)
		ids := started(f.Done(running[0], f.now))
		assert.Equal(t, len(ids), 1)
		if ids[0] == waiting {
			return
		}
		running = append(running[1:], ids[0])
	}
	t.Fatal("the desk request did not start")
}

// TestGivenUpAtOnce checks that a waiting request is refused, with a retry time,
// as soon as it can no longer start in time or end by its deadline.
func TestGivenUpAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		within, after time.Duration
		code          bluebelldoor.Code
	}{
		"cannot start in time":       {10 * time.Second, 400 * time.Millisecond, bluebelldoor.EnginesCrowded},
		"cannot end by its deadline": {300 * time.Millisecond, 110 * time.Millisecond, bluebelldoor.DeadlineTooNear},
		"deadline passed":            {300 * time.Millisecond, 310 * time.Millisecond, bluebelldoor.DeadlinePassed},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(1, 100, 1)
			f.fill(t)
			f.arrive(desk, account, c.within)
			assert.Equal(t, len(f.Tick(f.now.Add(90*time.Millisecond))), 0)
			decisions := f.Tick(f.now.Add(c.after))
			assert.Equal(t, len(decisions), 1)
			refusal := decisions[0].Refusal
			assert.Equal(t, refusal.Code(), c.code)
			assert.Equal(t, refusal.Executed(), bluebelldoor.ExecutedNo)
			assert.Assert(t, refusal.RetryAfter() > 0)
			assert.Equal(t, f.Waiting(), 0)
		})
	}
}

// TestNothingLeaks checks that no state is left of a request, however it ended.
func TestNothingLeaks(t *testing.T) {
	f := newFixture(4, 100, 1)
	ids := f.fill(t)
	queued, _ := f.arrive(desk, account, time.Hour)
	f.Abandon(queued, f.now)
	for i, id := range ids {
		f.Produced(id, 5, time.Millisecond)
		switch i % 3 {
		case 0:
			f.Done(id, f.now)
		case 1:
			f.Abandon(id, f.now)
		case 2:
			f.Failed(id, f.now)
		}
	}
	assert.Equal(t, f.Active()+f.Waiting(), 0)
	assert.Equal(t, f.candidate.Load.Inflight(), 0)
}

// TestLoads checks that each target is listed once, with the tokens that its
// generations hold and are expected to need.
func TestLoads(t *testing.T) {
	f := newFixture(4, 10, 1)
	assert.Equal(t, len(f.Loads()), 0)
	first, decisions := f.arrive(report, account, time.Hour)
	assert.Equal(t, len(started(decisions)), 1)
	tokens := f.Loads()[0].Tokens
	_, decisions = f.arrive(desk, account, time.Hour)
	assert.Equal(t, len(started(decisions)), 1)
	f.Produced(first, 3, time.Millisecond)
	loads := f.Loads()
	assert.Equal(t, len(loads), 1)
	assert.Equal(t, loads[0].Target, "engine")
	assert.Equal(t, loads[0].Requests, 2)
	assert.Equal(t, loads[0].HeldTokens, 1+3+1)
	assert.Assert(t, loads[0].Tokens > tokens, "%d, %d with one generation", loads[0].Tokens, tokens)
	f.Done(first, f.now)
	assert.Equal(t, f.Loads()[0].Requests, 1)
}

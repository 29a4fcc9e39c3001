package runner_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor/standin/lender"
)

// arrivals counts what reaches a target, by when.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func (a *arrivals) note() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, time.Now())
}

// between counts those after from and before to.
func (a *arrivals) between(from, to time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, at := range a.at {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// counts makes a target note what reaches it, and act as act says.
func counts(target *lender.Target, act func() lender.Act) *arrivals {
	a := &arrivals{}
	target.Acts(func(*http.Request) lender.Act {
		a.note()
		return act()
	})
	return a
}

// TestRelaySaysThatItLeaves sends nothing more to a target that says itself that it
// leaves, in whatever answer, while the platform goes on to call it ready.
func TestRelaySaysThatItLeaves(t *testing.T) {
	for name, act := range map[string]lender.Act{
		"in an answer":             lender.Serve,
		"in a failure":             lender.Fail,
		"in a refusal":             lender.Shed,
		"in one to another's name": lender.Wrong,
	} {
		t.Run(name, func(t *testing.T) {
			f := startRelays(t, 1)
			leaving := f.yard.Add("app-1", "app", "dc-0")
			defer leaving.Stop()
			other := f.yard.Add("app-2", "app", "dc-0")
			defer other.Stop()
			f.settle(t)
			leaving.Says("Server-Leaving", "1")
			reached := counts(leaving, func() lender.Act { return act })
			await(t, "the target was asked", func() bool {
				f.vms[0].ask(t, "GET", toSafe+"x", "ask", nil)
				return reached.between(time.Time{}, time.Now()) > 0
			})
			from := time.Now()
			for i := range 50 {
				if i%10 == 0 {
					leaving.Register("ready")
				}
				got := f.vms[0].ask(t, "GET", toSafe+"x", fmt.Sprintf("after-%d", i), nil)
				assert.Equal(t, got.status, 200)
			}
			other.Register("draining")
			await(t, "the other target is closed", func() bool { return f.vms[0].Status().Revision >= f.store.Revision() })
			for i := range 10 {
				got := f.vms[0].ask(t, "GET", toSafe+"x", fmt.Sprintf("alone-%d", i), nil)
				assert.Equal(t, got.status, 503)
			}
			assert.Equal(t, reached.between(from, time.Now()), 0)
		})
	}
}

// TestRelaySaysThatItLeavesToAnother moves the streams of all VMs off an engine that
// has said so to one of them: the platform does not know of it.
func TestRelaySaysThatItLeavesToAnother(t *testing.T) {
	f := startRelays(t, 3)
	source := f.yard.Add("engine-1", "engine", "dc-0")
	defer source.Stop()
	defer f.yard.Add("app-1", "app", "dc-0").Stop()
	f.settle(t)
	const streams, events = 3, 300
	got := make(chan answer, streams)
	for i := range streams {
		go func() { got <- f.vms[i].generate(t, toStream, fmt.Sprintf("told-%d", i), events) }()
	}
	f.awaitRuns(t, "told", streams)
	destination := f.yard.Add("engine-2", "engine", "dc-0")
	defer destination.Stop()
	await(t, "the other engine is known", func() bool {
		return f.vms[0].Status().Revision >= f.store.Revision()
	})
	source.Says("Server-Leaving", "1")
	source.Acts(func(*http.Request) lender.Act { return lender.Shed })
	for i := range 30 {
		go f.vms[0].generate(t, toStream, fmt.Sprintf("word-%d", i), 10)
	}
	await(t, "a stream is moved", func() bool { return len(f.yard.Runs("told-2")) == 2 })
	time.AfterFunc(1500*time.Millisecond, source.Stop)
	for range streams {
		oneRun(t, <-got, events)
	}
}

// TestRelayPause keeps what a VM sends off a target that has asked for a pause, until
// its end: hundreds of callers come, and none waits or is lost.
func TestRelayPause(t *testing.T) {
	const pause = 1200 * time.Millisecond
	f := startRelays(t, 1)
	paused := f.yard.Add("app-1", "app", "dc-0")
	defer paused.Stop()
	other := f.yard.Add("app-2", "app", "dc-0")
	defer other.Stop()
	f.settle(t)
	var asks atomic.Bool
	asks.Store(true)
	paused.PauseFor(pause)
	reached := counts(paused, func() lender.Act {
		if asks.Swap(false) {
			return lender.Pause
		}
		return lender.Serve
	})
	await(t, "the target asked for a pause", func() bool {
		f.vms[0].ask(t, "GET", toSafe+"x", "ask", nil)
		return !asks.Load()
	})
	from := time.Now()
	var callers sync.WaitGroup
	for i := range 200 {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * pause / 250)
			got := f.vms[0].ask(t, "GET", toSafe+"x", fmt.Sprintf("during-%d", i), nil)
			assert.Check(t, got.status == 200, "%d %s", got.status, got.body)
		})
	}
	callers.Wait()
	assert.Equal(t, reached.between(from, from.Add(pause-50*time.Millisecond)), 0)
	await(t, "the target is used again", func() bool {
		f.vms[0].ask(t, "GET", toSafe+"x", "again", nil)
		return reached.between(from, time.Now()) > 0
	})
}

// TestRelayPauseOfAll refuses callers at once while every target of the service wants
// a pause, and says when to come back: not before the first takes requests again, and
// not all at the same moment.
func TestRelayPauseOfAll(t *testing.T) {
	const pause = 1500 * time.Millisecond
	f := startRelays(t, 1)
	var all []*arrivals
	var asks atomic.Bool
	act := func() lender.Act {
		if asks.Load() {
			return lender.Pause
		}
		return lender.Serve
	}
	for _, id := range []string{"app-1", "app-2"} {
		target := f.yard.Add(id, "app", "dc-0")
		defer target.Stop()
		target.PauseFor(pause)
		all = append(all, counts(target, act))
	}
	f.settle(t)
	asks.Store(true)
	from := time.Now()
	first := f.vms[0].ask(t, "GET", toSafe+"x", "first", nil)
	assert.Equal(t, first.status, 503)
	asks.Store(false)
	told := time.Now()
	back := map[string]bool{}
	var callers sync.WaitGroup
	var mu sync.Mutex
	for i := range 300 {
		callers.Go(func() {
			got := f.vms[0].ask(t, "GET", toSafe+"x", fmt.Sprintf("during-%d", i), nil)
			assert.Check(t, got.status == 503, "%d %s", got.status, got.body)
			after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			assert.Check(t, err == nil, err)
			end := time.Now().Add(time.Duration(after * float64(time.Second)))
			assert.Check(t, end.After(from.Add(pause)), "told to come back %v before the pause ends", from.Add(pause).Sub(end))
			assert.Check(t, end.Before(told.Add(2*pause)), "told to come back long after the pause: %v s", after)
			mu.Lock()
			back[fmt.Sprintf("%.2f", end.Sub(from).Seconds())] = true
			mu.Unlock()
		})
	}
	callers.Wait()
	assert.Assert(t, len(back) > 5, "all are told to come back at the same moment: %v", back)
	for _, reached := range all {
		assert.Equal(t, reached.between(told, from.Add(pause)), 0)
	}
	await(t, "callers are served again", func() bool {
		return f.vms[0].ask(t, "GET", toSafe+"x", "again", nil).status == 200
	})
}

// TestRelayPauseOfEngines lets generations wait for an engine whose pause ends in
// their time, and refuses at once those for whom it does not.
func TestRelayPauseOfEngines(t *testing.T) {
	for name, c := range map[string]struct {
		pause  time.Duration
		status int
	}{
		"ends in time":   {400 * time.Millisecond, 200},
		"lasts too long": {5 * time.Second, 503},
	} {
		t.Run(name, func(t *testing.T) {
			f, engine := startEngine(t)
			engine.PauseFor(c.pause)
			var asks atomic.Bool
			asks.Store(true)
			reached := counts(engine, func() lender.Act {
				if asks.Swap(false) {
					return lender.Pause
				}
				return lender.Serve
			})
			f.vms[0].generate(t, toPrompt, "ask", 1)
			from := time.Now()
			const callers = 10
			got := make(chan answer, callers)
			for i := range callers {
				go func() { got <- f.vms[0].generate(t, toPrompt, fmt.Sprintf("during-%d", i), 3) }()
			}
			for range callers {
				a := <-got
				assert.Equal(t, a.status, c.status, a.body)
				if c.status != 200 {
					assert.Assert(t, a.took < 300*time.Millisecond, "refused after %v", a.took)
				}
			}
			assert.Equal(t, reached.between(from, from.Add(c.pause-50*time.Millisecond)), 0)
		})
	}
}

// TestRelayPauseEndsWithStart asks another start under the name of a target that
// wanted a pause at once.
func TestRelayPauseEndsWithStart(t *testing.T) {
	f := startRelays(t, 1)
	paused := f.yard.Add("app-1", "app", "dc-0")
	f.settle(t)
	paused.PauseFor(time.Minute)
	paused.Acts(func(*http.Request) lender.Act { return lender.Pause })
	assert.Equal(t, f.vms[0].ask(t, "GET", toSafe+"x", "ask", nil).status, 503)
	paused.Stop()
	defer f.yard.Add("app-1", "app", "dc-0").Stop()
	await(t, "the new start is used", func() bool {
		return f.vms[0].ask(t, "GET", toSafe+"x", "again", nil).status == 200
	})
}

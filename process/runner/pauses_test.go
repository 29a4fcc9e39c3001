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

// arrivals records when requests reach a target.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) record() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// between counts the arrivals after from and before to.
func (a *arrivals) between(from, to time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, at := range a.times {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// countArrivals makes a target record its requests and treat them as act returns.
func countArrivals(target *lender.Target, act func() lender.Behaviour) *arrivals {
	a := &arrivals{}
	target.SetBehaviour(func(*http.Request) lender.Behaviour {
		a.record()
		return act()
	})
	return a
}

// TestRelaySaysThatItLeaves checks that a target gets no more requests once any of
// its responses announces that it is leaving, even while the platform lists it as ready.
func TestRelaySaysThatItLeaves(t *testing.T) {
	for name, act := range map[string]lender.Behaviour{
		"in a response":                    lender.Serve,
		"in a failure":                     lender.Fail,
		"in a refusal":                     lender.Refuse,
		"in a response to another request": lender.WrongAttemptID,
	} {
		t.Run(name, func(t *testing.T) {
			f := startRelays(t, 1)
			leaving := f.targets.Add("app-1", "app", "dc-0")
			defer leaving.Stop()
			other := f.targets.Add("app-2", "app", "dc-0")
			defer other.Stop()
			f.awaitTargets(t)
			leaving.SetHeader("Server-Leaving", "1")
			reached := countArrivals(leaving, func() lender.Behaviour { return act })
			await(t, "the target was asked", func() bool {
				f.vms[0].send(t, "GET", safePath+"x", "ask", nil)
				return reached.between(time.Time{}, time.Now()) > 0
			})
			from := time.Now()
			for i := range 50 {
				if i%10 == 0 {
					leaving.Register("ready")
				}
				got := f.vms[0].send(t, "GET", safePath+"x", fmt.Sprintf("after-%d", i), nil)
				assert.Equal(t, got.status, 200)
			}
			other.Register("draining")
			await(t, "the other target is closed", func() bool { return f.vms[0].Status().Revision >= f.store.Revision() })
			for i := range 10 {
				got := f.vms[0].send(t, "GET", safePath+"x", fmt.Sprintf("alone-%d", i), nil)
				assert.Equal(t, got.status, 503)
			}
			assert.Equal(t, reached.between(from, time.Now()), 0)
		})
	}
}

// TestRelaySaysThatItLeavesToAnother checks that the streams of all VMs are moved off
// an engine that has announced only to one of them, not to the platform, that it
// is leaving.
func TestRelaySaysThatItLeavesToAnother(t *testing.T) {
	f := startRelays(t, 3)
	source := f.targets.Add("engine-1", "engine", "dc-0")
	defer source.Stop()
	defer f.targets.Add("app-1", "app", "dc-0").Stop()
	f.awaitTargets(t)
	const streams, events = 3, 300
	got := make(chan callerResponse, streams)
	for i := range streams {
		go func() { got <- f.vms[i].generate(t, streamPath, fmt.Sprintf("told-%d", i), events) }()
	}
	f.awaitRuns(t, "told", streams)
	destination := f.targets.Add("engine-2", "engine", "dc-0")
	defer destination.Stop()
	await(t, "the other engine is known", func() bool {
		return f.vms[0].Status().Revision >= f.store.Revision()
	})
	source.SetHeader("Server-Leaving", "1")
	source.SetBehaviour(func(*http.Request) lender.Behaviour { return lender.Refuse })
	for i := range 30 {
		go f.vms[0].generate(t, streamPath, fmt.Sprintf("word-%d", i), 10)
	}
	await(t, "a stream is moved", func() bool { return len(f.targets.Executions("told-2")) == 2 })
	time.AfterFunc(1500*time.Millisecond, source.Stop)
	for range streams {
		assertSingleRun(t, <-got, events)
	}
}

// TestRelayPause checks that a target that has asked for a pause gets no requests
// until the pause ends, and that another target serves all callers meanwhile.
func TestRelayPause(t *testing.T) {
	const pause = 1200 * time.Millisecond
	f := startRelays(t, 1)
	paused := f.targets.Add("app-1", "app", "dc-0")
	defer paused.Stop()
	other := f.targets.Add("app-2", "app", "dc-0")
	defer other.Stop()
	f.awaitTargets(t)
	var pausing atomic.Bool
	pausing.Store(true)
	paused.SetRetryAfter(pause)
	reached := countArrivals(paused, func() lender.Behaviour {
		if pausing.Swap(false) {
			return lender.Pause
		}
		return lender.Serve
	})
	await(t, "the target asked for a pause", func() bool {
		f.vms[0].send(t, "GET", safePath+"x", "ask", nil)
		return !pausing.Load()
	})
	from := time.Now()
	var callers sync.WaitGroup
	for i := range 200 {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * pause / 250)
			got := f.vms[0].send(t, "GET", safePath+"x", fmt.Sprintf("during-%d", i), nil)
			assert.Check(t, got.status == 200, "%d %s", got.status, got.body)
		})
	}
	callers.Wait()
	assert.Equal(t, reached.between(from, from.Add(pause-50*time.Millisecond)), 0)
	await(t, "the target is used again", func() bool {
		f.vms[0].send(t, "GET", safePath+"x", "again", nil)
		return reached.between(from, time.Now()) > 0
	})
}

// TestRelayPauseOfAll checks that callers are refused immediately while every target
// of the service pauses. Their Retry-After must not be before the end of the first
// pause, and must differ, so that they don't all retry at the same time.
func TestRelayPauseOfAll(t *testing.T) {
	const pause = 1500 * time.Millisecond
	f := startRelays(t, 1)
	var all []*arrivals
	var pausing atomic.Bool
	act := func() lender.Behaviour {
		if pausing.Load() {
			return lender.Pause
		}
		return lender.Serve
	}
	for _, id := range []string{"app-1", "app-2"} {
		target := f.targets.Add(id, "app", "dc-0")
		defer target.Stop()
		target.SetRetryAfter(pause)
		all = append(all, countArrivals(target, act))
	}
	f.awaitTargets(t)
	pausing.Store(true)
	from := time.Now()
	first := f.vms[0].send(t, "GET", safePath+"x", "first", nil)
	assert.Equal(t, first.status, 503)
	pausing.Store(false)
	refusedAt := time.Now()
	retryTimes := map[string]bool{}
	var callers sync.WaitGroup
	var mu sync.Mutex
	for i := range 300 {
		callers.Go(func() {
			got := f.vms[0].send(t, "GET", safePath+"x", fmt.Sprintf("during-%d", i), nil)
			assert.Check(t, got.status == 503, "%d %s", got.status, got.body)
			after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			assert.Check(t, err == nil, err)
			end := time.Now().Add(time.Duration(after * float64(time.Second)))
			assert.Check(t, end.After(from.Add(pause)), "told to retry %v before the pause ends", from.Add(pause).Sub(end))
			assert.Check(t, end.Before(refusedAt.Add(2*pause)), "told to retry long after the pause: %v s", after)
			mu.Lock()
			retryTimes[fmt.Sprintf("%.2f", end.Sub(from).Seconds())] = true
			mu.Unlock()
		})
	}
	callers.Wait()
	assert.Assert(t, len(retryTimes) > 5, "all are told to retry at the same time: %v", retryTimes)
	for _, reached := range all {
		assert.Equal(t, reached.between(refusedAt, from.Add(pause)), 0)
	}
	await(t, "callers are served again", func() bool {
		return f.vms[0].send(t, "GET", safePath+"x", "again", nil).status == 200
	})
}

// TestRelayPauseOfEngines checks that generations wait for an engine whose pause
// ends within their objective, and are otherwise refused immediately.
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
			engine.SetRetryAfter(c.pause)
			var pausing atomic.Bool
			pausing.Store(true)
			reached := countArrivals(engine, func() lender.Behaviour {
				if pausing.Swap(false) {
					return lender.Pause
				}
				return lender.Serve
			})
			f.vms[0].generate(t, promptPath, "ask", 1)
			from := time.Now()
			const callers = 10
			got := make(chan callerResponse, callers)
			for i := range callers {
				go func() { got <- f.vms[0].generate(t, promptPath, fmt.Sprintf("during-%d", i), 3) }()
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

// TestRelayPauseEndsWithStart checks that a pause does not apply to a target that is
// started anew under the same name.
func TestRelayPauseEndsWithStart(t *testing.T) {
	f := startRelays(t, 1)
	paused := f.targets.Add("app-1", "app", "dc-0")
	f.awaitTargets(t)
	paused.SetRetryAfter(time.Minute)
	paused.SetBehaviour(func(*http.Request) lender.Behaviour { return lender.Pause })
	assert.Equal(t, f.vms[0].send(t, "GET", safePath+"x", "ask", nil).status, 503)
	paused.Stop()
	defer f.targets.Add("app-1", "app", "dc-0").Stop()
	await(t, "the restarted target is used", func() bool {
		return f.vms[0].send(t, "GET", safePath+"x", "again", nil).status == 200
	})
}

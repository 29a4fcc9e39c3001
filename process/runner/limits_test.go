package runner_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/standin/lender"
)

// The users' rule on limits: stableWindow after a target first named its limit, it gets
// in no limitWindow more than limitFactor times what the limit allows, plus
// limitAllowance.
const (
	stableWindow   = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitAllowance = 5
	// toldWithin is within what time of the first naming all VMs are told.
	toldWithin = time.Second
)

// namedLimit is a limit that a target names from a time on.
type namedLimit struct {
	from      time.Time
	perSecond float64
}

// assertLimit checks the rule for the arrivals at a target up to a time.
func assertLimit(t *testing.T, target *lender.Target, limit namedLimit, to time.Time) {
	t.Helper()
	allowed := int(limitFactor*limit.perSecond*limitWindow.Seconds()) + limitAllowance
	var window []time.Time
	most := 0
	for _, at := range target.Arrivals() {
		if at.Before(limit.from.Add(toldWithin)) || at.After(to) {
			continue
		}
		window = append(window, at)
		for at.Sub(window[0]) > limitWindow {
			window = window[1:]
		}
		if at.After(limit.from.Add(stableWindow)) {
			most = max(most, len(window))
		}
	}
	t.Logf("%s names %v a second: %d requests in %v, allowed %d", target.ID, limit.perSecond, most, limitWindow, allowed)
	assert.Check(t, most <= allowed, "%s named a limit of %v a second and got %d requests in %v; allowed %d", target.ID, limit.perSecond, most, limitWindow, allowed)
}

// trustKeysLonger lets VMs go on for longer without news of the store: on a busy machine
// they would refuse requests for a reason that has nothing to do with limits.
func trustKeysLonger(s *bluebelldoor.RelaySettings) { s.KeyEvidenceMaxAge = 20 * time.Second }

// outcomes counts the responses that callers got by status, 0 for none.
type outcomes struct {
	mu       sync.Mutex
	byStatus map[int]int
	// withoutRetryAfter counts refusals that don't say when to retry, and slow those
	// that took over maxRefusalTime.
	withoutRetryAfter, slow int
}

// maxRefusalTime is within what time a caller is told that no target takes its request.
const maxRefusalTime = 500 * time.Millisecond

func (o *outcomes) record(got callerResponse) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byStatus[got.status]++
	if got.status == 503 && got.header.Get("Retry-After") == "" {
		o.withoutRetryAfter++
	}
	if got.status == 503 && got.took > maxRefusalTime {
		o.slow++
	}
}

// sendFor sends requests to each VM at an even rate for a time. The first VM gets
// three times as many as each of the others.
func (f *relayFleet) sendFor(t *testing.T, perSecond float64, d time.Duration) *outcomes {
	o := &outcomes{byStatus: map[int]int{}}
	var senders sync.WaitGroup
	until := time.Now().Add(d)
	for i, r := range f.vms {
		interval := time.Duration(float64(time.Second) * float64(len(f.vms)+2) / perSecond)
		if i == 0 {
			interval /= 3
		}
		senders.Go(func() {
			var requests sync.WaitGroup
			for n := 0; time.Now().Before(until); n++ {
				requests.Go(func() { o.record(r.send(t, "GET", safePath+"x", fmt.Sprintf("load-%d-%d", i, n), nil)) })
				time.Sleep(interval)
			}
			requests.Wait()
		})
	}
	senders.Wait()
	return o
}

// TestRelayLimit guards against a target in need that gets far more requests a second
// than it has named: VMs that ignore the limit, or that each keep it by themselves.
func TestRelayLimit(t *testing.T) {
	const vms, perSecond, duration = 7, 45, 9 * time.Second
	type fleet struct {
		*relayFleet
		targets []*lender.Target
		limits  []namedLimit
	}
	name := func(f *fleet, target int, limit float64) {
		f.targets[target].NameLimit(limit)
		f.limits[target] = namedLimit{time.Now(), limit}
	}
	for title, c := range map[string]struct {
		// limits are those that targets name at the start.
		limits []float64
		// during runs beside the load.
		during func(t *testing.T, f *fleet)
		// allServed requires that callers get no refusal.
		allServed bool
	}{
		"one target":  {[]float64{2.7}, nil, true},
		"two targets": {[]float64{3.2, 1}, nil, true},
		"all targets": {[]float64{4.1, 2, 6}, nil, false},
		"zero":        {[]float64{0}, nil, true},
		"lowered": {[]float64{12}, func(_ *testing.T, f *fleet) {
			time.Sleep(duration / 4)
			name(f, 0, 2)
		}, true},
		"restarts": {[]float64{2.7, 2}, func(t *testing.T, f *fleet) {
			for _, r := range f.vms[1:] {
				time.Sleep(duration / 10)
				r.stop()
				f.startVM(t, r)
			}
		}, false},
	} {
		t.Run(title, func(t *testing.T) {
			t.Parallel()
			f := &fleet{relayFleet: startRelays(t, vms, trustKeysLonger)}
			for i := range 3 {
				target := f.relayFleet.targets.Add(fmt.Sprintf("app-%d", i), "app", fmt.Sprintf("dc-%d", i))
				t.Cleanup(target.Stop)
				f.targets = append(f.targets, target)
			}
			f.limits = make([]namedLimit, len(f.targets))
			f.awaitTargets(t)
			for i, limit := range c.limits {
				name(f, i, limit)
			}
			var beside sync.WaitGroup
			if c.during != nil {
				beside.Go(func() { c.during(t, f) })
			}
			got := f.sendFor(t, perSecond, duration)
			beside.Wait()
			for i, limit := range f.limits {
				if !limit.from.IsZero() {
					assertLimit(t, f.targets[i], limit, time.Now())
				}
			}
			t.Logf("responses by status: %v", got.byStatus)
			assert.Check(t, got.byStatus[200] > 0, "no caller was served")
			if c.allServed {
				assert.Check(t, len(got.byStatus) == 1, "a target without a limit has room, but callers got %v", got.byStatus)
			}
			assert.Check(t, got.withoutRetryAfter == 0, "%d refusals without Retry-After", got.withoutRetryAfter)
			assert.Check(t, got.slow == 0, "%d refusals took over %v", got.slow, maxRefusalTime)
		})
	}
}

// TestRelayLimitEnds checks that a target whose responses no longer name a limit gets
// its share of the requests again.
func TestRelayLimitEnds(t *testing.T) {
	const vms, perSecond = 3, 40
	f := startRelays(t, vms, trustKeysLonger)
	limited := f.targets.Add("app-0", "app", "dc-0")
	t.Cleanup(limited.Stop)
	f.awaitTargets(t)
	limited.NameLimit(2)
	began := time.Now()
	got := f.sendFor(t, perSecond, 5*time.Second)
	assertLimit(t, limited, namedLimit{began, 2}, time.Now())
	assert.Check(t, got.byStatus[200] >= 5, "callers got %v", got.byStatus)
	limited.EndLimit()
	await(t, "the end of the limit is known to all VMs", func() bool {
		f.sendFor(t, perSecond, 300*time.Millisecond)
		for _, r := range f.vms {
			if r.Status().LimitedTargets > 0 {
				return false
			}
		}
		return true
	})
	got = f.sendFor(t, perSecond, time.Second)
	assert.Equal(t, len(got.byStatus), 1, "callers got %v after the limit had ended", got.byStatus)
}

// TestRelayLimitOfEngines checks that generations wait for a permit that is due within
// their objective, and that the others are refused then, not at their deadline.
func TestRelayLimitOfEngines(t *testing.T) {
	const callers, perSecond, maxTime = 20, 6.0, promptObjective
	f, engine := startEngine(t)
	engine.NameLimit(perSecond)
	f.vms[0].generate(t, promptPath, "ask", 1)
	began := time.Now()
	got := make(chan callerResponse, callers)
	for i := range callers {
		go func() { got <- f.vms[0].generate(t, promptPath, fmt.Sprintf("during-%d", i), 3) }()
	}
	byStatus := map[int]int{}
	for range callers {
		a := <-got
		byStatus[a.status]++
		assert.Check(t, a.took < maxTime, "status %d after %v", a.status, a.took)
		assert.Check(t, a.status == 200 || a.header.Get("Retry-After") != "", "status %d without Retry-After", a.status)
	}
	t.Logf("responses by status: %v", byStatus)
	assert.Check(t, byStatus[200] >= 2, "%v", byStatus)
	assert.Check(t, byStatus[200]+byStatus[503] == callers, "%v", byStatus)
	assert.Check(t, float64(len(engine.Arrivals())) <= perSecond*time.Since(began).Seconds()+limitAllowance, "%d requests in %v", len(engine.Arrivals()), time.Since(began))
}

// TestRelayMoveToLimited checks that a stream whose engine leaves goes on at an engine that
// limits requests, as one of the requests that this accepts.
func TestRelayMoveToLimited(t *testing.T) {
	const streams, events = 3, 150
	f := startRelays(t, 1)
	source := f.targets.Add("engine-1", "engine", "dc-0")
	t.Cleanup(source.Stop)
	t.Cleanup(f.targets.Add("app-1", "app", "dc-0").Stop)
	f.awaitTargets(t)
	got := make(chan callerResponse, streams)
	for i := range streams {
		go func() { got <- f.vms[0].generate(t, streamPath, fmt.Sprintf("moved-%d", i), events) }()
	}
	f.awaitRuns(t, "moved", streams)
	limited := f.targets.Add("engine-2", "engine", "dc-0")
	t.Cleanup(limited.Stop)
	limited.NameLimit(4)
	await(t, "the other engine is known", func() bool { return f.vms[0].Status().Revision >= f.store.Revision() })
	source.Register("draining")
	for range streams {
		assertSingleRun(t, <-got, events)
	}
	assert.Equal(t, f.vms[0].Status().LimitedTargets, 1)
	assert.Equal(t, len(limited.Arrivals()), streams)
}

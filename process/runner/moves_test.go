package runner_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor/standin/lender"
)

// assertSingleRun checks that a stream has each event once, in order, and all
// of the same run.
func assertSingleRun(t *testing.T, a callerResponse, events int) {
	t.Helper()
	assert.Assert(t, a.complete, "the stream ended early: %d, %.200s", a.status, a.body)
	blocks := strings.Split(strings.TrimSuffix(a.body, "\n\n"), "\n\n")
	assert.Equal(t, len(blocks), events)
	want := ""
	for i, block := range blocks {
		var n int
		var got string
		_, err := fmt.Sscanf(block, "id: %d\ndata: %s", &n, &got)
		assert.NilError(t, err, "%q", block)
		assert.Equal(t, n, i+1)
		if want == "" {
			want = got
		}
		assert.Equal(t, got, want, "event %d is of another run", n)
	}
}

// awaitRuns waits until targets run the requests name-0 to name-(n-1).
func (f *relayFleet) awaitRuns(t *testing.T, name string, n int) {
	t.Helper()
	await(t, "all streams run", func() bool {
		for i := range n {
			if len(f.targets.Executions(fmt.Sprintf("%s-%d", name, i))) == 0 {
				return false
			}
		}
		return true
	})
}

// TestRelayStreams checks that streams are relayed completely, end when the
// target fails, and continue on another target only if the route allows it.
func TestRelayStreams(t *testing.T) {
	f := startRelays(t, 1)
	first := f.targets.Add("engine-1", "engine", "dc-0")
	defer first.Stop()
	second := f.targets.Add("engine-2", "engine", "dc-1")
	defer second.Stop()
	app := f.targets.Add("app-1", "app", "dc-0")
	defer app.Stop()
	f.awaitTargets(t)
	for name, c := range map[string]struct {
		path     string
		act      lender.Behaviour // of the engine of the first attempt
		complete bool
		runs     int
	}{
		"served":               {streamPath, lender.Serve, true, 1},
		"cut":                  {streamPath, lender.Truncate, false, 1},
		"lost":                 {streamPath, lender.Drop, false, 1},
		"refused":              {streamPath, lender.Refuse, true, 1},
		"resumable, served":    {resumePath, lender.Serve, true, 1},
		"resumable, cut":       {resumePath, lender.Truncate, true, 2},
		"resumable, lost":      {resumePath, lender.Drop, true, 2},
		"resumable, failed":    {resumePath, lender.Fail, true, 2},
		"resumable, forbidden": {resumePath, lender.Refuse, true, 1},
		// A stream with neither length nor chunks ends with its connection. One that ends
		// inside an event, or before its first, has been broken off.
		"unframed":                   {streamPath, lender.Unframed, true, 1},
		"unframed, cut":              {streamPath, lender.UnframedCut, false, 1},
		"unframed, empty":            {streamPath, lender.UnframedEmpty, false, 1},
		"resumable, unframed":        {resumePath, lender.Unframed, true, 1},
		"resumable, unframed, cut":   {resumePath, lender.UnframedCut, true, 2},
		"resumable, unframed, empty": {resumePath, lender.UnframedEmpty, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			id := "s-" + strings.ReplaceAll(name, " ", "-")
			var asked atomic.Int64
			act := func(r *http.Request) lender.Behaviour {
				if r.Header.Get("Attempt-Id") != id {
					return lender.Serve
				}
				if asked.Add(1) == 1 {
					return c.act
				}
				return lender.Serve
			}
			first.SetBehaviour(act)
			second.SetBehaviour(act)
			got := f.vms[0].generate(t, c.path, id, 10)
			assert.Equal(t, got.status == 200 && got.complete, c.complete, "%d %s", got.status, got.body)
			runs := f.targets.Executions(id)
			assert.Equal(t, len(runs), c.runs)
			if c.complete {
				ids := strings.Count(got.body, "id: ")
				assert.Equal(t, ids, 10, got.body)
			}
			if c.act == lender.Truncate && c.runs == 2 {
				assert.Equal(t, runs[1].LastEventID, "4", "must resume after the last complete event")
			}
		})
	}
}

// TestRelayEndings guards against a stream that was cut and looks complete, and against one that
// was complete and looks cut, for each way in which a stream may end and each way in which its
// end may be marked. The moment of the end is drawn at random.
func TestRelayEndings(t *testing.T) {
	const events = 60
	type ending struct {
		act      func(t *testing.T, f *relayFleet, source *lender.Target)
		deadline string
		complete bool
		moved    bool
	}
	leave := func(_ *testing.T, _ *relayFleet, source *lender.Target) { source.Register("draining") }
	addDestination := func(t *testing.T, f *relayFleet) {
		t.Helper()
		t.Cleanup(f.targets.Add("engine-2", "engine", "dc-0").Stop)
		await(t, "the other engine is known", func() bool { return f.vms[0].Status().Revision >= f.store.Revision() })
	}
	for name, c := range map[string]ending{
		"by itself":                        {act: func(*testing.T, *relayFleet, *lender.Target) {}, complete: true},
		"the engine leaves, nowhere to go": {act: leave, complete: true},
		"moved": {act: func(t *testing.T, f *relayFleet, source *lender.Target) {
			addDestination(t, f)
			source.Register("draining")
		}, complete: true, moved: true},
		"stays where it stopped": {act: func(t *testing.T, f *relayFleet, source *lender.Target) {
			addDestination(t, f)
			source.FailFinalCopies(http.StatusServiceUnavailable)
			source.Register("draining")
		}, complete: true},
		"answer to the last copy lost": {act: func(t *testing.T, f *relayFleet, source *lender.Target) {
			addDestination(t, f)
			source.LoseFinalCopies()
			source.Register("draining")
		}, complete: false},
		"last copy refused, not stopped": {act: func(t *testing.T, f *relayFleet, source *lender.Target) {
			addDestination(t, f)
			source.FailFinalCopies(http.StatusNotFound)
			source.Register("draining")
		}, complete: true},
		"deadline":    {act: func(*testing.T, *relayFleet, *lender.Target) {}, deadline: "400", complete: false},
		"the VM ends": {act: func(_ *testing.T, f *relayFleet, _ *lender.Target) { f.vms[0].stop() }, complete: false},
	} {
		for _, behaviour := range []lender.Behaviour{lender.Serve, lender.UnframedPaced} {
			t.Run(name+" "+string(behaviour), func(t *testing.T) {
				t.Parallel()
				f, source := startEngine(t)
				f.targets.SetBehaviour(func(r *http.Request) lender.Behaviour {
					if r.Header.Get("Token-Count") != "" {
						return behaviour
					}
					return lender.Serve
				})
				got := make(chan callerResponse, 1)
				go func() { got <- f.vms[0].generateWithin(t, streamPath, "ends", events, c.deadline) }()
				f.awaitRun(t, "ends")
				time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
				c.act(t, f, source)
				a := <-got
				if c.complete {
					assertSingleRun(t, a, events)
				} else {
					assert.Assert(t, !a.complete, "a stream that was cut looks complete: %d events", strings.Count(a.body, "id: "))
				}
				if c.moved {
					assert.Equal(t, len(f.targets.Executions("ends")), 2)
				}
			})
		}
	}
}

// awaitRun waits until a target runs a request.
func (f *relayFleet) awaitRun(t *testing.T, id string) {
	t.Helper()
	await(t, "the stream runs", func() bool { return len(f.targets.Executions(id)) > 0 })
}

// TestRelayEndlessEvent guards against a target that sends an event without end: the VM held
// all of it in memory.
func TestRelayEndlessEvent(t *testing.T) {
	f := startRelays(t, 1)
	t.Cleanup(f.targets.Add("engine-1", "engine", "dc-0").Stop)
	t.Cleanup(f.targets.Add("app-1", "app", "dc-0").Stop)
	f.awaitTargets(t)
	f.targets.SetBehaviour(func(r *http.Request) lender.Behaviour {
		if r.Header.Get("Token-Count") != "" {
			return lender.Endless
		}
		return lender.Serve
	})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	got := f.vms[0].generate(t, streamPath, "endless", 10)
	runtime.ReadMemStats(&after)
	assert.Assert(t, !got.complete)
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < 32<<20, "%d bytes allocated", after.TotalAlloc-before.TotalAlloc)
}

// TestRelayStreamThenError guards against ORDER and MIXED: a stream broke off, the engine
// that was to continue it answered with an error, and the caller found the error in its
// stream, or a stream that looked complete.
func TestRelayStreamThenError(t *testing.T) {
	f := startRelays(t, 1)
	for i := range 2 {
		t.Cleanup(f.targets.Add(fmt.Sprintf("engine-%d", i), "engine", "dc-0").Stop)
	}
	t.Cleanup(f.targets.Add("app-1", "app", "dc-0").Stop)
	f.awaitTargets(t)
	for _, first := range []lender.Behaviour{lender.Truncate, lender.UnframedCut} {
		for _, next := range []lender.Behaviour{lender.Fail, lender.Refuse, lender.Drop, lender.WrongAttemptID, lender.UnframedEmpty} {
			t.Run(fmt.Sprintf("%s, %s", first, next), func(t *testing.T) {
				id := fmt.Sprintf("e-%s-%s", first, next)
				var asked atomic.Int64
				f.targets.SetBehaviour(func(r *http.Request) lender.Behaviour {
					switch {
					case r.Header.Get("Attempt-Id") != id:
						return lender.Serve
					case asked.Add(1) == 1:
						return first
					}
					return next
				})
				got := f.vms[0].generate(t, resumePath, id, 10)
				assert.Equal(t, got.status, 200)
				assert.Assert(t, !got.complete, "looks complete: %s", got.body)
				for _, event := range strings.SplitAfter(got.body, "\n\n") {
					assert.Assert(t, event == "" || strings.HasPrefix(event, "id: ") && strings.HasSuffix(event, "\n\n"), "not an event: %q", event)
				}
			})
		}
	}
}

// TestRelayMoves moves streams off an engine that is leaving, with each kind of
// notice. The caller must see one run without a gap. If a copy fails, the stream
// must end visibly early, and not run again.
func TestRelayMoves(t *testing.T) {
	for name, c := range map[string]struct {
		notice   func(f *relayFleet, source *lender.Target)
		fail     int // status of failing copies, 0 for none
		complete bool
	}{
		"draining":          {func(_ *relayFleet, s *lender.Target) { s.Register("draining") }, 0, true},
		"entry removed":     {func(f *relayFleet, s *lender.Target) { f.store.Remove("servers/" + s.ID) }, 0, true},
		"no such run":       {func(_ *relayFleet, s *lender.Target) { s.Register("draining") }, 404, false},
		"no room":           {func(_ *relayFleet, s *lender.Target) { s.Register("draining") }, 503, false},
		"store silent":      {func(f *relayFleet, s *lender.Target) { f.store.SetMode(lender.Unresponsive); s.Register("draining") }, 0, true},
		"store answers 429": {func(f *relayFleet, s *lender.Target) { f.store.SetMode(lender.TooManyRequests); s.Register("draining") }, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startRelays(t, 3)
			source := f.targets.Add("engine-1", "engine", "dc-0")
			defer source.Stop()
			app := f.targets.Add("app-1", "app", "dc-0")
			defer app.Stop()
			f.awaitTargets(t)
			const streams, events = 4, 400
			got := make(chan callerResponse, streams)
			for i := range streams {
				go func() { got <- f.vms[i%3].generate(t, streamPath, fmt.Sprintf("move-%d", i), events) }()
			}
			f.awaitRuns(t, "move", streams)
			destination := f.targets.Add("engine-2", "engine", "dc-0")
			defer destination.Stop()
			time.Sleep(300 * time.Millisecond)
			source.FailCopies(c.fail)
			c.notice(f, source)
			time.AfterFunc(3*time.Second, source.Stop)
			for range streams {
				a := <-got
				if c.complete {
					assertSingleRun(t, a, events)
				} else {
					assert.Assert(t, !a.complete, "a stream that was not moved looks complete")
				}
			}
			for i := range streams {
				runs := f.targets.Executions(fmt.Sprintf("move-%d", i))
				if c.complete {
					assert.Equal(t, len(runs), 2)
					assert.Equal(t, runs[1].Target, "engine-2")
					assert.Assert(t, runs[1].Header.Get("Kv-From") != "")
				} else {
					assert.Equal(t, len(runs), 1, "a generation that may run only once ran again")
				}
			}
			f.store.SetMode(lender.Up)
		})
	}
}

// TestRelayLeaving checks that no new requests are sent to targets that are leaving or
// whose record is removed or unreadable, or to data centres out of service.
func TestRelayLeaving(t *testing.T) {
	for name, c := range map[string]struct {
		change func(f *relayFleet, first *lender.Target)
		target string // the only one that may still get requests
	}{
		"draining":       {func(_ *relayFleet, first *lender.Target) { first.Register("draining") }, "app-2"},
		"removed":        {func(f *relayFleet, first *lender.Target) { f.store.Remove("servers/" + first.ID) }, "app-2"},
		"out of service": {func(f *relayFleet, _ *lender.Target) { f.store.Put("op/evacuate/dc-0", map[string]any{}) }, "app-2"},
		"unreadable":     {func(f *relayFleet, first *lender.Target) { f.store.Put("servers/"+first.ID, "{") }, "app-2"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startRelays(t, 2)
			first := f.targets.Add("app-1", "app", "dc-0")
			defer first.Stop()
			second := f.targets.Add("app-2", "app", "dc-1")
			defer second.Stop()
			f.awaitTargets(t)
			c.change(f, first)
			time.Sleep(400 * time.Millisecond)
			for i := range 20 {
				id := fmt.Sprintf("l-%d", i)
				assert.Equal(t, f.vms[i%2].send(t, "POST", unsafePath+"x", id, nil).status, 200)
				assert.Equal(t, f.targets.Executions(id)[0].Target, c.target)
			}
		})
	}
}

// TestRelayConnections checks that all VMs together open no more connections
// than a target accepts. The target resets any further one, and a non-repeatable
// request on it would be lost.
func TestRelayConnections(t *testing.T) {
	// The target accepts 50 connections. 90 % of them may be open, and 44 belong
	// to requests that it runs. The remaining one can't be divided among four
	// VMs.
	const (
		slots  = 44
		usable = 1
	)
	f := startRelays(t, 4)
	app := f.targets.Add("app-1", "app", "dc-0")
	defer app.Stop()
	app.LimitConnections(maxConnections - slots)
	app.RegisterSlots(slots)
	f.awaitTargets(t)
	for _, vm := range f.vms {
		await(t, "the VMs know each other", func() bool { return len(vm.Status().Members) == len(f.vms) })
	}
	// A VM may have kept more connections open before it knew of the others.
	for i, vm := range f.vms {
		assert.Equal(t, vm.send(t, "GET", safePath+"x", fmt.Sprintf("known-%d", i), nil).status, 200)
	}
	for i := range 80 {
		await(t, "connections beyond the usable ones are closed", func() bool { return app.Connections() <= usable })
		assert.Equal(t, f.vms[i%4].send(t, "POST", unsafePath+"x", fmt.Sprintf("c-%d", i), nil).status, 200)
	}
	// Without the wait, so that some requests start before the target has seen the
	// previous connection close.
	for i := range 80 {
		assert.Equal(t, f.vms[i%4].send(t, "POST", unsafePath+"x", fmt.Sprintf("d-%d", i), nil).status, 200)
	}
}

// TestRelayReusedAddress checks that no request runs on a target of another
// service that now uses the address of an earlier target.
func TestRelayReusedAddress(t *testing.T) {
	f := startRelays(t, 1)
	app := f.targets.Add("app-1", "app", "dc-0")
	defer app.Stop()
	f.awaitTargets(t)
	f.store.SetMode(lender.Unresponsive)
	app.ID, app.Service = "desk-9", "desk"
	got := f.vms[0].send(t, "GET", "/public/x", "reused", nil)
	assert.Equal(t, got.status, 503)
	assert.Equal(t, len(f.targets.Executions("reused")), 0)
	f.store.SetMode(lender.Up)
}

// TestRelayDark checks that requests reach the one remaining target after all
// targets of a data centre have become unreachable without notice.
func TestRelayDark(t *testing.T) {
	f := startRelays(t, 1)
	for i := range 6 {
		f.targets.Add(fmt.Sprintf("app-%d", i), "app", "dc-0").Stop()
	}
	remaining := f.targets.Add("app-left", "app", "dc-1")
	defer remaining.Stop()
	f.awaitReady(t)
	await(t, "all targets are known", func() bool { return f.vms[0].send(t, "GET", safePath+"x", "known", nil).status == 200 })
	for i := range 10 {
		id := fmt.Sprintf("dark-%d", i)
		assert.Equal(t, f.vms[0].send(t, "POST", unsafePath+"x", id, nil).status, 200)
		assert.Equal(t, len(f.targets.Executions(id)), 1)
	}
}

// TestRelayStaysWhereItStopped checks that a stream continues on the leaving
// engine if the last copy off it fails: the engine still holds the generation's
// memory and runs for some time after its notice.
func TestRelayStaysWhereItStopped(t *testing.T) {
	f, source := startEngine(t)
	const events = 150
	got := make(chan callerResponse, 1)
	go func() { got <- f.vms[0].generate(t, streamPath, "stays", events) }()
	await(t, "the stream runs", func() bool { return len(f.targets.Executions("stays")) == 1 })
	destination := f.targets.Add("engine-2", "engine", "dc-0")
	defer destination.Stop()
	await(t, "the other engine is known", func() bool { return f.vms[0].Status().Revision >= f.store.Revision() })
	source.FailFinalCopies(http.StatusServiceUnavailable)
	source.Register("draining")
	assertSingleRun(t, <-got, events)
	runs := f.targets.Executions("stays")
	assert.Assert(t, len(runs) > 1 && len(runs) < 6, "continued %d times", len(runs)-1)
	for _, run := range runs {
		assert.Equal(t, run.Target, source.ID)
	}
}

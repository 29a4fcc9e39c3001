package runner_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor/standin/lender"
)

// oneRun holds a stream to its promise: each event once, in order, all of one
// run.
func oneRun(t *testing.T, a answer, events int) {
	t.Helper()
	assert.Assert(t, a.whole, "the stream broke off: %d, %.200s", a.status, a.body)
	pieces := strings.Split(strings.TrimSuffix(a.body, "\n\n"), "\n\n")
	assert.Equal(t, len(pieces), events)
	run := ""
	for i, p := range pieces {
		var n int
		var of string
		_, err := fmt.Sscanf(p, "id: %d\ndata: %s", &n, &of)
		assert.NilError(t, err, "%q", p)
		assert.Equal(t, n, i+1)
		if run == "" {
			run = of
		}
		assert.Equal(t, of, run, "event %d is of another run", n)
	}
}

// awaitRuns waits until targets run the requests NAME-0, NAME-1 and so on.
func (f *relays) awaitRuns(t *testing.T, name string, n int) {
	t.Helper()
	await(t, "all streams run", func() bool {
		for i := range n {
			if len(f.yard.Runs(fmt.Sprintf("%s-%d", name, i))) == 0 {
				return false
			}
		}
		return true
	})
}

// TestRelayStreams passes events on whole, breaks off where the target does,
// and goes on elsewhere only where the route allows it.
func TestRelayStreams(t *testing.T) {
	f := startRelays(t, 1)
	one := f.yard.Add("engine-1", "engine", "dc-0")
	defer one.Stop()
	two := f.yard.Add("engine-2", "engine", "dc-1")
	defer two.Stop()
	app := f.yard.Add("app-1", "app", "dc-0")
	defer app.Stop()
	f.settle(t)
	for name, c := range map[string]struct {
		path  string
		act   lender.Act // of the first engine that is asked
		whole bool
		runs  int
	}{
		"served":               {toStream, lender.Serve, true, 1},
		"cut":                  {toStream, lender.Cut, false, 1},
		"lost":                 {toStream, lender.Drop, false, 1},
		"refused":              {toStream, lender.Shed, true, 1},
		"resumable, served":    {toResume, lender.Serve, true, 1},
		"resumable, cut":       {toResume, lender.Cut, true, 2},
		"resumable, lost":      {toResume, lender.Drop, true, 2},
		"resumable, failed":    {toResume, lender.Fail, true, 2},
		"resumable, forbidden": {toResume, lender.Shed, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			id := "s-" + strings.ReplaceAll(name, " ", "-")
			var asked atomic.Int64
			act := func(r *http.Request) lender.Act {
				if r.Header.Get("Attempt-Id") != id {
					return lender.Serve
				}
				if asked.Add(1) == 1 {
					return c.act
				}
				return lender.Serve
			}
			one.Acts(act)
			two.Acts(act)
			got := f.vms[0].generate(t, c.path, id, 10)
			assert.Equal(t, got.status == 200 && got.whole, c.whole, "%d %s", got.status, got.body)
			runs := f.yard.Runs(id)
			assert.Equal(t, len(runs), c.runs)
			if c.whole {
				ids := strings.Count(got.body, "id: ")
				assert.Equal(t, ids, 10, got.body)
			}
			if c.act == lender.Cut && c.runs == 2 {
				assert.Equal(t, runs[1].Resumed, "4", "goes on after the last whole event")
			}
		})
	}
}

// TestRelayMoves takes streams off an engine that leaves, in each way that a
// move may go: the caller sees one run without a gap.
func TestRelayMoves(t *testing.T) {
	for name, c := range map[string]struct {
		notice func(f *relays, source *lender.Target)
		fail   int // status of copies
		whole  bool
	}{
		"draining":            {func(_ *relays, s *lender.Target) { s.Register("draining") }, 0, true},
		"entry removed":       {func(f *relays, s *lender.Target) { f.store.Remove("servers/" + s.ID) }, 0, true},
		"no such run":         {func(_ *relays, s *lender.Target) { s.Register("draining") }, 404, false},
		"no room":             {func(_ *relays, s *lender.Target) { s.Register("draining") }, 503, false},
		"store silent":        {func(f *relays, s *lender.Target) { f.store.SetMode(lender.Silent); s.Register("draining") }, 0, true},
		"store turns us away": {func(f *relays, s *lender.Target) { f.store.SetMode(lender.Many); s.Register("draining") }, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startRelays(t, 3)
			source := f.yard.Add("engine-1", "engine", "dc-0")
			defer source.Stop()
			app := f.yard.Add("app-1", "app", "dc-0")
			defer app.Stop()
			f.settle(t)
			const streams, events = 4, 400
			got := make(chan answer, streams)
			for i := range streams {
				go func() { got <- f.vms[i%3].generate(t, toStream, fmt.Sprintf("move-%d", i), events) }()
			}
			f.awaitRuns(t, "move", streams)
			destination := f.yard.Add("engine-2", "engine", "dc-0")
			defer destination.Stop()
			time.Sleep(300 * time.Millisecond)
			source.FailCopies(c.fail)
			c.notice(f, source)
			time.AfterFunc(3*time.Second, source.Stop)
			for range streams {
				a := <-got
				if c.whole {
					oneRun(t, a, events)
				} else {
					assert.Assert(t, !a.whole, "a stream that was not moved looks whole")
				}
			}
			for i := range streams {
				runs := f.yard.Runs(fmt.Sprintf("move-%d", i))
				if c.whole {
					assert.Equal(t, len(runs), 2)
					assert.Equal(t, runs[1].Target, "engine-2")
					assert.Assert(t, runs[1].Header.Get("Kv-From") != "")
				} else {
					assert.Equal(t, len(runs), 1, "a generation that may run once ran again")
				}
			}
			f.store.SetMode(lender.Up)
		})
	}
}

// TestRelayLeaving sends nothing new to targets that leave, to data centres
// out of service, or to an earlier start at an address.
func TestRelayLeaving(t *testing.T) {
	for name, c := range map[string]struct {
		change func(f *relays, one *lender.Target)
		target string // the only one that may still be asked
	}{
		"draining":       {func(_ *relays, one *lender.Target) { one.Register("draining") }, "app-2"},
		"removed":        {func(f *relays, one *lender.Target) { f.store.Remove("servers/" + one.ID) }, "app-2"},
		"out of service": {func(f *relays, _ *lender.Target) { f.store.Put("op/evacuate/dc-0", map[string]any{}) }, "app-2"},
		"unreadable":     {func(f *relays, one *lender.Target) { f.store.Put("servers/"+one.ID, "{") }, "app-2"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startRelays(t, 2)
			one := f.yard.Add("app-1", "app", "dc-0")
			defer one.Stop()
			two := f.yard.Add("app-2", "app", "dc-1")
			defer two.Stop()
			f.settle(t)
			c.change(f, one)
			time.Sleep(400 * time.Millisecond)
			for i := range 20 {
				id := fmt.Sprintf("l-%d", i)
				assert.Equal(t, f.vms[i%2].ask(t, "POST", toUnsafe+"x", id, nil).status, 200)
				assert.Equal(t, f.yard.Runs(id)[0].Target, c.target)
			}
		})
	}
}

// TestRelayConnections keeps to the connections that a target takes from all
// VMs: one beyond them is reset, and a request that may run once is lost in it.
func TestRelayConnections(t *testing.T) {
	// The target takes 50. Nine in ten may be open, and 44 are those of requests
	// that it runs: one is left, which is no connection for each of four VMs.
	const (
		slots  = 44
		usable = 1
	)
	f := startRelays(t, 4)
	one := f.yard.Add("app-1", "app", "dc-0")
	defer one.Stop()
	one.LimitConnections(mostConnections - slots)
	one.RegisterSlots(slots)
	f.settle(t)
	for _, vm := range f.vms {
		await(t, "the VMs know each other", func() bool { return len(vm.Status().Members) == len(f.vms) })
	}
	// Each VM may have kept more while it knew of no other.
	for i, vm := range f.vms {
		assert.Equal(t, vm.ask(t, "GET", toSafe+"x", fmt.Sprintf("known-%d", i), nil).status, 200)
	}
	for i := range 80 {
		await(t, "connections beyond the usable ones are closed", func() bool { return one.Connections() <= usable })
		assert.Equal(t, f.vms[i%4].ask(t, "POST", toUnsafe+"x", fmt.Sprintf("c-%d", i), nil).status, 200)
	}
	// One after the other, some before the target has seen the last one close.
	for i := range 80 {
		assert.Equal(t, f.vms[i%4].ask(t, "POST", toUnsafe+"x", fmt.Sprintf("d-%d", i), nil).status, 200)
	}
}

// TestRelayReusedAddress never runs a request at a target of another service
// that has taken an address over.
func TestRelayReusedAddress(t *testing.T) {
	f := startRelays(t, 1)
	one := f.yard.Add("app-1", "app", "dc-0")
	defer one.Stop()
	f.settle(t)
	f.store.SetMode(lender.Silent)
	one.ID, one.Service = "desk-9", "desk"
	got := f.vms[0].ask(t, "GET", "/public/x", "reused", nil)
	assert.Equal(t, got.status, 503)
	assert.Equal(t, len(f.yard.Runs("reused")), 0)
	f.store.SetMode(lender.Up)
}

// TestRelayDark finds the one target that is left when a data centre of them
// has gone dark without notice.
func TestRelayDark(t *testing.T) {
	f := startRelays(t, 1)
	for i := range 6 {
		f.yard.Add(fmt.Sprintf("app-%d", i), "app", "dc-0").Stop()
	}
	left := f.yard.Add("app-left", "app", "dc-1")
	defer left.Stop()
	f.ready(t)
	await(t, "all targets are known", func() bool { return f.vms[0].ask(t, "GET", toSafe+"x", "known", nil).status == 200 })
	for i := range 10 {
		id := fmt.Sprintf("dark-%d", i)
		assert.Equal(t, f.vms[0].ask(t, "POST", toUnsafe+"x", id, nil).status, 200)
		assert.Equal(t, len(f.yard.Runs(id)), 1)
	}
}

// TestRelayStaysWhereItStopped goes on at an engine that leaves where the last copy
// off it has failed: it has the memory, and its notice lasts a while.
func TestRelayStaysWhereItStopped(t *testing.T) {
	f, source := startEngine(t)
	const events = 150
	got := make(chan answer, 1)
	go func() { got <- f.vms[0].generate(t, toStream, "stays", events) }()
	await(t, "the stream runs", func() bool { return len(f.yard.Runs("stays")) == 1 })
	destination := f.yard.Add("engine-2", "engine", "dc-0")
	defer destination.Stop()
	await(t, "the other engine is known", func() bool { return f.vms[0].Status().Revision >= f.store.Revision() })
	source.FailLastCopies(http.StatusServiceUnavailable)
	source.Register("draining")
	oneRun(t, <-got, events)
	runs := f.yard.Runs("stays")
	assert.Assert(t, len(runs) > 1 && len(runs) < 6, "went on %d times", len(runs)-1)
	for _, run := range runs {
		assert.Equal(t, run.Target, source.ID)
	}
}

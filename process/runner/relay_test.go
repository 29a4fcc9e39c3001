package runner_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/platform"
	"bluebelldoor/process/runner"
	"bluebelldoor/process/timer"
	"bluebelldoor/standin/lender"
)

// relays is a fleet of real processes' insides on loopback, before a stand-in
// of the users' platform.
type relays struct {
	store *lender.Store
	yard  *lender.Yard
	vms   []*relay
}

type relay struct {
	*runner.Relay
	settings *bluebelldoor.RelaySettings
	stop     func()
}

// routes of the stand-in's configuration, by what may be repeated.
const (
	toSafe     = "/safe/"
	toUnsafe   = "/unsafe/"
	toStream   = "/stream/"
	toResume   = "/resume/"
	testHost   = "api.example"
	testKey    = "key-1"
	keyGrace   = 1200 * time.Millisecond
	testBudget = 100
)

func route(prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": strings.Trim(prefix, "/"), "host": testHost, "prefix": prefix, "kind": kind, "service": service,
		"timeout_ms": 3000, "slo_ms": 500, "priority": 1, "max_attempts": 2, "public": false,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// configuration returns a version that holds the given API keys.
func configuration(version int, keys ...string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			route(toSafe, "safe", "app", nil),
			route(toUnsafe, "unsafe", "app", map[string]any{"max_attempts": 1}),
			route(toStream, "streaming", "engine", map[string]any{"max_attempts": 1, "affinity": true, "timeout_ms": 20000, "slo_ms": 10000}),
			route(toResume, "streaming", "engine", map[string]any{"affinity": true, "stream_resume": true, "timeout_ms": 20000}),
			route("/public/", "safe", "app", map[string]any{"public": true}),
		},
		"services": []any{
			map[string]any{"name": "app", "health_path": "/health", "max_conns": 50},
			map[string]any{
				"name": "engine", "health_path": "/health", "max_conns": 50, "cold_s": 1, "cold_per_s": 25,
				"engine": map[string]any{"slots": 24, "kv_capacity": 34000, "kv_token_bytes": 1000, "link_mbps": 1000, "moves": true, "stride": 1},
			},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "account-1", "api_keys": keys}},
	}
}

func startRelays(t *testing.T, n int) *relays {
	t.Helper()
	store, stopStore := lender.NewStore()
	t.Cleanup(stopStore)
	f := &relays{store: store, yard: lender.NewYard(store)}
	store.Put("op/config", configuration(1, testKey))
	var seeds []string
	for i := range n {
		at := func() string { return freeAddress(t) }
		r := &relay{settings: &bluebelldoor.RelaySettings{
			Name: fmt.Sprintf("vm-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%3), CallerAddress: at(), ReadyAddress: at(),
			DirectoryAddress: at(), PeerAddress: at(), OpsAddress: at(), Catalogue: store.Address(), MemoryMegabytes: 512, Cores: 1,
			StopWithin: 4 * time.Second, AddressValidFor: 300 * time.Millisecond, KeyEvidence: keyGrace * 4 / 3,
			RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetryAllowance: testBudget, ColdFactor: 1.5, ColdAllowance: 5,
		}}
		seeds = append(seeds, r.settings.PeerAddress)
		f.vms = append(f.vms, r)
	}
	for _, r := range f.vms {
		r.settings.Seeds = seeds[:min(3, len(seeds))]
		f.begin(t, r)
	}
	return f
}

func (f *relays) begin(t *testing.T, r *relay) {
	t.Helper()
	clock, err := timer.New()
	assert.NilError(t, err)
	catalogue, closeCatalogue := platform.NewStore(r.settings.Catalogue)
	engines, closeEngines := platform.NewEngines()
	relay, stop, err := runner.NewRelay(r.settings, runner.RelayAdapters{
		Codec: platform.Codec{}, Catalogue: catalogue, Mover: engines, Reporter: engines, Clock: clock,
		ServeReady: platform.ServeReady, ServeDirectory: platform.ServeDirectory,
	}, hclog.NewNullLogger())
	assert.NilError(t, err)
	r.Relay, r.stop = relay, func() {
		stop()
		closeCatalogue()
		closeEngines()
	}
	t.Cleanup(func() { r.stop() })
}

// await waits until a condition holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(8 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not in time: %s", what)
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	whole  bool
	took   time.Duration
}

// ask sends a request to a VM over a connection of its own.
func (r *relay) ask(t *testing.T, method, path, id string, header map[string]string) answer {
	t.Helper()
	began := time.Now()
	conn, err := net.Dial("tcp", r.settings.CallerAddress)
	if err != nil {
		return answer{}
	}
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(15*time.Second)))
	h := http.Header{"Attempt-Id": {id}, "Authorization": {"Bearer " + testKey}, "Deadline-Ms": {"3000"}}
	for k, v := range header {
		h.Set(k, v)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 4\r\n", method, path, testHost)
	assert.NilError(t, h.Write(&b))
	b.WriteString("\r\nbody")
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return answer{}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{took: time.Since(began)}
	}
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, string(body), err == nil, time.Since(began)}
}

// generate asks for a stream of so many events.
func (r *relay) generate(t *testing.T, path, id string, events int) answer {
	t.Helper()
	return r.ask(t, http.MethodPost, path, id, map[string]string{"Token-Count": fmt.Sprintf("100,%d", events), "Deadline-Ms": "20000"})
}

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

func (f *relays) ready(t *testing.T) {
	t.Helper()
	await(t, "every VM is ready", func() bool {
		for _, r := range f.vms {
			response, err := http.Get("http://" + r.settings.ReadyAddress + "/-/ready")
			if err != nil {
				return false
			}
			response.Body.Close()
			if response.StatusCode != 200 {
				return false
			}
		}
		return true
	})
}

// settle waits until each VM serves an idempotent request.
func (f *relays) settle(t *testing.T) {
	t.Helper()
	f.ready(t)
	for i, r := range f.vms {
		await(t, "targets are known", func() bool {
			return r.ask(t, "GET", toSafe+"x", fmt.Sprintf("settle-%d", i), nil).status == 200
		})
	}
}

// TestRelayAtMostOnce shows for each thing that a target may do with a request
// what the caller gets and how often it ran.
func TestRelayAtMostOnce(t *testing.T) {
	f := startRelays(t, 1)
	app := f.yard.Add("app-1", "app", "dc-0")
	defer app.Stop()
	other := f.yard.Add("app-2", "app", "dc-1")
	defer other.Stop()
	f.settle(t)
	const (
		promise = true // "not run" is said
	)
	for name, c := range map[string]struct {
		path    string
		acts    []lender.Act // of the first, second, … target that is asked
		status  int
		runs    int
		refused bool
	}{
		"safe, served":            {toSafe, nil, 200, 1, false},
		"safe, refused once":      {toSafe, []lender.Act{lender.Shed}, 200, 1, false},
		"safe, failed once":       {toSafe, []lender.Act{lender.Fail}, 200, 2, false},
		"safe, failed twice":      {toSafe, []lender.Act{lender.Fail, lender.Fail}, 500, 2, false},
		"safe, lost once":         {toSafe, []lender.Act{lender.Drop}, 200, 2, false},
		"safe, cut once":          {toSafe, []lender.Act{lender.Cut}, 200, 2, false},
		"safe, lost, refused":     {toSafe, []lender.Act{lender.Drop, lender.Shed, lender.Shed}, 502, 1, false},
		"safe, crossed once":      {toSafe, []lender.Act{lender.Wrong}, 200, 2, false},
		"unsafe, served":          {toUnsafe, nil, 200, 1, false},
		"unsafe, refused once":    {toUnsafe, []lender.Act{lender.Shed}, 200, 1, false},
		"unsafe, refused by all":  {toUnsafe, []lender.Act{lender.Shed, lender.Shed, lender.Shed}, 503, 0, promise},
		"unsafe, failed":          {toUnsafe, []lender.Act{lender.Fail}, 500, 1, false},
		"unsafe, lost":            {toUnsafe, []lender.Act{lender.Drop}, 502, 1, false},
		"unsafe, cut":             {toUnsafe, []lender.Act{lender.Cut}, 502, 1, false},
		"unsafe, crossed":         {toUnsafe, []lender.Act{lender.Wrong}, 502, 1, false},
		"unsafe, refused, lost":   {toUnsafe, []lender.Act{lender.Shed, lender.Drop}, 502, 1, false},
		"unsafe, slow":            {toUnsafe, []lender.Act{lender.Slow}, 200, 1, false},
		"no such route":           {"/nowhere/", nil, 404, 0, false},
		"a prefix without its /":  {"/safe", nil, 404, 0, false},
		"public, without account": {"/public/", nil, 200, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			var asked atomic.Int64
			id := strings.ReplaceAll(name, " ", "-")
			act := func(r *http.Request) lender.Act {
				if r.Header.Get("Attempt-Id") != id {
					return lender.Serve
				}
				n := int(asked.Add(1))
				if n > len(c.acts) {
					return lender.Serve
				}
				return c.acts[n-1]
			}
			app.Acts(act)
			other.Acts(act)
			got := f.vms[0].ask(t, "POST", c.path+"x?y=1", id, nil)
			assert.Equal(t, got.status, c.status, got.body)
			assert.Equal(t, len(f.yard.Runs(id)), c.runs)
			if got.status == 200 {
				assert.Equal(t, got.body, "answer to "+id)
				assert.Assert(t, got.header.Get("Server-Stamp") != "")
			} else if got.status != 500 {
				assert.Equal(t, got.header.Get("Server-Stamp"), "")
			}
			if c.refused {
				assert.Assert(t, got.header.Get("Retry-After") != "", "a refusal that does not say when to come back")
			}
			assert.Assert(t, got.took < 2*time.Second, "the final answer took %s", got.took)
		})
	}
}

// TestRelayHeaders holds what goes to a target to what the caller sent and what
// the system alone may say.
func TestRelayHeaders(t *testing.T) {
	f := startRelays(t, 1)
	app := f.yard.Add("app-1", "app", "dc-0")
	defer app.Stop()
	f.settle(t)
	got := f.vms[0].ask(t, "POST", toUnsafe+"a%20b?c=d&e", "h1", map[string]string{
		"X-Own": "kept", "Tenant": "forged", "Expect-Instance": "forged", "Kv-From": "forged", "Kv-Backup": "forged",
		"Hold": "forged", "Pin-Ms": "5", "Connection": "keep-alive, X-Hop", "X-Hop": "dropped", "Deadline-Ms": "900",
	})
	assert.Equal(t, got.status, 200)
	run := f.yard.Runs("h1")[0]
	assert.Equal(t, run.Path, toUnsafe+"a%20b?c=d&e")
	assert.Equal(t, run.Method, "POST")
	assert.Equal(t, run.Body, "body")
	for name, want := range map[string]string{
		"X-Own": "kept", "Tenant": "account-1", "Expect-Instance": "app-1", "Kv-From": "", "Kv-Backup": "",
		"Hold": "", "Pin-Ms": "", "X-Hop": "", "Authorization": "", "Attempt-Id": "h1",
	} {
		assert.Equal(t, run.Header.Get(name), want, name)
	}
	var left int
	_, err := fmt.Sscan(run.Header.Get("Deadline-Ms"), &left)
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 900, "%d ms left of 900", left)
}

// TestRelayKeys refuses keys that nobody holds, and after a key was taken away
// runs nothing by it, whether the platform answers or not.
func TestRelayKeys(t *testing.T) {
	f := startRelays(t, 3)
	app := f.yard.Add("app-1", "app", "dc-0")
	defer app.Stop()
	f.settle(t)
	vm := f.vms[0]
	for name, key := range map[string]string{"unknown": "Bearer other", "none": "", "another scheme": "Basic " + testKey} {
		got := vm.ask(t, "GET", toSafe+"x", "key-"+name, map[string]string{"Authorization": key})
		assert.Equal(t, got.status, 401, name)
	}
	for mode, label := range map[lender.Mode]string{lender.Busy: "busy", lender.Resets: "resets", lender.Silent: "silent", lender.Many: "many"} {
		f.store.SetMode(mode)
		time.Sleep(keyGrace + 300*time.Millisecond)
		got := vm.ask(t, "POST", toUnsafe+"x", "stale-"+label, nil)
		assert.Equal(t, got.status, 503, "the platform is %s", label)
		assert.Equal(t, len(f.yard.Runs("stale-"+label)), 0)
		assert.Assert(t, got.took < 500*time.Millisecond, "a refusal was held back for %s", got.took)
		// What needs no key goes on.
		got = vm.ask(t, "GET", "/public/x", "public-"+label, nil)
		assert.Equal(t, got.status, 200, "public, the platform is %s", label)
		f.store.SetMode(lender.Up)
		await(t, "the key serves again", func() bool { return vm.ask(t, "GET", toSafe+"x", "again-"+label, nil).status == 200 })
	}
	f.store.Put("op/config", configuration(7, "another"))
	await(t, "the key is refused", func() bool { return vm.ask(t, "GET", toSafe+"x", "taken", nil).status == 401 })
	f.store.Put("op/config", configuration(6, testKey))
	time.Sleep(300 * time.Millisecond)
	for _, r := range f.vms {
		assert.Equal(t, r.ask(t, "GET", toSafe+"x", "older", nil).status, 401, "an older version is in force again")
	}
}

// TestRelayNothingKnown answers 503, never 404 or 401, before any routing was
// read.
func TestRelayNothingKnown(t *testing.T) {
	store, stop := lender.NewStore()
	defer stop()
	store.SetMode(lender.Busy)
	f := &relays{store: store, yard: lender.NewYard(store)}
	at := func() string { return freeAddress(t) }
	r := &relay{settings: &bluebelldoor.RelaySettings{
		Name: "vm", DataCentre: "dc", CallerAddress: at(), ReadyAddress: at(), DirectoryAddress: at(), PeerAddress: at(), OpsAddress: at(),
		Catalogue: store.Address(), MemoryMegabytes: 512, StopWithin: time.Second, KeyEvidence: time.Second, RetryWindow: time.Second,
	}}
	f.begin(t, r)
	for _, path := range []string{toSafe, toUnsafe, "/nowhere/"} {
		got := r.ask(t, "GET", path, "nothing", nil)
		assert.Equal(t, got.status, 503)
		assert.Assert(t, got.header.Get("Retry-After") != "")
	}
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
			await(t, "all streams run", func() bool {
				for i := range streams {
					if len(f.yard.Runs(fmt.Sprintf("move-%d", i))) == 0 {
						return false
					}
				}
				return true
			})
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

// TestRelayCallerLeaves cancels the target's work within half a second.
func TestRelayCallerLeaves(t *testing.T) {
	f := startRelays(t, 1)
	one := f.yard.Add("engine-1", "engine", "dc-0")
	defer one.Stop()
	app := f.yard.Add("app-1", "app", "dc-0")
	defer app.Stop()
	f.settle(t)
	ended := make(chan struct{})
	one.Acts(func(r *http.Request) lender.Act {
		go func() {
			<-r.Context().Done()
			close(ended)
		}()
		return lender.Hang
	})
	conn, err := net.Dial("tcp", f.vms[0].settings.CallerAddress)
	assert.NilError(t, err)
	_, err = fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\nAttempt-Id: gone\r\nAuthorization: Bearer %s\r\nToken-Count: 10,10\r\nContent-Length: 0\r\n\r\n", toStream, testHost, testKey)
	assert.NilError(t, err)
	await(t, "the target works", func() bool { return len(f.yard.Runs("gone")) == 1 })
	assert.NilError(t, conn.Close())
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the target still works half a second after the caller has left")
	}
}

// TestRelayTimeout gives the final answer when the caller's time is over.
func TestRelayTimeout(t *testing.T) {
	f := startRelays(t, 1)
	app := f.yard.Add("app-1", "app", "dc-0")
	defer app.Stop()
	f.settle(t)
	app.Acts(func(*http.Request) lender.Act { return lender.Hang })
	got := f.vms[0].ask(t, "POST", toUnsafe+"x", "late", map[string]string{"Deadline-Ms": "400"})
	assert.Equal(t, got.status, 504)
	assert.Assert(t, got.took >= 380*time.Millisecond && got.took < 900*time.Millisecond, "after %s of 400 ms", got.took)
}

// TestRelayDrain stops a VM under callers: the directory no longer names it,
// what it had taken is answered, and no request is cut.
func TestRelayDrain(t *testing.T) {
	f := startRelays(t, 3)
	engine := f.yard.Add("engine-1", "engine", "dc-0")
	defer engine.Stop()
	app := f.yard.Add("app-1", "app", "dc-0")
	defer app.Stop()
	f.settle(t)
	leaving := f.vms[0]
	running := make(chan answer, 1)
	go func() { running <- leaving.generate(t, toStream, "runs-on", 120) }()
	await(t, "the stream runs", func() bool { return len(f.yard.Runs("runs-on")) == 1 })
	drained := make(chan int, 1)
	go func() { drained <- leaving.Drain(context.Background()) }()
	await(t, "no directory names it", func() bool {
		for _, r := range f.vms {
			response, err := http.Get("http://" + r.settings.DirectoryAddress + "/-/resolve?name=x")
			if err != nil {
				return false
			}
			body, _ := io.ReadAll(response.Body)
			response.Body.Close()
			if strings.Contains(string(body), leaving.settings.CallerAddress) {
				return false
			}
		}
		return true
	})
	// A caller with an old answer is still served.
	assert.Equal(t, leaving.ask(t, "POST", toUnsafe+"x", "old-answer", nil).status, 200)
	oneRun(t, <-running, 120)
	assert.Equal(t, <-drained, 0)
}

// TestRelayCrowded refuses long generations at once when the engines are full,
// tells when to come back, and does not refuse those that have come back.
func TestRelayCrowded(t *testing.T) {
	f := startRelays(t, 1)
	engine := f.yard.Add("engine-1", "engine", "dc-0")
	defer engine.Stop()
	app := f.yard.Add("app-1", "app", "dc-0")
	defer app.Stop()
	f.settle(t)
	vm := f.vms[0]
	engine.Acts(func(*http.Request) lender.Act { return lender.Slow })
	const running = 3
	full := make(chan answer, running)
	for i := range running {
		go func() {
			full <- vm.ask(t, "POST", toStream, fmt.Sprintf("full-%d", i), map[string]string{"Token-Count": "11000,300", "Length-Hint": "500", "Deadline-Ms": "20000"})
		}()
	}
	await(t, "the engine is full", func() bool {
		return len(f.yard.Runs("full-0"))+len(f.yard.Runs("full-1"))+len(f.yard.Runs("full-2")) == running
	})
	long := map[string]string{"Token-Count": "4000,300", "Length-Hint": "500", "Deadline-Ms": "20000"}
	got := vm.ask(t, "POST", toStream, "refused", long)
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.took < 200*time.Millisecond)
	assert.Equal(t, len(f.yard.Runs("refused")), 0)
	var after float64
	_, err := fmt.Sscan(got.header.Get("Retry-After"), &after)
	assert.NilError(t, err)
	assert.Assert(t, after > 1 && after <= 20.0/3, "come back after %v of 20 s", after)
	short := map[string]string{"Token-Count": "1000,3", "Length-Hint": "3", "Deadline-Ms": "20000"}
	assert.Equal(t, vm.ask(t, "POST", toStream, "short", short).status, 200)
	long["Deadline-Ms"] = "13000"
	assert.Equal(t, vm.ask(t, "POST", toStream, "came-back", long).status, 200)
	for range running {
		<-full
	}
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

// TestRelayReload takes changed settings into force while requests go on.
func TestRelayReload(t *testing.T) {
	f := startRelays(t, 1)
	app := f.yard.Add("app-1", "app", "dc-0")
	defer app.Stop()
	f.settle(t)
	f.store.SetMode(lender.Busy)
	changed := *f.vms[0].settings
	changed.KeyEvidence = time.Minute
	f.vms[0].Reload(&changed)
	time.Sleep(keyGrace + 300*time.Millisecond)
	assert.Equal(t, f.vms[0].ask(t, "GET", toSafe+"x", "longer", nil).status, 200)
	changed.KeyEvidence = keyGrace / 2
	f.vms[0].Reload(&changed)
	assert.Equal(t, f.vms[0].ask(t, "GET", toSafe+"x", "shorter", nil).status, 503)
	f.store.SetMode(lender.Up)
}

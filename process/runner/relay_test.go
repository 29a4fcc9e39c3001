package runner_test

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
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

// relayFleet is a fleet of relaying VMs that run in the test's process on
// loopback addresses, with a stand-in of the platform.
type relayFleet struct {
	store   *lender.Store
	targets *lender.Cluster
	vms     []*relayVM
}

type relayVM struct {
	*runner.Relay
	settings *bluebelldoor.RelaySettings
	stop     func()
	log      *logTail
}

// Path prefixes of the routes in configuration, which differ in whether requests
// may be repeated, and other settings.
const (
	safePath   = "/safe/"
	unsafePath = "/unsafe/"
	streamPath = "/stream/"
	resumePath = "/resume/"
	secondPath = "/second/"
	// promptPath is for generations with a latency objective of promptObjective,
	// urgentPath for those with the same objective and a higher priority.
	promptPath         = "/prompt/"
	urgentPath         = "/urgent/"
	testHost           = "api.example"
	testKey            = "key-1"
	keyGrace           = 1200 * time.Millisecond
	testRetryAllowance = 100
	// promptObjective is how soon generations of promptPath must begin.
	promptObjective = 1800 * time.Millisecond
	// maxConnections is how many connections an application runner accepts.
	maxConnections = 50
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

func engineService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "max_conns": 50, "cold_s": 1, "cold_per_s": 25,
		"engine": map[string]any{"slots": 24, "kv_capacity": 34000, "kv_token_bytes": 1000, "link_mbps": 1000, "moves": true, "stride": 1},
	}
}

// configuration returns a version of the configuration with the given API keys.
func configuration(version int, keys ...string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			route(safePath, "safe", "app", nil),
			route(unsafePath, "unsafe", "app", nil),
			route(streamPath, "streaming", "engine", map[string]any{"affinity": true, "timeout_ms": 20000, "slo_ms": 10000}),
			route(resumePath, "streaming", "engine", map[string]any{"affinity": true, "stream_resume": true, "timeout_ms": 20000}),
			route(secondPath, "streaming", "second", map[string]any{"max_attempts": 1, "affinity": true, "timeout_ms": 20000, "slo_ms": 10000}),
			route(promptPath, "streaming", "engine", map[string]any{"affinity": true, "timeout_ms": 20000, "slo_ms": promptObjective.Milliseconds()}),
			route(urgentPath, "streaming", "engine", map[string]any{"affinity": true, "timeout_ms": 20000, "slo_ms": promptObjective.Milliseconds(), "priority": 0}),
			route("/public/", "safe", "app", map[string]any{"public": true}),
		},
		"services": []any{
			map[string]any{"name": "app", "health_path": "/health", "max_conns": maxConnections},
			engineService("engine"),
			engineService("second"),
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "account-1", "api_keys": keys}},
	}
}

// startRelays starts a fleet of n VMs, whose settings change may change.
func startRelays(t *testing.T, n int, change ...func(*bluebelldoor.RelaySettings)) *relayFleet {
	t.Helper()
	store, stopStore := lender.NewStore()
	t.Cleanup(stopStore)
	f := &relayFleet{store: store, targets: lender.NewCluster(store)}
	store.Put("op/config", configuration(1, testKey))
	var seeds []string
	for i := range n {
		address := func() string { return freeAddress(t) }
		r := &relayVM{settings: &bluebelldoor.RelaySettings{
			Name: fmt.Sprintf("vm-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%3), CallerAddress: address(), ReadyAddress: address(),
			DirectoryAddress: address(), PeerAddress: address(), OpsAddress: address(), Catalogue: store.Address(), MemoryMegabytes: 512, Cores: 1,
			StopWithin: 4 * time.Second, AddressValidFor: 300 * time.Millisecond, KeyEvidenceMaxAge: keyGrace * 4 / 3, UpdateWithin: 2 * time.Second, LeavingWithin: 2 * time.Second,
			RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetryAllowance: testRetryAllowance, ColdFactor: 1.5, ColdAllowance: 5, FirstStart: true,
		}}
		for _, c := range change {
			c(r.settings)
		}
		seeds = append(seeds, r.settings.PeerAddress)
		f.vms = append(f.vms, r)
	}
	for _, r := range f.vms {
		r.settings.Seeds = seeds[:min(3, len(seeds))]
		f.startVM(t, r)
	}
	return f
}

func (f *relayFleet) startVM(t *testing.T, r *relayVM) {
	t.Helper()
	clock, err := timer.New()
	assert.NilError(t, err)
	catalogue, closeCatalogue := platform.NewStoreClient(r.settings.Catalogue)
	log, logged := newLogTail(t, r.settings.Name)
	r.log = logged
	started, stop, err := runner.NewRelay(r.settings, runner.RelayAdapters{
		Codec: platform.Codec{}, Catalogue: catalogue, Clock: clock, NewEngines: newEngines,
		ServeReady: platform.ServeReady, ServeDirectory: platform.ServeDirectory,
	}, log)
	assert.NilError(t, err)
	r.Relay, r.stop = started, func() {
		stop()
		closeCatalogue()
	}
	t.Cleanup(func() { r.stop() })
}

func newEngines(l bluebelldoor.HeadObserver) (bluebelldoor.EngineControl, func()) {
	return platform.NewEngineClient(platform.WithListener(l))
}

// logTailBytes is how many bytes of the end of a VM's log a failed test prints.
const logTailBytes = 6_000

// logTail keeps the end of a VM's log, which is printed if the test fails.
type logTail struct {
	mu     sync.Mutex
	buffer []byte
}

func (l *logTail) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buffer = append(l.buffer, line...)
	if len(l.buffer) > 2*logTailBytes {
		l.buffer = append([]byte(nil), l.buffer[len(l.buffer)-logTailBytes:]...)
	}
	return len(line), nil
}

// lastLine returns the last line with the given message and request id, or "".
func (l *logTail) lastLine(message, id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := strings.Split(string(l.buffer), "\n")
	for _, line := range slices.Backward(lines) {
		if strings.Contains(line, message+": id="+id+" ") {
			return line
		}
	}
	return ""
}

func newLogTail(t *testing.T, name string) (hclog.Logger, *logTail) {
	l := &logTail{}
	t.Cleanup(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if t.Failed() {
			t.Logf("end of the log of %s:\n%s", name, l.buffer[max(0, len(l.buffer)-logTailBytes):])
		}
	})
	return hclog.New(&hclog.LoggerOptions{Output: l, Level: hclog.Info, TimeFormat: "15:04:05.000"}), l
}

// await waits until a condition holds, and fails the test after 8 s.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(8 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", what)
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	status   int
	header   http.Header
	body     string
	complete bool
	took     time.Duration
}

// send sends a request to a VM over a new connection.
func (r *relayVM) send(t *testing.T, method, path, id string, header map[string]string) callerResponse {
	t.Helper()
	return r.upload(t, method, path, id, header, "body")
}

// upload sends a request with a body to a VM over a new connection.
func (r *relayVM) upload(t *testing.T, method, path, id string, header map[string]string, content string) callerResponse {
	t.Helper()
	started := time.Now()
	conn, err := net.Dial("tcp", r.settings.CallerAddress)
	if err != nil {
		t.Logf("%s: connect: %v", id, err)
		return callerResponse{}
	}
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(15*time.Second)))
	h := http.Header{"Attempt-Id": {id}, "Authorization": {"Bearer " + testKey}, "Deadline-Ms": {"3000"}}
	for k, v := range header {
		h.Set(k, v)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", method, path, testHost, len(content))
	assert.NilError(t, h.Write(&b))
	b.WriteString("\r\n" + content)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		t.Logf("%s: write: %v", id, err)
		return callerResponse{}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		t.Logf("%s: read: %v", id, err)
		return callerResponse{took: time.Since(started)}
	}
	body, err := io.ReadAll(response.Body)
	return callerResponse{response.StatusCode, response.Header, string(body), err == nil, time.Since(started)}
}

// generate requests a stream with the given number of events.
func (r *relayVM) generate(t *testing.T, path, id string, events int) callerResponse {
	t.Helper()
	return r.generateWithin(t, path, id, events, "")
}

// generateWithin is generate with a deadline in milliseconds, 20 s if it is empty.
func (r *relayVM) generateWithin(t *testing.T, path, id string, events int, deadline string) callerResponse {
	t.Helper()
	header := map[string]string{"Token-Count": fmt.Sprintf("100,%d", events), "Deadline-Ms": cmp.Or(deadline, "20000")}
	return r.send(t, http.MethodPost, path, id, header)
}

func (f *relayFleet) awaitReady(t *testing.T) {
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

// awaitTargets waits until each VM has read the platform's newest records and
// serves an idempotent request.
func (f *relayFleet) awaitTargets(t *testing.T) {
	t.Helper()
	f.awaitReady(t)
	for i, r := range f.vms {
		await(t, "targets are known", func() bool {
			return r.Status().Revision >= f.store.Revision() && r.send(t, "GET", safePath+"x", fmt.Sprintf("settle-%d", i), nil).status == 200
		})
	}
}

// startEngine starts one VM with an engine and an application runner.
func startEngine(t *testing.T) (*relayFleet, *lender.Target) {
	t.Helper()
	f := startRelays(t, 1)
	engine := f.targets.Add("engine-1", "engine", "dc-0")
	t.Cleanup(engine.Stop)
	t.Cleanup(f.targets.Add("app-1", "app", "dc-0").Stop)
	f.awaitTargets(t)
	return f, engine
}

// TestRelayAtMostOnce checks what the caller gets and how often a request runs
// for each way in which a target may treat it.
func TestRelayAtMostOnce(t *testing.T) {
	f := startRelays(t, 1)
	app := f.targets.Add("app-1", "app", "dc-0")
	defer app.Stop()
	other := f.targets.Add("app-2", "app", "dc-1")
	defer other.Stop()
	f.awaitTargets(t)
	const (
		refused = true // the response says that the request did not run
	)
	for name, c := range map[string]struct {
		path    string
		acts    []lender.Behaviour // of the first, second, … attempt
		status  int
		runs    int
		refused bool
	}{
		"safe, served":            {safePath, nil, 200, 1, false},
		"safe, refused once":      {safePath, []lender.Behaviour{lender.Refuse}, 200, 1, false},
		"safe, failed once":       {safePath, []lender.Behaviour{lender.Fail}, 200, 2, false},
		"safe, failed twice":      {safePath, []lender.Behaviour{lender.Fail, lender.Fail}, 500, 2, false},
		"safe, lost once":         {safePath, []lender.Behaviour{lender.Drop}, 200, 2, false},
		"safe, cut once":          {safePath, []lender.Behaviour{lender.Truncate}, 200, 2, false},
		"safe, lost, refused":     {safePath, []lender.Behaviour{lender.Drop, lender.Refuse, lender.Refuse}, 502, 1, false},
		"safe, wrong ID once":     {safePath, []lender.Behaviour{lender.WrongAttemptID}, 200, 2, false},
		"unsafe, served":          {unsafePath, nil, 200, 1, false},
		"unsafe, refused once":    {unsafePath, []lender.Behaviour{lender.Refuse}, 200, 1, false},
		"unsafe, refused by all":  {unsafePath, []lender.Behaviour{lender.Refuse, lender.Refuse, lender.Refuse}, 503, 0, refused},
		"unsafe, failed":          {unsafePath, []lender.Behaviour{lender.Fail}, 500, 1, false},
		"unsafe, lost":            {unsafePath, []lender.Behaviour{lender.Drop}, 502, 1, false},
		"unsafe, cut":             {unsafePath, []lender.Behaviour{lender.Truncate}, 502, 1, false},
		"unsafe, wrong ID":        {unsafePath, []lender.Behaviour{lender.WrongAttemptID}, 502, 1, false},
		"unsafe, refused, lost":   {unsafePath, []lender.Behaviour{lender.Refuse, lender.Drop}, 502, 1, false},
		"unsafe, slow":            {unsafePath, []lender.Behaviour{lender.Delay}, 200, 1, false},
		"no such route":           {"/nowhere/", nil, 404, 0, false},
		"a prefix without its /":  {"/safe", nil, 404, 0, false},
		"public, without account": {"/public/", nil, 200, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			var asked atomic.Int64
			id := strings.ReplaceAll(name, " ", "-")
			act := func(r *http.Request) lender.Behaviour {
				if r.Header.Get("Attempt-Id") != id {
					return lender.Serve
				}
				n := int(asked.Add(1))
				if n > len(c.acts) {
					return lender.Serve
				}
				return c.acts[n-1]
			}
			app.SetBehaviour(act)
			other.SetBehaviour(act)
			got := f.vms[0].send(t, "POST", c.path+"x?y=1", id, nil)
			assert.Equal(t, got.status, c.status, got.body)
			assert.Equal(t, len(f.targets.Executions(id)), c.runs)
			if got.status == 200 {
				assert.Equal(t, got.body, "answer to "+id)
				assert.Assert(t, got.header.Get("Server-Stamp") != "")
			} else if got.status != 500 {
				assert.Equal(t, got.header.Get("Server-Stamp"), "")
			}
			if c.refused {
				assert.Assert(t, got.header.Get("Retry-After") != "", "a refusal without Retry-After")
			}
			assert.Assert(t, got.took < 2*time.Second, "the final response took %s", got.took)
		})
	}
}

// TestRelayHeaders checks that a target gets the caller's header fields, except
// hop-by-hop fields and those that only the relay may set.
func TestRelayHeaders(t *testing.T) {
	f := startRelays(t, 1)
	app := f.targets.Add("app-1", "app", "dc-0")
	defer app.Stop()
	f.awaitTargets(t)
	got := f.vms[0].send(t, "POST", unsafePath+"a%20b?c=d&e", "h1", map[string]string{
		"X-Own": "kept", "Tenant": "forged", "Expect-Instance": "forged", "Kv-From": "forged", "Kv-Backup": "forged",
		"Hold": "forged", "Pin-Ms": "5", "Connection": "keep-alive, X-Hop", "X-Hop": "dropped", "Deadline-Ms": "900",
	})
	assert.Equal(t, got.status, 200)
	run := f.targets.Executions("h1")[0]
	assert.Equal(t, run.Path, unsafePath+"a%20b?c=d&e")
	assert.Equal(t, run.Method, "POST")
	assert.Equal(t, run.Body, "body")
	for name, want := range map[string]string{
		"X-Own": "kept", "Tenant": "account-1", "Expect-Instance": "app-1", "Kv-From": "", "Kv-Backup": "",
		"Hold": "", "Pin-Ms": "", "X-Hop": "", "Authorization": "", "Attempt-Id": "h1",
	} {
		assert.Equal(t, run.Header.Get(name), want, name)
	}
	var leftMs int
	_, err := fmt.Sscan(run.Header.Get("Deadline-Ms"), &leftMs)
	assert.NilError(t, err)
	assert.Assert(t, leftMs > 0 && leftMs <= 900, "%d ms left of 900", leftMs)
}

// TestRelayKeys checks that unknown keys are refused, and that a revoked key
// runs nothing, also when it can't be confirmed because the platform fails.
func TestRelayKeys(t *testing.T) {
	f := startRelays(t, 3)
	app := f.targets.Add("app-1", "app", "dc-0")
	defer app.Stop()
	f.awaitTargets(t)
	vm := f.vms[0]
	for name, key := range map[string]string{"unknown": "Bearer other", "none": "", "another scheme": "Basic " + testKey} {
		got := vm.send(t, "GET", safePath+"x", "key-"+name, map[string]string{"Authorization": key})
		assert.Equal(t, got.status, 401, name)
	}
	for mode, label := range map[lender.Mode]string{lender.Unavailable: "busy", lender.Aborts: "resets", lender.Unresponsive: "silent", lender.TooManyRequests: "many"} {
		f.store.SetMode(mode)
		time.Sleep(keyGrace + 300*time.Millisecond)
		got := vm.send(t, "POST", unsafePath+"x", "stale-"+label, nil)
		assert.Equal(t, got.status, 503, "the platform is %s", label)
		assert.Equal(t, len(f.targets.Executions("stale-"+label)), 0)
		assert.Assert(t, got.took < 500*time.Millisecond, "a refusal took %s", got.took)
		// Routes that need no key are still served.
		got = vm.send(t, "GET", "/public/x", "public-"+label, nil)
		assert.Equal(t, got.status, 200, "public, the platform is %s", label)
		f.store.SetMode(lender.Up)
		await(t, "the key is accepted again", func() bool { return vm.send(t, "GET", safePath+"x", "again-"+label, nil).status == 200 })
	}
	f.store.Put("op/config", configuration(7, "another"))
	await(t, "the key is refused", func() bool { return vm.send(t, "GET", safePath+"x", "taken", nil).status == 401 })
	f.store.Put("op/config", configuration(6, testKey))
	time.Sleep(300 * time.Millisecond)
	for _, r := range f.vms {
		assert.Equal(t, r.send(t, "GET", safePath+"x", "older", nil).status, 401, "an older version is in force again")
	}
}

// TestRelayNothingKnown checks that a VM that has read no routing yet responds
// 503, never 404 or 401.
func TestRelayNothingKnown(t *testing.T) {
	store, stop := lender.NewStore()
	defer stop()
	store.SetMode(lender.Unavailable)
	f := &relayFleet{store: store, targets: lender.NewCluster(store)}
	address := func() string { return freeAddress(t) }
	r := &relayVM{settings: &bluebelldoor.RelaySettings{
		Name: "vm", DataCentre: "dc", CallerAddress: address(), ReadyAddress: address(), DirectoryAddress: address(), PeerAddress: address(), OpsAddress: address(),
		Catalogue: store.Address(), MemoryMegabytes: 512, StopWithin: time.Second, KeyEvidenceMaxAge: time.Second, RetryWindow: time.Second,
	}}
	f.startVM(t, r)
	for _, path := range []string{safePath, unsafePath, "/nowhere/"} {
		got := r.send(t, "GET", path, "nothing", nil)
		assert.Equal(t, got.status, 503)
		assert.Assert(t, got.header.Get("Retry-After") != "")
	}
}

// TestRelayNoAccounts guards against a fleet, or a VM that starts later, that serves everybody
// once the list of client accounts is empty or null.
func TestRelayNoAccounts(t *testing.T) {
	f := startRelays(t, 3)
	app := f.targets.Add("app-1", "app", "dc-0")
	defer app.Stop()
	f.awaitTargets(t)
	accounts := configuration(1, testKey)["tenants"]
	version := 1
	put := func(value any, isSet bool) {
		version++
		c := configuration(version)
		if c["tenants"] = value; !isSet {
			delete(c, "tenants")
		}
		f.store.Put("op/config", c)
	}
	for _, c := range []struct {
		name  string
		value any
		isSet bool
		want  int // the status of a request with an unknown key
	}{
		{"an empty list", []any{}, true, 401},
		{"null", nil, true, 401},
		{"a list", accounts, true, 401},
		{"no list", nil, false, 200},
		{"an empty list again", []any{}, true, 401},
	} {
		put(c.value, c.isSet)
		for i, r := range f.vms {
			await(t, "the version is in force", func() bool { return r.Status().RoutingVersion == uint64(version) })
			for _, key := range []string{"Bearer " + testKey, "Bearer unknown", ""} {
				id := fmt.Sprintf("%d-%d-%s", version, i, key)
				got := r.send(t, "POST", unsafePath+"x", id, map[string]string{"Authorization": key})
				want := c.want
				if c.name == "a list" && key == "Bearer "+testKey {
					want = 200
				}
				assert.Equal(t, got.status, want, "%s, key %q", c.name, key)
				assert.Equal(t, len(f.targets.Executions(id)) > 0, want == 200)
			}
			assert.Equal(t, r.send(t, "GET", "/public/x", fmt.Sprintf("public-%d-%d", version, i), nil).status, 200, c.name)
		}
	}
	last := f.vms[2]
	last.stop()
	f.startVM(t, last)
	await(t, "a VM that starts later knows the version", func() bool { return last.Status().RoutingVersion == uint64(version) })
	got := last.send(t, "POST", unsafePath+"x", "later", nil)
	assert.Equal(t, got.status, 401)
	assert.Equal(t, len(f.targets.Executions("later")), 0)
}

package runner_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/standin/lender"
)

// TestRelayCallerLeaves cancels the target's work within half a second.
func TestRelayCallerLeaves(t *testing.T) {
	f, one := startEngine(t)
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

// TestRelayLastRequests stops a VM under callers that go on asking it until it
// has gone, as some do with an old address: none of their requests is cut.
func TestRelayLastRequests(t *testing.T) {
	f := startRelays(t, 2)
	app := f.yard.Add("app-1", "app", "dc-0")
	defer app.Stop()
	f.settle(t)
	app.Acts(func(*http.Request) lender.Act { return lender.Slow })
	vm := f.vms[0]
	changed := *vm.settings
	changed.KeyEvidence = time.Minute
	vm.Reload(&changed)
	ended := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-ended:
					return
				default:
				}
				got := vm.ask(t, "POST", toUnsafe+"x", fmt.Sprintf("last-%d-%d", i, n), nil)
				assert.Check(t, got.status == 200 || got.status == 503, "status %d", got.status)
				if got.status == 503 {
					assert.Check(t, got.header.Get("Retry-After") != "")
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
	cut := vm.Drain(context.Background())
	close(ended)
	callers.Wait()
	assert.Equal(t, cut, 0)
}

// TestRelayCrowded lets a long generation wait until an engine has room, and
// lets a short one pass it, and those of another service. One that can't be
// served in its time is refused at once and told when to come back; it has not
// run. Where an engine has room, one with little time is served.
func TestRelayCrowded(t *testing.T) {
	f := startRelays(t, 1)
	engine := f.yard.Add("engine-1", "engine", "dc-0")
	defer engine.Stop()
	second := f.yard.Add("second-1", "second", "dc-0")
	defer second.Stop()
	app := f.yard.Add("app-1", "app", "dc-0")
	defer app.Stop()
	f.settle(t)
	vm := f.vms[0]
	// Waiting takes seconds, in which a busy machine may leave the keys
	// unconfirmed for longer than the tests' short grace.
	changed := *vm.settings
	changed.KeyEvidence = time.Minute
	vm.Reload(&changed)
	full := f.fillEngine(t, engine, 14500)
	waited := make(chan answer, 1)
	long := map[string]string{"Token-Count": "4000,300", "Length-Hint": "300", "Deadline-Ms": "20000"}
	go func() { waited <- vm.ask(t, "POST", toStream, "waits", long) }()
	await(t, "one waits", func() bool { return vm.Relay.Status().Waiting == 1 })
	short := map[string]string{"Token-Count": "500,3", "Length-Hint": "3", "Deadline-Ms": "20000"}
	assert.Equal(t, vm.ask(t, "POST", toStream, "short", short).status, 200)
	other := make(chan answer, 1)
	go func() { other <- vm.ask(t, "POST", toSecond, "second", long) }()
	await(t, "the other service serves", func() bool { return len(f.yard.Runs("second")) == 1 })
	assert.Equal(t, len(f.yard.Runs("waits")), 0)
	got := vm.ask(t, "POST", toStream, "noTime", map[string]string{"Token-Count": "4000,300", "Length-Hint": "300", "Deadline-Ms": "1000"})
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.took < 200*time.Millisecond)
	assert.Equal(t, len(f.yard.Runs("noTime")), 0)
	var after float64
	_, err := fmt.Sscan(got.header.Get("Retry-After"), &after)
	assert.NilError(t, err)
	assert.Assert(t, after > 1, "come back after %v s", after)
	for range cap(full) {
		assert.Equal(t, (<-full).status, 200)
	}
	assert.Equal(t, (<-other).status, 200)
	served := <-waited
	assert.Equal(t, vm.ask(t, "POST", toStream, "hasty", map[string]string{"Token-Count": "400,60", "Length-Hint": "60", "Deadline-Ms": "1100"}).status, 200)
	assert.Equal(t, served.status, 200, served.body)
	assert.Equal(t, len(f.yard.Runs("waits")), 1)
	assert.Equal(t, vm.Relay.Status().Waiting, 0)
}

// TestRelayWaitEnds ends a wait at once when the caller leaves, and with a
// refusal when the VM does.
func TestRelayWaitEnds(t *testing.T) {
	f, engine := startEngine(t)
	vm := f.vms[0]
	full := f.fillEngine(t, engine, 14500)
	long := map[string]string{"Token-Count": "4000,300", "Length-Hint": "300", "Deadline-Ms": "20000"}
	conn, err := net.Dial("tcp", vm.settings.CallerAddress)
	assert.NilError(t, err)
	_, err = fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\nAttempt-Id: leaves\r\nAuthorization: Bearer %s\r\nToken-Count: 4000,300\r\nContent-Length: 0\r\n\r\n", toStream, testHost, testKey)
	assert.NilError(t, err)
	await(t, "one waits", func() bool { return vm.Relay.Status().Waiting == 1 })
	assert.NilError(t, conn.Close())
	await(t, "none waits", func() bool { return vm.Relay.Status().Waiting == 0 })
	refused := make(chan answer, 1)
	go func() { refused <- vm.ask(t, "POST", toStream, "refused", long) }()
	await(t, "one waits", func() bool { return vm.Relay.Status().Waiting == 1 })
	began := time.Now()
	drained := make(chan int, 1)
	go func() { drained <- vm.Drain(context.Background()) }()
	got := <-refused
	assert.Equal(t, got.status, 503)
	// New streams are taken in the first 0.3 of a stop.
	assert.Assert(t, time.Since(began) < vm.settings.StopWithin*3/10+500*time.Millisecond)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	for range cap(full) {
		<-full
	}
	<-drained
	assert.Equal(t, len(f.yard.Runs("leaves"))+len(f.yard.Runs("refused")), 0)
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

// TestRelayStatus shows operators what a VM believes.
func TestRelayStatus(t *testing.T) {
	f := startRelays(t, 3)
	app := f.yard.Add("app-1", "app", "dc-0")
	defer app.Stop()
	f.settle(t)
	await(t, "all know each other", func() bool { return len(f.vms[0].Status().Members) == 3 })
	for path, wants := range map[string][]string{
		"/status":  {`"life":"serving"`, `"routingVersion":1`, `"vm-1"`},
		"/metrics": {"bluebelldoor_members 3", "bluebelldoor_routing_version 1", "bluebelldoor_log_lines_dropped_total 0", `bluebelldoor_answers_total{code="ok"}`},
	} {
		response, err := http.Get("http://" + f.vms[0].settings.OpsAddress + path)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		response.Body.Close()
		for _, want := range wants {
			assert.Assert(t, strings.Contains(string(body), want), "%s lacks %s", path, want)
		}
	}
}

// TestRelayCutIsNamed tells in the log whether a stream was cut because its caller
// left or because the VM stopped under it.
func TestRelayCutIsNamed(t *testing.T) {
	for name, c := range map[string]struct {
		cut  func(vm *relay, caller net.Conn)
		code bluebelldoor.Code
	}{
		"the caller leaves": {func(_ *relay, caller net.Conn) { caller.Close() }, bluebelldoor.CallerGone},
		"the VM stops":      {func(vm *relay, _ net.Conn) { vm.stop() }, bluebelldoor.Draining},
	} {
		t.Run(name, func(t *testing.T) {
			f, _ := startEngine(t)
			vm := f.vms[0]
			caller, err := net.Dial("tcp", vm.settings.CallerAddress)
			assert.NilError(t, err)
			defer caller.Close()
			_, err = fmt.Fprintf(caller, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: cut\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 20000\r\nToken-Count: 100,900\r\nContent-Length: 0\r\n\r\n",
				toStream, testHost, testKey)
			assert.NilError(t, err)
			_, err = caller.Read(make([]byte, 1))
			assert.NilError(t, err)
			time.Sleep(100 * time.Millisecond)
			c.cut(vm, caller)
			await(t, "the cut is logged", func() bool { return vm.log.line("broken off", "cut") != "" })
			line := vm.log.line("broken off", "cut")
			assert.Assert(t, strings.Contains(line, fmt.Sprintf(" code=%d ", c.code)), line)
		})
	}
}

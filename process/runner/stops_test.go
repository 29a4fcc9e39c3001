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

// TestRelayCallerLeaves checks that the target's work is cancelled within half a
// second after the caller disconnects.
func TestRelayCallerLeaves(t *testing.T) {
	f, engine := startEngine(t)
	ended := make(chan struct{})
	engine.SetBehaviour(func(r *http.Request) lender.Behaviour {
		go func() {
			<-r.Context().Done()
			close(ended)
		}()
		return lender.Hang
	})
	conn, err := net.Dial("tcp", f.vms[0].settings.CallerAddress)
	assert.NilError(t, err)
	_, err = fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\nAttempt-Id: gone\r\nAuthorization: Bearer %s\r\nToken-Count: 10,10\r\nContent-Length: 0\r\n\r\n", streamPath, testHost, testKey)
	assert.NilError(t, err)
	await(t, "the target runs the request", func() bool { return len(f.targets.Executions("gone")) == 1 })
	assert.NilError(t, conn.Close())
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the target still works half a second after the caller has disconnected")
	}
}

// TestRelayTimeout checks that the final response is sent at the caller's deadline.
func TestRelayTimeout(t *testing.T) {
	f := startRelays(t, 1)
	app := f.targets.Add("app-1", "app", "dc-0")
	defer app.Stop()
	f.awaitTargets(t)
	app.SetBehaviour(func(*http.Request) lender.Behaviour { return lender.Hang })
	got := f.vms[0].send(t, "POST", unsafePath+"x", "late", map[string]string{"Deadline-Ms": "400"})
	assert.Equal(t, got.status, 504)
	assert.Assert(t, got.took >= 380*time.Millisecond && got.took < 900*time.Millisecond, "after %s of 400 ms", got.took)
}

// TestRelayDrain stops a VM under load. The directory must no longer name it, and
// it must respond to all accepted requests and cut none off.
func TestRelayDrain(t *testing.T) {
	f := startRelays(t, 3)
	engine := f.targets.Add("engine-1", "engine", "dc-0")
	defer engine.Stop()
	app := f.targets.Add("app-1", "app", "dc-0")
	defer app.Stop()
	f.awaitTargets(t)
	leaving := f.vms[0]
	running := make(chan callerResponse, 1)
	go func() { running <- leaving.generate(t, streamPath, "runs-on", 120) }()
	await(t, "the stream runs", func() bool { return len(f.targets.Executions("runs-on")) == 1 })
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
	// A caller that still uses the VM's address is served.
	assert.Equal(t, leaving.send(t, "POST", unsafePath+"x", "old-answer", nil).status, 200)
	assertSingleRun(t, <-running, 120)
	assert.Equal(t, <-drained, 0)
}

// TestRelayLastRequests stops a VM whose callers go on sending requests until it
// has ended, as some do with an old address. No request may be cut off.
func TestRelayLastRequests(t *testing.T) {
	f := startRelays(t, 2)
	app := f.targets.Add("app-1", "app", "dc-0")
	defer app.Stop()
	f.awaitTargets(t)
	app.SetBehaviour(func(*http.Request) lender.Behaviour { return lender.Delay })
	vm := f.vms[0]
	changed := *vm.settings
	changed.KeyEvidenceMaxAge = time.Minute
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
				got := vm.send(t, "POST", unsafePath+"x", fmt.Sprintf("last-%d-%d", i, n), nil)
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

// TestRelayStopAnswersAll guards against requests that are passed on late in a stop and end
// without any answer, while their target is still at work (LOST).
func TestRelayStopAnswersAll(t *testing.T) {
	const work = 1300 * time.Millisecond
	for name, c := range map[string]struct{ method, path string }{
		"may be repeated":     {"GET", safePath},
		"may not be repeated": {"POST", unsafePath},
	} {
		t.Run(name, func(t *testing.T) {
			f := startRelays(t, 2, trustKeysLonger)
			app := f.targets.Add("app-1", "app", "dc-0")
			defer app.Stop()
			f.awaitTargets(t)
			app.SetBehaviour(func(*http.Request) lender.Behaviour {
				time.Sleep(work)
				return lender.Serve
			})
			vm := f.vms[0]
			drained := make(chan int, 1)
			go func() {
				cut := vm.Drain(context.Background())
				// The process ends.
				vm.stop()
				drained <- cut
			}()
			time.Sleep(100 * time.Millisecond)
			statuses := map[int]int{}
			var mu sync.Mutex
			var callers sync.WaitGroup
			for i := range 30 {
				callers.Go(func() {
					got := vm.send(t, c.method, c.path+"x", fmt.Sprintf("late-%d", i), nil)
					mu.Lock()
					defer mu.Unlock()
					statuses[got.status]++
					assert.Check(t, got.status != 0, "request %d ended without an answer", i)
					assert.Check(t, got.status != 503 || len(f.targets.Executions(fmt.Sprintf("late-%d", i))) == 0, "request %d has run and was refused", i)
				})
				time.Sleep(100 * time.Millisecond)
			}
			callers.Wait()
			t.Logf("answers by status: %v", statuses)
			assert.Equal(t, <-drained, 0)
			assert.Check(t, statuses[200] > 0 && statuses[503] > 0, "%v", statuses)
		})
	}
}

// TestRelayCrowded checks that a long generation waits until an engine has room,
// and that short ones and those of another service overtake it. One that can't be
// served before its deadline must be refused immediately with a Retry-After and
// not run. Once the engine has room, one with a short deadline must be served.
func TestRelayCrowded(t *testing.T) {
	f := startRelays(t, 1)
	engine := f.targets.Add("engine-1", "engine", "dc-0")
	defer engine.Stop()
	second := f.targets.Add("second-1", "second", "dc-0")
	defer second.Stop()
	app := f.targets.Add("app-1", "app", "dc-0")
	defer app.Stop()
	f.awaitTargets(t)
	vm := f.vms[0]
	// The wait takes seconds, during which a busy machine may not confirm the
	// keys within keyGrace.
	changed := *vm.settings
	changed.KeyEvidenceMaxAge = time.Minute
	vm.Reload(&changed)
	fillers := f.fillEngine(t, engine, 14500)
	waited := make(chan callerResponse, 1)
	long := map[string]string{"Token-Count": "4000,300", "Length-Hint": "300", "Deadline-Ms": "20000"}
	go func() { waited <- vm.send(t, "POST", streamPath, "waits", long) }()
	await(t, "a request waits", func() bool { return vm.Relay.Status().Waiting == 1 })
	short := map[string]string{"Token-Count": "500,3", "Length-Hint": "3", "Deadline-Ms": "20000"}
	assert.Equal(t, vm.send(t, "POST", streamPath, "short", short).status, 200)
	otherService := make(chan callerResponse, 1)
	go func() { otherService <- vm.send(t, "POST", secondPath, "second", long) }()
	await(t, "the other service serves", func() bool { return len(f.targets.Executions("second")) == 1 })
	assert.Equal(t, len(f.targets.Executions("waits")), 0)
	got := vm.send(t, "POST", streamPath, "noTime", map[string]string{"Token-Count": "4000,300", "Length-Hint": "300", "Deadline-Ms": "1000"})
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.took < 200*time.Millisecond)
	assert.Equal(t, len(f.targets.Executions("noTime")), 0)
	var after float64
	_, err := fmt.Sscan(got.header.Get("Retry-After"), &after)
	assert.NilError(t, err)
	assert.Assert(t, after > 1, "Retry-After is %v s", after)
	for range cap(fillers) {
		assert.Equal(t, (<-fillers).status, 200)
	}
	assert.Equal(t, (<-otherService).status, 200)
	served := <-waited
	assert.Equal(t, vm.send(t, "POST", streamPath, "hasty", map[string]string{"Token-Count": "400,60", "Length-Hint": "60", "Deadline-Ms": "1100"}).status, 200)
	assert.Equal(t, served.status, 200, served.body)
	assert.Equal(t, len(f.targets.Executions("waits")), 1)
	assert.Equal(t, vm.Relay.Status().Waiting, 0)
}

// TestRelayWaitEnds checks that a waiting request is dropped immediately when its
// caller disconnects, and refused when the VM drains.
func TestRelayWaitEnds(t *testing.T) {
	f, engine := startEngine(t)
	vm := f.vms[0]
	fillers := f.fillEngine(t, engine, 14500)
	long := map[string]string{"Token-Count": "4000,300", "Length-Hint": "300", "Deadline-Ms": "20000"}
	conn, err := net.Dial("tcp", vm.settings.CallerAddress)
	assert.NilError(t, err)
	_, err = fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\nAttempt-Id: leaves\r\nAuthorization: Bearer %s\r\nToken-Count: 4000,300\r\nContent-Length: 0\r\n\r\n", streamPath, testHost, testKey)
	assert.NilError(t, err)
	await(t, "a request waits", func() bool { return vm.Relay.Status().Waiting == 1 })
	assert.NilError(t, conn.Close())
	await(t, "no request waits", func() bool { return vm.Relay.Status().Waiting == 0 })
	refused := make(chan callerResponse, 1)
	go func() { refused <- vm.send(t, "POST", streamPath, "refused", long) }()
	await(t, "a request waits", func() bool { return vm.Relay.Status().Waiting == 1 })
	started := time.Now()
	drained := make(chan int, 1)
	go func() { drained <- vm.Drain(context.Background()) }()
	got := <-refused
	assert.Equal(t, got.status, 503)
	// New streams are accepted during the first 0.3 of StopWithin.
	assert.Assert(t, time.Since(started) < vm.settings.StopWithin*3/10+500*time.Millisecond)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	for range cap(fillers) {
		<-fillers
	}
	<-drained
	assert.Equal(t, len(f.targets.Executions("leaves"))+len(f.targets.Executions("refused")), 0)
}

// TestRelayReload checks that changed settings apply without a restart.
func TestRelayReload(t *testing.T) {
	f := startRelays(t, 1)
	app := f.targets.Add("app-1", "app", "dc-0")
	defer app.Stop()
	f.awaitTargets(t)
	f.store.SetMode(lender.Unavailable)
	changed := *f.vms[0].settings
	changed.KeyEvidenceMaxAge = time.Minute
	f.vms[0].Reload(&changed)
	time.Sleep(keyGrace + 300*time.Millisecond)
	assert.Equal(t, f.vms[0].send(t, "GET", safePath+"x", "longer", nil).status, 200)
	changed.KeyEvidenceMaxAge = keyGrace / 2
	f.vms[0].Reload(&changed)
	assert.Equal(t, f.vms[0].send(t, "GET", safePath+"x", "shorter", nil).status, 503)
	f.store.SetMode(lender.Up)
}

// TestRelayStatus checks the status and metrics that operators see.
func TestRelayStatus(t *testing.T) {
	f := startRelays(t, 3)
	app := f.targets.Add("app-1", "app", "dc-0")
	defer app.Stop()
	f.awaitTargets(t)
	await(t, "all VMs know each other", func() bool { return len(f.vms[0].Status().Members) == 3 })
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

// TestRelayCutIsNamed checks that the log shows whether a stream was cut off because
// its caller disconnected or because the VM stopped.
func TestRelayCutIsNamed(t *testing.T) {
	for name, c := range map[string]struct {
		cut  func(vm *relayVM, caller net.Conn)
		code bluebelldoor.Code
	}{
		"caller disconnects": {func(_ *relayVM, caller net.Conn) { caller.Close() }, bluebelldoor.CallerGone},
		"the VM stops":       {func(vm *relayVM, _ net.Conn) { vm.stop() }, bluebelldoor.Draining},
	} {
		t.Run(name, func(t *testing.T) {
			f, _ := startEngine(t)
			vm := f.vms[0]
			caller, err := net.Dial("tcp", vm.settings.CallerAddress)
			assert.NilError(t, err)
			defer caller.Close()
			_, err = fmt.Fprintf(caller, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: cut\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 20000\r\nToken-Count: 100,900\r\nContent-Length: 0\r\n\r\n",
				streamPath, testHost, testKey)
			assert.NilError(t, err)
			_, err = caller.Read(make([]byte, 1))
			assert.NilError(t, err)
			time.Sleep(100 * time.Millisecond)
			c.cut(vm, caller)
			await(t, "the end of the stream is logged", func() bool { return vm.log.lastLine("broken off", "cut") != "" })
			lastLine := vm.log.lastLine("broken off", "cut")
			assert.Assert(t, strings.Contains(lastLine, fmt.Sprintf(" code=%d ", c.code)), lastLine)
		})
	}
}

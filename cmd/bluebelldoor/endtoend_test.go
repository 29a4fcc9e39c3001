package main_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/runner"
	"bluebelldoor/standin/booker"
	"bluebelldoor/standin/caller"
)

// TestKilledVM kills the VM that serves a stream. The caller must be able to resume
// at another VM from the next token.
func TestKilledVM(t *testing.T) {
	f := newFleet(t, 3, 2, 0)
	f.warmUp()
	for _, prompt := range []string{"len=150", "len=151"} {
		var once sync.Once
		r, err := f.caller(0).Stream(context.Background(), f.vms[0].spec.CallerAddress, "gait", prompt, 400, func(e caller.Event) {
			if e.Sequence == 20 {
				once.Do(func() { f.signal(f.vms[0], syscall.SIGKILL) })
			}
		})
		assert.NilError(t, err)
		assert.Assert(t, r.Complete, "code %d after %d tokens", r.Code, len(r.Events))
		assert.Assert(t, r.Resumes > 0)
		checkTokenOrder(t, r)
		_ = f.vms[0].cmd.Wait()
		f.start(f.vms[0])
		f.waitServing(f.vms[0])
	}
}

// TestStalledLink stalls or cuts the link to the engine in mid-stream. The VM must
// resume reading, so that the caller sees no more than a delay.
func TestStalledLink(t *testing.T) {
	f := newFleet(t, 2, 1, 0)
	f.warmUp()
	for _, fault := range map[string]func(){"stall": f.links["engine-0"].Stall, "cut": f.links["engine-0"].Cut} {
		r, err := f.caller(0).Stream(context.Background(), f.vms[0].spec.CallerAddress, "gait", "len=120", 120, func(e caller.Event) {
			if e.Sequence == 10 {
				fault()
				time.AfterFunc(900*time.Millisecond, f.links["engine-0"].Restore)
			}
		})
		assert.NilError(t, err)
		assert.Assert(t, r.Complete, "code %d after %d tokens", r.Code, len(r.Events))
		assert.Equal(t, r.Resumes, 0)
		checkTokenOrder(t, r)
	}
}

// TestLostEngine cuts an engine off permanently after tokens were delivered. The
// caller must get an error and no tokens of another generation.
func TestLostEngine(t *testing.T) {
	f := newFleet(t, 2, 1, 0)
	f.warmUp()
	r, err := f.caller(0).Stream(context.Background(), f.vms[0].spec.CallerAddress, "gait", "len=500", 500, func(e caller.Event) {
		if e.Sequence == 10 {
			f.links["engine-0"].Cut()
		}
	})
	assert.NilError(t, err)
	assert.Assert(t, !r.Complete)
	assert.Equal(t, bluebelldoor.Code(r.Code), bluebelldoor.TargetLost)
	assert.Equal(t, r.Executed, "yes")
	checkTokenOrder(t, r)
}

// TestRacingResumes resumes one generation at two VMs concurrently. Each caller must
// get all tokens in order, and a caller with another key must be refused.
func TestRacingResumes(t *testing.T) {
	f := newFleet(t, 2, 1, 0)
	f.warmUp()
	var first caller.Event
	ctx, cancel := context.WithCancel(context.Background())
	_, _ = f.caller(0).Stream(ctx, f.vms[0].spec.CallerAddress, "gait", "len=100", 100, func(e caller.Event) {
		if e.Sequence == 1 {
			first = e
			cancel()
		}
	})
	var group sync.WaitGroup
	for _, v := range f.vms {
		group.Go(func() {
			r, err := f.caller(0).Resume(context.Background(), v.spec.CallerAddress, first, nil)
			assert.Check(t, err)
			assert.Check(t, r.Complete)
			checkTokenOrder(t, r)
		})
	}
	group.Wait()
	unauthorized, err := caller.New("another-key", f.addresses(0)...)
	assert.NilError(t, err)
	r, err := unauthorized.Resume(context.Background(), f.vms[0].spec.CallerAddress, first, nil)
	assert.NilError(t, err)
	assert.Equal(t, bluebelldoor.Code(r.Code), bluebelldoor.Unauthorized)
}

// TestAtMostOnce sends one booking to all VMs at once, kills the home VM of its key,
// and sends it again. It must run at most once, and not at all if any caller was told
// that it did not run.
func TestAtMostOnce(t *testing.T) {
	f := newFleet(t, 3, 1, 2)
	c := f.caller(0)
	f.runners[0].SetFaults(booker.Faults{DelayMs: 100})
	f.runners[1].SetFaults(booker.Faults{DelayMs: 100})
	for round := range 3 {
		home := f.vms[round%len(f.vms)]
		key, err := c.Mint(context.Background(), home.spec.CallerAddress)
		assert.NilError(t, err)
		var notRun atomic.Bool
		book := func(v *vm) {
			reply, err := c.Do(context.Background(), "POST", v.spec.CallerAddress, "/v1/services/bookings/slots", []byte(`{"slot":1}`), "Idempotency-Key", key)
			if err == nil && reply.Executed == "no" {
				notRun.Store(true)
			}
		}
		var group sync.WaitGroup
		for _, v := range f.vms {
			group.Go(func() { book(v) })
		}
		time.Sleep(50 * time.Millisecond)
		f.signal(home, syscall.SIGKILL)
		group.Wait()
		_ = home.cmd.Wait()
		f.start(home)
		f.waitServing(home)
		for _, v := range f.vms {
			book(v)
		}
		total := f.runners[0].Executions()[key] + f.runners[1].Executions()[key]
		assert.Assert(t, total <= 1, "ran %d times", total)
		assert.Assert(t, total == 0 || !notRun.Load(), "a caller was told \"not run\", but the booking ran")
	}
}

// TestNotRunByWitness kills a key's home VM before the call is sent. Other VMs must
// report that the call did not run, and it must never run.
func TestNotRunByWitness(t *testing.T) {
	f := newFleet(t, 3, 1, 1)
	c := f.caller(0)
	key, err := c.Mint(context.Background(), f.vms[0].spec.CallerAddress)
	assert.NilError(t, err)
	f.signal(f.vms[0], syscall.SIGKILL)
	for _, v := range f.vms[1:] {
		reply, err := c.Do(context.Background(), "POST", v.spec.CallerAddress, "/v1/services/bookings/slots", []byte(`{}`), "Idempotency-Key", key)
		assert.NilError(t, err)
		assert.Equal(t, bluebelldoor.Code(reply.Code), bluebelldoor.KeyDead)
		assert.Equal(t, reply.Executed, "no")
	}
	assert.Equal(t, len(f.runners[0].Executions()), 0)
}

// TestPausedVM takes a data centre out of service while a VM is paused. After the VM
// continues, it must not send new work to engines of that data centre.
func TestPausedVM(t *testing.T) {
	f := newFleet(t, 3, 3, 0)
	f.warmUp()
	f.signal(f.vms[0], syscall.SIGSTOP)
	removedAt := f.setInService("palermo", false)
	for _, v := range f.vms[1:] {
		f.waitStatus(v, "on the new revision", func(s runner.Status) bool { return s.Document.Revision == f.revision })
	}
	activeAfter := time.Since(removedAt)
	// Requests to the paused VM wait in its socket buffers until it continues.
	var group sync.WaitGroup
	for i := range 20 {
		group.Go(func() {
			_, _ = f.caller(0).Stream(context.Background(), f.vms[0].spec.CallerAddress, "gait", fmt.Sprintf("paused %d len=5", i), 5, nil)
		})
	}
	time.Sleep(removalDeadline)
	continuedAt := time.Now()
	f.signal(f.vms[0], syscall.SIGCONT)
	group.Wait()
	f.waitStatus(f.vms[0], "on the new revision", func(s runner.Status) bool { return s.Document.Revision == f.revision })
	t.Logf("active on running VMs after %s, on the paused VM %s after it continued", activeAfter, time.Since(continuedAt))
	for _, g := range f.engines[1].Stats().Generations {
		assert.Check(t, g.StartedMs < removedAt.Add(removalDeadline).UnixMilli(), "new work after the data centre was out: %+v", g)
	}
	f.setInService("palermo", true)
	f.waitStatus(f.vms[0], "on the new revision", func(s runner.Status) bool { return s.Document.Revision == f.revision })
	f.warmUp()
}

// TestRollingRestart restarts every VM under load with a planned stop. No stream may
// be interrupted and no token lost.
func TestRollingRestart(t *testing.T) {
	f := newFleet(t, 3, 3, 0)
	f.warmUp()
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for i := range 12 {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				c := f.caller(i)
				addresses, err := c.Entry(context.Background(), "gait")
				assert.Check(t, err)
				// Callers connect some time after they resolve the address.
				time.Sleep(300 * time.Millisecond)
				r, err := c.Stream(context.Background(), addresses[0], "gait", fmt.Sprintf("roll %d %d len=200", i, n), 200, nil)
				assert.Check(t, err)
				assert.Check(t, r.Complete, "code %d after %d tokens", r.Code, len(r.Events))
				checkTokenOrder(t, r)
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
	}
	for _, v := range f.vms {
		time.Sleep(500 * time.Millisecond)
		f.signal(v, syscall.SIGTERM)
		assert.NilError(t, v.cmd.Wait())
		f.start(v)
		f.waitServing(v)
	}
	close(stop)
	group.Wait()
	t.Logf("%d streams of 200 tokens, none interrupted", served)
}

// TestStaleService makes the configuration service serve an old revision, restarts a
// VM meanwhile, and then makes the service fail. The newest revision must stay active
// on all VMs.
func TestStaleService(t *testing.T) {
	f := newFleet(t, 3, 1, 0)
	f.publish()
	f.publish()
	newest := f.revision
	for _, v := range f.vms {
		f.waitStatus(v, "on the newest revision", func(s runner.Status) bool { return s.Document.Revision == newest })
	}
	f.platform.SetFaults(staleRevisionFault(1))
	f.signal(f.vms[0], syscall.SIGKILL)
	_ = f.vms[0].cmd.Wait()
	f.start(f.vms[0])
	f.waitServing(f.vms[0])
	f.platform.SetFaults(outageFault())
	time.Sleep(2500 * time.Millisecond)
	for _, v := range f.vms {
		s, err := f.status(v)
		assert.NilError(t, err)
		assert.Equal(t, s.Document.Revision, newest)
		assert.Equal(t, s.Fresh, "yes")
	}
	reads, _ := f.platform.Reads()
	t.Logf("%d reads of the document in total", reads)
}

// TestExplain reads a VM's recorded decisions on a request, and its metrics.
func TestExplain(t *testing.T) {
	f := newFleet(t, 1, 1, 0)
	f.warmUp()
	c := f.caller(0)
	_, err := c.Stream(context.Background(), f.vms[0].spec.CallerAddress, "gait", "len=3", 3, nil, "X-Request-Id", "fitting-1")
	assert.NilError(t, err)
	reply, err := c.Do(context.Background(), "GET", f.vms[0].ops, "/explain/fitting-1", nil)
	assert.NilError(t, err)
	var steps []struct{ Text string }
	assert.NilError(t, json.Unmarshal(reply.Body, &steps))
	assert.Assert(t, len(steps) >= 2, "%s", reply.Body)

	reply, err = c.Do(context.Background(), "GET", f.vms[0].ops, "/metrics", nil)
	assert.NilError(t, err)
	for _, metric := range []string{
		`bluebelldoor_first_token_seconds_count{class="report"}`, `bluebelldoor_between_tokens_seconds_bucket{class="report"`,
		`bluebelldoor_stall_seconds_sum{class="report"}`, `bluebelldoor_queue_seconds_count{class="report"}`, "bluebelldoor_document_revision 1",
	} {
		assert.Check(t, strings.Contains(string(reply.Body), metric), metric)
	}
}

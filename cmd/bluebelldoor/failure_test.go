package main_test

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor/process/runner"
	"bluebelldoor/standin/booker"
	"bluebelldoor/standin/generator"
	"bluebelldoor/standin/publisher"
)

// removalDeadline is the required "few seconds" after which a target that was taken
// out of service gets no new work.
const removalDeadline = 5 * time.Second

// startLoad streams short generations through all VMs until stop is called.
func (f *fleet) startLoad(streams int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() {
			for n := i; ctx.Err() == nil; n++ {
				v := f.vms[n%len(f.vms)]
				_, _ = f.caller(n).Stream(ctx, v.spec.CallerAddress, "gait", fmt.Sprintf("load %d len=10", n), 10, nil, "X-Within-Ms", "3000")
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		group.Wait()
	}
}

// TestColdEngines loads cold engines through all VMs while VMs are killed and
// engines turn cold again. No engine may get more requests than its cold capacity.
func TestColdEngines(t *testing.T) {
	f := newFleet(t, 3, 2, 0)
	stop := f.startLoad(12)
	for round := range 3 {
		time.Sleep(time.Second)
		v := f.vms[round]
		f.signal(v, syscall.SIGKILL)
		_ = v.cmd.Wait()
		f.start(v)
		f.waitServing(v)
		f.engines[round%2].SetFaults(generator.Faults{Chill: true})
	}
	time.Sleep(2 * time.Second)
	stop()
	for i, e := range f.engines {
		s := e.Stats()
		assert.Check(t, s.OverCold == 0, "engine-%d was cold and at capacity, but got %d more requests", i, s.OverCold)
		assert.Check(t, len(s.Generations) > 0)
	}
}

// TestCutOffVM takes a target out of service while two VMs can't reach the platform,
// one of which is also paused. Neither may send new work to the target.
func TestCutOffVM(t *testing.T) {
	f := newFleet(t, 4, 2, 0)
	f.warmUp()
	stop := f.startLoad(8)
	f.platform.SetFaults(publisher.Faults{Deny: []string{"vm-0", "vm-1"}})
	f.signal(f.vms[1], syscall.SIGSTOP)
	for _, target := range f.document["targets"].([]map[string]any) {
		if target["name"] == "engine-1" {
			target["leaving"] = true
		}
	}
	f.publish()
	leavingAt := time.Now()
	time.Sleep(removalDeadline)
	f.signal(f.vms[1], syscall.SIGCONT)
	f.waitStatus(f.vms[1], "on the new revision", func(s runner.Status) bool { return s.Document.Revision == f.revision })
	time.Sleep(time.Second)
	stop()
	for _, g := range f.engines[1].Stats().Generations {
		assert.Check(t, g.StartedMs < leavingAt.Add(removalDeadline).UnixMilli(), "new work %d ms after the target was marked as leaving", g.StartedMs-leavingAt.UnixMilli())
	}
}

// TestOperatorRace publishes documents from two operators concurrently, while the
// platform at times serves an old revision. Every VM must end on the highest one.
func TestOperatorRace(t *testing.T) {
	f := newFleet(t, 3, 1, 0)
	var group sync.WaitGroup
	var mu sync.Mutex
	for range 2 {
		group.Go(func() {
			for range 10 {
				mu.Lock()
				f.publish()
				mu.Unlock()
				f.platform.SetFaults(publisher.Faults{StaleRevision: 1})
				time.Sleep(20 * time.Millisecond)
				f.platform.SetFaults(publisher.Faults{})
			}
		})
	}
	group.Wait()
	for _, v := range f.vms {
		f.waitStatus(v, "on the newest revision", func(s runner.Status) bool { return s.Document.Revision == f.revision })
	}
}

// TestNotRunIsTrue makes calls fail at the target in each way, and compares what
// callers are told with the target's record of executions.
func TestNotRunIsTrue(t *testing.T) {
	f := newFleet(t, 2, 1, 1)
	client := f.caller(0)
	for name, c := range map[string]struct {
		injected   booker.Faults
		want       string
		executions int
	}{
		"served":           {booker.Faults{}, "yes", 1},
		"refused":          {booker.Faults{Refuse: true}, "no", 0},
		"cut before":       {booker.Faults{CloseBeforeExecution: true}, "unknown", 0},
		"cut after":        {booker.Faults{CloseAfterExecution: true}, "unknown", 1},
		"wrong request ID": {booker.Faults{WrongRequestID: true}, "unknown", 1},
		"past a deadline":  {booker.Faults{DelayMs: 1500}, "unknown", 1},
	} {
		t.Run(name, func(t *testing.T) {
			f.runners[0].SetFaults(c.injected)
			key, err := client.Mint(context.Background(), f.vms[0].spec.CallerAddress)
			assert.NilError(t, err)
			for _, v := range f.vms {
				reply, err := client.Do(context.Background(), "POST", v.spec.CallerAddress, "/v1/services/bookings/slots", []byte(`{}`), "Idempotency-Key", key, "X-Within-Ms", "800")
				assert.NilError(t, err)
				assert.Equal(t, reply.Executed, c.want, "%s", reply.Body)
			}
			assert.Equal(t, f.runners[0].Executions()[key], c.executions)
		})
	}
}

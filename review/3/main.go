// Command 3 shows that a VM that starts sends requests to a server that has left, since an
// older answer of the store replaces what its peers have told it.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"bluebelldoor/review/harness"
	"bluebelldoor/standin/lender"
)

const (
	vms      = 3
	desks    = 3
	callers  = 6
	deadline = time.Second
	// heldAnswers is how many answers of the store the partition holds up before the server
	// leaves: the VM gives up the first one after 0.8 s and asks once more.
	heldAnswers = 2
	leavesAfter = 50 * time.Millisecond
	healsAfter  = 550 * time.Millisecond // after the server has left
	maxWait     = 5 * time.Second
	// calmLeavesAfter is when the server leaves without the partition.
	calmLeavesAfter = time.Second
	// inTouchAfter is stable_window_ms, counted from when the partition has healed, and a
	// margin.
	inTouchAfter = 3500 * time.Millisecond
	// drain is drain_ms.
	drain = 2 * time.Second
	runs  = 12 * time.Second
)

func main() { harness.Run(run) }

// arrival is a request that reached the server that leaves.
type arrival struct {
	id string
	at time.Time
}

func run(c *harness.Case) (bool, error) {
	store, stopStore := lender.NewStore()
	c.Cleanup(stopStore)
	harness.PutRouting(store, 1, harness.Key)
	cluster := lender.NewCluster(store)
	for i := range desks {
		t := cluster.Add(fmt.Sprintf("desk-%d", i+1), harness.Desk, harness.DataCentres[i])
		c.Cleanup(t.Stop)
	}
	path, err := harness.NewPath(c, store.Address())
	if err != nil {
		return false, err
	}
	fleet, err := c.StartVMs(vms, func(vm int) string {
		if vm == 0 {
			return path.Address()
		}
		return store.Address()
	})
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	restarted := fleet[0]
	restarted.Kill()
	if c.Trouble {
		path.Cut()
	}
	if err := restarted.Start(); err != nil {
		return false, err
	}
	if err := awaitMoment(c, path); err != nil {
		return false, err
	}
	// The server's entry is removed; the server goes on for many seconds.
	store.Remove("servers/desk-1")
	left := time.Now()
	c.Record("desk-1 has left: its entry is removed, and the store has acknowledged that")
	time.Sleep(healsAfter)
	path.Heal()
	c.Record("the partition has healed")
	time.Sleep(inTouchAfter)
	sent := call(c, restarted)
	var late []arrival
	for _, e := range cluster.AllExecutions() {
		if at, ok := sent[e.ID]; ok && e.Target == "desk-1" && e.At.Sub(left) > drain && at.Sub(left) > drain {
			late = append(late, arrival{e.ID, e.At})
			c.Record("%s reached desk-1 %s after it had left", e.ID, e.At.Sub(left).Round(time.Millisecond))
		}
	}
	c.Result("%d requests sent to %s when it was in touch again; %d reached desk-1 later than %s after it had left (allowed: 0)", len(sent), restarted.Name, len(late), drain)
	return len(late) > 0, nil
}

// awaitMoment waits until the server is to leave.
func awaitMoment(c *harness.Case, path *harness.Path) error {
	if !c.Trouble {
		time.Sleep(calmLeavesAfter)
		return nil
	}
	for until := time.Now().Add(maxWait); path.HeldAnswers() < heldAnswers; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			return fmt.Errorf("the VM has not asked the store %d times", heldAnswers)
		}
	}
	time.Sleep(leavesAfter)
	return nil
}

// call sends calls to a VM, and returns when each was sent.
func call(c *harness.Case, vm *harness.VM) map[string]time.Time {
	var mu sync.Mutex
	sent := map[string]time.Time{}
	var wait sync.WaitGroup
	until := time.Now().Add(runs)
	for k := range callers {
		wait.Go(func() {
			caller := harness.NewCaller(vm.Caller)
			defer caller.Close()
			for n := 0; time.Now().Before(until); n++ {
				o := caller.Send(harness.Request{ID: fmt.Sprintf("%02x%06x", k, n), Method: http.MethodPost, Path: harness.UnsafePath, Body: []byte("body"), Within: deadline})
				c.Record("%s: %s", vm.Name, o)
				mu.Lock()
				sent[o.ID] = o.SentAt
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	return sent
}

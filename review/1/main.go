// Command 1 shows that a server whose response head has no end makes VMs exceed their
// memory limit.
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
	vms          = 3
	engines      = 6
	desks        = 3
	callersPerVM = 8
	// The faulty server joins after calmFor and stays for faultyFor.
	calmFor        = 3 * time.Second
	faultyFor      = 10 * time.Second
	runFor         = 18 * time.Second
	callDeadline   = time.Second
	streamDeadline = 39 * time.Second
	// allowedLosses is how many requests the rule LOST allows to lose.
	allowedLosses = 3
)

func main() { harness.Run(run) }

func run(c *harness.Case) (bool, error) {
	store, stopStore := lender.NewStore()
	c.Cleanup(stopStore)
	harness.PutRouting(store, 1, harness.Key)
	cluster := lender.NewCluster(store)
	for i := range desks {
		t := cluster.Add(fmt.Sprintf("desk-%d", i+1), harness.Desk, harness.DataCentres[i])
		t.SetBehaviour(func(*http.Request) lender.Behaviour { return lender.Delay })
		c.Cleanup(t.Stop)
	}
	sound := engines
	if c.Trouble {
		sound--
	}
	for i := range sound {
		c.Cleanup(cluster.Add(fmt.Sprintf("engine-%d", i+1), harness.Engines, harness.DataCentres[i%len(harness.DataCentres)]).Stop)
	}
	fleet, err := c.StartVMs(vms, func(int) string { return store.Address() })
	if err != nil {
		return false, err
	}
	if c.Trouble {
		go func() {
			time.Sleep(calmFor)
			flood(c, store)
		}()
	}
	outcomes := sendAll(c, fleet)
	return judge(c, cluster, fleet, outcomes), nil
}

// flood runs the faulty server for a while.
func flood(c *harness.Case, store *lender.Store) {
	const id = "engine-faulty"
	zone := harness.DataCentres[(engines-1)%len(harness.DataCentres)]
	f, err := harness.NewFlooder(c, store, id, harness.Engines, zone, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Fill: ")
	if err != nil {
		c.Result("the faulty server did not start: %v", err)
		return
	}
	c.Record("server %s joins", id)
	time.Sleep(faultyFor)
	store.Remove("servers/" + id)
	c.Result("%d requests got a response head without end", f.Floods())
}

// sendAll sends desk calls and generations from all callers for a while.
func sendAll(c *harness.Case, fleet []*harness.VM) []harness.Outcome {
	var mu sync.Mutex
	var outcomes []harness.Outcome
	var callers sync.WaitGroup
	until := time.Now().Add(runFor)
	for i, v := range fleet {
		for k := range callersPerVM {
			callers.Go(func() {
				caller := harness.NewCaller(v.Caller)
				defer caller.Close()
				for n := 0; time.Now().Before(until); n++ {
					r := harness.Request{ID: fmt.Sprintf("%02x%02x%04x", i, k, n), Method: http.MethodPost, Path: harness.UnsafePath, Body: []byte("body"), Within: callDeadline}
					if k == 0 {
						r.Path, r.Tokens, r.Within = harness.StreamPath, "40,60", streamDeadline
					}
					o := caller.Send(r)
					c.Record("%s: %s", v.Name, o)
					mu.Lock()
					outcomes = append(outcomes, o)
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	callers.Wait()
	return outcomes
}

// judge counts the desk calls on kept connections that a sound server ran and whose
// connection was closed without an answer.
func judge(c *harness.Case, cluster *lender.Cluster, fleet []*harness.VM, outcomes []harness.Outcome) bool {
	lost, answered := 0, 0
	for _, o := range outcomes {
		switch {
		case o.Status == http.StatusOK && o.Complete:
			answered++
		case o.Path == harness.UnsafePath && o.Kept && o.Written && o.Status == 0 && o.EndedAt.Sub(o.SentAt) < o.Within && len(cluster.Executions(o.ID)) > 0:
			lost++
			c.Record("lost: %s", o)
		}
	}
	for _, v := range fleet {
		c.Result("%s: %d processes ended, peak memory %d MB of %d MB", v.Name, len(v.Ends()), v.PeakMB(), harness.MemoryMB)
	}
	c.Result("%d requests, %d answered, %d desk calls run by a sound server and closed without an answer (allowed: %d)", len(outcomes), answered, lost, allowedLosses)
	return lost > allowedLosses
}

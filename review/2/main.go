// Command 2 shows that a stream without a length that is moved off a leaving engine ends as
// complete before its last event.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"bluebelldoor/review/harness"
	"bluebelldoor/standin/lender"
)

const (
	vms     = 3
	engines = 6
	callers = 12
	events  = 250 // 20 ms apart
	within  = 39 * time.Second
	leaveAt = 3 * time.Second
	runFor  = 8 * time.Second
)

func main() { harness.Run(run) }

func run(c *harness.Case) (bool, error) {
	store, stopStore := lender.NewStore()
	c.Cleanup(stopStore)
	harness.PutRouting(store, 1, harness.Key)
	set := harness.NewEngineSet(c, store)
	var leaving *harness.Engine
	for i := range engines {
		leaving = set.Add(fmt.Sprintf("engine-%d", i+1), harness.DataCentres[i%len(harness.DataCentres)])
	}
	fleet, err := c.StartVMs(vms, func(int) string { return store.Address() })
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if c.Trouble {
		time.AfterFunc(leaveAt, leaving.Leave)
	}
	var mu sync.Mutex
	whole, early := 0, 0
	var wait sync.WaitGroup
	until := time.Now().Add(runFor)
	for k := range callers {
		wait.Go(func() {
			caller := harness.NewCaller(fleet[k%vms].Caller)
			defer caller.Close()
			for n := 0; time.Now().Before(until); n++ {
				o := caller.Send(harness.Request{ID: fmt.Sprintf("%02x%06x", k, n), Method: http.MethodPost, Path: harness.StreamPath, Tokens: fmt.Sprintf("40,%d", events), Body: []byte("body"), Within: within})
				c.Record("%s", o)
				got := strings.Count(o.Body, "id: ")
				mu.Lock()
				switch {
				case o.Status == http.StatusOK && o.Complete && got < events:
					early++
					c.Record("%s ended as complete after %d of %d events, stopped for a copy: %t", o.ID, got, events, set.Moved(o.ID))
				case o.Status == http.StatusOK && o.Complete:
					whole++
				}
				mu.Unlock()
				time.Sleep(20*time.Millisecond + o.RetryAfter)
			}
		})
	}
	wait.Wait()
	c.Result("%d streams whole, %d ended as complete before their last event (allowed: 0)", whole, early)
	return early > 0, nil
}

package runner_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor/standin/lender"
)

// restartAll restarts the VMs one after the other, a little apart.
func (f *relayFleet) restartAll(t *testing.T, apart time.Duration) {
	for _, r := range f.vms {
		time.Sleep(apart)
		r.stop()
		f.startVM(t, r)
	}
}

// TestRelayColdSum guards against VMs that each send a cold target what all of them
// together may send.
func TestRelayColdSum(t *testing.T) {
	const (
		vms, load           = 7, 60
		coldFor             = 7 * time.Second
		perSecond           = 4.0
		factor, allowance   = 1.5, 5.0 // of the settings
		allowed             = int(perSecond*factor + allowance)
		measured, leastSent = 4 * time.Second, 4
	)
	for name, restarts := range map[string]bool{"steady": false, "restarts": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startRelays(t, vms, trustKeysLonger)
			target := f.targets.Add("app-0", "app", "dc-0")
			t.Cleanup(target.Stop)
			f.awaitTargets(t)
			config := configuration(2, testKey)
			config["services"].([]any)[0] = map[string]any{"name": "app", "health_path": "/health", "max_conns": maxConnections, "cold_s": 1, "cold_per_s": perSecond}
			f.store.Put("op/config", config)
			target.RegisterCold(coldFor)
			await(t, "all VMs know that the target is cold", func() bool {
				for _, r := range f.vms {
					if r.Status().Revision < f.store.Revision() || r.Status().RoutingVersion < 2 {
						return false
					}
				}
				return true
			})
			from := time.Now()
			var beside sync.WaitGroup
			if restarts {
				beside.Go(func() { f.restartAll(t, measured/(vms+1)) })
			}
			f.sendFor(t, load, measured)
			beside.Wait()
			var window []time.Time
			most, sent := 0, 0
			for _, at := range target.Arrivals() {
				if at.Before(from) {
					continue
				}
				sent++
				window = append(window, at)
				for at.Sub(window[0]) > time.Second {
					window = window[1:]
				}
				most = max(most, len(window))
			}
			t.Logf("%d requests in %v, at most %d in a second; allowed %d", sent, measured, most, allowed)
			assert.Check(t, most <= allowed, "a cold target got %d requests in a second; allowed %d", most, allowed)
			assert.Check(t, sent >= leastSent, "a cold target got %d requests; it serves some", sent)
		})
	}
}

// TestRelayRetrySum guards against VMs that each spend on retries what all of them together
// may spend, also where their processes have just started and know nothing of earlier
// retries.
func TestRelayRetrySum(t *testing.T) {
	const vms, perVM, ratio = 7, 60, 0.2
	for name, restarts := range map[string]bool{"steady": false, "restarts": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startRelays(t, vms, trustKeysLonger)
			var targets []*lender.Target
			for i := range 3 {
				target := f.targets.Add(fmt.Sprintf("app-%d", i), "app", fmt.Sprintf("dc-%d", i))
				t.Cleanup(target.Stop)
				targets = append(targets, target)
			}
			f.awaitTargets(t)
			before := 0
			for _, target := range targets {
				target.SetBehaviour(func(*http.Request) lender.Behaviour { return lender.Fail })
				before += len(target.Arrivals())
			}
			began := time.Now()
			requests := 0
			sendAll := func(round string) {
				var callers sync.WaitGroup
				for i, r := range f.vms {
					callers.Go(func() {
						for n := range perVM {
							r.send(t, "GET", safePath+"x", fmt.Sprintf("%s-%d-%d", round, i, n), nil)
						}
					})
				}
				callers.Wait()
				requests += vms * perVM
			}
			sendAll("first")
			if restarts {
				f.restartAll(t, 0)
				f.awaitReady(t)
				sendAll("second")
			}
			took := time.Since(began)
			arrivals := -before
			for _, target := range targets {
				arrivals += len(target.Arrivals())
			}
			repeats, allowed := arrivals-requests, int(ratio*float64(requests)+testRetryAllowance)
			t.Logf("%d requests and %d repeats in %v; allowed %d", requests, repeats, took, allowed)
			assert.Assert(t, took < 10*time.Second, "took %v, longer than the window of the budget", took)
			assert.Check(t, repeats <= allowed, "%d repeats of %d requests; allowed %d", repeats, requests, allowed)
			assert.Check(t, repeats >= vms, "%d repeats; the budget allows some", repeats)
		})
	}
}

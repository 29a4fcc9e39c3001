package runner_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor/standin/lender"
)

// The users' rule on a request that crashes the targets that run it: it reaches targets no
// more than maxDeadlySends times later than stableWindow after it has crashed the third.
const requestCrashesBeforeRule = 3

const deadlyName = "deadly"

func isDeadly(path string) bool { return strings.Contains(path, deadlyName) }

// requestLoad sends requests to the VMs in turn for a time. A share of them is one request
// that comes again and again; the sound ones are popular or come once.
func (f *relayFleet) requestLoad(t *testing.T, method, path string, header map[string]string, share float64, d time.Duration) *partLoad {
	const perSecond, popular = 60, 4
	load := &partLoad{deadly: map[int]int{}}
	random := rand.New(rand.NewPCG(1, 1))
	var requests sync.WaitGroup
	for n, until := 0, time.Now().Add(d); time.Now().Before(until); n++ {
		dead, name := random.Float64() < share, fmt.Sprintf("once-%d", n)
		switch {
		case dead:
			name = deadlyName
		case n%2 == 0:
			name = fmt.Sprintf("popular-%d", n%popular)
		}
		vm := f.vms[n%len(f.vms)]
		requests.Go(func() {
			at := time.Now()
			got := vm.send(t, method, path+name, fmt.Sprintf("request-%d", n), header)
			load.mu.Lock()
			defer load.mu.Unlock()
			if dead {
				load.deadly[got.status]++
				return
			}
			load.sound = append(load.sound, soundOutcome{at, got.status == 200 && got.complete})
		})
		time.Sleep(time.Second / perSecond)
	}
	requests.Wait()
	return load
}

// TestRelayDeadlyRequest guards against one request, with the same path, caller and body,
// that crashes target after target (BUDGET), and against refusing the sound requests that
// ended with these targets (LOST).
func TestRelayDeadlyRequest(t *testing.T) {
	const vms, targets = 5, 4
	stream := map[string]string{"Token-Count": "40,3", "Prompt-Prefix": "aaaa0001:79,bbbb0001:40", "Deadline-Ms": "9000"}
	for name, c := range map[string]struct {
		method, path, service string
		header                map[string]string
		act                   lender.Behaviour
		share                 float64
		restart               bool // a VM restarts once the request is known
	}{
		"may not be repeated":  {"POST", unsafePath, "app", nil, lender.EndUnanswered, 0.2, false},
		"a half":               {"POST", unsafePath, "app", nil, lender.EndUnanswered, 0.5, false},
		"may be repeated":      {"GET", safePath, "app", nil, lender.EndUnanswered, 0.15, false},
		"VM restarts":          {"GET", safePath, "app", nil, lender.EndUnanswered, 0.3, true},
		"a stream":             {"POST", streamPath, "engine", stream, lender.EndAfterHead, 0.2, false},
		"a stream, unanswered": {"POST", streamPath, "engine", stream, lender.EndUnanswered, 0.2, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := startRelays(t, vms, trustKeysLonger)
			var all []*lender.Target
			for i := range targets {
				for _, service := range []string{"app", "engine"} {
					e := f.targets.Add(fmt.Sprintf("%s-%d", service, i), service, fmt.Sprintf("dc-%d", i%3))
					t.Cleanup(e.Stop)
					if service == c.service {
						e.SetBehaviour(func(r *http.Request) lender.Behaviour {
							if isDeadly(r.URL.Path) {
								return c.act
							}
							return lender.Serve
						})
						all = append(all, e)
					}
				}
			}
			f.awaitTargets(t)
			if c.restart {
				time.AfterFunc(6*time.Second, func() {
					f.vms[0].stop()
					f.startVM(t, f.vms[0])
				})
			}
			f.assertRequests(t, all, f.requestLoad(t, c.method, c.path, c.header, c.share, 10*time.Second))
		})
	}
}

// assertRequests checks the rule, and that sound requests are served.
func (f *relayFleet) assertRequests(t *testing.T, targets []*lender.Target, load *partLoad) {
	t.Helper()
	var crashes []time.Time
	for _, e := range targets {
		crashes = append(crashes, e.Ends()...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	assert.Assert(t, len(crashes) >= requestCrashesBeforeRule, "the request crashed %d targets", len(crashes))
	decisive := crashes[requestCrashesBeforeRule-1]
	late := 0
	for _, e := range f.targets.AllExecutions() {
		if isDeadly(e.Path) && e.At.After(decisive.Add(stableWindow)) {
			late++
		}
	}
	sound := load.soundShare(decisive.Add(2*stableWindow), time.Now())
	t.Logf("%d crashes, %d late sends, sound requests served: %.2f; deadly by status: %v", len(crashes), late, sound, load.deadly)
	assert.Check(t, late <= maxDeadlySends, "BUDGET: the request reached targets %d times more", late)
	assert.Check(t, sound >= 0.9, "LOST: sound requests served: %.2f", sound)
	assert.Check(t, load.deadly[422] > 0, "the request was never refused for it")
}

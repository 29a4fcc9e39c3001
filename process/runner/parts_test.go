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

// The users' rules on a part that crashes engines: no more than maxDeadlySends requests with
// it reach engines later than stableWindow after the crash crashesBeforeRule, and from twice
// that time on, sound requests are served at least half as often as before.
const (
	crashesBeforeRule = 5
	maxDeadlySends    = 3
	deadlyPart        = "dead0dead"
)

// partLoad is what callers sent and got.
type partLoad struct {
	mu     sync.Mutex
	deadly map[int]int // responses to requests with the deadly part, by status
	sound  []soundOutcome
}

type soundOutcome struct {
	at time.Time
	ok bool
}

// sendParts sends generations to the VMs in turn for a time. All share their first part; a
// fraction has the deadly part as well.
func (f *relayFleet) sendParts(t *testing.T, perSecond, deadlyShare float64, d time.Duration) *partLoad {
	load := &partLoad{deadly: map[int]int{}}
	random := rand.New(rand.NewPCG(1, 1))
	var requests sync.WaitGroup
	for n, until := 0, time.Now().Add(d); time.Now().Before(until); n++ {
		dead := random.Float64() < deadlyShare
		parts := fmt.Sprintf("aaaa0001:79,bbbb%d:50,%x:40", n%4, n+1<<20)
		if dead {
			parts = fmt.Sprintf("aaaa0001:79,%s:50,%x:40", deadlyPart, n+1<<20)
		}
		vm := f.vms[n%len(f.vms)]
		requests.Go(func() {
			at := time.Now()
			got := vm.send(t, "POST", streamPath+"x", fmt.Sprintf("part-%d", n), map[string]string{
				"Token-Count": "40,3", "Prompt-Prefix": parts, "Deadline-Ms": "9000",
			})
			load.mu.Lock()
			defer load.mu.Unlock()
			if dead {
				load.deadly[got.status]++
				return
			}
			load.sound = append(load.sound, soundOutcome{at, got.status == 200 && got.complete})
		})
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
	requests.Wait()
	return load
}

// soundShare returns the share of sound requests between two times that were answered.
func (l *partLoad) soundShare(from, to time.Time) float64 {
	served, sent := 0, 0
	for _, o := range l.sound {
		if o.at.Before(from) || o.at.After(to) {
			continue
		}
		sent++
		if o.ok {
			served++
		}
	}
	return float64(served) / float64(max(1, sent))
}

func hasDeadlyPart(h http.Header) bool {
	return strings.Contains(h.Get("Prompt-Prefix"), deadlyPart)
}

// TestRelayDeadlyPart guards against requests of one kind that crash engines one after the
// other (BUDGET), and against refusing the sound requests of the same caller and first part
// for it (LOST).
func TestRelayDeadlyPart(t *testing.T) {
	const vms, engines = 7, 6
	for name, c := range map[string]struct {
		perSecond, deadlyShare float64
		restart                bool // a VM restarts once the part is known
	}{
		"a tenth":              {30, 0.1, false},
		"a half":               {30, 0.5, false},
		"a third, VM restarts": {30, 0.3, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := startRelays(t, vms, trustKeysLonger)
			var targets []*lender.Target
			for i := range engines {
				e := f.targets.Add(fmt.Sprintf("engine-%d", i), "engine", fmt.Sprintf("dc-%d", i%3))
				e.SetBehaviour(func(r *http.Request) lender.Behaviour {
					if hasDeadlyPart(r.Header) {
						return lender.EndAfterHead
					}
					return lender.Serve
				})
				targets = append(targets, e)
				t.Cleanup(e.Stop)
			}
			f.targets.Add("app", "app", "dc-0")
			f.awaitTargets(t)
			if c.restart {
				time.AfterFunc(6*time.Second, func() {
					f.vms[0].stop()
					f.startVM(t, f.vms[0])
				})
			}
			load := f.sendParts(t, c.perSecond, c.deadlyShare, 10*time.Second)
			f.assertParts(t, targets, load)
			// The answers to sound requests have proven the first part, so the deadly one is
			// refused beside any other too.
			got := f.vms[1].send(t, "POST", streamPath+"x", "alone", map[string]string{
				"Token-Count": "40,3", "Prompt-Prefix": "cccc0001:79," + deadlyPart + ":50,e1:40", "Deadline-Ms": "9000",
			})
			assert.Equal(t, got.status, 422, got.body)
		})
	}
}

// assertParts checks both rules.
func (f *relayFleet) assertParts(t *testing.T, targets []*lender.Target, load *partLoad) {
	t.Helper()
	var crashes []time.Time
	for _, e := range targets {
		crashes = append(crashes, e.Ends()...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	assert.Assert(t, len(crashes) >= 2, "the part crashed %d engines", len(crashes))
	decisive := crashes[min(len(crashes), crashesBeforeRule)-1]
	late := 0
	for _, e := range f.targets.AllExecutions() {
		if hasDeadlyPart(e.Header) && e.At.After(decisive.Add(stableWindow)) {
			late++
		}
	}
	sound := load.soundShare(decisive.Add(2*stableWindow), time.Now())
	t.Logf("%d crashes, %d late sends of the deadly part, sound requests served: %.2f; deadly by status: %v", len(crashes), late, sound, load.deadly)
	assert.Check(t, late <= maxDeadlySends, "BUDGET: %d requests with the part reached engines", late)
	assert.Check(t, sound >= 0.9, "LOST: sound requests served: %.2f", sound)
	assert.Check(t, load.deadly[422] > 0, "no request with the part was refused for it")
}

// TestRelayOtherCrashes checks that engines that are lost for another reason than a part of
// the prompt leave every part innocent.
func TestRelayOtherCrashes(t *testing.T) {
	const engines = 5
	for name, c := range map[string]struct {
		act lender.Behaviour
		// leaves makes the engine announce that it leaves, before it ends its streams.
		leaves bool
		within string // the caller's time limit in ms
	}{
		"lost before the answer":      {lender.Drop, false, "3000"},
		"cut after some events":       {lender.Truncate, false, "3000"},
		"silent until the time is up": {lender.Stall, false, "200"},
		"fails":                       {lender.Fail, false, "3000"},
		"leaves":                      {lender.EndAfterHead, true, "3000"},
	} {
		t.Run(name, func(t *testing.T) {
			f := startRelays(t, 1)
			for i := range engines {
				e := f.targets.Add(fmt.Sprintf("engine-%d", i), "engine", "dc-0")
				t.Cleanup(e.Stop)
				e.SetBehaviour(func(r *http.Request) lender.Behaviour {
					if !strings.HasPrefix(r.Header.Get("Attempt-Id"), "hit") {
						return lender.Serve
					}
					if c.leaves {
						e.Register("draining")
						time.Sleep(300 * time.Millisecond)
					}
					return c.act
				})
			}
			t.Cleanup(f.targets.Add("app", "app", "dc-0").Stop)
			f.awaitTargets(t)
			send := func(id, within string) callerResponse {
				return f.vms[0].send(t, "POST", streamPath+"x", id, map[string]string{
					"Token-Count": "40,6", "Prompt-Prefix": "aaaa0001:79," + id + ":40", "Deadline-Ms": within,
				})
			}
			for i := range engines - 1 {
				got := send(fmt.Sprintf("hit-%d", i), c.within)
				assert.Assert(t, got.status != 200 || !got.complete)
				time.Sleep(400 * time.Millisecond)
			}
			assert.Equal(t, f.vms[0].Status().QuarantinedParts, 0)
			got := send("after", "3000")
			assert.Assert(t, got.status == 200 && got.complete, "%d %s", got.status, got.body)
		})
	}
}

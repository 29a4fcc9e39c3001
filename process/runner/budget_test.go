package runner_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/standin/lender"
)

// TestRelayBudgetOfRestarts guards against VMs that forget with their process what they have
// repeated: killed in turn, they repeat more than all VMs together may.
func TestRelayBudgetOfRestarts(t *testing.T) {
	t.Parallel()
	const (
		vms, callers     = 5, 2
		ratio, allowance = 0.2, 100
		window           = 4 * time.Second
		restartInterval  = 250 * time.Millisecond
		duration         = 12 * time.Second
	)
	f := startRelays(t, vms, func(s *bluebelldoor.RelaySettings) {
		s.RetryWindow, s.RetryRatio, s.RetryAllowance = window, ratio, allowance
	})
	for i := range 6 {
		t.Cleanup(f.targets.Add(fmt.Sprintf("app-%d", i), "app", "dc-0").Stop)
	}
	f.awaitTargets(t)
	var counter atomic.Int64
	f.targets.SetBehaviour(func(*http.Request) lender.Behaviour {
		if counter.Add(1)%5 > 0 {
			return lender.Drop
		}
		return lender.Serve
	})
	var mu sync.Mutex
	asked := map[string]time.Time{}
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i := range vms {
		address := *f.vms[i]
		for c := range callers {
			wg.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-done:
						return
					case <-time.After(200 * time.Millisecond):
					}
					id := fmt.Sprintf("budget-%d-%d-%d", i, c, n)
					mu.Lock()
					asked[id] = time.Now()
					mu.Unlock()
					address.send(t, "GET", safePath+id, id, nil)
				}
			})
		}
	}
	for round, end := 0, time.Now().Add(duration); time.Now().Before(end); round++ {
		vm := f.vms[round%vms]
		vm.stop()
		vm.settings.FirstStart = false
		f.startVM(t, vm)
		time.Sleep(restartInterval)
	}
	close(done)
	wg.Wait()
	var requests, repeats []time.Time
	for id, at := range asked {
		requests = append(requests, at)
		for _, e := range f.targets.Executions(id)[min(1, len(f.targets.Executions(id))):] {
			repeats = append(repeats, e.At)
		}
	}
	inWindow := func(all []time.Time, from, to time.Time) int {
		return len(slices.DeleteFunc(slices.Clone(all), func(at time.Time) bool { return at.Before(from) || !at.Before(to) }))
	}
	worst := 0.0
	for _, from := range repeats {
		allowed := allowance + ratio*float64(max(inWindow(requests, from, from.Add(window)), inWindow(requests, from.Add(-window), from), inWindow(requests, from.Add(-window/2), from.Add(window/2))))
		worst = max(worst, float64(inWindow(repeats, from, from.Add(window)))/allowed)
	}
	t.Logf("%d requests, %d repeats, worst window %.2f of the allowed", len(requests), len(repeats), worst)
	assert.Assert(t, len(repeats) > 0)
	assert.Assert(t, worst <= 1, "a window has %.2f of the repeats that are allowed", worst)
}

package runner_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"bluebelldoor/standin/lender"
)

// fillEngine starts two generations with prompts of so many tokens on an engine
// of 34,000, and returns when they run. The channel gets their answers.
func (f *relays) fillEngine(t *testing.T, engine *lender.Target, prompt int) chan answer {
	t.Helper()
	engine.Acts(func(*http.Request) lender.Act { return lender.Slow })
	const running = 2
	full := make(chan answer, running)
	for i := range running {
		go func() {
			full <- f.vms[0].ask(t, "POST", toStream, fmt.Sprintf("full-%d", i), length(prompt, 300))
		}()
	}
	await(t, "the engine is full", func() bool {
		return len(f.yard.Runs("full-0"))+len(f.yard.Runs("full-1")) == running
	})
	return full
}

// length returns the header fields of a generation of so many tokens.
func length(prompt, output int) map[string]string {
	return map[string]string{
		"Token-Count": fmt.Sprintf("%d,%d", prompt, output), "Length-Hint": fmt.Sprint(output), "Deadline-Ms": "20000",
	}
}

// TestRelayRoom sends long generations to an engine that has room for them, and
// refuses them while they could still have begun in time where it has none, or
// has only what is left to short ones that go before them.
func TestRelayRoom(t *testing.T) {
	for name, c := range map[string]struct {
		filled int // tokens of each of two prompts
		urgent bool
		status int
	}{
		"room":                    {13000, false, http.StatusOK},
		"room left to short ones": {13000, true, http.StatusServiceUnavailable},
		"no room":                 {14500, false, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, engine := startEngine(t)
			full := f.fillEngine(t, engine, c.filled)
			if c.urgent {
				assert.Equal(t, f.vms[0].ask(t, "POST", toUrgent, "urgent", length(500, 3)).status, http.StatusOK)
			}
			got := f.vms[0].ask(t, "POST", toPrompt, "long", length(4000, 160))
			assert.Equal(t, got.status, c.status, got.body)
			if c.status != http.StatusOK {
				assert.Assert(t, got.took < promptObjective, "refused after %s", got.took)
				assert.Assert(t, got.header.Get("Retry-After") != "")
				assert.Equal(t, len(f.yard.Runs("long")), 0)
			}
			for range cap(full) {
				assert.Equal(t, (<-full).status, http.StatusOK)
			}
		})
	}
}

// TestRelayFewConnections keeps to the connections that targets take: where all
// have theirs, callers are refused, and no request is lost in a reset.
func TestRelayFewConnections(t *testing.T) {
	for name, c := range map[string]struct {
		callers int
		refused bool // some may be
	}{
		"one has its connections": {mostConnections * 6 / 5, false},
		"both have theirs":        {mostConnections * 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startRelays(t, 1)
			for i, zone := range []string{"dc-0", "dc-1"} {
				target := f.yard.Add(fmt.Sprintf("app-%d", i), "app", zone)
				defer target.Stop()
				target.LimitConnections(mostConnections)
				target.RegisterSlots(10 * mostConnections)
				target.Acts(func(*http.Request) lender.Act { return lender.Slow })
			}
			f.settle(t)
			var callers sync.WaitGroup
			var refused atomic.Int64
			for i := range c.callers {
				callers.Go(func() {
					id := fmt.Sprintf("few-%d", i)
					got := f.vms[0].ask(t, "POST", toUnsafe+"x", id, nil)
					if got.status == http.StatusServiceUnavailable {
						refused.Add(1)
						assert.Check(t, got.header.Get("Retry-After") != "")
						assert.Check(t, len(f.yard.Runs(id)) == 0, "a refused request ran")
						return
					}
					assert.Check(t, got.status == http.StatusOK, "status %d: %s", got.status, got.body)
				})
			}
			callers.Wait()
			assert.Assert(t, c.refused || refused.Load() == 0, "%d refused", refused.Load())
		})
	}
}

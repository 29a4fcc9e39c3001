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

// fillEngine starts two generations with prompts of the given number of tokens on
// an engine with room for 34,000 tokens, and returns when they run. The channel
// gets their responses.
func (f *relayFleet) fillEngine(t *testing.T, engine *lender.Target, prompt int) chan callerResponse {
	t.Helper()
	engine.SetBehaviour(func(*http.Request) lender.Behaviour { return lender.Delay })
	const running = 2
	fillers := make(chan callerResponse, running)
	for i := range running {
		go func() {
			fillers <- f.vms[0].send(t, "POST", streamPath, fmt.Sprintf("full-%d", i), generationHeader(prompt, 300))
		}()
	}
	await(t, "the engine is full", func() bool {
		return len(f.targets.Executions("full-0"))+len(f.targets.Executions("full-1")) == running
	})
	return fillers
}

// generationHeader returns the header fields of a generation with the given
// numbers of prompt and output tokens.
func generationHeader(prompt, output int) map[string]string {
	return map[string]string{
		"Token-Count": fmt.Sprintf("%d,%d", prompt, output), "Length-Hint": fmt.Sprint(output), "Deadline-Ms": "20000",
	}
}

// TestRelayRoom checks that a long generation is sent to an engine that has room
// for it. If the engine has none, or only room reserved for short generations of
// higher priority, the long one must be refused before its objective has passed.
func TestRelayRoom(t *testing.T) {
	for name, c := range map[string]struct {
		promptTokens int // prompt tokens of each filler
		urgent       bool
		status       int
	}{
		"room":                    {13000, false, http.StatusOK},
		"room left to short ones": {13000, true, http.StatusServiceUnavailable},
		"no room":                 {14500, false, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, engine := startEngine(t)
			fillers := f.fillEngine(t, engine, c.promptTokens)
			if c.urgent {
				assert.Equal(t, f.vms[0].send(t, "POST", urgentPath, "urgent", generationHeader(500, 3)).status, http.StatusOK)
			}
			got := f.vms[0].send(t, "POST", promptPath, "long", generationHeader(4000, 160))
			assert.Equal(t, got.status, c.status, got.body)
			if c.status != http.StatusOK {
				assert.Assert(t, got.took < promptObjective, "refused after %s", got.took)
				assert.Assert(t, got.header.Get("Retry-After") != "")
				assert.Equal(t, len(f.targets.Executions("long")), 0)
			}
			for range cap(fillers) {
				assert.Equal(t, (<-fillers).status, http.StatusOK)
			}
		})
	}
}

// TestRelayFewConnections checks that a VM opens no more connections than the
// targets accept. When all targets are at their limit, callers must be refused,
// and no request may be lost to a connection reset.
func TestRelayFewConnections(t *testing.T) {
	for name, c := range map[string]struct {
		callers int
		refused bool // whether some may be refused
	}{
		"one at its limit":     {maxConnections * 6 / 5, false},
		"both at their limits": {maxConnections * 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startRelays(t, 1)
			for i, zone := range []string{"dc-0", "dc-1"} {
				target := f.targets.Add(fmt.Sprintf("app-%d", i), "app", zone)
				defer target.Stop()
				target.LimitConnections(maxConnections)
				target.RegisterSlots(10 * maxConnections)
				target.SetBehaviour(func(*http.Request) lender.Behaviour { return lender.Delay })
			}
			f.awaitTargets(t)
			var callers sync.WaitGroup
			var refused atomic.Int64
			for i := range c.callers {
				callers.Go(func() {
					id := fmt.Sprintf("few-%d", i)
					got := f.vms[0].send(t, "POST", unsafePath+"x", id, nil)
					if got.status == http.StatusServiceUnavailable {
						refused.Add(1)
						assert.Check(t, got.header.Get("Retry-After") != "")
						assert.Check(t, len(f.targets.Executions(id)) == 0, "a refused request ran")
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

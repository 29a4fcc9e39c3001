package runner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestToldLoads lets a VM know of another's generation before a report can show
// it, and forget it when that VM is cut off or dies.
func TestToldLoads(t *testing.T) {
	elsewhere := func(n *node) int {
		for _, target := range n.runner.Status().Targets {
			if target.Name == "engine-0" {
				return target.Elsewhere
			}
		}
		return -1
	}
	for name, c := range map[string]struct {
		then  func(w *world)
		after time.Duration
		want  int
	}{
		"as it starts":             {func(*world) {}, 0, 1},
		"as it goes on":            {func(*world) {}, 10 * time.Second, 1},
		"when that VM is cut off":  {func(w *world) { w.network.Cut("vm-0", "vm-1") }, 5 * time.Second, 0},
		"when that VM starts anew": {func(w *world) { w.restart(0) }, 5 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 1, false, 2, 1)
				defer w.stop()
				assert.Equal(t, elsewhere(w.at(1)), 0)
				// Between two rounds, so that the start alone can tell.
				time.Sleep(120 * time.Millisecond)
				go w.stream(0, 2000)
				// Two ways between VMs; the engine's reports are 100 ms old.
				time.Sleep(10 * latency)
				assert.Equal(t, elsewhere(w.at(1)), 1)
				c.then(w)
				time.Sleep(c.after)
				assert.Equal(t, elsewhere(w.at(1)), c.want)
			})
		})
	}
}

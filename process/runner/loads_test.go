package runner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestToldLoads checks that a VM counts another VM's generation before a load
// report of the engine can show it, and drops it when that VM is cut off or
// restarted.
func TestToldLoads(t *testing.T) {
	peerInflight := func(n *node) int {
		for _, target := range n.runner.Status().Targets {
			if target.Name == "engine-0" {
				return target.PeerInflight
			}
		}
		return -1
	}
	for name, c := range map[string]struct {
		change func(sim *simulation)
		wait   time.Duration
		want   int
	}{
		"as it starts":             {func(*simulation) {}, 0, 1},
		"as it goes on":            {func(*simulation) {}, 10 * time.Second, 1},
		"when that VM is cut off":  {func(sim *simulation) { sim.network.Cut("vm-0", "vm-1") }, 5 * time.Second, 0},
		"when that VM starts anew": {func(sim *simulation) { sim.restart(0) }, 5 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(t, 1, false, 2, 1)
				defer sim.stop()
				assert.Equal(t, peerInflight(sim.nodeAt(1)), 0)
				// Between two periodic exchanges, so that only the message sent at the
				// start of the generation can report it.
				time.Sleep(120 * time.Millisecond)
				go sim.stream(0, 2000)
				// Enough for a round trip between VMs, but the engine's reports lag by 100 ms.
				time.Sleep(10 * latency)
				assert.Equal(t, peerInflight(sim.nodeAt(1)), 1)
				c.change(sim)
				time.Sleep(c.wait)
				assert.Equal(t, peerInflight(sim.nodeAt(1)), c.want)
			})
		})
	}
}

package gossiper_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// totalShare returns the sum of the shares of all VMs, the highest of those sampled for a
// time.
func (n *network) totalShare(d time.Duration) float64 {
	highest := 0.0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		total := 0.0
		n.mu.Lock()
		for _, g := range n.vms {
			total += g.Share()
		}
		n.mu.Unlock()
		highest = max(highest, total)
	}
	return highest
}

// TestSharesOfPartitions guards against partitions that each divide the limits on all VMs
// together among the VMs that they see, so that all VMs together exceed them. While a
// partition begins or ends, VMs see different members; the limit on cold targets, which
// counts within a second, has a margin for that.
func TestSharesOfPartitions(t *testing.T) {
	const transition, highestInTransition = 9 * time.Second, 1 / 0.7
	for label, c := range map[string]struct{ vms, partitioned int }{
		"one of seven":          {7, 1},
		"three of seven":        {7, 3},
		"all but one of seven":  {7, 6},
		"a third of sixty":      {60, 20},
		"a few of sixty":        {60, 2},
		"half of two":           {2, 1},
		"more than half of ten": {10, 6},
	} {
		t.Run(label, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				stops := n.startFleet(uniformSpecs(c.vms, 3), nil)
				defer func() { stopAll(stops) }()
				time.Sleep(8 * time.Second)
				for range 2 {
					n.mu.Lock()
					for i := range c.partitioned {
						n.partitioned[name(i)] = true
					}
					n.mu.Unlock()
					total := n.totalShare(transition)
					t.Logf("highest sum as the partition begins: %.3f", total)
					assert.Check(t, total <= highestInTransition, "as the partition begins, the shares add up to %.3f", total)
					total = n.totalShare(10 * time.Second)
					assert.Check(t, total <= 1.001, "in two partitions, the shares add up to %.3f", total)
					n.mu.Lock()
					clear(n.partitioned)
					n.mu.Unlock()
					total = n.totalShare(transition)
					assert.Check(t, total <= highestInTransition, "as the partitions merge, the shares add up to %.3f", total)
					total = n.totalShare(10 * time.Second)
					assert.Check(t, total <= 1.001, "after the partitions have merged, the shares add up to %.3f", total)
				}
			})
		})
	}
}

// TestShareOfCutOffStart guards against a VM that starts while it is cut off, takes itself
// for the whole fleet and sends all that the fleet may send.
func TestShareOfCutOffStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.partitioned[name(5)] = true
		seeds := []string{name(0), name(2), name(4)}
		var stops []func()
		for i := range 6 {
			stops = append(stops, n.start(i, vmSpec{"dc", 0.4}, seeds, nil))
		}
		defer func() { stopAll(stops) }()
		time.Sleep(5 * time.Second)
		share := n.vms[name(5)].Share()
		assert.Check(t, share <= 0.25, "it knows of three seeds beside itself, and has a share of %.3f", share)
	})
}

// TestSharesOfRestarts guards against VMs that have just started, know their seeds alone, and
// take the fleet for smaller than it is.
func TestSharesOfRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms = 9
		n := newNetwork()
		seeds := []string{name(0), name(2), name(4)}
		stops := make([]func(), vms)
		for i := range vms {
			stops[i] = n.start(i, vmSpec{"dc", 0.4}, seeds, nil)
		}
		defer func() { stopAll(stops) }()
		time.Sleep(8 * time.Second)
		highest := n.totalShare(time.Second)
		for round := range 3 * vms {
			i := round % vms
			stops[i]()
			stops[i] = n.start(i, vmSpec{"dc", 0.4}, seeds, nil)
			highest = max(highest, n.totalShare(400*time.Millisecond))
		}
		assert.Assert(t, highest <= 1.001, "the shares add up to %.3f", highest)
	})
}

package gossiper_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
)

// TestBytes bounds the control traffic that a standby sends, replies included, to the
// required 5 KB a second.
func TestBytes(t *testing.T) {
	const limit, seconds = 5000, 20
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		specs := uniformSpecs(78, 4)
		for i := range specs {
			specs[i].cores = 0.192
			if i < 8 {
				specs[i].cores = 0.8
			}
		}
		loads := make([]bluebelldoor.TargetLoad, 60)
		for i := range loads {
			loads[i] = bluebelldoor.TargetLoad{Target: fmt.Sprintf("i-%010d", i), Requests: 3, Tokens: 9000, PrefillTokens: 3000}
		}
		stops := n.startFleet(specs, loads)
		defer func() { stopAll(stops) }()
		time.Sleep(8 * time.Second)
		assert.Equal(t, len(n.vms[name(0)].Hubs()), 8)
		n.mu.Lock()
		clear(n.bytes)
		n.mu.Unlock()
		time.Sleep(seconds * time.Second)
		n.mu.Lock()
		for vm, sent := range n.bytes {
			if !n.vms[vm].IsHub() {
				assert.Check(t, sent/seconds < limit, "%s sends %d bytes a second", vm, sent/seconds)
			}
		}
		n.mu.Unlock()
	})
}

// TestBytesAtSize is TestBytes at the planned fleet size, with hubs that start generations
// all the time. The hubs' own bytes are logged, as recorded in docs/CAPACITY.md.
func TestBytesAtSize(t *testing.T) {
	if testing.Short() {
		t.Skip("slow: large fleet")
	}
	const limit, seconds, vms, dataCentres, startsPerSecond = 5000, 5, 410, 16, 20
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		loads := make([]bluebelldoor.TargetLoad, 88)
		for i := range loads {
			loads[i] = bluebelldoor.TargetLoad{Target: fmt.Sprintf("i-%010d", i), Requests: 3, Tokens: 9000, PrefillTokens: 3000}
		}
		stops := n.startFleet(uniformSpecs(vms, dataCentres), loads)
		defer func() { stopAll(stops) }()
		time.Sleep(15 * time.Second)
		hubs := hubNames(n.vms[name(0)])
		n.mu.Lock()
		clear(n.bytes)
		n.mu.Unlock()
		for range seconds * startsPerSecond {
			for _, hub := range hubs {
				n.vms[hub].Trigger()
			}
			time.Sleep(time.Second / startsPerSecond)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		hubBytes := 0
		for vm, sent := range n.bytes {
			if n.vms[vm].IsHub() {
				hubBytes += sent / seconds
				continue
			}
			assert.Check(t, sent/seconds < limit, "%s sends %d bytes a second", vm, sent/seconds)
		}
		t.Logf("%d hubs send %d bytes a second each", len(hubs), hubBytes/max(1, len(hubs)))
	})
}

// TestHurriedRounds checks that hubs that start generations all the time send each other
// their loads at once, but the states of all members no more often than otherwise.
func TestHurriedRounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds, startsPerSecond, others = 10, 50, 5
		n := newNetwork()
		stops := n.startFleet(uniformSpecs(6, 3), nil)
		defer func() { stopAll(stops) }()
		time.Sleep(8 * time.Second)
		n.mu.Lock()
		clear(n.multiMember)
		clear(n.exchanges)
		n.mu.Unlock()
		for range seconds * startsPerSecond {
			n.vms[name(0)].Trigger()
			time.Sleep(time.Second / startsPerSecond)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		// At most once a second to each of the five others, replies included.
		assert.Check(t, n.multiMember[name(0)] <= others*(seconds+1), "%d messages with all members", n.multiMember[name(0)])
		assert.Check(t, n.exchanges[[2]string{name(0), name(1)}] >= seconds*startsPerSecond*9/10, "%d exchanges", n.exchanges[[2]string{name(0), name(1)}])
	})
}

// TestNearFirst checks that hubs exchange with those of their own data centre in each
// round, even with more hubs than fanOut: work goes to near engines first.
func TestNearFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const dataCentres, seconds = 16, 20
		n := newNetwork()
		stops := n.startFleet(uniformSpecs(96, dataCentres), nil)
		defer func() { stopAll(stops) }()
		time.Sleep(10 * time.Second)
		hubs := hubNames(n.vms[name(0)])
		assert.Equal(t, len(hubs), 3*dataCentres)
		n.mu.Lock()
		clear(n.exchanges)
		n.mu.Unlock()
		time.Sleep(seconds * time.Second)
		n.mu.Lock()
		defer n.mu.Unlock()
		near := 0
		for i := range hubs {
			for j := range i {
				a, b := dataCentreOf(hubs[i], dataCentres), dataCentreOf(hubs[j], dataCentres)
				if a != b {
					continue
				}
				near++
				assert.Check(t, n.exchanges[[2]string{hubs[j], hubs[i]}] >= seconds*3, "%s and %s: %d exchanges", hubs[j], hubs[i], n.exchanges[[2]string{hubs[j], hubs[i]}])
			}
		}
		assert.Equal(t, near, 3*dataCentres)
	})
}

// TestOneTells checks that of two hubs only one sends heartbeats, as the reply carries
// the other's state, and that they still exchange twice a second.
func TestOneTells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		var stops []func()
		for i, s := range uniformSpecs(6, 3) {
			stops = append(stops, n.start(i, s, []string{name(0)}, nil))
			// VMs do not start at the same time.
			time.Sleep(17 * time.Millisecond)
		}
		defer stopAll(stops)
		time.Sleep(10 * time.Second)
		n.mu.Lock()
		n.longestGap = 0
		clear(n.exchanges)
		n.mu.Unlock()
		const seconds = 20
		time.Sleep(seconds * time.Second)
		n.mu.Lock()
		defer n.mu.Unlock()
		assert.Equal(t, len(n.exchanges), 15)
		for pair, count := range n.exchanges {
			// Four rounds a second; in one of them both send all members.
			assert.Check(t, count <= seconds*6, "%v: %d exchanges in %d s", pair, count, seconds)
		}
		assert.Check(t, n.longestGap <= 500*time.Millisecond, "%s without an exchange", n.longestGap)
	})
}

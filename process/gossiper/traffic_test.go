package gossiper_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
)

// TestBytes bounds what a VM that stands by sends and answers for control, as
// the users' letter does: 5 KB a second.
func TestBytes(t *testing.T) {
	const limit, seconds = 5000, 20
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		specs := uniform(78, 4)
		for i := range specs {
			specs[i].cores = 0.192
			if i < 8 {
				specs[i].cores = 0.8
			}
		}
		loads := make([]bluebelldoor.TargetLoad, 60)
		for i := range loads {
			loads[i] = bluebelldoor.TargetLoad{Target: fmt.Sprintf("i-%010d", i), Requests: 3, Tokens: 9000, Prefill: 3000}
		}
		stops := n.fleet(specs, loads)
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

// TestBytesAtSize is TestBytes at the size to come, where VMs that serve start
// generations all the while. Their own bytes are logged; docs/CAPACITY.md has them.
func TestBytesAtSize(t *testing.T) {
	if testing.Short() {
		t.Skip("takes a while")
	}
	const limit, seconds, vms, dataCentres, startsASecond = 5000, 5, 410, 16, 20
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		loads := make([]bluebelldoor.TargetLoad, 88)
		for i := range loads {
			loads[i] = bluebelldoor.TargetLoad{Target: fmt.Sprintf("i-%010d", i), Requests: 3, Tokens: 9000, Prefill: 3000}
		}
		stops := n.fleet(uniform(vms, dataCentres), loads)
		defer func() { stopAll(stops) }()
		time.Sleep(15 * time.Second)
		hubs := hubNames(n.vms[name(0)])
		n.mu.Lock()
		clear(n.bytes)
		n.mu.Unlock()
		for range seconds * startsASecond {
			for _, hub := range hubs {
				n.vms[hub].Hurry()
			}
			time.Sleep(time.Second / startsASecond)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		serving := 0
		for vm, sent := range n.bytes {
			if n.vms[vm].IsHub() {
				serving += sent / seconds
				continue
			}
			assert.Check(t, sent/seconds < limit, "%s sends %d bytes a second", vm, sent/seconds)
		}
		t.Logf("%d VMs serve and send %d bytes a second each", len(hubs), serving/max(1, len(hubs)))
	})
}

// TestHurriedRounds lets VMs that serve start generations all the while: they tell
// each other of them at once, and of all members no more often than otherwise.
func TestHurriedRounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds, startsASecond, others = 10, 50, 5
		n := newNetwork()
		stops := n.fleet(uniform(6, 3), nil)
		defer func() { stopAll(stops) }()
		time.Sleep(8 * time.Second)
		n.mu.Lock()
		clear(n.whole)
		clear(n.exchanges)
		n.mu.Unlock()
		for range seconds * startsASecond {
			n.vms[name(0)].Hurry()
			time.Sleep(time.Second / startsASecond)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		// Once a second, and in each of its answers to five others.
		assert.Check(t, n.whole[name(0)] <= others*(seconds+1), "%d messages with all members", n.whole[name(0)])
		assert.Check(t, n.exchanges[[2]string{name(0), name(1)}] >= seconds*startsASecond*9/10, "%d exchanges", n.exchanges[[2]string{name(0), name(1)}])
	})
}

// TestNearFirst lets VMs that serve hear of those of their own data centre in each
// round, where more serve than are told in one: work goes to near engines first.
func TestNearFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const dataCentres, seconds = 16, 20
		n := newNetwork()
		stops := n.fleet(uniform(96, dataCentres), nil)
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

// TestOneTells lets one of two VMs that serve tell the other in a heartbeat: the
// answer says what the other would. They still hear of each other twice a second.
func TestOneTells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		var stops []func()
		for i, s := range uniform(6, 3) {
			stops = append(stops, n.begin(i, s, []string{name(0)}, nil))
			// VMs do not start in the same moment.
			time.Sleep(17 * time.Millisecond)
		}
		defer stopAll(stops)
		time.Sleep(10 * time.Second)
		n.mu.Lock()
		n.longest = 0
		clear(n.exchanges)
		n.mu.Unlock()
		const seconds = 20
		time.Sleep(seconds * time.Second)
		n.mu.Lock()
		defer n.mu.Unlock()
		assert.Equal(t, len(n.exchanges), 15)
		for pair, count := range n.exchanges {
			// Four rounds a second; in one of them both tell of all members.
			assert.Check(t, count <= seconds*6, "%v: %d exchanges in %d s", pair, count, seconds)
		}
		assert.Check(t, n.longest <= 500*time.Millisecond, "%s without an exchange", n.longest)
	})
}

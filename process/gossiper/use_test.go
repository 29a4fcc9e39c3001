package gossiper_test

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/gossiper"
	"bluebelldoor/request/sharer"
)

// startUse starts VMs that tell each other the use of client accounts; those without use tell
// nothing. It returns their sharers, which are used from the bubble only.
func (n *network) startUse(vms, dataCentres, accounts int, perSecond int) (sharers []*sharer.Sharer, stop func()) {
	var stops []func()
	clock := offsetClock{time.Now().Add(-time.Hour)}
	for i, s := range uniformSpecs(vms, dataCentres) {
		shares := sharer.New()
		sharers = append(sharers, shares)
		stops = append(stops, n.startWith(i, s, []string{name(0), name(1)}, func(h *gossiper.Hooks) {
			h.AccountUse = func(peer string) []bluebelldoor.AccountUse {
				n.mu.Lock()
				defer n.mu.Unlock()
				return shares.Report(peer, clock.Now())
			}
			h.ApplyUse = func(peer string, use []bluebelldoor.AccountUse) {
				n.mu.Lock()
				defer n.mu.Unlock()
				shares.Apply(peer, use, clock.Now())
			}
		}))
	}
	ended := make(chan struct{})
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(time.Second):
			}
			n.mu.Lock()
			for _, s := range sharers {
				for a := range accounts {
					s.Record(fmt.Sprintf("account-%04d", a), perSecond, clock.Now())
				}
			}
			n.mu.Unlock()
		}
	}()
	return sharers, func() {
		close(ended)
		stopAll(stops)
	}
}

// TestUseExchanged checks that the VMs that serve know the use of accounts on all of them,
// within the eighth by which it may grow before it is told again, and that each tells its own
// use only.
func TestUseExchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, perSecond = 6, 1000
		n := newNetwork()
		clock := offsetClock{time.Now().Add(-time.Hour)}
		sharers, stop := n.startUse(vms, 3, 4, perSecond)
		defer stop()
		time.Sleep(30 * time.Second)
		n.mu.Lock()
		defer n.mu.Unlock()
		for i, s := range sharers {
			// All VMs have used the same.
			want := 0.0
			for second := range 30 {
				want += perSecond * math.Exp2(-float64(second)/20)
			}
			got := s.Use("account-0001", clock.Now())
			assert.Check(t, got >= 0.8*vms*want && got <= 1.1*vms*want, "vm %d knows of %.0f tokens, used were about %.0f", i, got, vms*want)
		}
	})
}

// TestUseBytes bounds the bytes that the use of accounts adds to the messages of a VM that
// serves, with more accounts than are told at once, to half the budget of a VM for control.
func TestUseBytes(t *testing.T) {
	const seconds, vms, dataCentres, accounts, maxPerSecond = 20, 96, 16, 200, 2500
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		_, stop := n.startUse(vms, dataCentres, accounts, 1000)
		defer stop()
		time.Sleep(20 * time.Second)
		hubs := hubNames(n.vms[name(0)])
		assert.Equal(t, len(hubs), 3*dataCentres)
		n.mu.Lock()
		clear(n.useBytes)
		n.mu.Unlock()
		time.Sleep(seconds * time.Second)
		n.mu.Lock()
		defer n.mu.Unlock()
		highest := 0
		for _, hub := range hubs {
			highest = max(highest, n.useBytes[hub]/seconds)
		}
		t.Logf("a hub sends up to %d bytes a second of the use of accounts", highest)
		assert.Check(t, highest > 0 && highest <= maxPerSecond, "%d bytes a second", highest)
	})
}

package gossiper_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/assessor"
	"bluebelldoor/process/gossiper"
)

// The large deployment: its data centres, the large and small VMs in each, and the hubs
// that it needs.
const (
	dataCentres, largePerDataCentre, smallPerDataCentre = 5, 3, 56
	neededHubs                                          = dataCentres * largePerDataCentre
)

// TestWhoServes runs five data centres with three large and many small VMs each, with
// exchanges that cost four times as much as usual. The traffic between hubs grows with the
// square of their number: if it counted as use, more VMs would become hubs, exchange more,
// and so on until all VMs are hubs. Callers' traffic does not grow like that.
func TestWhoServes(t *testing.T) {
	const (
		small       = 15
		generations = 160 // a second, of all callers
		// exchangeCost is the processor time of one exchange on each side.
		exchangeCost = 1200 * time.Microsecond
		seconds      = 6
	)
	for name, c := range map[string]struct {
		countExchanges bool
		minHubs        int
		maxHubs        int
	}{
		"callers' traffic":   {false, neededHubs, neededHubs + dataCentres},
		"all processor time": {true, 2 * neededHubs, neededHubs + dataCentres*small},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				placed := map[string]uint64{}
				stops := n.startMixedFleet(dataCentres, largePerDataCentre, small, func(vm string, cores float64, h *gossiper.Hooks) {
					of := assessor.New(cores, 0)
					h.Describe = func(m *bluebelldoor.MemberState) {
						n.mu.Lock()
						defer n.mu.Unlock()
						m.Ready = true
						m.UsedCores = of.Update(bluebelldoor.Traffic{Requests: placed[vm], Events: placed[vm] * 50}, time.Duration(time.Now().UnixNano()))
						if c.countExchanges {
							m.UsedCores += n.callRate(vm) * exchangeCost.Seconds()
						}
					}
				})
				defer func() { stopAll(stops) }()
				time.Sleep(5 * time.Second)
				for range seconds * generations {
					hubs := n.vms[firstVM].Hubs()
					hub := hubs[rand.IntN(len(hubs))].Name
					n.mu.Lock()
					placed[hub]++
					n.mu.Unlock()
					n.vms[hub].Trigger()
					time.Sleep(time.Second / generations)
				}
				hubCount := len(n.vms[firstVM].Hubs())
				t.Logf("%d hubs", hubCount)
				assert.Check(t, hubCount >= c.minHubs && hubCount <= c.maxHubs, "%d hubs", hubCount)
			})
		})
	}
}

// TestColdStart starts the large deployment, whose VMs discover each other and become
// ready almost at the same time. All must know the hubs within a second, and few others
// may become hubs meanwhile. Then all hubs fail: others must replace them within two
// seconds after the hubs' timeout.
func TestColdStart(t *testing.T) {
	const readyAfter, spread = 2 * time.Second, 300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		began := time.Now()
		stops := n.startMixedFleet(dataCentres, largePerDataCentre, smallPerDataCentre, func(_ string, _ float64, h *gossiper.Hooks) {
			ready := readyAfter + rand.N(spread)
			h.Describe = func(m *bluebelldoor.MemberState) { m.Ready, m.UsedCores = time.Since(began) >= ready, 0.01 }
		})
		defer func() { stopAll(stops) }()
		time.Sleep(readyAfter)
		highest := n.maxHubs(spread + time.Second)
		assert.Check(t, highest <= 2*neededHubs, "up to %d VMs were hubs at once", highest)
		assert.Check(t, len(n.disagreeing()) == 0, "%d VMs do not agree on the hubs", len(n.disagreeing()))

		time.Sleep(5 * time.Second)
		n.mu.Lock()
		for i := range neededHubs {
			n.partitioned[name(i)] = true
		}
		n.mu.Unlock()
		highest = n.maxHubs(2500*time.Millisecond + 2*time.Second)
		// The partitioned VMs remain hubs in their own view.
		assert.Check(t, highest <= 3*neededHubs, "up to %d VMs were hubs at once", highest)
		assert.Check(t, len(n.disagreeing()) == 0, "%d VMs do not agree on the hubs", len(n.disagreeing()))
		views := map[int]int{}
		for vm, g := range n.vms {
			if !n.partitioned[vm] {
				views[len(g.Hubs())]++
			}
		}
		t.Logf("VMs by the number of hubs that they know: %v; %d hubs", views, n.maxHubs(time.Millisecond))
	})
}

// maxHubs returns the largest number of VMs that are hubs in their own view at once,
// sampled for a time.
func (n *network) maxHubs(within time.Duration) int {
	highest := 0
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		hubCount := 0
		for _, g := range n.vms {
			if g.IsHub() {
				hubCount++
			}
		}
		highest = max(highest, hubCount)
	}
	return highest
}

// disagreeing returns the reachable VMs whose hubs differ from those of the largest group
// of VMs, or all of them if that group does not have neededHubs hubs.
func (n *network) disagreeing() []string {
	views := map[string][]string{}
	for vm, g := range n.vms {
		if !n.partitioned[vm] {
			view := fmt.Sprint(hubNames(g))
			views[view] = append(views[view], vm)
		}
	}
	largest := ""
	for view, vms := range views {
		if len(vms) > len(views[largest]) {
			largest = view
		}
	}
	var out []string
	for view, vms := range views {
		if view != largest || len(hubNames(n.vms[vms[0]])) != neededHubs {
			out = append(out, vms...)
		}
	}
	return out
}

// TestOldNews checks that a state passed on by another VM counts as of the time when the
// member itself sent it. Otherwise the last heartbeat of a dead VM, which arrives late and
// by several paths, would keep it alive and in the directory.
func TestOldNews(t *testing.T) {
	const now = time.Hour
	state := func(heartbeat uint64, age time.Duration) bluebelldoor.MemberState {
		return bluebelldoor.MemberState{Name: "dead", Heartbeat: heartbeat, Hub: true, Ready: true, AgeMs: age.Milliseconds()}
	}
	for name, c := range map[string]struct {
		first, second bluebelldoor.MemberState
		later         time.Duration
		alive         bool
	}{
		"fresh state, a second later":    {state(1, 0), state(2, 0), time.Second, true},
		"old state, a second later":      {state(1, 0), state(2, 2*time.Second), time.Second, true},
		"old state, three seconds later": {state(1, 0), state(2, 2*time.Second), 3 * time.Second, false},
		"old state only, at once":        {state(1, 2*time.Second), state(2, 2*time.Second), 0, true},
		"old state only, a second later": {state(1, 2*time.Second), state(2, 2*time.Second), time.Second, false},
		"too old to be alive":            {state(1, 4*time.Second), state(2, 4*time.Second), 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			table := gossiper.NewTable(bluebelldoor.MemberState{Name: "self"})
			table.Merge("other", []bluebelldoor.MemberState{c.first}, now)
			table.Merge("other", []bluebelldoor.MemberState{c.second}, now)
			alive := table.Alive(now + c.later)
			assert.Equal(t, len(alive) == 2, c.alive)
			if c.alive {
				// A state that is passed on keeps its age.
				assert.Equal(t, alive[0].AgeMs, max(0, min(c.first.AgeMs, c.second.AgeMs))+c.later.Milliseconds())
			}
		})
	}
}

// firstVM is the name of the first VM of a fleet.
var firstVM = name(0)

// startMixedFleet starts a fleet with the given numbers of large and small VMs in each
// data centre.
func (n *network) startMixedFleet(dataCentres, large, small int, change func(vm string, cores float64, h *gossiper.Hooks)) []func() {
	const largeCores, smallCores = 0.8, 0.192
	var stops []func()
	for i := range dataCentres * (large + small) {
		s := vmSpec{fmt.Sprintf("dc-%d", i%dataCentres), smallCores}
		if i < dataCentres*large {
			s.cores = largeCores
		}
		stops = append(stops, n.startWith(i, s, []string{name(0), name(1), name(2)}, func(h *gossiper.Hooks) { change(name(i), s.cores, h) }))
	}
	return stops
}

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

// TestWhoServes plays five data centres with three large VMs each, beside many small
// ones, where each step takes four times as long as usual. What VMs tell each other
// grows with the square of those that serve: where that counts as use, more VMs serve,
// tell each other more, and so on, until all do. Callers' traffic does not grow so.
func TestWhoServes(t *testing.T) {
	const (
		dataCentres, large, small = 5, 3, 15
		generations               = 160 // a second, of all callers
		// exchangeTime is the processor time of one exchange on each side.
		exchangeTime = 1200 * time.Microsecond
		second = 12
	)
	for name, c := range map[string]struct {
		talkCounts bool
		fewest     int
		most       int
	}{
		"callers' traffic":   {false, dataCentres * large, dataCentres * (large + 1)},
		"all processor time": {true, 2 * dataCentres * large, dataCentres * (large + small)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				placed := map[string]uint64{}
				stops := n.sizes(dataCentres, large, small, func(vm string, cores float64, h *gossiper.Hooks) {
					of := assessor.New(cores, 0)
					h.Describe = func(m *bluebelldoor.MemberState) {
						n.mu.Lock()
						defer n.mu.Unlock()
						m.Ready = true
						m.Use = of.Use(bluebelldoor.Traffic{Requests: placed[vm], Events: placed[vm] * 50}, time.Duration(time.Now().UnixNano()))
						if c.talkCounts {
							m.Use += n.callRate(vm) * exchangeTime.Seconds()
						}
					}
				})
				defer func() { stopAll(stops) }()
				time.Sleep(5 * time.Second)
				for range second * generations {
					hubs := n.vms[name0].Hubs()
					hub := hubs[rand.IntN(len(hubs))].Name
					n.mu.Lock()
					placed[hub]++
					n.mu.Unlock()
					n.vms[hub].Hurry()
					time.Sleep(time.Second / generations)
				}
				serving := len(n.vms[name0].Hubs())
				t.Logf("%d VMs serve", serving)
				assert.Check(t, serving >= c.fewest && serving <= c.most, "%d VMs serve", serving)
			})
		})
	}
}

// name0 is the first VM of a fleet.
var name0 = name(0)

// sizes starts a fleet of large and small VMs, so many of each in each data centre.
func (n *network) sizes(dataCentres, large, small int, change func(vm string, cores float64, h *gossiper.Hooks)) []func() {
	const largeCores, smallCores = 0.8, 0.192
	var stops []func()
	for i := range dataCentres * (large + small) {
		s := spec{fmt.Sprintf("dc-%d", i%dataCentres), smallCores}
		if i < dataCentres*large {
			s.cores = largeCores
		}
		stops = append(stops, n.beginWith(i, s, []string{name(0), name(1), name(2)}, func(h *gossiper.Hooks) { change(name(i), s.cores, h) }))
	}
	return stops
}

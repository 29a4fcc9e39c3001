package gossiper_test

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/gossiper"
)

type offsetClock struct{ start time.Time }

func (s offsetClock) Now() time.Duration { return time.Since(s.start) }

// network connects VMs in virtual time and counts the bytes that each sends.
type network struct {
	mu          sync.Mutex
	vms         map[string]*gossiper.Gossiper
	partitioned map[string]bool
	bytes       map[string]int
	// useBytes are those that tell the use of accounts.
	useBytes map[string]int
	// exchanges counts those between two VMs, in either direction, and lastExchange is
	// when the newest was; longestGap is the longest time without one.
	exchanges map[[2]string]int
	// readyAt is when the VMs become ready.
	readyAt time.Time
	log     hclog.Logger
	// multiMember counts messages with states of other members than the sender.
	multiMember  map[string]int
	lastExchange map[[2]string]time.Time
	longestGap   time.Duration
	// calls counts the exchanges of each VM, in either direction, and rates holds
	// their recent rates.
	calls map[string]int
	rates map[string]callRate
}

// callRate is the rate of a VM's exchanges, measured at a time and up to a count.
type callRate struct {
	at        time.Time
	calls     int
	perSecond float64
}

// callRate returns a VM's recent exchanges per second, remeasured at most once a
// second. The caller holds n.mu.
func (n *network) callRate(vm string) float64 {
	r := n.rates[vm]
	if passed := time.Since(r.at); passed >= time.Second {
		r = callRate{time.Now(), n.calls[vm], float64(n.calls[vm]-r.calls) / passed.Seconds()}
		n.rates[vm] = r
	}
	return r.perSecond
}

var errPartitioned = errors.New("partitioned")

// endpoint sends messages on behalf of one VM.
type endpoint struct {
	*network
	name string
}

func (f endpoint) Exchange(ctx context.Context, address string, in *bluebelldoor.ExchangeMessage) (*bluebelldoor.ExchangeMessage, error) {
	f.mu.Lock()
	to, partitioned := f.vms[address], f.partitioned[address] != f.partitioned[f.name]
	f.mu.Unlock()
	if to == nil || partitioned {
		<-ctx.Done()
		return nil, errPartitioned
	}
	time.Sleep(time.Millisecond)
	f.recordExchange(address)
	out := to.Exchange(ctx, in)
	f.countBytes(f.name, in)
	f.countBytes(address, out)
	return out, nil
}

func (f endpoint) recordExchange(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[f.name]++
	f.calls[address]++
	pair := [2]string{min(f.name, address), max(f.name, address)}
	f.exchanges[pair]++
	if at, before := f.lastExchange[pair]; before {
		f.longestGap = max(f.longestGap, time.Since(at))
	}
	f.lastExchange[pair] = time.Now()
}

func (f endpoint) countBytes(name string, message *bluebelldoor.ExchangeMessage) {
	data, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bytes[name] += len(data)
	if len(message.AccountUse) > 0 {
		without := *message
		without.AccountUse = nil
		rest, err := cbor.Marshal(&without)
		if err != nil {
			panic(err)
		}
		f.useBytes[name] += len(data) - len(rest)
	}
	if len(message.Members) > 1 {
		f.multiMember[name]++
	}
}

func (f endpoint) Permit(context.Context, string, *bluebelldoor.PermitRequest) (*bluebelldoor.PermitReply, error) {
	panic("unexpected call of Permit")
}

func (f endpoint) Turn(context.Context, string, *bluebelldoor.TurnRequest) (*bluebelldoor.TurnReply, error) {
	panic("unexpected call of Turn")
}

func (f endpoint) Fetch(context.Context, string, *bluebelldoor.FetchRequest) (*bluebelldoor.FetchReply, error) {
	panic("unexpected call of Fetch")
}

// spec is a VM of a test fleet.
type vmSpec struct {
	dataCentre string
	cores      float64
}

func name(i int) string { return fmt.Sprintf("vm-%02d", i) }

// start starts a VM; its address is its name.
func (n *network) start(i int, s vmSpec, seeds []string, loads []bluebelldoor.TargetLoad) func() {
	return n.startWith(i, s, seeds, func(h *gossiper.Hooks) {
		h.OwnLoads = func() []bluebelldoor.TargetLoad {
			n.mu.Lock()
			g := n.vms[name(i)]
			n.mu.Unlock()
			if g == nil || !g.IsHub() {
				// A standby has little load on targets.
				return loads[:min(len(loads), 2)]
			}
			return loads
		}
	})
}

// startWith starts a VM with hooks that the test changes.
func (n *network) startWith(i int, s vmSpec, seeds []string, change func(*gossiper.Hooks)) func() {
	self := bluebelldoor.MemberState{
		Name: name(i), PeerAddress: name(i), CallerAddress: name(i), DataCentre: s.dataCentre,
		Incarnation: time.Now().UnixMilli(), CapacityCores: s.cores,
	}
	hooks := gossiper.Hooks{
		Describe: func(m *bluebelldoor.MemberState) {
			m.Ready, m.UsedCores = !time.Now().Before(n.readyAt), 0.01
		},
		OwnLoads:       func() []bluebelldoor.TargetLoad { return nil },
		ApplyPeerLoads: func(string, bluebelldoor.LoadDelta) bool { return true },
		Delta: func(context.Context, bluebelldoor.Position, bool, *bluebelldoor.RecordDelta) bluebelldoor.RecordDelta {
			return bluebelldoor.RecordDelta{EvidenceAgeMs: -1}
		},
		ApplyDelta: func(context.Context, bluebelldoor.RecordDelta, time.Duration, bool) {},
	}
	change(&hooks)
	g := gossiper.New(self, seeds, offsetClock{time.Now().Add(-time.Hour)}, endpoint{n, name(i)}, hooks, n.log)
	n.mu.Lock()
	n.vms[name(i)] = g
	n.mu.Unlock()
	return g.Start()
}

func newNetwork() *network {
	return &network{
		vms: map[string]*gossiper.Gossiper{}, partitioned: map[string]bool{}, bytes: map[string]int{}, useBytes: map[string]int{},
		log: hclog.NewNullLogger(), exchanges: map[[2]string]int{}, multiMember: map[string]int{}, lastExchange: map[[2]string]time.Time{},
		calls: map[string]int{}, rates: map[string]callRate{},
	}
}

func (n *network) startFleet(specs []vmSpec, loads []bluebelldoor.TargetLoad) []func() {
	var stops []func()
	seeds := []string{name(0), name(len(specs) / 3), name(2 * len(specs) / 3)}
	for i, s := range specs {
		stops = append(stops, n.start(i, s, seeds, loads))
	}
	return stops
}

// stopAll stops VMs concurrently, so that they need not wait for each other's calls.
func stopAll(stops []func()) {
	var wg sync.WaitGroup
	for _, stop := range stops {
		wg.Go(stop)
	}
	wg.Wait()
}

// dataCentreOf returns the index of the data centre of a VM of a uniform fleet.
func dataCentreOf(vm string, dataCentres int) int {
	var i int
	if _, err := fmt.Sscanf(vm, "vm-%d", &i); err != nil {
		panic(err)
	}
	return i % dataCentres
}

func uniformSpecs(n, dataCentres int) []vmSpec {
	var out []vmSpec
	for i := range n {
		out = append(out, vmSpec{fmt.Sprintf("dc-%d", i%dataCentres), 0.4})
	}
	return out
}

func hubNames(g *gossiper.Gossiper) []string {
	out := map[string]bool{}
	for _, m := range g.Hubs() {
		out[m.Name] = true
	}
	var sorted []string
	for i := range 500 {
		if out[name(i)] {
			sorted = append(sorted, name(i))
		}
	}
	return sorted
}

// TestFindEachOther checks that VMs that know three seeds agree on the hubs.
func TestFindEachOther(t *testing.T) {
	for label, c := range map[string]struct{ n, dataCentres, hubs int }{
		"one":        {1, 1, 1},
		"six":        {6, 3, 6},
		"seven":      {7, 3, 7},
		"thirty":     {30, 3, 9},
		"a hundred":  {100, 5, 15},
		"one centre": {9, 1, 3},
	} {
		t.Run(label, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				stops := n.startFleet(uniformSpecs(c.n, c.dataCentres), nil)
				defer func() { stopAll(stops) }()
				defer stopAll(stops)
				time.Sleep(8 * time.Second)
				want := hubNames(n.vms[name(0)])
				assert.Equal(t, len(want), c.hubs)
				total := 0.0
				for _, g := range n.vms {
					assert.DeepEqual(t, hubNames(g), want)
					total += g.Share()
				}
				assert.Assert(t, total <= 1.001, "the shares add up to %.3f", total)
			})
		})
	}
}

// TestReadyTogether guards against too many hubs when VMs that know each other become
// ready at the same time: without a wait each would become a hub, and read the platform,
// until it learns of the other hubs.
func TestReadyTogether(t *testing.T) {
	const vms, dataCentres, hubs, within = 75, 3, 9, time.Second
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.readyAt = time.Now().Add(3 * time.Second)
		stops := n.startFleet(uniformSpecs(vms, dataCentres), nil)
		defer func() { stopAll(stops) }()
		time.Sleep(3*time.Second + within)
		serving := 0
		for _, g := range n.vms {
			if g.IsHub() {
				serving++
			}
		}
		assert.Check(t, serving <= 2*hubs, "%d hubs", serving)
	})
}

// TestSilent checks that silent members are logged, and that others are not: at the
// start, hubs that are not needed step down, which is no silence.
func TestSilent(t *testing.T) {
	for label, c := range map[string]struct {
		vms  int
		dead int // hubs that are partitioned
	}{
		"nobody, all serve":       {6, 0},
		"nobody, some step back":  {30, 0},
		"one of six":              {6, 1},
		"two of those that serve": {30, 2},
	} {
		t.Run(label, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var out bytes.Buffer
				var mu sync.Mutex
				n := newNetwork()
				n.log = hclog.New(&hclog.LoggerOptions{Output: &out, Mutex: &mu})
				stops := n.startFleet(uniformSpecs(c.vms, 3), nil)
				defer func() { stopAll(stops) }()
				time.Sleep(10 * time.Second)
				dead := hubNames(n.vms[name(0)])[:c.dead]
				n.mu.Lock()
				for _, d := range dead {
					n.partitioned[d] = true
				}
				n.mu.Unlock()
				time.Sleep(10 * time.Second)
				mu.Lock()
				defer mu.Unlock()
				// The partitioned VMs also log the others as silent.
				alive := c.vms - c.dead
				for _, d := range dead {
					assert.Check(t, countLines(out.String(), "members silent", d) >= alive, "%s", d)
				}
				if c.dead == 0 {
					assert.Check(t, countLines(out.String(), "members silent") == 0, "%d lines, of\n%s", countLines(out.String(), "members silent"), out.String())
				}
			})
		})
	}
}

// countLines counts the lines that contain all of the words.
func countLines(log string, words ...string) int {
	n := 0
	for line := range strings.Lines(log) {
		if !slices.ContainsFunc(words, func(w string) bool { return !strings.Contains(line, w) }) {
			n++
		}
	}
	return n
}

// TestLogBounded bounds the lines on members that a large fleet logs while all its VMs
// start at once, and when a data centre fails: at most one line a round on each VM, not
// one for each member.
func TestLogBounded(t *testing.T) {
	const vms, dataCentres, starting, dying = 300, 5, 5 * time.Second, 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		var mu sync.Mutex
		lines := func() int {
			mu.Lock()
			defer mu.Unlock()
			defer out.Reset()
			return countLines(out.String(), "member")
		}
		n := newNetwork()
		n.log = hclog.New(&hclog.LoggerOptions{Output: &out, Mutex: &mu})
		stops := n.startFleet(uniformSpecs(vms, dataCentres), nil)
		defer func() { stopAll(stops) }()
		time.Sleep(starting)
		// Four rounds a second.
		started := lines()
		assert.Check(t, started <= vms*4*int(starting/time.Second), "%d lines at the start", started)
		n.mu.Lock()
		for i := range vms {
			n.partitioned[name(i)] = i%dataCentres == 0
		}
		n.mu.Unlock()
		time.Sleep(dying)
		died := lines()
		assert.Check(t, died <= vms*4*int(dying/time.Second), "%d lines when a data centre fails", died)
		t.Logf("%d lines at the start, %d when a data centre fails", started, died)
	})
}

// TestStandbysKnown checks that each hub knows all members, although a standby contacts
// only hubs of its own data centre.
func TestStandbysKnown(t *testing.T) {
	const vms = 75
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		stops := n.startFleet(uniformSpecs(vms, 3), nil)
		defer func() { stopAll(stops) }()
		time.Sleep(20 * time.Second)
		for vm, g := range n.vms {
			if g.IsHub() {
				assert.Check(t, len(g.Alive()) == vms, "%s knows %d alive", vm, len(g.Alive()))
			}
		}
	})
}

// TestDeadAreForgotten checks that every VM drops dead hubs within the time after which
// the directory must not name them, and that other VMs replace them.
func TestDeadAreForgotten(t *testing.T) {
	const limit = 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		stops := n.startFleet(uniformSpecs(30, 3), nil)
		defer func() { stopAll(stops) }()
		time.Sleep(8 * time.Second)
		dead := hubNames(n.vms[name(0)])[:4]
		n.mu.Lock()
		for _, d := range dead {
			n.partitioned[d] = true
		}
		n.mu.Unlock()
		time.Sleep(limit)
		for vm, g := range n.vms {
			if n.partitioned[vm] {
				continue
			}
			for _, hub := range g.Hubs() {
				assert.Check(t, !n.partitioned[hub.Name], "%s still names %s", vm, hub.Name)
			}
		}
		// Others take over after the hub's timeout, the takeoverDelay and an exchange.
		time.Sleep(3 * time.Second)
		for vm, g := range n.vms {
			if !n.partitioned[vm] {
				assert.Check(t, len(g.Hubs()) >= 9, "%s knows %d hubs", vm, len(g.Hubs()))
			}
		}
		// More VMs than needed may take over; the excess steps down.
		time.Sleep(10 * time.Second)
		for vm, g := range n.vms {
			if !n.partitioned[vm] {
				assert.Check(t, len(g.Hubs()) == 9, "%s knows %d hubs", vm, len(g.Hubs()))
			}
		}
	})
}

// TestCutHeals checks that two partitions of a fleet merge after the network recovers, and
// that VMs do not claim larger shares of the send limits meanwhile.
func TestCutHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		stops := n.startFleet(uniformSpecs(12, 3), nil)
		defer func() { stopAll(stops) }()
		time.Sleep(5 * time.Second)
		n.mu.Lock()
		for i := range 5 {
			n.partitioned[name(i)] = true
		}
		n.mu.Unlock()
		time.Sleep(20 * time.Second)
		share := n.vms[name(0)].Share() + n.vms[name(8)].Share()
		assert.Assert(t, share < 0.5, "in different partitions, two VMs have a share of %.2f", share)
		n.mu.Lock()
		clear(n.partitioned)
		n.mu.Unlock()
		time.Sleep(10 * time.Second)
		want := hubNames(n.vms[name(0)])
		for _, g := range n.vms {
			assert.DeepEqual(t, hubNames(g), want)
		}
	})
}

// TestRestarted checks that a VM rejoins after a restart although its clock shows an
// earlier time than that of its previous process.
func TestRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		stops := n.startFleet(uniformSpecs(6, 3), nil)
		defer func() { stopAll(stops) }()
		time.Sleep(3 * time.Second)
		before := n.vms[name(2)]
		stops[2]()
		// A process with an older incarnation replaces the previous one.
		self := bluebelldoor.MemberState{Name: name(2), PeerAddress: name(2), DataCentre: "dc-2", Incarnation: 5}
		g := gossiper.New(self, []string{name(0)}, offsetClock{time.Now().Add(-time.Hour)}, endpoint{n, name(2)}, gossiper.Hooks{
			Describe:       func(m *bluebelldoor.MemberState) { m.Ready = true },
			OwnLoads:       func() []bluebelldoor.TargetLoad { return nil },
			ApplyPeerLoads: func(string, bluebelldoor.LoadDelta) bool { return true },
			Delta: func(context.Context, bluebelldoor.Position, bool, *bluebelldoor.RecordDelta) bluebelldoor.RecordDelta {
				return bluebelldoor.RecordDelta{EvidenceAgeMs: -1}
			},
			ApplyDelta: func(context.Context, bluebelldoor.RecordDelta, time.Duration, bool) {},
		}, hclog.NewNullLogger())
		n.mu.Lock()
		n.vms[name(2)] = g
		n.mu.Unlock()
		stops[2] = g.Start()
		time.Sleep(5 * time.Second)
		assert.Assert(t, before != g)
		for vm, other := range n.vms {
			assert.Equal(t, len(other.Alive()), 6, vm)
		}
	})
}

func TestNeeded(t *testing.T) {
	hubs := func(n int, dataCentre string, cores, use float64) (out []bluebelldoor.MemberState) {
		for i := range n {
			out = append(out, bluebelldoor.MemberState{
				Name: fmt.Sprintf("%s-%v-%d", dataCentre, cores, i), DataCentre: dataCentre,
				CapacityCores: cores, UsedCores: use, Hub: true, Ready: true,
			})
		}
		return out
	}
	for name, c := range map[string]struct {
		cores  float64
		hub    bool
		others []bluebelldoor.MemberState
		needed bool
	}{
		"nobody else":                     {0.4, false, nil, true},
		"two others":                      {0.4, false, hubs(2, "a", 0.5, 0.01), true},
		"three others":                    {0.4, false, hubs(3, "a", 0.5, 0.01), false},
		"three smaller ones":              {0.4, false, hubs(3, "a", 0.3, 0.01), true},
		"three elsewhere":                 {0.4, false, hubs(3, "b", 0.5, 0.01), true},
		"one much larger":                 {0.2, false, hubs(1, "a", 0.8, 0.01), true},
		"two much larger":                 {0.2, false, hubs(2, "a", 0.8, 0.01), false},
		"three with much work":            {0.4, false, hubs(3, "a", 0.5, 0.2), true},
		"three with some work":            {0.4, false, hubs(3, "a", 0.5, 0.1), false},
		"three with some work, serves":    {0.4, true, hubs(3, "a", 0.5, 0.1), true},
		"three with little work, serves":  {0.4, true, hubs(3, "a", 0.5, 0.05), false},
		"three, and much work in another": {0.4, false, append(hubs(3, "a", 0.5, 0.01), hubs(3, "b", 0.5, 0.3)...), true},
	} {
		t.Run(name, func(t *testing.T) {
			self := bluebelldoor.MemberState{Name: "self", DataCentre: "a", CapacityCores: c.cores, Hub: c.hub, Ready: true}
			assert.Equal(t, gossiper.Needed(self, c.others), c.needed)
		})
	}
}

package limiter_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/limiter"
)

// The users' rule: stableWindow after a target first named its limit, it gets in no
// limitWindow more than limitFactor times what the limit allows plus limitAllowance,
// from VMs that were told toldBefore or longer before. A restart, freeze or cut excuses a
// VM; the tests excuse no freezes and cuts.
const (
	stableWindow   = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitAllowance = 5
	toldBefore     = 500 * time.Millisecond
)

const (
	oneWay         = time.Millisecond
	gossipInterval = 250 * time.Millisecond
	seeds          = 3
	// aliveFor is how long a VM counts as alive after it was last reached.
	aliveFor = 2500 * time.Millisecond
	// changeDelay is how long a lower limit may take to reach all VMs.
	changeDelay = time.Second
)

// fleet is a fleet of limiters in virtual time. Its mutex guards all fields.
type fleet struct {
	t       *testing.T
	mu      sync.Mutex
	start   time.Time
	vms     []*vm
	targets []*target
	// cut tells which VMs can't reach each other.
	cut map[[2]int]bool
}

type vm struct {
	fleet   *fleet
	index   int
	limiter *limiter.Limiter
	running bool
	// reached is when other VMs were last reached; it keeps VMs that are gone.
	reached map[int]time.Duration
	frozen  bool
	// told is when a response first told the VM that a target names a limit, since it
	// last named none.
	told map[*target]time.Duration
}

type target struct {
	instance *bluebelldoor.Instance
	// limits are the limits named from a time on, below 0 for none.
	limits   []limitFrom
	arrivals []arrival
}

type limitFrom struct {
	from      time.Duration
	perSecond float64
}

// arrival is a request that counts for the rule if the VM had been told and the target
// names a limit when it arrives.
type arrival struct {
	at   time.Duration
	told bool
}

func (f *fleet) now() time.Duration { return time.Since(f.start) }

func (f *fleet) reachable(a, b int) bool {
	return f.vms[a].running && f.vms[b].running && !f.vms[a].frozen && !f.vms[b].frozen && !f.cut[[2]int{min(a, b), max(a, b)}]
}

func vmName(i int) string { return fmt.Sprintf("vm-%d", i) }

// Fetch implements bluebelldoor.FleetClient.
func (*vm) Fetch(context.Context, string, *bluebelldoor.FetchRequest) (*bluebelldoor.FetchReply, error) {
	panic("unexpected call of Fetch")
}

// Permit implements bluebelldoor.FleetClient between VMs.
func (v *vm) Permit(ctx context.Context, address string, in *bluebelldoor.PermitRequest) (*bluebelldoor.PermitReply, error) {
	to, err := strconv.Atoi(address)
	if err != nil {
		return nil, errors.Wrap(err, "parse address")
	}
	v.fleet.mu.Lock()
	reachable, grantor := v.fleet.reachable(v.index, to), v.fleet.vms[to].limiter
	v.fleet.mu.Unlock()
	if !reachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(oneWay)
	reply := grantor.Permit(in)
	time.Sleep(oneWay)
	return reply, nil
}

func (v *vm) Exchange(context.Context, string, *bluebelldoor.ExchangeMessage) (*bluebelldoor.ExchangeMessage, error) {
	panic("unexpected call of Exchange")
}

func (v *vm) Turn(context.Context, string, *bluebelldoor.TurnRequest) (*bluebelldoor.TurnReply, error) {
	panic("unexpected call of Turn")
}

// hubs returns the VMs that this one takes to be alive.
func (v *vm) hubs() []bluebelldoor.MemberState {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	var out []bluebelldoor.MemberState
	for i := range v.fleet.vms {
		at, known := v.reached[i]
		if i == v.index || known && v.fleet.now()-at <= aliveFor {
			out = append(out, bluebelldoor.MemberState{Name: vmName(i), PeerAddress: strconv.Itoa(i)})
		}
	}
	return out
}

// known returns how many VMs this one knows, at least those that its seeds name.
func (v *vm) known() float64 {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return float64(max(len(v.reached)+1, min(seeds, len(v.fleet.vms))))
}

// startVM starts a VM that knows nothing, also not of other VMs.
func (f *fleet) startVM(i int) {
	v := &vm{fleet: f, index: i, running: true, reached: map[int]time.Duration{}, told: map[*target]time.Duration{}}
	v.limiter = limiter.New(limiter.Fleet{
		Self: vmName(i), Peers: v, Hubs: v.hubs,
		Coverage:   func() float64 { return float64(len(v.hubs())) / v.known() },
		Share:      func() float64 { return 1 / v.known() },
		Registered: func(bluebelldoor.TargetIncarnation) bool { return true },
		Changed:    func() {},
		Counted:    func(string) {},
	}, clock{f.start}, hclog.NewNullLogger())
	f.vms[i] = v
}

// gossip exchanges limits between each pair of VMs that reach each other. A VM that has
// just started is known to all of them at once, and they to it.
func (f *fleet) gossip() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for a := range f.vms {
		for b := range a {
			if !f.reachable(a, b) {
				continue
			}
			f.vms[a].reached[b], f.vms[b].reached[a] = f.now(), f.now()
			digest, _ := f.vms[b].limiter.Limits(0)
			_, limits := f.vms[a].limiter.Limits(digest)
			f.vms[b].limiter.Merge(vmName(a), limits)
			digest, _ = f.vms[a].limiter.Limits(0)
			_, limits = f.vms[b].limiter.Limits(digest)
			f.vms[a].limiter.Merge(vmName(b), limits)
		}
	}
}

// request sends one request of a VM to a target, if the limiter permits it.
func (f *fleet) request(i int, to *target) {
	f.mu.Lock()
	v := f.vms[i]
	f.mu.Unlock()
	if v.limiter.Remaining(to.instance) > 0 {
		return
	}
	permit, granted := v.limiter.Acquire(f.t.Context(), to.instance)
	if !granted {
		return
	}
	f.awaitThawed(v)
	if !v.limiter.Allows(permit, to.instance) {
		return
	}
	time.Sleep(oneWay)
	said := f.arrive(v, to)
	time.Sleep(oneWay)
	f.awaitThawed(v)
	v.limiter.Observe(to.instance, said)
	f.mu.Lock()
	defer f.mu.Unlock()
	if told, was := v.told[to]; said.Named && (!was || told < to.namedSince()) {
		v.told[to] = f.now()
	}
}

// namedSince returns since when the target has named a limit, without the time before it
// last named none.
func (to *target) namedSince() time.Duration {
	since := time.Duration(-1)
	for _, l := range to.limits {
		switch {
		case l.perSecond < 0:
			since = -1
		case since < 0:
			since = l.from
		}
	}
	return since
}

func (f *fleet) awaitThawed(v *vm) {
	for {
		f.mu.Lock()
		frozen := v.frozen
		f.mu.Unlock()
		if !frozen {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// arrive records a request at a target and returns what the response says.
func (f *fleet) arrive(v *vm, to *target) bluebelldoor.RateLimit {
	f.mu.Lock()
	defer f.mu.Unlock()
	told, was := v.told[to]
	limit := to.limits[len(to.limits)-1].perSecond
	to.arrivals = append(to.arrivals, arrival{f.now(), limit >= 0 && was && told >= to.namedSince() && f.now()-told >= toldBefore})
	return bluebelldoor.RateLimit{Named: limit >= 0, PerSecond: max(0, limit)}
}

// limitIn returns the highest limit named in a span, and whether the rule holds there: the
// target has named a limit all the time, for stableWindow at its end.
func (to *target) limitIn(from, until time.Duration) (float64, bool) {
	highest, namedSince := -1.0, time.Duration(-1)
	for i, l := range to.limits {
		end := until
		if i+1 < len(to.limits) {
			end = min(end, to.limits[i+1].from)
		}
		switch {
		case l.from >= until:
		case l.perSecond < 0:
			namedSince = -1
			if end > from {
				highest = -1
			}
		default:
			if namedSince < 0 {
				namedSince = l.from
			}
			if end > from {
				highest = max(highest, l.perSecond)
			}
		}
	}
	return highest, namedSince >= 0 && until-namedSince >= stableWindow
}

// broken describes the first window in which a target got too many requests, "" if none.
func (to *target) broken() string {
	var window []time.Duration
	for _, a := range to.arrivals {
		if !a.told {
			continue
		}
		window = append(window, a.at)
		for a.at-window[0] > limitWindow {
			window = window[1:]
		}
		limit, holds := to.limitIn(a.at-limitWindow-changeDelay, a.at)
		if allowed := limitFactor*limit*limitWindow.Seconds() + limitAllowance; holds && float64(len(window)) > allowed {
			return fmt.Sprintf("%v: %d requests in %v to %s, which names %v a second; allowed %v", a.at, len(window), limitWindow, to.instance.ID, limit, allowed)
		}
	}
	return ""
}

// history runs a random history and returns the targets. faults are the kinds of faults
// that occur, by name.
func history(t *testing.T, seed uint64, vms int, faults map[string]func(*fleet, *rand.Rand)) []*target {
	const length, load, faultInterval = 40 * time.Second, 250, 1500 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 0))
	f := &fleet{t: t, start: time.Now(), cut: map[[2]int]bool{}, vms: make([]*vm, vms)}
	for i := range f.vms {
		f.startVM(i)
	}
	for i := range 2 {
		f.targets = append(f.targets, &target{
			instance: &bluebelldoor.Instance{ID: fmt.Sprintf("target-%d", i), StartedAt: 1},
			limits:   []limitFrom{{0, randomLimit(random)}},
		})
	}
	var names []string
	for name := range faults {
		names = append(names, name)
	}
	slices.Sort(names)
	f.gossip()
	var background sync.WaitGroup
	background.Go(func() {
		for f.now() < length {
			time.Sleep(gossipInterval)
			f.gossip()
		}
	})
	nextFault := faultInterval
	for f.now() < length {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / load))
		if f.now() > nextFault && len(names) > 0 {
			nextFault += time.Duration((0.3 + random.Float64()) * float64(faultInterval))
			faults[names[random.IntN(len(names))]](f, random)
		}
		// Low numbers get more of the load, as VMs' traffic is uneven.
		i, to := int(float64(vms)*random.Float64()*random.Float64()), f.targets[random.IntN(len(f.targets))]
		background.Go(func() { f.request(i, to) })
	}
	background.Wait()
	return f.targets
}

func randomLimit(random *rand.Rand) float64 {
	return []float64{0, 0.3, 1, 2.7, 6, 15, 25}[random.IntN(7)]
}

// after runs f after a time, unless the history has ended by then.
func (f *fleet) after(d time.Duration, do func()) {
	time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		do()
	})
}

func someTime(random *rand.Rand) time.Duration {
	return time.Second + time.Duration(random.Int64N(int64(5*time.Second)))
}

// cutBetween cuts VMs of different groups off from each other for a while.
func (f *fleet) cutBetween(random *rand.Rand, apart func(a, b int) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cut := map[[2]int]bool{}
	for a := range f.vms {
		for b := range a {
			if apart(a, b) {
				cut[[2]int{b, a}] = true
			}
		}
	}
	f.cut = cut
	f.after(someTime(random), func() { f.cut = map[[2]int]bool{} })
}

// TestLimitHistories checks the rule in random histories of fleets in which VMs restart,
// freeze and are cut off, and limits rise, fall, end and begin. It guards against VMs that
// together send a target more than it accepts because they do not agree on who grants the
// sends, or do not know what others have sent.
func TestLimitHistories(t *testing.T) {
	restart := func(f *fleet, random *rand.Rand) {
		f.mu.Lock()
		defer f.mu.Unlock()
		i := random.IntN(len(f.vms))
		f.vms[i].running = false
		f.after(time.Duration(random.Int64N(int64(2*time.Second))), func() { f.startVM(i) })
	}
	freeze := func(f *fleet, random *rand.Rand) {
		f.mu.Lock()
		defer f.mu.Unlock()
		v := f.vms[random.IntN(len(f.vms))]
		v.frozen = true
		f.after(someTime(random), func() { v.frozen = false })
	}
	cutOff := func(f *fleet, random *rand.Rand) {
		i := random.IntN(len(f.vms))
		f.cutBetween(random, func(a, b int) bool { return a == i || b == i })
	}
	halves := func(f *fleet, random *rand.Rand) {
		f.cutBetween(random, func(a, b int) bool { return a%2 != b%2 })
	}
	bridge := func(f *fleet, random *rand.Rand) {
		f.cutBetween(random, func(a, b int) bool { return a%3 != b%3 && a%3 != 2 && b%3 != 2 })
	}
	change := func(f *fleet, random *rand.Rand) {
		f.mu.Lock()
		defer f.mu.Unlock()
		to, limit := f.targets[random.IntN(len(f.targets))], randomLimit(random)
		if random.IntN(4) == 0 {
			limit = -1
		}
		to.limits = append(to.limits, limitFrom{f.now(), limit})
	}
	type faults = map[string]func(*fleet, *rand.Rand)
	histories := 5
	if v, err := strconv.Atoi(os.Getenv("BLUEBELLDOOR_HISTORIES")); err == nil {
		histories = v
	}
	for name, c := range map[string]struct {
		vms    int
		faults faults
	}{
		"calm":             {7, nil},
		"calm, many VMs":   {30, nil},
		"restarts":         {7, faults{"restart": restart}},
		"freezes":          {7, faults{"freeze": freeze}},
		"cuts":             {7, faults{"cut off": cutOff, "halves": halves, "bridge": bridge}},
		"changes":          {7, faults{"change": change}},
		"all":              {7, faults{"restart": restart, "freeze": freeze, "cut off": cutOff, "halves": halves, "bridge": bridge, "change": change}},
		"all, many VMs":    {30, faults{"restart": restart, "freeze": freeze, "cut off": cutOff, "halves": halves, "bridge": bridge, "change": change}},
		"two VMs, changes": {2, faults{"restart": restart, "cut off": cutOff, "change": change}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(histories) {
				if v, err := strconv.ParseUint(os.Getenv("BLUEBELLDOOR_SEED"), 10, 64); err == nil {
					seed = v
				}
				synctest.Test(t, func(t *testing.T) {
					for _, to := range history(t, seed, c.vms, c.faults) {
						assert.Check(t, to.broken() == "", "seed %d: %s", seed, to.broken())
						if c.faults == nil && to.limits[0].perSecond >= 1 {
							// Limits are there to be used: callers wait for them.
							used := float64(len(to.arrivals)) / (40 * min(30, to.limits[0].perSecond))
							assert.Check(t, used > 0.6, "seed %d: %s got %d requests, %.2f of its limit of %v", seed, to.instance.ID, len(to.arrivals), used, to.limits[0].perSecond)
						}
					}
				})
			}
		})
	}
}

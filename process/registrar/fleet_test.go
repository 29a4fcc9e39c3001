package registrar_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"bluebelldoor"
	"bluebelldoor/process/fetcher"
	"bluebelldoor/process/gossiper"
	"bluebelldoor/process/registrar"
)

const (
	// linkSegment is how many bytes of a message a link carries before another message may
	// pass, and linkLatency the time that a segment takes besides.
	linkSegment = 16 << 10
	linkLatency = 500 * time.Microsecond
	// smallLink, largeLink and storeLink are rates in bytes a second.
	smallLink = 10e6 / 8
	largeLink = 200e6 / 8
	storeLink = 1000e6 / 8
	// storeTimeout is the time after which a VM gives up a read of the store.
	storeTimeout = 800 * time.Millisecond
)

var errNoPath = errors.New("no path")

// fleetLink is one direction of a VM's link: it carries segments in the order in which they
// come, at its rate.
type fleetLink struct {
	rate float64

	mu     sync.Mutex
	freeAt time.Time
	// bytes counts by the second since the link was made.
	madeAt time.Time
	bytes  map[int]int
}

func newFleetLink(rate float64) *fleetLink {
	return &fleetLink{rate: rate, madeAt: time.Now(), bytes: map[int]int{}}
}

func (l *fleetLink) carry(n int) {
	l.mu.Lock()
	l.freeAt = time.Now().Add(max(0, time.Until(l.freeAt)) + time.Duration(float64(n)/l.rate*float64(time.Second)))
	l.bytes[int(time.Until(l.freeAt)/time.Second)+int(time.Since(l.madeAt)/time.Second)] += n
	wait := time.Until(l.freeAt)
	l.mu.Unlock()
	time.Sleep(wait)
}

// total returns the bytes carried and the most in a second.
func (l *fleetLink) total() (sum, most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.bytes {
		sum, most = sum+n, max(most, n)
	}
	return sum, most
}

// transfer carries a message over two links. What has been carried of a message whose
// context ends is lost.
func transfer(ctx context.Context, up, down *fleetLink, size int) error {
	for ; size > 0; size -= linkSegment {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		n := min(size, linkSegment)
		up.carry(n)
		time.Sleep(linkLatency)
		down.carry(n)
	}
	return ctx.Err()
}

// fleetVM is a VM of a fleet, with its link.
type fleetVM struct {
	*registrar.Registrar
	name      string
	fleet     *fleet
	gossip    *gossiper.Gossiper
	values    *fetcher.Fetcher
	up, down  *fleetLink
	startedAt time.Time
	dead      atomic.Bool
	// turnedAway is set if the store does not answer the VM, and isolated if no peer does.
	turnedAway, isolated atomic.Bool
	// stoppedUntil is until when the process stands still, in Unix milliseconds.
	stoppedUntil atomic.Int64
	// reads counts the calls that the store has answered.
	reads atomic.Int64
	stop  func()
}

// fleet runs the gossipers and registrars of VMs in virtual time, over links that have a
// rate and a queue.
type fleet struct {
	store       *catalogue
	storeUplink *fleetLink
	clock       *fakeClock
	seeds       []string
	options     []registrar.Option
	// hangs is set if the store does not answer until the time-out of a read.
	hangs atomic.Bool

	mu  sync.Mutex
	vms map[string]*fleetVM
}

func newFleet() *fleet {
	return &fleet{store: newCatalogue(), storeUplink: newFleetLink(storeLink), clock: &fakeClock{start: time.Now()}, vms: map[string]*fleetVM{}}
}

// all returns the VMs that run, by name.
func (f *fleet) all() []*fleetVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*fleetVM
	for _, v := range f.vms {
		if !v.dead.Load() {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b *fleetVM) int { return strings.Compare(a.name, b.name) })
	return out
}

// start starts a VM with a link of the given rate.
func (f *fleet) start(name string, dataCentre int, rate float64) {
	v := &fleetVM{name: name, fleet: f, up: newFleetLink(rate), down: newFleetLink(rate), startedAt: time.Now()}
	cores := 0.192
	if rate > smallLink {
		cores = 0.8
	}
	v.values = fetcher.New(fetcher.Fleet{Address: name, Peers: fleetPeers{v}, Sources: func() []string { return v.gossip.NearestPeers() }}, f.clock,
		func(reference bluebelldoor.ValueReference, value []byte) {
			v.Deliver(context.Background(), reference, value)
		},
		hclog.NewNullLogger(), fetcher.WithLink(rate))
	v.Registrar = registrar.New(linkedStore{v}, f.clock, registrar.Role{
		ReadsForPeers: func() bool { return v.gossip.ReadsPlatform() },
		Standby:       func() bool { return !v.gossip.IsHub() },
		Changed:       func() { v.gossip.Trigger() },
	}, hclog.NewNullLogger(), append([]registrar.Option{registrar.WithValues(v.values)}, f.options...)...)
	v.gossip = gossiper.New(bluebelldoor.MemberState{
		Name: name, Incarnation: time.Now().UnixMilli(), DataCentre: fmt.Sprintf("dc%d", dataCentre), PeerAddress: name, CapacityCores: cores,
	}, f.seeds, f.clock, fleetPeers{v}, gossiper.Hooks{
		Describe: func(s *bluebelldoor.MemberState) {
			s.Ready = v.View().Routing() != nil
			p := v.Position()
			s.Era, s.Revision = p.Era, p.Revision
			s.Fetches = true
			s.PlatformLost = v.PlatformLost()
		},
		OwnLoads:       func() []bluebelldoor.TargetLoad { return nil },
		ApplyPeerLoads: func(string, bluebelldoor.LoadDelta) bool { return true },
		Delta:          v.Delta,
		ApplyDelta:     v.ApplyDelta,
	}, hclog.NewNullLogger())
	f.mu.Lock()
	f.vms[name] = v
	f.mu.Unlock()
	stops := []func(){v.values.Start(), v.Start(), v.gossip.Start()}
	v.stop = func() {
		v.dead.Store(true)
		for _, stop := range stops {
			stop()
		}
	}
}

// awaitRunning returns once the process does not stand still.
func (v *fleetVM) awaitRunning() { time.Sleep(time.Until(time.UnixMilli(v.stoppedUntil.Load()))) }

func (f *fleet) stopAll() {
	var done sync.WaitGroup
	for _, v := range f.all() {
		done.Go(v.stop)
	}
	done.Wait()
}

// startAll starts large and small VMs, spread over data centres.
func (f *fleet) startAll(dataCentres, large, small int) {
	for i := range min(3, large+small) {
		f.seeds = append(f.seeds, vmName(i))
	}
	for i := range large + small {
		rate := smallLink
		if i < large {
			rate = largeLink
		}
		f.start(vmName(i), i%dataCentres, rate)
	}
}

func vmName(i int) string { return fmt.Sprintf("vm-%03d", i) }

// fleetPeers sends messages on behalf of a VM.
type fleetPeers struct{ *fleetVM }

func callFleet[In, Out any](ctx context.Context, v *fleetVM, address string, in *In, handle func(*fleetVM, *In) *Out) (*Out, error) {
	v.fleet.mu.Lock()
	to := v.fleet.vms[address]
	v.fleet.mu.Unlock()
	v.awaitRunning()
	if to == nil || to.dead.Load() || v.dead.Load() || to.isolated.Load() || v.isolated.Load() {
		<-ctx.Done()
		return nil, errNoPath
	}
	if err := transfer(ctx, v.up, to.down, size(in)); err != nil {
		return nil, err
	}
	to.awaitRunning()
	out := handle(to, in)
	err := transfer(ctx, to.up, v.down, size(out))
	v.awaitRunning()
	return out, err
}

// size returns the bytes of a message on the wire.
func size(message any) int {
	data, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	return len(data) + 100
}

func (p fleetPeers) Exchange(ctx context.Context, address string, in *bluebelldoor.ExchangeMessage) (*bluebelldoor.ExchangeMessage, error) {
	return callFleet(ctx, p.fleetVM, address, in, func(to *fleetVM, in *bluebelldoor.ExchangeMessage) *bluebelldoor.ExchangeMessage {
		return to.gossip.Exchange(ctx, in)
	})
}

func (p fleetPeers) Fetch(ctx context.Context, address string, in *bluebelldoor.FetchRequest) (*bluebelldoor.FetchReply, error) {
	return callFleet(ctx, p.fleetVM, address, in, func(to *fleetVM, in *bluebelldoor.FetchRequest) *bluebelldoor.FetchReply { return to.values.Fetch(in) })
}

func (p fleetPeers) Permit(context.Context, string, *bluebelldoor.PermitRequest) (*bluebelldoor.PermitReply, error) {
	panic("unexpected call of Permit")
}

func (p fleetPeers) Turn(context.Context, string, *bluebelldoor.TurnRequest) (*bluebelldoor.TurnReply, error) {
	panic("unexpected call of Turn")
}

// linkedStore is the store as a VM reaches it over its link. Values are sent as base64.
type linkedStore struct{ *fleetVM }

func (s linkedStore) Read(ctx context.Context) (bluebelldoor.CatalogueReply, error) {
	return s.receive(ctx, func() (bluebelldoor.CatalogueReply, error) { return s.fleet.store.Read(ctx) })
}

func (s linkedStore) Watch(ctx context.Context, after bluebelldoor.Position, wait time.Duration) (bluebelldoor.CatalogueReply, error) {
	return s.receive(ctx, func() (bluebelldoor.CatalogueReply, error) { return s.fleet.store.Watch(ctx, after, wait) })
}

func (s linkedStore) Decode(r bluebelldoor.Record) bluebelldoor.Change {
	return s.fleet.store.Decode(r)
}

func (s linkedStore) receive(ctx context.Context, call func() (bluebelldoor.CatalogueReply, error)) (bluebelldoor.CatalogueReply, error) {
	s.awaitRunning()
	switch {
	case s.turnedAway.Load():
		return bluebelldoor.CatalogueReply{}, errNoPath
	case s.fleet.hangs.Load():
		time.Sleep(storeTimeout)
		return bluebelldoor.CatalogueReply{}, errNoPath
	}
	out, err := call()
	s.awaitRunning()
	if err != nil {
		return out, err
	}
	s.reads.Add(1)
	bytes := 200
	for _, r := range out.Records {
		bytes += 150 + len(r.Key) + (len(r.Value)+2)/3*4
	}
	return out, transfer(ctx, s.fleet.storeUplink, s.down, bytes)
}

// routingText returns the value of a routing with a number of routes, as the platform's
// operators write it. The routes of a shorter text begin that of a longer one.
func routingText(version, routes int) string {
	random := rand.New(rand.NewPCG(1, 2))
	var out strings.Builder
	fmt.Fprintf(&out, "v%d\n", version)
	for range routes {
		fmt.Fprintf(&out, `{"name":"r-%08x","host":"%05x%d.example","prefix":"/%08x/","kind":"unsafe","split":[{"service":"filing-app","weight":100}],"timeout_ms":1500,"max_attempts":1,"slo_ms":300,"priority":2},`,
			random.Uint32(), random.Uint32N(math.MaxUint16), random.IntN(100), random.Uint32())
	}
	return out.String()
}

// storm is a series of changes that add many routes, with what happens beside it.
type storm struct {
	dataCentres, large, small int
	// changes are a second apart. Each adds routes.
	changes, routes int
	// loseHub kills a hub right after the first change, and join is how many VMs start then.
	loseHub bool
	join    int
	// turnedAway is how many small VMs the store never answers. If there are any, it also stops
	// answering the VM that reads on behalf of its peers, before the first change.
	turnedAway int
	// turnAwayReader lets the store no longer answer the VM that reads on behalf of its peers,
	// right after the first change.
	turnAwayReader bool
	// drainEvery is the time between two announcements of targets that leave.
	drainEvery time.Duration
}

const (
	stormTargets = 60
	// settleTime is the time from the start of the VMs to the first change.
	settleTime = 12 * time.Second
	// stormLength is how long VMs are watched, from the first change.
	stormLength = 8 * time.Second
	// watchInterval is the time between two checks of all VMs.
	watchInterval = 50 * time.Millisecond
)

// play plays a storm and calls watch with the time since the first change, every
// watchInterval.
func (s storm) play(t *testing.T, watch func(f *fleet, since time.Duration)) *fleet {
	t.Helper()
	f := newFleet()
	f.store.put("config", routingText(1, s.routes/10))
	for i := range stormTargets {
		f.store.put(fmt.Sprintf("t/%d", i), "ready/1")
	}
	f.startAll(s.dataCentres, s.large, s.small)
	for _, v := range f.all()[s.large : s.large+s.turnedAway] {
		v.turnedAway.Store(true)
	}
	time.Sleep(settleTime / 2)
	if s.turnedAway > 0 {
		f.turnAwayReader()
	}
	time.Sleep(settleTime / 2)
	drained := 0
	begin := time.Now()
	for since := time.Duration(0); since < stormLength; since = time.Since(begin) {
		if i := int(since / time.Second); i < s.changes && since%time.Second < watchInterval {
			f.store.put("config", routingText(i+2, (i+1)*s.routes+s.routes/10))
		}
		if s.drainEvery > 0 && drained < stormTargets && since >= time.Duration(drained)*s.drainEvery {
			f.store.put(fmt.Sprintf("t/%d", drained), "draining/1")
			drained++
		}
		if since >= 200*time.Millisecond && since < 200*time.Millisecond+watchInterval {
			s.disturb(f)
		}
		watch(f, since)
		time.Sleep(watchInterval - time.Since(begin)%watchInterval)
	}
	f.stopAll()
	return f
}

// turnAwayReader lets the store no longer answer the VMs that read on behalf of their peers.
func (f *fleet) turnAwayReader() {
	for _, v := range f.all() {
		if v.gossip.ReadsPlatform() {
			v.turnedAway.Store(true)
		}
	}
}

// disturb loses a hub that does not read for its peers, and starts VMs.
func (s storm) disturb(f *fleet) {
	if s.turnAwayReader {
		f.turnAwayReader()
	}
	for _, v := range slices.Backward(f.all()) {
		if s.loseHub && v.gossip.IsHub() && !v.gossip.ReadsPlatform() {
			v.dead.Store(true)
			go v.stop()
			break
		}
	}
	for i := range s.join {
		f.start(vmName(s.large+s.small+i), i%s.dataCentres, smallLink)
	}
}

package gossiper

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebelldoor"
	"bluebelldoor/process/pacer"
)

const (
	// round is the time between two heartbeats.
	round = 250 * time.Millisecond
	// soonest is the least time between two rounds that are asked for.
	soonest = 15 * time.Millisecond
	// leafRounds is how many rounds pass between two questions of a VM that
	// stands by to one that serves.
	leafRounds = 3
	// fullEvery is the time between two tellings of other members to the VMs that
	// serve, four rounds less some, for rounds are not exact; changes are told
	// at once.
	fullEvery = 900 * time.Millisecond
	// settleRounds is how many rounds after a change those who ask are told of
	// all members.
	settleRounds = 12
	// reviveEvery is the time between two tries to reach seeds that are not
	// known and members that have fallen silent.
	reviveEvery = 900 * time.Millisecond
	// heardLately is the time after a peer's own message in which it is not told
	// in a heartbeat: the answer to it has said the same. It is a little less than
	// a round, for rounds are not exact.
	heardLately = 200 * time.Millisecond
	// exchangeTimeout bounds one exchange; a peer that is cut off says nothing.
	exchangeTimeout = 500 * time.Millisecond
	// fanOut is how many peers are told in a round; up to that many VMs that
	// serve tell each other directly. Of more, those of the own data centre go
	// first: work goes to near targets.
	fanOut = 16
	// soonestTakeover and longestTakeover bound how long a VM that is missing among
	// those that serve waits for one that goes before it, which may have noticed as
	// much later as it asks less often than in each round.
	soonestTakeover = (leafRounds + 1) * round
	longestTakeover = 2 * soonestTakeover
	// hubShare is the part of what all VMs may send that belongs to those that
	// serve; the rest is for those that stand by.
	hubShare = 0.8
)

// Hooks join a gossiper to the rest of the process.
type Hooks struct {
	// Describe brings what the VM says of itself up to date, once a round.
	Describe func(*bluebelldoor.MemberState)
	// Loads returns what the VM has on the targets.
	Loads func() []bluebelldoor.TargetLoad
	// Told takes a peer's loads, and reports whether it could: those that changed
	// are of no use without the others. It must not call the gossiper.
	Told func(peer string, news bluebelldoor.LoadDelta) bool
	// Delta returns what a peer that holds a revision lacks, everything only if
	// the whole is wanted.
	Delta func(ctx context.Context, after uint64, whole bool) bluebelldoor.RecordDelta
	// Receive takes news of a peer, which answered a question asked at asked or
	// was not asked.
	Receive func(ctx context.Context, news bluebelldoor.RecordDelta, asked time.Duration, answer bool)
}

// Gossiper keeps one VM's membership. It is safe for concurrent use.
type Gossiper struct {
	clock bluebelldoor.Clock
	peers bluebelldoor.FleetPeers
	seeds []string
	log   hclog.Logger
	hooks Hooks
	pacer *pacer.Pacer
	state atomic.Pointer[state]

	exchanges sync.WaitGroup

	mu      sync.Mutex
	table   *Table
	pending map[string]bool
	noted   map[string]bool
	loads   *loadLog
	// heard is when a peer last told this VM by itself, of those that did of late.
	heard map[string]time.Duration
	// changed is the round in which the members that are alive, or those that
	// serve, last changed.
	changed uint64
	// lastFull is when those that serve were last told of other members.
	lastFull time.Duration
	// lastRevive is when seeds and silent members were last tried.
	lastRevive time.Duration
	// told is the largest number of members that a peer has told of.
	told int
	// neededSince is since when the VM has been missing among those that serve, 0 if
	// it is not, and takeoverDelay how long it waits for another to step in.
	neededSince   time.Duration
	takeoverDelay time.Duration
	// steppedBack is the round in which the VM last ceased to serve, 0 if it never
	// did.
	steppedBack uint64
}

// New returns a gossiper for the VM that says self of itself.
func New(self bluebelldoor.MemberState, seeds []string, clock bluebelldoor.Clock, peers bluebelldoor.FleetPeers, hooks Hooks, log hclog.Logger) *Gossiper {
	g := &Gossiper{
		clock:   clock,
		peers:   peers,
		seeds:   seeds,
		log:     log,
		hooks:   hooks,
		table:   NewTable(self),
		pending: map[string]bool{},
		noted:   map[string]bool{},
		loads:   newLoadLog(),
		heard:   map[string]time.Duration{},
		pacer:   pacer.New(round, soonest),
	}
	g.publish()
	return g
}

// Hurry starts the next round at once.
func (g *Gossiper) Hurry() { g.pacer.Hurry() }

// Start begins the rounds; the clean-up function ends them.
func (g *Gossiper) Start() func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.pacer.Run(ctx, func(hurried bool) { g.beat(ctx, hurried) })
	}()
	return func() {
		cancel()
		<-done
		g.exchanges.Wait()
	}
}

// recipient is a peer that is told in a round; the first of the members is the VM
// itself.
type recipient struct {
	// name is empty for a seed that is not known.
	name     string
	address  string
	revision uint64
	members  []bluebelldoor.MemberState
}

// beat tells peers of this VM; hurried tells that it has news.
func (g *Gossiper) beat(ctx context.Context, hurried bool) {
	g.mu.Lock()
	g.table.Beat(g.hooks.Describe)
	g.loads.update(g.hooks.Loads(), g.table.Self().Heartbeat)
	g.publish()
	var to []recipient
	for _, r := range g.recipients(hurried) {
		if !g.pending[r.address] {
			g.pending[r.address] = true
			to = append(to, r)
		}
	}
	g.mu.Unlock()
	for _, r := range to {
		g.exchanges.Go(func() { g.exchange(ctx, r) })
	}
}

// recipients returns the peers of this round. A mutex is held.
func (g *Gossiper) recipients(hurried bool) []recipient {
	beat, s := g.table.Self().Heartbeat, g.state.Load()
	alone := []bluebelldoor.MemberState{g.table.Self()}
	var out []recipient
	switch {
	case s.isHub || g.steppedBack > 0 && beat-g.steppedBack < 2:
		out = g.fromHub(s, hurried)
	case g.neededSince > 0:
		near, _ := g.split(first(g.table.Able(g.clock.Now())))
		for _, m := range near {
			out = g.add(out, m, alone)
		}
	case beat%leafRounds == 0 || beat-g.changed < 2:
		if hub := g.nearHub(s.hubs, beat/leafRounds); hub != nil {
			out = g.add(out, *hub, alone)
		}
	}
	// While members come and go, parts of a fleet are finding each other.
	if now := g.clock.Now(); now-g.lastRevive >= reviveEvery || beat-g.changed < settleRounds {
		g.lastRevive = now
		out = append(out, g.revive(s)...)
	}
	return out
}

// add returns the recipients and a member, unless that is the VM itself.
func (g *Gossiper) add(to []recipient, m bluebelldoor.MemberState, members []bluebelldoor.MemberState) []recipient {
	if m.PeerAddress == g.table.Self().PeerAddress {
		return to
	}
	return append(to, recipient{m.Name, m.PeerAddress, m.Revision, members})
}

// fromHub returns whom a VM that serves tells in a round. A mutex is held.
func (g *Gossiper) fromHub(s *state, hurried bool) []recipient {
	now := g.clock.Now()
	changed := g.table.Self().Heartbeat-g.changed < 2
	full := now-g.lastFull >= fullEvery || changed
	to, members := g.hubsToTell(s.hubs, hurried, full), []bluebelldoor.MemberState{g.table.Self()}
	if full {
		g.lastFull = now
		members = g.vouched(s, now)
		to = append(to, g.notServing(s, now)...)
	}
	var out []recipient
	for _, m := range to {
		if changed && g.table.Knows(m.Name) < s.known {
			// Parts of a fleet that find each other learn of all at once.
			out = g.add(out, m, g.all())
		} else {
			out = g.add(out, m, members)
		}
	}
	return out
}

// notServing returns the members that are the first to serve and that are not known
// to: they may have stepped in, and know of no others either. A mutex is held.
func (g *Gossiper) notServing(s *state, now time.Duration) []bluebelldoor.MemberState {
	return slices.DeleteFunc(first(g.table.Able(now)), func(m bluebelldoor.MemberState) bool { return has(s.hubs, m.Name) })
}

// hubsToTell returns which of those that serve are told in a round, fanOut of them
// at most. A mutex is held.
func (g *Gossiper) hubsToTell(all []bluebelldoor.MemberState, hurried, full bool) []bluebelldoor.MemberState {
	hubs := slices.Clone(all)
	if !hurried && !full {
		hubs = g.notHeard(hubs)
	}
	if len(all) <= fanOut {
		return hubs
	}
	near, far := g.split(hubs)
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	if hurried && !full {
		// Those elsewhere hear in the regular rounds.
		far = nil
	}
	hubs = append(near, far...)
	return hubs[:min(len(hubs), fanOut)]
}

// split returns the members of the own data centre, and the others.
func (g *Gossiper) split(members []bluebelldoor.MemberState) (near, far []bluebelldoor.MemberState) {
	for _, m := range members {
		if m.DataCentre == g.table.Self().DataCentre {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	return near, far
}

// notHeard returns those that have not told this VM of late. Of two VMs that
// serve one tells the other so, and has its answer. A mutex is held.
func (g *Gossiper) notHeard(hubs []bluebelldoor.MemberState) []bluebelldoor.MemberState {
	now := g.clock.Now()
	maps.DeleteFunc(g.heard, func(_ string, at time.Duration) bool { return now-at >= heardLately })
	return slices.DeleteFunc(hubs, func(m bluebelldoor.MemberState) bool {
		_, lately := g.heard[m.Name]
		return lately
	})
}

// nearHub returns a VM that serves, of the own data centre first; n chooses
// another each time.
func (g *Gossiper) nearHub(hubs []bluebelldoor.MemberState, n uint64) *bluebelldoor.MemberState {
	near, _ := g.split(hubs)
	if len(near) == 0 {
		near = hubs
	}
	if len(near) == 0 {
		return nil
	}
	return &near[n%uint64(len(near))]
}

// revive returns seeds that are not alive, one member that has fallen silent,
// and any one that is alive: parts of a fleet that know little of each other,
// after a start or a cut, find together so.
func (g *Gossiper) revive(s *state) []recipient {
	if !s.isHub && len(s.hubs) > 0 {
		return nil
	}
	known := map[string]bool{g.table.Self().PeerAddress: true}
	for _, m := range s.alive {
		known[m.PeerAddress] = true
	}
	var out []recipient
	for _, seed := range g.seeds {
		if !known[seed] {
			out = append(out, recipient{"", seed, 0, g.all()})
		}
	}
	out = g.try(out, s, s.alive)
	return g.try(out, s, g.table.Silent(g.clock.Now()))
}

// try returns the recipients and one of the members at random, if there is any.
func (g *Gossiper) try(to []recipient, s *state, members []bluebelldoor.MemberState) []recipient {
	if len(members) == 0 {
		return to
	}
	m := members[rand.IntN(len(members))]
	if g.table.Knows(m.Name) < s.known {
		return g.add(to, m, g.all())
	}
	return g.add(to, m, []bluebelldoor.MemberState{g.table.Self()})
}

// all returns every member that is alive, the VM itself first.
func (g *Gossiper) all() []bluebelldoor.MemberState { return g.selfFirst(g.state.Load().alive) }

// vouched returns those that serve and those that this VM has heard from
// themselves of late. Who stands by is told of by the VMs that it asks.
func (g *Gossiper) vouched(s *state, now time.Duration) []bluebelldoor.MemberState {
	out := g.serving(s, now)
	for _, m := range g.table.Direct(now) {
		if !serves(m) && !has(out, m.Name) {
			out = append(out, m)
		}
	}
	return out
}

// serving returns the VM itself, those that serve and those that stepped back of late.
func (g *Gossiper) serving(s *state, now time.Duration) []bluebelldoor.MemberState {
	out := g.selfFirst(s.hubs)
	for _, m := range g.table.Turned(now) {
		if !has(out, m.Name) {
			out = append(out, m)
		}
	}
	return out
}

// selfFirst returns states, that of the VM itself first.
func (g *Gossiper) selfFirst(states []bluebelldoor.MemberState) []bluebelldoor.MemberState {
	self := g.table.Self()
	out := []bluebelldoor.MemberState{self}
	for _, s := range states {
		if s.Name != self.Name {
			out = append(out, s)
		}
	}
	return out
}

func (g *Gossiper) exchange(ctx context.Context, to recipient) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	g.mu.Lock()
	message := g.message(to.name, to.members)
	g.mu.Unlock()
	message.Delta = g.hooks.Delta(ctx, to.revision, false)
	asked := g.clock.Now()
	reply, err := g.peers.Exchange(ctx, to.address, message)
	g.mu.Lock()
	delete(g.pending, to.address)
	g.mu.Unlock()
	if err != nil {
		g.log.Debug("peer did not answer", "peer", to.address, "error", err)
		return
	}
	g.merge(reply)
	g.hooks.Receive(ctx, reply.Delta, asked, true)
}

// message returns a message on members, the VM itself first, with those of its
// loads that the peer lacks. A mutex is held.
func (g *Gossiper) message(peer string, members []bluebelldoor.MemberState) *bluebelldoor.ExchangeMessage {
	self := g.table.Self()
	held, of := g.table.Held(peer)
	out := &bluebelldoor.ExchangeMessage{
		From:    self.Name,
		Members: append([]bluebelldoor.MemberState{self}, members[1:]...),
		Known:   g.state.Load().known,
		Held:    held,
		HeldOf:  of,
	}
	if m := g.table.members[peer]; m == nil || serves(m.state) || !self.Hub {
		// A VM that stands by places next to nothing.
		news := g.loads.after(g.table.Holds(peer))
		out.Loads = &news
	}
	return out
}

// merge takes what a peer says of members. Loads are taken under the mutex, for
// changes must not overtake each other.
func (g *Gossiper) merge(in *bluebelldoor.ExchangeMessage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.table.Merge(in.From, in.Members, g.clock.Now()) && in.Loads != nil {
		g.table.HearLoads(in.From, *in.Loads, g.hooks.Told)
	}
	g.told = max(g.told, in.Known)
	if in.HeldOf != g.table.Self().Incarnation {
		in.Held = 0
	}
	g.table.Hold(in.From, in.Held, in.Known)
}

// answerTo returns the members that a peer is told of in answer. A mutex is held.
func (g *Gossiper) answerTo(peer string, known bool) []bluebelldoor.MemberState {
	s := g.state.Load()
	settling := g.table.Self().Heartbeat-g.changed < settleRounds
	switch {
	case !known, settling && g.table.Knows(peer) < s.known:
		return g.all()
	case has(s.hubs, peer) && !settling:
		return []bluebelldoor.MemberState{g.table.Self()}
	}
	return g.serving(s, g.clock.Now())
}

// Exchange answers a peer: one that serves is told of the VM itself, one that
// stands by of all that serve, one that is not known yet of all, and so is each
// for a while after a change.
func (g *Gossiper) Exchange(ctx context.Context, in *bluebelldoor.ExchangeMessage) *bluebelldoor.ExchangeMessage {
	g.mu.Lock()
	known := g.table.members[in.From] != nil
	g.heard[in.From] = g.clock.Now()
	g.mu.Unlock()
	g.merge(in)
	g.hooks.Receive(ctx, in.Delta, 0, false)
	g.mu.Lock()
	out := g.message(in.From, g.answerTo(in.From, known))
	g.mu.Unlock()
	out.Delta = g.hooks.Delta(ctx, in.Delta.Revision, in.Delta.Want)
	return out
}

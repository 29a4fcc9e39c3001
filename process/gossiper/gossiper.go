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
	"bluebelldoor/process/dater"
	"bluebelldoor/process/pacer"
)

const (
	// roundInterval is the time between two heartbeats.
	roundInterval = 250 * time.Millisecond
	// minRoundInterval is the minimum time between two rounds that Trigger requests.
	minRoundInterval = 15 * time.Millisecond
	// standbyRounds is how many rounds pass between two messages of a standby to a
	// hub.
	standbyRounds = 3
	// fullInterval is the time between two sends of other members' states to the
	// hubs: slightly less than four rounds, because the timing of rounds is not
	// exact. Changes are sent at once.
	fullInterval = 900 * time.Millisecond
	// settleRounds is how many rounds after a membership change replies carry all
	// members to peers that know fewer, and each round tries to rejoin.
	settleRounds = 12
	// rejoinInterval is the time between two attempts to reach unknown seeds and
	// silent members.
	rejoinInterval = 900 * time.Millisecond
	// skipAfterMessage is the time after a peer's message in which heartbeats skip
	// that peer: the reply already carried this VM's state. It is slightly less than
	// a round, because the timing of rounds is not exact.
	skipAfterMessage = 200 * time.Millisecond
	// exchangeTimeout bounds one exchange; a partitioned peer does not answer.
	exchangeTimeout = 500 * time.Millisecond
	// maxPages bounds the messages that fetch the changes that did not fit into one.
	maxPages = 64
	// fanOut is the maximum number of hubs that get a message in a round. With more
	// hubs, those of the own data centre go first: work goes to near targets.
	fanOut = 16
	// minTakeoverDelay and maxTakeoverDelay bound how long a VM that is needed as a
	// hub waits for a higher-ranked one to take over. That one may notice later, as
	// a standby contacts a hub only every standbyRounds rounds.
	minTakeoverDelay = (standbyRounds + 1) * roundInterval
	maxTakeoverDelay = 2 * minTakeoverDelay
	// hubShare is the part of the fleet-wide send limits that belongs to the hubs;
	// the rest is for the standbys.
	hubShare = 0.8
	// fleetKnownAfter is how long after its start a VM uses none of the fleet-wide send limits:
	// until peers have told it how many members there are.
	fleetKnownAfter = 4 * roundInterval
	// lateAfter is from what wait on a message counts as late.
	lateAfter = 500 * time.Millisecond
	// maxClock bounds the clock of a peer.
	maxClock = 100 * 365 * 24 * time.Hour
)

// Hooks connect a gossiper to the rest of the process.
type Hooks struct {
	// Describe updates the VM's own state, once a round.
	Describe func(*bluebelldoor.MemberState)
	// OwnLoads returns the VM's own loads on the targets.
	OwnLoads func() []bluebelldoor.TargetLoad
	// ApplyPeerLoads applies a peer's loads, and reports whether it could: a delta can't be
	// applied without the loads before it. It must not call the gossiper.
	ApplyPeerLoads func(peer string, delta bluebelldoor.LoadDelta) bool
	// Delta returns the records after a position, with references to large values if the
	// peer accepts them. In a reply, request is the peer's delta, which may ask for more.
	Delta func(ctx context.Context, after bluebelldoor.Position, references bool, request *bluebelldoor.RecordDelta) bluebelldoor.RecordDelta
	// ApplyDelta processes a peer's records. If reply is set, they came in the reply to a
	// message that was sent at sentAt.
	ApplyDelta func(ctx context.Context, delta bluebelldoor.RecordDelta, sentAt time.Duration, reply bool)
	// Limits returns the digest of the limits of targets that the VM knows, and the limits
	// for a peer that has the given digest. It must not call the gossiper. If it is nil, no
	// limits are exchanged.
	Limits func(digest uint64) (uint64, []bluebelldoor.TargetLimit)
	// ApplyLimits processes the limits that a peer has sent. It is set if Limits is.
	ApplyLimits func(peer string, limits []bluebelldoor.TargetLimit)
	// Crashes and ApplyCrashes are the same for crashes that accuse parts of prompts.
	Crashes      func(digest uint64) (uint64, []bluebelldoor.PromptCrash)
	ApplyCrashes func(peer string, crashes []bluebelldoor.PromptCrash)
	// AccountUse returns what the next message tells a peer of the use of client accounts, and
	// ApplyAccountUse processes what a peer has sent. They must not call the gossiper. If they
	// are nil, it is not exchanged.
	AccountUse func(peer string) []bluebelldoor.AccountUse
	ApplyUse   func(peer string, use []bluebelldoor.AccountUse)
}

// Gossiper maintains one VM's view of the membership. It is safe for concurrent use.
type Gossiper struct {
	clock bluebelldoor.Clock
	peers bluebelldoor.FleetClient
	seeds []string
	log   hclog.Logger
	hooks Hooks
	pacer *pacer.Pacer
	view  atomic.Pointer[view]

	// started is when the gossiper was created.
	started time.Duration

	exchanges sync.WaitGroup
	failed    atomic.Int64
	dater     *dater.Dater
	late      atomic.Int64

	mu    sync.Mutex
	table *Table
	// inFlight holds the addresses of peers with an exchange in progress.
	inFlight map[string]bool
	// observed holds the members seen in the last round, and whether each serves.
	observed map[string]bool
	loads    *loadLog
	// lastMessage is when each peer last sent a message; older entries are removed.
	lastMessage map[string]time.Duration
	// lastChange is the round in which the members that are alive, or the hubs, last
	// changed.
	lastChange uint64
	// lastFull is when the hubs were last sent the states of other members.
	lastFull time.Duration
	// lastRejoin is when seeds and silent members were last tried.
	lastRejoin time.Duration
	// maxReported is the largest number of members that a peer has reported, and
	// seedMembers the number of those that the settings name, the VM itself included.
	maxReported, seedMembers int
	// hubSeenAt is when each member was last seen to be a hub, within recentHubsWindow.
	hubSeenAt map[string]time.Duration
	// neededSince is when the VM was first needed as a hub, 0 if it is not, and
	// takeoverDelay how long it waits for another VM to take over.
	neededSince   time.Duration
	takeoverDelay time.Duration
	// steppedDown is the round in which the VM last ceased to be a hub, 0 if it never
	// did.
	steppedDown uint64
}

// New returns a gossiper for the VM with the initial state self.
func New(self bluebelldoor.MemberState, seeds []string, clock bluebelldoor.Clock, peers bluebelldoor.FleetClient, hooks Hooks, log hclog.Logger) *Gossiper {
	if hooks.Limits == nil {
		hooks.Limits = func(uint64) (uint64, []bluebelldoor.TargetLimit) { return 0, nil }
		hooks.ApplyLimits = func(string, []bluebelldoor.TargetLimit) {}
	}
	if hooks.Crashes == nil {
		hooks.Crashes = func(uint64) (uint64, []bluebelldoor.PromptCrash) { return 0, nil }
		hooks.ApplyCrashes = func(string, []bluebelldoor.PromptCrash) {}
	}
	if hooks.AccountUse == nil {
		hooks.AccountUse = func(string) []bluebelldoor.AccountUse { return nil }
		hooks.ApplyUse = func(string, []bluebelldoor.AccountUse) {}
	}
	g := &Gossiper{
		clock:       clock,
		started:     clock.Now(),
		peers:       peers,
		seeds:       seeds,
		log:         log,
		hooks:       hooks,
		table:       NewTable(self),
		dater:       dater.New(clock),
		inFlight:    map[string]bool{},
		observed:    map[string]bool{},
		loads:       newLoadLog(),
		lastMessage: map[string]time.Duration{},
		hubSeenAt:   map[string]time.Duration{},
		pacer:       pacer.New(roundInterval, minRoundInterval),
		seedMembers: countSeedMembers(self.PeerAddress, seeds),
	}
	g.publish()
	return g
}

// Trigger requests an immediate round.
func (g *Gossiper) Trigger() { g.pacer.Trigger() }

// Start runs the rounds in the background; the returned function stops them.
func (g *Gossiper) Start() func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.pacer.Run(ctx, func(triggered bool) { g.runRound(ctx, triggered) })
	}()
	return func() {
		cancel()
		<-done
		g.exchanges.Wait()
	}
}

// recipient is a peer that gets a message in a round, with the member states to
// send; the first is that of the VM itself.
type recipient struct {
	// name is empty for an unknown seed.
	name     string
	address  string
	position bluebelldoor.Position
	// fetches is set if the peer accepts references to values.
	fetches bool
	members []bluebelldoor.MemberState
}

// runRound sends this VM's state to the recipients of a round; triggered reports that
// the round was requested.
func (g *Gossiper) runRound(ctx context.Context, triggered bool) {
	g.mu.Lock()
	g.table.Advance(g.hooks.Describe)
	g.loads.update(g.hooks.OwnLoads(), g.table.Self().Heartbeat)
	g.publish()
	var to []recipient
	for _, r := range g.recipients(triggered) {
		if !g.inFlight[r.address] {
			g.inFlight[r.address] = true
			to = append(to, r)
		}
	}
	g.mu.Unlock()
	for _, r := range to {
		g.exchanges.Go(func() { g.exchange(ctx, r) })
	}
}

// recipients returns the peers to contact in this round. The caller holds g.mu.
func (g *Gossiper) recipients(triggered bool) []recipient {
	heartbeat, v := g.table.Self().Heartbeat, g.view.Load()
	selfOnly := []bluebelldoor.MemberState{g.table.Self()}
	var out []recipient
	switch {
	case v.isHub || g.steppedDown > 0 && heartbeat-g.steppedDown < 2:
		out = g.hubRecipients(v, triggered)
	case g.neededSince > 0:
		near, _ := g.splitByDataCentre(preferredHubs(g.table.Eligible(g.clock.Now())))
		for _, m := range near {
			out = g.appendMember(out, m, selfOnly)
		}
	case heartbeat%standbyRounds == 0 || heartbeat-g.lastChange < 2:
		if hub := g.nearestHub(v.hubs, heartbeat/standbyRounds); hub != nil {
			out = g.appendMember(out, *hub, selfOnly)
		}
	}
	// While membership changes, partitions of the fleet may be merging.
	if now := g.clock.Now(); now-g.lastRejoin >= rejoinInterval || heartbeat-g.lastChange < settleRounds {
		g.lastRejoin = now
		out = append(out, g.rejoinRecipients(v)...)
	}
	return out
}

// appendMember appends a member to the recipients, unless it is the VM itself.
func (g *Gossiper) appendMember(to []recipient, m bluebelldoor.MemberState, members []bluebelldoor.MemberState) []recipient {
	if m.PeerAddress == g.table.Self().PeerAddress {
		return to
	}
	return append(to, recipient{m.Name, m.PeerAddress, bluebelldoor.Position{Era: m.Era, Revision: m.Revision}, m.Fetches, members})
}

// hubRecipients returns the recipients of a hub's round. The caller holds g.mu.
func (g *Gossiper) hubRecipients(v *view, triggered bool) []recipient {
	now := g.clock.Now()
	changed := g.table.Self().Heartbeat-g.lastChange < 2
	full := now-g.lastFull >= fullInterval || changed
	to, members := g.selectHubs(v.hubs, triggered, full), []bluebelldoor.MemberState{g.table.Self()}
	if full {
		g.lastFull = now
		members = g.hubsAndDirect(v, now)
		to = append(to, g.missingHubs(v, now)...)
	}
	var out []recipient
	for _, m := range to {
		if changed && g.table.MemberCount(m.Name) < v.known {
			// Merging partitions exchange all members at once.
			out = g.appendMember(out, m, g.allAlive())
		} else {
			out = g.appendMember(out, m, members)
		}
	}
	return out
}

// missingHubs returns the preferred hubs that are not known to serve: they may have
// become hubs that do not know of others. The caller holds g.mu.
func (g *Gossiper) missingHubs(v *view, now time.Duration) []bluebelldoor.MemberState {
	return slices.DeleteFunc(preferredHubs(g.table.Eligible(now)), func(m bluebelldoor.MemberState) bool { return containsName(v.hubs, m.Name) })
}

// selectHubs returns the hubs to contact in a round, fanOut of them at most. The
// caller holds g.mu.
func (g *Gossiper) selectHubs(all []bluebelldoor.MemberState, triggered, full bool) []bluebelldoor.MemberState {
	hubs := slices.Clone(all)
	if !triggered && !full {
		hubs = g.withoutRecentMessage(hubs)
	}
	if len(all) <= fanOut {
		return hubs
	}
	near, far := g.splitByDataCentre(hubs)
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	if triggered && !full {
		// Hubs of other data centres are contacted in the regular rounds.
		far = nil
	}
	hubs = append(near, far...)
	return hubs[:min(len(hubs), fanOut)]
}

// splitByDataCentre returns the members of the own data centre, and the others.
func (g *Gossiper) splitByDataCentre(members []bluebelldoor.MemberState) (near, far []bluebelldoor.MemberState) {
	for _, m := range members {
		if m.DataCentre == g.table.Self().DataCentre {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	return near, far
}

// withoutRecentMessage returns the hubs that have sent no message recently, so that of
// two hubs only one sends heartbeats, and the other replies. The caller holds g.mu.
func (g *Gossiper) withoutRecentMessage(hubs []bluebelldoor.MemberState) []bluebelldoor.MemberState {
	now := g.clock.Now()
	maps.DeleteFunc(g.lastMessage, func(_ string, at time.Duration) bool { return now-at >= skipAfterMessage })
	return slices.DeleteFunc(hubs, func(m bluebelldoor.MemberState) bool {
		_, recent := g.lastMessage[m.Name]
		return recent
	})
}

// nearestHub returns a hub, of the own data centre if there is one; successive values
// of n rotate through them.
func (g *Gossiper) nearestHub(hubs []bluebelldoor.MemberState, n uint64) *bluebelldoor.MemberState {
	near, _ := g.splitByDataCentre(hubs)
	if len(near) == 0 {
		near = hubs
	}
	if len(near) == 0 {
		return nil
	}
	return &near[n%uint64(len(near))]
}

// rejoinRecipients returns the seeds that are not alive, a random live member and a
// random silent one, so that partitions merge after a start or a network failure.
func (g *Gossiper) rejoinRecipients(v *view) []recipient {
	if !v.isHub && len(v.hubs) > 0 {
		return nil
	}
	known := map[string]bool{g.table.Self().PeerAddress: true}
	for _, m := range v.alive {
		known[m.PeerAddress] = true
	}
	var out []recipient
	for _, seed := range g.seeds {
		if !known[seed] {
			out = append(out, recipient{"", seed, bluebelldoor.Position{}, false, g.allAlive()})
		}
	}
	out = g.appendRandom(out, v, v.alive)
	return g.appendRandom(out, v, g.table.Silent(g.clock.Now()))
}

// appendRandom appends one of the members at random, if there is any.
func (g *Gossiper) appendRandom(to []recipient, v *view, members []bluebelldoor.MemberState) []recipient {
	if len(members) == 0 {
		return to
	}
	m := members[rand.IntN(len(members))]
	if g.table.MemberCount(m.Name) < v.known {
		return g.appendMember(to, m, g.allAlive())
	}
	return g.appendMember(to, m, []bluebelldoor.MemberState{g.table.Self()})
}

// NearestPeers returns the peer addresses of the members that are alive: the hubs of the own
// data centre, the other hubs, then the standbys, each in random order.
func (g *Gossiper) NearestPeers() []string {
	v := g.view.Load()
	self := g.Self()
	rank := func(m bluebelldoor.MemberState) int {
		switch {
		case !serves(m):
			return 2
		case m.DataCentre != self.DataCentre:
			return 1
		}
		return 0
	}
	byRank := make([][]string, 3)
	for _, m := range v.alive {
		if m.Name != self.Name {
			byRank[rank(m)] = append(byRank[rank(m)], m.PeerAddress)
		}
	}
	for _, addresses := range byRank {
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	}
	return slices.Concat(byRank...)
}

// Self returns the VM's own state.
func (g *Gossiper) Self() bluebelldoor.MemberState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Self()
}

// allAlive returns every member that is alive, the VM itself first.
func (g *Gossiper) allAlive() []bluebelldoor.MemberState { return g.selfFirst(g.view.Load().alive) }

// hubsAndDirect returns the hubs and the members that have contacted this VM recently.
// A standby's state is passed on only by the hubs that it contacts.
func (g *Gossiper) hubsAndDirect(v *view, now time.Duration) []bluebelldoor.MemberState {
	out := g.hubsAndRoleChanges(v, now)
	for _, m := range g.table.HeardDirectly(now) {
		if !serves(m) && !containsName(out, m.Name) {
			out = append(out, m)
		}
	}
	return out
}

// hubsAndRoleChanges returns the VM itself, the hubs and the members that recently became
// or ceased to be hubs.
func (g *Gossiper) hubsAndRoleChanges(v *view, now time.Duration) []bluebelldoor.MemberState {
	out := g.selfFirst(v.hubs)
	for _, m := range g.table.RoleChanged(now) {
		if !containsName(out, m.Name) {
			out = append(out, m)
		}
	}
	return out
}

// selfFirst returns states with that of the VM itself in front.
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

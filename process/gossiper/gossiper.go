package gossiper

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebelldoor"
)

const (
	// round is the time between two heartbeats.
	round = 250 * time.Millisecond
	// exchangeTimeout bounds one exchange; a peer that is cut off says nothing.
	exchangeTimeout = 500 * time.Millisecond
	// fanOut is how many peers are told in a round; fleets up to that size
	// tell each other directly.
	fanOut = 12
)

// Hooks join a gossiper to the rest of the process.
type Hooks struct {
	// Describe brings what the VM says of itself up to date, once a round.
	Describe func(*bluebelldoor.MemberState)
	// Told takes what a peer says of itself.
	Told func(bluebelldoor.MemberState)
	// News returns what a peer that holds a revision lacks.
	News func(ctx context.Context, after uint64) bluebelldoor.RecordNews
	// Hear takes news of a peer, which answered a question asked at asked or
	// was not asked.
	Hear func(ctx context.Context, news bluebelldoor.RecordNews, asked time.Duration, answer bool)
}

// Gossiper keeps one VM's membership. It is safe for concurrent use.
type Gossiper struct {
	clock bluebelldoor.Clock
	peers bluebelldoor.FleetPeers
	seeds []string
	log   hclog.Logger
	hooks Hooks

	mu      sync.Mutex
	table   *Table
	pending map[string]bool
	known   map[string]bool
	alive   atomic.Pointer[[]bluebelldoor.MemberState]
	now     chan struct{}
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
		known:   map[string]bool{},
		now:     make(chan struct{}, 1),
	}
	g.publish()
	return g
}

// Alive returns the members that are alive, the VM itself included. Callers
// must not change the slice.
func (g *Gossiper) Alive() []bluebelldoor.MemberState { return *g.alive.Load() }

// Known returns how many members may be running, the VM itself included: also
// those that have been silent for up to a minute.
func (g *Gossiper) Known() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Known()
}

// Hurry starts the next round at once.
func (g *Gossiper) Hurry() {
	select {
	case g.now <- struct{}{}:
	default:
	}
}

// Start begins the rounds; the clean-up function ends them.
func (g *Gossiper) Start() func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(round)
		defer ticker.Stop()
		for {
			g.beat(ctx)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			case <-g.now:
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

func (g *Gossiper) beat(ctx context.Context) {
	g.mu.Lock()
	g.table.Beat(g.hooks.Describe)
	g.publish()
	self, members := g.table.Self(), g.table.News(g.clock.Now())
	var to []recipient
	for _, r := range g.recipients() {
		if !g.pending[r.address] {
			g.pending[r.address] = true
			to = append(to, r)
		}
	}
	g.mu.Unlock()
	for _, r := range to {
		go g.exchange(ctx, r, self.Name, members)
	}
}

// recipient is a peer that is told in a round, and the revision it holds.
type recipient struct {
	address  string
	revision uint64
}

// recipients returns the peers of this round: those that are alive, and seeds
// that are not known yet. A mutex is held.
func (g *Gossiper) recipients() []recipient {
	seen := map[string]bool{g.table.Self().PeerAddress: true}
	var out []recipient
	for _, m := range g.Alive() {
		if !seen[m.PeerAddress] {
			seen[m.PeerAddress] = true
			out = append(out, recipient{m.PeerAddress, m.Revision})
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	out = out[:min(len(out), fanOut)]
	for _, seed := range g.seeds {
		if !seen[seed] {
			out = append(out, recipient{address: seed})
		}
	}
	return out
}

func (g *Gossiper) exchange(ctx context.Context, to recipient, self string, members []bluebelldoor.MemberState) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	message := &bluebelldoor.ExchangeMessage{From: self, Members: members, News: g.hooks.News(ctx, to.revision)}
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
	g.hooks.Hear(ctx, reply.News, asked, true)
}

func (g *Gossiper) merge(in *bluebelldoor.ExchangeMessage) {
	g.mu.Lock()
	direct := g.table.Merge(in.From, in.Members, g.clock.Now())
	g.publish()
	g.mu.Unlock()
	for _, s := range direct {
		g.hooks.Told(s)
	}
}

// Exchange answers a peer.
func (g *Gossiper) Exchange(ctx context.Context, in *bluebelldoor.ExchangeMessage) *bluebelldoor.ExchangeMessage {
	g.merge(in)
	g.hooks.Hear(ctx, in.News, 0, false)
	g.mu.Lock()
	out := &bluebelldoor.ExchangeMessage{From: g.table.Self().Name, Members: g.table.News(g.clock.Now())}
	g.mu.Unlock()
	out.News = g.hooks.News(ctx, in.News.Revision)
	return out
}

// publish makes the members that are alive visible and logs who came and who
// fell silent. A mutex is held but for New.
func (g *Gossiper) publish() {
	alive := g.table.Alive(g.clock.Now())
	g.alive.Store(&alive)
	now := make(map[string]bool, len(alive))
	for _, m := range alive {
		now[m.Name] = true
		if !g.known[m.Name] {
			g.log.Info("member alive", "vm", m.Name, "incarnation", m.Incarnation)
		}
	}
	for name := range g.known {
		if !now[name] {
			g.log.Warn("member silent", "vm", name, "limitMs", aliveFor.Milliseconds())
		}
	}
	g.known = now
}

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

// Gossiper keeps one VM's membership. It is safe for concurrent use.
type Gossiper struct {
	clock  bluebelldoor.Clock
	peers  bluebelldoor.FleetPeers
	seeds  []string
	log    hclog.Logger
	update func(*bluebelldoor.MemberState)
	told   func(bluebelldoor.MemberState)

	mu      sync.Mutex
	table   *Table
	pending map[string]bool
	known   map[string]bool
	alive   atomic.Pointer[[]bluebelldoor.MemberState]
	now     chan struct{}
}

// New returns a gossiper for the VM that says self of itself. update is called
// each round to bring that up to date, told with what a peer says of itself.
func New(self bluebelldoor.MemberState, seeds []string, clock bluebelldoor.Clock, peers bluebelldoor.FleetPeers, update, told func(*bluebelldoor.MemberState), log hclog.Logger) *Gossiper {
	g := &Gossiper{
		clock:   clock,
		peers:   peers,
		seeds:   seeds,
		log:     log,
		update:  update,
		told:    func(s bluebelldoor.MemberState) { told(&s) },
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
	defer g.mu.Unlock()
	g.table.Beat(g.update)
	g.publish()
	message := &bluebelldoor.ExchangeMessage{From: g.table.Self().Name, Members: g.table.News(g.clock.Now())}
	for _, address := range g.recipients() {
		if g.pending[address] {
			continue
		}
		g.pending[address] = true
		go g.exchange(ctx, address, message)
	}
}

// recipients returns the peers of this round: those that are alive, and seeds
// that are not known yet. A mutex is held.
func (g *Gossiper) recipients() []string {
	self := g.table.Self().PeerAddress
	seen := map[string]bool{self: true}
	var out []string
	for _, m := range g.Alive() {
		if !seen[m.PeerAddress] {
			seen[m.PeerAddress] = true
			out = append(out, m.PeerAddress)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	out = out[:min(len(out), fanOut)]
	for _, seed := range g.seeds {
		if !seen[seed] {
			out = append(out, seed)
		}
	}
	return out
}

func (g *Gossiper) exchange(ctx context.Context, address string, message *bluebelldoor.ExchangeMessage) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := g.peers.Exchange(ctx, address, message)
	g.mu.Lock()
	delete(g.pending, address)
	g.mu.Unlock()
	if err != nil {
		g.log.Debug("peer did not answer", "peer", address, "error", err)
		return
	}
	g.merge(reply)
}

func (g *Gossiper) merge(in *bluebelldoor.ExchangeMessage) {
	g.mu.Lock()
	direct := g.table.Merge(in.From, in.Members, g.clock.Now())
	g.publish()
	g.mu.Unlock()
	for _, s := range direct {
		g.told(s)
	}
}

// Exchange answers a peer.
func (g *Gossiper) Exchange(in *bluebelldoor.ExchangeMessage) *bluebelldoor.ExchangeMessage {
	g.merge(in)
	g.mu.Lock()
	defer g.mu.Unlock()
	return &bluebelldoor.ExchangeMessage{From: g.table.Self().Name, Members: g.table.News(g.clock.Now())}
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

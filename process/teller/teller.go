// Package teller exchanges between VMs the loads that each has placed on the
// targets, at each start of a generation and several times a second. Targets' load
// reports carry the same information, but later: VMs that see the same free
// capacity in a report would all fill it at once.
//
// It makes no decisions and is optional: without it, VMs rely on the load reports.
package teller

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebelldoor"
	"bluebelldoor/process/pacer"
	"bluebelldoor/request/router"
)

const (
	// roundInterval is a fraction of the age at which loads expire.
	roundInterval = 250 * time.Millisecond
	// minRoundInterval batches generations that start in quick succession.
	minRoundInterval = 15 * time.Millisecond
	// skipAfterContact is how long after a message from a peer regular rounds skip
	// it: each exchange carries the loads both ways.
	skipAfterContact = 200 * time.Millisecond
	// exchangeTimeout bounds an exchange; slower replies would be out of date.
	exchangeTimeout = 500 * time.Millisecond
)

// Peer is another VM to exchange loads with.
type Peer struct{ Name, Address string }

// Teller exchanges the loads of one VM with its peers.
type Teller struct {
	name      string
	client    bluebelldoor.PeerClient
	listPeers func() []Peer
	loads     bluebelldoor.LoadExchange
	log       hclog.Logger
	pacer     *pacer.Pacer
	calls     sync.WaitGroup

	mu          sync.Mutex
	pending     map[string]bool
	lastContact map[string]time.Time
	silent      map[string]bool
}

// New starts exchanging the loads of the VM called name with the peers that
// listPeers returns. The clean-up function stops it.
func New(name string, client bluebelldoor.PeerClient, listPeers func() []Peer, loads bluebelldoor.LoadExchange, log hclog.Logger) (*Teller, func()) {
	t := &Teller{
		name: name, client: client, listPeers: listPeers, loads: loads, log: log, pacer: pacer.New(roundInterval, minRoundInterval),
		pending: map[string]bool{}, lastContact: map[string]time.Time{}, silent: map[string]bool{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.calls.Go(func() { t.pacer.Run(ctx, func(immediate bool) { t.startRound(ctx, immediate) }) })
	return t, func() {
		cancel()
		t.calls.Wait()
	}
}

// Trigger starts a round at once. It is called when the loads have changed.
func (t *Teller) Trigger() { t.pacer.Trigger() }

// HandleLoads handles a peer's loads and returns those of this VM.
func (t *Teller) HandleLoads(in *bluebelldoor.LoadsMessage) *bluebelldoor.LoadsMessage {
	t.receive(in)
	return t.message()
}

func (t *Teller) message() *bluebelldoor.LoadsMessage {
	return &bluebelldoor.LoadsMessage{From: t.name, Loads: t.loads.Loads()}
}

func (t *Teller) receive(in *bluebelldoor.LoadsMessage) {
	t.loads.ReceiveLoads(in.From, in.Loads)
	t.mu.Lock()
	t.lastContact[in.From] = time.Now()
	t.mu.Unlock()
	t.logContact(in.From, nil)
}

// startRound starts an exchange with each peer that is due, unless there are more
// than router.MaxPeers peers.
func (t *Teller) startRound(ctx context.Context, immediate bool) {
	peers := t.listPeers()
	if len(peers) > router.MaxPeers {
		return
	}
	message := t.message()
	for _, peer := range t.duePeers(peers, immediate) {
		t.calls.Go(func() { t.exchange(ctx, peer, message) })
	}
}

// duePeers returns the peers to exchange loads with in this round and marks them
// pending. It drops the state of peers that are no longer listed.
func (t *Teller) duePeers(peers []Peer, immediate bool) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Peer
	lastContact, silent := map[string]time.Time{}, map[string]bool{}
	for _, p := range peers {
		at := t.lastContact[p.Name]
		lastContact[p.Name] = at
		if t.silent[p.Name] {
			silent[p.Name] = true
		}
		if t.pending[p.Name] || !immediate && time.Since(at) < skipAfterContact {
			continue
		}
		t.pending[p.Name] = true
		out = append(out, p)
	}
	t.lastContact, t.silent = lastContact, silent
	return out
}

func (t *Teller) exchange(ctx context.Context, peer Peer, message *bluebelldoor.LoadsMessage) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	startedAt := time.Now()
	reply, err := t.client.Loads(ctx, peer.Address, message)
	t.mu.Lock()
	delete(t.pending, peer.Name)
	contactedSince := t.lastContact[peer.Name].After(startedAt)
	t.mu.Unlock()
	switch {
	case err == nil:
		t.receive(reply)
	case !contactedSince:
		t.logContact(peer.Name, err)
	}
}

// logContact logs when a peer stops answering, and when it answers again.
func (t *Teller) logContact(peer string, err error) {
	t.mu.Lock()
	wasSilent := t.silent[peer]
	t.silent[peer] = err != nil
	t.mu.Unlock()
	switch {
	case err != nil && !wasSilent:
		t.log.Warn("peer does not tell its loads", "vm", peer, "error", err)
	case err == nil && wasSilent:
		t.log.Info("peer tells its loads again", "vm", peer)
	}
}

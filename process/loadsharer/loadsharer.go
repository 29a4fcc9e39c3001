// Package loadsharer exchanges between VMs the loads that each has placed on the
// targets, at each start of a generation and several times a second. Targets' load
// reports carry the same information, but later: VMs that see the same free
// capacity in a report would all fill it at once.
//
// It makes no decisions and is optional: without it, VMs rely on the load reports.
package loadsharer

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

// Sharer exchanges the loads of one VM with its peers.
type Sharer struct {
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
func New(name string, client bluebelldoor.PeerClient, listPeers func() []Peer, loads bluebelldoor.LoadExchange, log hclog.Logger) (*Sharer, func()) {
	s := &Sharer{
		name: name, client: client, listPeers: listPeers, loads: loads, log: log, pacer: pacer.New(roundInterval, minRoundInterval),
		pending: map[string]bool{}, lastContact: map[string]time.Time{}, silent: map[string]bool{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.calls.Go(func() { s.pacer.Run(ctx, func(immediate bool) { s.startRound(ctx, immediate) }) })
	return s, func() {
		cancel()
		s.calls.Wait()
	}
}

// Trigger starts a round at once. It is called when the loads have changed.
func (s *Sharer) Trigger() { s.pacer.Trigger() }

// HandleLoads handles a peer's loads and returns those of this VM.
func (s *Sharer) HandleLoads(in *bluebelldoor.LoadsMessage) *bluebelldoor.LoadsMessage {
	s.receive(in)
	return s.message()
}

func (s *Sharer) message() *bluebelldoor.LoadsMessage {
	return &bluebelldoor.LoadsMessage{From: s.name, Loads: s.loads.Loads()}
}

func (s *Sharer) receive(in *bluebelldoor.LoadsMessage) {
	s.loads.ReceiveLoads(in.From, in.Loads)
	s.mu.Lock()
	s.lastContact[in.From] = time.Now()
	s.mu.Unlock()
	s.logContact(in.From, nil)
}

// startRound starts an exchange with each peer that is due, unless there are more
// than router.MaxPeers peers.
func (s *Sharer) startRound(ctx context.Context, immediate bool) {
	peers := s.listPeers()
	if len(peers) > router.MaxPeers {
		return
	}
	message := s.message()
	for _, peer := range s.duePeers(peers, immediate) {
		s.calls.Go(func() { s.exchange(ctx, peer, message) })
	}
}

// duePeers returns the peers to exchange loads with in this round and marks them
// pending. It drops the state of peers that are no longer listed.
func (s *Sharer) duePeers(peers []Peer, immediate bool) []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Peer
	lastContact, silent := map[string]time.Time{}, map[string]bool{}
	for _, p := range peers {
		at := s.lastContact[p.Name]
		lastContact[p.Name] = at
		if s.silent[p.Name] {
			silent[p.Name] = true
		}
		if s.pending[p.Name] || !immediate && time.Since(at) < skipAfterContact {
			continue
		}
		s.pending[p.Name] = true
		out = append(out, p)
	}
	s.lastContact, s.silent = lastContact, silent
	return out
}

func (s *Sharer) exchange(ctx context.Context, peer Peer, message *bluebelldoor.LoadsMessage) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	startedAt := time.Now()
	reply, err := s.client.Loads(ctx, peer.Address, message)
	s.mu.Lock()
	delete(s.pending, peer.Name)
	contactedSince := s.lastContact[peer.Name].After(startedAt)
	s.mu.Unlock()
	switch {
	case err == nil:
		s.receive(reply)
	case !contactedSince:
		s.logContact(peer.Name, err)
	}
}

// logContact logs when a peer stops answering, and when it answers again.
func (s *Sharer) logContact(peer string, err error) {
	s.mu.Lock()
	wasSilent := s.silent[peer]
	s.silent[peer] = err != nil
	s.mu.Unlock()
	switch {
	case err != nil && !wasSilent:
		s.log.Warn("peer does not tell its loads", "vm", peer, "error", err)
	case err == nil && wasSilent:
		s.log.Info("peer tells its loads again", "vm", peer)
	}
}

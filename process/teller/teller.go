// Package teller lets VMs tell each other what they have on the targets, at each
// start of a generation and several times a second. Load reports say the same,
// but late: VMs that see the same room in one fill it together.
//
// It decides nothing, and nothing depends on its word: where it is missing, the
// reports are what there is.
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
	// round is the time between two tellings, a fraction of the age at which
	// loads no longer count.
	round = 250 * time.Millisecond
	// soonest is the least time between two rounds. Generations that start
	// meanwhile are told together.
	soonest = 15 * time.Millisecond
	// heardLately is how long the word of a peer makes another needless in a
	// regular round: whoever is told answers with its own.
	heardLately = 200 * time.Millisecond
	// timeout bounds a telling. One that takes longer is news of the past.
	timeout = 500 * time.Millisecond
)

// Peer is a VM that is told.
type Peer struct{ Name, Address string }

// Teller tells the peers of one VM.
type Teller struct {
	name  string
	peers bluebelldoor.Peers
	fleet func() []Peer
	book  bluebelldoor.LoadBook
	log   hclog.Logger
	pacer *pacer.Pacer
	calls sync.WaitGroup

	mu      sync.Mutex
	pending map[string]bool
	heard   map[string]time.Time
	silent  map[string]bool
}

// New starts telling the VMs of fleet what the book says that the VM called name
// has, and returns a clean-up function that stops it.
func New(name string, peers bluebelldoor.Peers, fleet func() []Peer, book bluebelldoor.LoadBook, log hclog.Logger) (*Teller, func()) {
	t := &Teller{
		name: name, peers: peers, fleet: fleet, book: book, log: log, pacer: pacer.New(round, soonest),
		pending: map[string]bool{}, heard: map[string]time.Time{}, silent: map[string]bool{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.calls.Go(func() { t.pacer.Run(ctx, func(hurried bool) { t.tell(ctx, hurried) }) })
	return t, func() {
		cancel()
		t.calls.Wait()
	}
}

// Hurry tells the peers at once: the book has changed.
func (t *Teller) Hurry() { t.pacer.Hurry() }

// Loads answers a peer that tells its own.
func (t *Teller) Loads(in *bluebelldoor.LoadsMessage) *bluebelldoor.LoadsMessage {
	t.hear(in)
	return t.message()
}

func (t *Teller) message() *bluebelldoor.LoadsMessage {
	return &bluebelldoor.LoadsMessage{From: t.name, Loads: t.book.Loads()}
}

func (t *Teller) hear(in *bluebelldoor.LoadsMessage) {
	t.book.Hear(in.From, in.Loads)
	t.mu.Lock()
	t.heard[in.From] = time.Now()
	t.mu.Unlock()
	t.note(in.From, nil)
}

// tell starts one round.
func (t *Teller) tell(ctx context.Context, hurried bool) {
	fleet := t.fleet()
	if len(fleet) > router.MostPeers {
		return
	}
	message := t.message()
	for _, peer := range t.due(fleet, hurried) {
		t.calls.Go(func() { t.exchange(ctx, peer, message) })
	}
}

// due returns the peers to tell now, and forgets those that have gone.
func (t *Teller) due(fleet []Peer, hurried bool) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Peer
	heard, silent := map[string]time.Time{}, map[string]bool{}
	for _, p := range fleet {
		at := t.heard[p.Name]
		heard[p.Name] = at
		if t.silent[p.Name] {
			silent[p.Name] = true
		}
		if t.pending[p.Name] || !hurried && time.Since(at) < heardLately {
			continue
		}
		t.pending[p.Name] = true
		out = append(out, p)
	}
	t.heard, t.silent = heard, silent
	return out
}

func (t *Teller) exchange(ctx context.Context, peer Peer, message *bluebelldoor.LoadsMessage) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	reply, err := t.peers.Loads(ctx, peer.Address, message)
	t.mu.Lock()
	delete(t.pending, peer.Name)
	spoke := t.heard[peer.Name].After(began)
	t.mu.Unlock()
	switch {
	case err == nil:
		t.hear(reply)
	case !spoke:
		t.note(peer.Name, err)
	}
}

// note logs a peer that has fallen silent, or speaks again.
func (t *Teller) note(peer string, err error) {
	t.mu.Lock()
	before := t.silent[peer]
	t.silent[peer] = err != nil
	t.mu.Unlock()
	switch {
	case err != nil && !before:
		t.log.Warn("peer does not tell its loads", "vm", peer, "error", err)
	case err == nil && before:
		t.log.Info("peer tells its loads again", "vm", peer)
	}
}

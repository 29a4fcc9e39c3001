// Package dater tells how long messages of peers have waited between their writing and their
// reading. An age in a message is that at its writing: if either VM stands still, or the link
// is full, it is older when it is read.
//
// Messages carry the time of their writing by the sender's clock. The clocks of two VMs have
// nothing in common but their rate, hence the fastest message between them tells how far they
// differ, and others have waited for what they are slower.
//
// It does not change messages.
package dater

import (
	"sync"
	"time"

	"bluebelldoor"
)

// maxDrift is how much faster than the other one of two clocks runs, as a fraction.
const maxDrift = 1e-4

const (
	// The fastest message is taken not to have waited if another one took no longer than maxSlack
	// more and was written minGap earlier or later: of messages that wait and are read at once,
	// the later ones have waited for less. A reply that came within maxSlack shows it too.
	maxSlack = 250 * time.Millisecond
	minGap   = 500 * time.Millisecond
)

// maxPeers bounds the peers that are remembered.
const maxPeers = 4096

// Message is the arrival of a message of a peer.
type Message struct {
	From string
	// Incarnation is the start of the peer's process, which may have another clock.
	Incarnation int64
	// SentAt is the sender's clock at the writing, 0 if it is not known.
	SentAt time.Duration
	// RequestedAt is when this VM sent the request to which the message replies, 0 if it is no
	// reply. The reply can't have waited for longer than since then.
	RequestedAt time.Duration
}

// Dater knows the clocks of peers as seen from one VM. It is safe for concurrent use.
type Dater struct {
	clock bluebelldoor.Clock

	mu    sync.Mutex
	peers map[string]*peer
}

// peer is what is known of the clock of a peer.
type peer struct {
	incarnation int64
	// lead is by how much this VM's clock leads the peer's, plus the shortest time that a
	// message has taken. It was last changed at updated.
	lead, updated time.Duration
	// fastest is when the fastest message was written. isKnown is set if it has not waited.
	fastest time.Duration
	isKnown bool
}

// New returns a dater that knows no peers.
func New(clock bluebelldoor.Clock) *Dater {
	return &Dater{clock: clock, peers: map[string]*peer{}}
}

// Wait returns for how long a message that has just been read has waited, at most for the age
// of the request if it is a reply. isKnown is not set if it may have waited for longer, as too
// little is known of the sender's clock.
func (d *Dater) Wait(m Message) (wait time.Duration, isKnown bool) {
	if m.SentAt == 0 {
		return 0, false
	}
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	lead := now - m.SentAt
	p := d.peers[m.From]
	if p == nil || p.incarnation != m.Incarnation {
		if p == nil && len(d.peers) >= maxPeers {
			d.forgetOldest()
		}
		p = &peer{incarnation: m.Incarnation, lead: lead, updated: now, fastest: m.SentAt}
		d.peers[m.From] = p
	}
	p.lead += time.Duration(maxDrift * float64(now-p.updated))
	p.updated = now
	switch {
	case lead < p.lead-maxSlack:
		p.lead, p.fastest, p.isKnown = lead, m.SentAt, false
	case lead <= p.lead+maxSlack && (m.SentAt-p.fastest).Abs() >= minGap:
		p.isKnown = true
	}
	p.lead = min(p.lead, lead)
	if m.RequestedAt > 0 {
		// The clocks differ by at least this, whatever was taken for the fastest message.
		leastLead := lead - (now - m.RequestedAt)
		p.lead = max(p.lead, leastLead)
		p.isKnown = p.isKnown || p.lead-leastLead <= maxSlack
	}
	return lead - p.lead, p.isKnown
}

// forgetOldest forgets the peer that has not been heard of for longest. The caller holds d.mu.
func (d *Dater) forgetOldest() {
	oldest, at := "", time.Duration(0)
	for name, p := range d.peers {
		if oldest == "" || p.updated < at {
			oldest, at = name, p.updated
		}
	}
	delete(d.peers, oldest)
}

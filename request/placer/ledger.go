package placer

import (
	"math"
	"strings"
	"time"

	"bluebelldoor"
)

const (
	// failureWeight is the weight of the newest answer in a target's share of
	// failures.
	failureWeight = 0.2
	// unreachableFor is how long a target that takes no connection goes last;
	// then it is tried again.
	unreachableFor = time.Second
	// stallHalfLife is how fast late events are forgotten; disturbed links and
	// slow targets last for seconds.
	stallHalfLife = 2 * time.Second
)

// load is what runs on a target.
type load struct {
	requests int
	tokens   int // that will come to be needed
	held     int // that are needed now
	prefill  int
	pace     time.Duration // the longest that a peer told, 0 if none did
}

func (l load) plus(m load) load {
	return load{l.requests + m.requests, l.tokens + m.tokens, l.held + m.held, l.prefill + m.prefill, max(l.pace, m.pace)}
}

// Ledger keeps what this VM and its peers have on the targets, and how the
// targets have done. It is not safe for concurrent use.
type Ledger struct {
	own      map[string]*load
	peers    *PeerLoads
	failures map[string]float64
	// paces are the times between events that this VM saw.
	paces map[string]time.Duration
	sums  map[string]load
	dirty bool
	cold  map[string][]time.Duration
	// stalls count late events by target and by data centre.
	stalls map[string]fading
	// unreachable is when a target last took no connection.
	unreachable map[string]time.Duration
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		own:      map[string]*load{},
		peers:    NewPeerLoads(),
		failures: map[string]float64{},
		paces:    map[string]time.Duration{},
		sums:     map[string]load{},
		cold:     map[string][]time.Duration{},

		unreachable: map[string]time.Duration{},
		stalls:      map[string]fading{},
	}
}

// Reservation is one request of this VM on a target.
type Reservation struct {
	ledger  *Ledger
	target  string
	tokens  int
	held    int
	prefill int
	ended   bool
}

// Start notes that a request goes to a target. tokens is the memory that it
// will come to need there, prefill the part of its prompt to be read.
func (l *Ledger) Start(target string, tokens, prefill int) *Reservation {
	own := l.own[target]
	if own == nil {
		own = &load{}
		l.own[target] = own
	}
	own.requests++
	own.tokens += tokens
	own.held += prefill
	own.prefill += prefill
	l.dirty = true
	return &Reservation{ledger: l, target: target, tokens: tokens, held: prefill, prefill: prefill}
}

// Read notes that the prompt has been read.
func (s *Reservation) Read() {
	if s.ended || s.prefill == 0 {
		return
	}
	s.ledger.own[s.target].prefill -= s.prefill
	s.prefill = 0
	s.ledger.dirty = true
}

// Need changes the memory that the request will come to need, and that it has
// now.
func (s *Reservation) Need(tokens, held int) {
	if s.ended {
		return
	}
	own := s.ledger.own[s.target]
	own.tokens += tokens - s.tokens
	own.held += held - s.held
	s.tokens, s.held = tokens, held
	s.ledger.dirty = true
}

// End notes that the request has left the target.
func (s *Reservation) End() {
	if s.ended {
		return
	}
	s.Read()
	s.ended = true
	own := s.ledger.own[s.target]
	own.requests--
	own.tokens -= s.tokens
	own.held -= s.held
	if own.requests == 0 {
		delete(s.ledger.own, s.target)
	}
	s.ledger.dirty = true
}

// Outcome notes whether a target served a request.
func (l *Ledger) Outcome(target string, failed bool) {
	x := 0.0
	if failed {
		x = 1
	}
	l.failures[target] += failureWeight * (x - l.failures[target])
}

// Unreachable notes that a target takes no connection.
func (l *Ledger) Unreachable(target string, now time.Duration) { l.unreachable[target] = now }

// isUnreachable reports whether a target took no connection of late.
func (l *Ledger) isUnreachable(target string, now time.Duration) bool {
	at, noted := l.unreachable[target]
	return noted && now-at < unreachableFor
}

// fading is a count of which half is forgotten in each stallHalfLife.
type fading struct {
	at    time.Duration
	count float64
}

func (f fading) now(now time.Duration) float64 {
	return f.count * math.Exp2(-float64(now-f.at)/float64(stallHalfLife))
}

// Stall notes that events of a target came late: it may be slow, or the links
// to its data centre lose packets.
func (l *Ledger) Stall(target, dataCentre string, now time.Duration) {
	for _, key := range []string{target, stallsOf(dataCentre)} {
		l.stalls[key] = fading{now, l.stalls[key].now(now) + 1}
	}
}

// stallsOf is the key under which the stalls of a data centre are counted.
func stallsOf(dataCentre string) string { return "dataCentre/" + dataCentre }

// Forget drops what is known of a target that is gone.
func (l *Ledger) Forget(target string) {
	delete(l.failures, target)
	delete(l.paces, target)
	delete(l.cold, target)
	delete(l.unreachable, target)
	delete(l.stalls, target)
}

// Targets returns of how many targets something is kept.
func (l *Ledger) Targets() int {
	seen := map[string]bool{}
	for id := range l.failures {
		seen[id] = true
	}
	for id := range l.cold {
		seen[id] = true
	}
	for id := range l.unreachable {
		seen[id] = true
	}
	for id := range l.stalls {
		if !strings.HasPrefix(id, stallsOf("")) {
			seen[id] = true
		}
	}
	for id := range l.paces {
		seen[id] = true
	}
	for id := range l.own {
		seen[id] = true
	}
	return len(seen)
}

// Own returns this VM's loads, for its peers.
func (l *Ledger) Own() []bluebelldoor.TargetLoad {
	out := make([]bluebelldoor.TargetLoad, 0, len(l.own))
	for target, own := range l.own {
		out = append(out, bluebelldoor.TargetLoad{Target: target, Requests: own.requests, Tokens: own.tokens, Held: own.held, Prefill: own.prefill})
	}
	l.toldPaces(out)
	return out
}

// Peer takes a peer's loads, told at now. It reports whether it could: what has
// changed is of no use where the rest is not held any more.
func (l *Ledger) Peer(name string, news bluebelldoor.LoadDelta, now time.Duration) bool {
	if news.After > 0 {
		return l.peers.Change(name, news.Loads, now)
	}
	l.peers.Hear(name, news.Loads, now)
	return true
}

// settle adds the peers' loads to the VM's own.
func (l *Ledger) settle(now time.Duration) {
	l.peers.forget(now)
	if !l.peers.add() && !l.dirty {
		return
	}
	l.dirty = false
	clear(l.sums)
	for target, peers := range l.peers.sums {
		l.sums[target] = peers
	}
	for target, own := range l.own {
		l.sums[target] = l.sums[target].plus(*own)
	}
}

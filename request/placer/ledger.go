package placer

import (
	"math"
	"strings"
	"time"

	"bluebelldoor"
	"bluebelldoor/request/ramper"
)

const (
	// failureWeight is the weight of the newest outcome in the moving average of
	// a target's failures.
	failureWeight = 0.2
	// unreachablePeriod is how long a target that accepts no connection is
	// avoided before it is tried again.
	unreachablePeriod = time.Second
	// stallHalfLife is the half-life of the counts of late events; disturbed
	// links and slow targets last for seconds.
	stallHalfLife = 2 * time.Second
)

// load is the load that one or more VMs have on a target.
type load struct {
	requests int
	tokens   int // memory expected to be needed, in tokens
	held     int // memory needed now, in tokens
	prefill  int
	streams  int // protected streams
	reserved int // memory reserved for queued requests, in tokens
	credit   int
	interval time.Duration // longest time between events reported by peers, 0 if none
}

func (l load) plus(m load) load {
	return load{
		requests: l.requests + m.requests,
		tokens:   l.tokens + m.tokens,
		held:     l.held + m.held,
		prefill:  l.prefill + m.prefill,
		streams:  l.streams + m.streams,
		reserved: l.reserved + m.reserved,
		credit:   l.credit + m.credit,
		interval: max(l.interval, m.interval),
	}
}

// Ledger tracks the load that this VM and its peers have on the targets, and the
// targets' failures, stalls and speed. It is not safe for concurrent use.
type Ledger struct {
	own          map[string]*load
	peers        *PeerLoads
	failureRates map[string]float64
	// intervals are the times between events that this VM measured.
	intervals map[string]time.Duration
	// streamPaces are the intervals in services with protected streams.
	streamPaces *streamPaces
	// totals are the loads of this VM and its peers, out of date if dirty.
	totals map[string]load
	dirty  bool
	// version increases whenever totals change.
	version uint64
	// keepers are the targets that keep headroom, as of their version.
	keepers headroomKeepers
	// coldRequests are the times of the recent requests to cold targets.
	coldRequests map[string][]time.Duration
	// stalls count late events by target and by data centre.
	stalls map[string]decayingCount
	// unreachable is when a target last accepted no connection.
	unreachable map[string]time.Duration
	ramps       *ramper.Ramper
	// observedAt is the time of the latest decision.
	observedAt time.Duration
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		own:          map[string]*load{},
		peers:        NewPeerLoads(),
		failureRates: map[string]float64{},
		intervals:    map[string]time.Duration{},
		streamPaces:  newStreamPaces(),
		totals:       map[string]load{},
		coldRequests: map[string][]time.Duration{},

		unreachable: map[string]time.Duration{},
		stalls:      map[string]decayingCount{},
		ramps:       ramper.New(),
	}
}

// Reservation is one request of this VM on a target.
type Reservation struct {
	ledger  *Ledger
	target  string
	tokens  int
	held    int
	prefill int
	streams int
	ended   bool
}

// Start records a request to a target. tokens is the memory that it is expected
// to need there, prefill the part of its prompt to be read.
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

// Protect marks the request as a protected stream.
func (r *Reservation) Protect() {
	if r.ended || r.streams > 0 {
		return
	}
	r.streams = 1
	r.ledger.own[r.target].streams++
	r.ledger.dirty = true
}

// PromptRead records that the prompt has been read.
func (r *Reservation) PromptRead() {
	if r.ended || r.prefill == 0 {
		return
	}
	r.ledger.own[r.target].prefill -= r.prefill
	r.prefill = 0
	r.ledger.dirty = true
}

// UpdateMemory updates the memory that the request is expected to need, and the
// memory that it holds now.
func (r *Reservation) UpdateMemory(tokens, held int) {
	if r.ended {
		return
	}
	own := r.ledger.own[r.target]
	own.tokens += tokens - r.tokens
	own.held += held - r.held
	r.tokens, r.held = tokens, held
	r.ledger.dirty = true
}

// End records that the request has ended.
func (r *Reservation) End() {
	if r.ended {
		return
	}
	r.PromptRead()
	r.ended = true
	own := r.ledger.own[r.target]
	own.requests--
	own.tokens -= r.tokens
	own.held -= r.held
	own.streams -= r.streams
	if *own == (load{}) {
		delete(r.ledger.own, r.target)
		r.ledger.streamPaces.recordIdle(r.target)
	}
	r.ledger.dirty = true
}

// RecordOutcome records whether a target failed to serve a request.
func (l *Ledger) RecordOutcome(target string, failed bool) {
	x := 0.0
	if failed {
		x = 1
	}
	l.failureRates[target] += failureWeight * (x - l.failureRates[target])
}

// RecordUnreachable records that a target accepts no connection.
func (l *Ledger) RecordUnreachable(target string, now time.Duration) { l.unreachable[target] = now }

// isUnreachable reports whether a target recently accepted no connection.
func (l *Ledger) isUnreachable(target string, now time.Duration) bool {
	at, found := l.unreachable[target]
	return found && now-at < unreachablePeriod
}

// decayingCount is a count that halves every stallHalfLife.
type decayingCount struct {
	at    time.Duration
	count float64
}

func (c decayingCount) valueAt(now time.Duration) float64 {
	return c.count * math.Exp2(-float64(now-c.at)/float64(stallHalfLife))
}

// RecordStall records a late event of a target: the target may be slow, or the
// links to its data centre may lose packets.
func (l *Ledger) RecordStall(target, dataCentre string, now time.Duration) {
	for _, key := range []string{target, dataCentreKey(dataCentre)} {
		l.stalls[key] = decayingCount{now, l.stalls[key].valueAt(now) + 1}
	}
}

// dataCentreKey is the key of a data centre in Ledger.stalls.
func dataCentreKey(dataCentre string) string { return "dataCentre/" + dataCentre }

// Forget removes the history of a target that has been removed.
func (l *Ledger) Forget(target string) {
	delete(l.failureRates, target)
	delete(l.intervals, target)
	delete(l.coldRequests, target)
	delete(l.unreachable, target)
	delete(l.stalls, target)
	l.streamPaces.forget(target)
}

// TargetCount returns the number of targets with load or history of this VM.
func (l *Ledger) TargetCount() int {
	seen := map[string]bool{}
	for id := range l.failureRates {
		seen[id] = true
	}
	for id := range l.coldRequests {
		seen[id] = true
	}
	for id := range l.unreachable {
		seen[id] = true
	}
	for id := range l.stalls {
		if !strings.HasPrefix(id, dataCentreKey("")) {
			seen[id] = true
		}
	}
	for id := range l.intervals {
		seen[id] = true
	}
	for id, pace := range l.streamPaces.targets {
		if pace.intervals > 0 {
			seen[id] = true
		}
	}
	for id := range l.own {
		seen[id] = true
	}
	return len(seen)
}

// OwnLoads returns this VM's loads, for its peers.
func (l *Ledger) OwnLoads() []bluebelldoor.TargetLoad {
	out := make([]bluebelldoor.TargetLoad, 0, len(l.own))
	for target, own := range l.own {
		out = append(out, bluebelldoor.TargetLoad{Target: target, Requests: own.requests, Tokens: own.tokens, HeldTokens: own.held, PrefillTokens: own.prefill, Streams: own.streams, Reserved: own.reserved})
	}
	out = l.appendIdleLoads(out)
	out = l.addCredits(out)
	l.setIntervals(out)
	return out
}

// ApplyPeerLoads applies a peer's load report, received at now. It returns false
// for a report of changes if the peer's earlier loads have expired.
func (l *Ledger) ApplyPeerLoads(name string, delta bluebelldoor.LoadDelta, now time.Duration) bool {
	l.streamPaces.recordPeers(delta.Loads)
	if delta.After > 0 {
		return l.peers.Update(name, delta.Loads, now)
	}
	l.peers.Replace(name, delta.Loads, now)
	return true
}

// updateTotals recalculates the totals of the peers' loads and the VM's own if
// either has changed.
func (l *Ledger) updateTotals(now time.Duration) {
	l.observedAt = now
	l.peers.removeExpired(now)
	if !l.peers.updateTotals() && !l.dirty {
		return
	}
	l.dirty = false
	l.version++
	clear(l.totals)
	for target, peers := range l.peers.totals {
		l.totals[target] = peers
	}
	for target, own := range l.own {
		l.totals[target] = l.totals[target].plus(*own)
	}
}

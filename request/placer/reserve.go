package placer

import (
	"math"
	"slices"
	"time"

	"bluebelldoor/process/ranker"
)

const (
	// freedTokensPerSecond is the memory that an engine frees in a second as generations end:
	// a full one of 27,000 tokens whose generations last 6 to 7 s.
	freedTokensPerSecond = 4000
	// minReservationGain is by how much sooner another target must be expected to have room
	// before a reservation moves there. Smaller differences change with each generation that
	// ends, and each move has to be told to all VMs.
	minReservationGain = 200 * time.Millisecond
	// maxReservedShare is the share of the targets that may have reservations of all VMs
	// together. Reserved memory is idle until its owner fits.
	maxReservedShare = 0.25
)

// MemoryReservation is memory on a target that is kept free for a queued generation of this VM,
// its owner. For other requests, it counts as memory in use, unless they backfill. All methods
// may be called on nil.
type MemoryReservation struct {
	ledger *Ledger
	target string
	tokens int
	// version is that of the loads with which the reservation was last reconsidered.
	version uint64
	ended   bool
}

// Target returns the target of the reservation, "" if there is none.
func (r *MemoryReservation) Target() string {
	if r == nil || r.ended {
		return ""
	}
	return r.target
}

// Tokens returns the reserved memory, in tokens.
func (r *MemoryReservation) Tokens() int {
	if r == nil || r.ended {
		return 0
	}
	return r.tokens
}

// End ends the reservation.
func (r *MemoryReservation) End() {
	if r == nil || r.ended {
		return
	}
	r.ended = true
	r.ledger.addReserved(r.target, -r.tokens)
}

func (l *Ledger) addReserved(target string, tokens int) {
	own := l.own[target]
	if own == nil {
		own = &load{}
		l.own[target] = own
	}
	own.reserved += tokens
	if *own == (load{}) {
		delete(l.own, target)
	}
	l.dirty = true
}

// loadFor returns the load that a request finds on a target: memory reserved for others counts
// as memory in use, unless the request backfills.
func (l *Ledger) loadFor(target string, d Demand) load {
	total := l.totals[target]
	if total.reserved == 0 {
		return total
	}
	if d.Backfills {
		total.reserved = 0
		return total
	}
	if d.Reservation.Target() == target {
		total.reserved -= d.Reservation.tokens
	}
	total.held += total.reserved
	total.tokens += total.reserved
	return total
}

// ReserveMemory reserves memory for a queued generation on the target that is expected to have
// room for it soonest. previous is its reservation so far, nil for none, which is ended if the
// result is another. The result is nil if there is no target to wait for.
//
// A target where a peer has a reservation is not chosen. If two VMs have chosen one before they
// heard of each other, rendezvous hashing decides which of them keeps its reservation; vm is the
// name of this one.
func (l *Ledger) ReserveMemory(previous *MemoryReservation, vm string, candidates []Candidate, d Demand, now time.Duration) *MemoryReservation {
	l.updateTotals(now)
	isOpen := func(c Candidate) bool { return c.Instance.ID == previous.Target() }
	if previous.Target() != "" && previous.version == l.version && slices.ContainsFunc(candidates, isOpen) {
		return previous
	}
	d.Reservation = previous
	target := l.chooseReserved(vm, candidates, d, now)
	if target == previous.Target() {
		if previous != nil {
			previous.version = l.version
		}
		return previous
	}
	previous.End()
	if target == "" {
		return nil
	}
	l.addReserved(target, d.HeldTokens)
	return &MemoryReservation{ledger: l, target: target, tokens: d.HeldTokens}
}

// chooseReserved returns the target on which to reserve memory, "" for none.
func (l *Ledger) chooseReserved(vm string, candidates []Candidate, d Demand, now time.Duration) string {
	if d.Engine == nil || d.Limits == nil || float64(d.HeldTokens) > d.Limits.HeldShare*float64(d.Engine.MemoryTokens) {
		return ""
	}
	best, soonest, current, reservedTargets := "", time.Duration(math.MaxInt64), time.Duration(-1), 0
	for _, c := range candidates {
		id := c.Instance.ID
		if l.peers.totals[id].reserved > 0 {
			reservedTargets++
			if d.Reservation.Target() != id || !l.keepsReservation(id, vm) {
				continue
			}
		}
		wait, open := l.timeToRoom(c, d, now)
		if !open {
			continue
		}
		if d.Reservation.Target() == id {
			current = wait
		}
		if wait < soonest {
			best, soonest = id, wait
		}
	}
	switch {
	case current >= 0 && current-soonest < minReservationGain:
		return d.Reservation.Target()
	case reservedTargets >= max(1, int(maxReservedShare*float64(len(candidates)))):
		return ""
	default:
		return best
	}
}

// timeToRoom estimates how long until a target can begin a generation, and whether it is open
// to it at all. It counts no reservations: targets that others keep reserved are passed over.
func (l *Ledger) timeToRoom(c Candidate, d Demand, now time.Duration) (time.Duration, bool) {
	total := l.totals[c.Instance.ID]
	slots := slotLimit(c, d)
	if c.Cold || c.Lapsed || l.isUnreachable(c.Instance.ID, now) || slots > 0 && total.requests >= slots {
		return 0, false
	}
	missing := max(0, float64(total.held+d.HeldTokens)-d.Limits.HeldShare*float64(d.Engine.MemoryTokens))
	seconds := missing/freedTokensPerSecond + float64(total.prefill)/prefillTokensPerSecond
	return time.Duration(seconds * float64(time.Second)), true
}

// keepsReservation reports whether this VM keeps its reservation on a target where peers have
// one too.
func (l *Ledger) keepsReservation(target, vm string) bool {
	names := []string{vm}
	for name, report := range l.peers.reports {
		if report.loads[target].reserved > 0 {
			names = append(names, name)
		}
	}
	return ranker.First(target, names) == vm
}

package placer

import (
	"math"
	"slices"
	"time"

	"bluebelldoor"
)

// Weights of the parts of a target's cost. One unit is the cost of a target that
// is half full; the target with the lowest cost is chosen.
const (
	// prefillTokensPerUnit is how many prompt tokens queued on an engine cost one
	// unit: engines prefill about that many in 250 ms.
	prefillTokensPerUnit = 3500
	// remoteCost applies to a target in another data centre.
	remoteCost = 0.15
	// remoteCopyCost applies to a copy to another data centre.
	remoteCopyCost = 4
	// coldCost applies to a target that is still cold.
	coldCost = 0.5
	// failureCost applies to a target whose failure rate exceeds the median of
	// the candidates by 1.
	failureCost = 8
	// lapsedCost applies to a target whose entry was lost in an outage.
	lapsedCost = 4
	// fullCost applies to a target without a free slot.
	fullCost = 100
	// unreachableCost applies to a target that recently accepted no connection.
	unreachableCost = 50
	// targetStallCost applies to each late event of a target, remoteStallCost to
	// each in its data centre, if that isn't the VM's. maxStallCost bounds their
	// sum.
	targetStallCost = 0.3
	remoteStallCost = 0.1
	maxStallCost    = 2
	// runnerLoadCost applies to an application runner whose slots are all taken,
	// runnerOverloadCost to the share of its slots taken beyond
	// runnerOverloadShare.
	runnerLoadCost      = 0.2
	runnerOverloadCost  = 4
	runnerOverloadShare = 0.5
	// usableConnectionShare is the share of a target's connection limit that may
	// be open. The rest is for connections closed here that the target still
	// counts.
	usableConnectionShare = 0.9
	// overcommitCost applies to generations that together may come to need twice
	// a target's memory. They need it only if all are long at the same time.
	overcommitCost = 30
	// copyMemoryShare is the share of a target's memory that may come to be
	// needed, with the copy, before another data centre is preferred.
	copyMemoryShare = 1.25
	// unmovableCost applies to memory in use beyond what can be copied within
	// noticeSeconds: those generations are cut off when the engine leaves.
	unmovableCost = 20
	// noticeSeconds is the shortest notice that engines give before they leave.
	// The users' platform gives 1.7 to 2 s.
	noticeSeconds = 1.5
	// jitter breaks ties between VMs that see the same loads.
	jitter = 0.05
)

// Candidate is a target that may be used.
type Candidate struct {
	Instance *bluebelldoor.Instance
	Cold     bool
	Lapsed   bool
}

// Demand is what a request needs.
type Demand struct {
	// Tokens is the memory that it is expected to need, in tokens; 0 if it is not
	// a generation.
	Tokens int
	// HeldTokens is the memory that it needs at its start.
	HeldTokens int
	// Long marks a request that will run for seconds.
	Long bool
	// MixesStreams is set if the service has protected streams; Protected marks one.
	MixesStreams, Protected bool
	// MaxEventGap is the longest gap between events of the service's protected streams.
	MaxEventGap time.Duration
	DataCentre  string
	Engine      *bluebelldoor.EngineKind
	// ConnectionLimit is the target's connection limit over all VMs, with one
	// connection per request; 0 if it is unknown.
	ConnectionLimit int
	// MaxColdPerSecond limits the requests per second from this VM to a cold
	// target; a negative value means no limit.
	MaxColdPerSecond float64
	// IsCopy marks the copy of a running generation: its prompt is not read again,
	// and targets in its data centre are preferred, as copies to others take twice
	// as long.
	IsCopy bool
	// Limits, if set, excludes targets whose load exceeds them.
	Limits *Limits
	// SlowStart is how the request treats targets in slow start.
	SlowStart SlowStart
	// Reservation is the memory that is reserved for the request itself, nil for none.
	Reservation *MemoryReservation
	// Backfills marks a short urgent generation. It may use memory that is reserved for others,
	// as it frees it before long ones would have made room for them.
	Backfills bool
}

// Choice is the outcome of Pick.
type Choice struct {
	// Index is the position of the chosen candidate, -1 for none.
	Index int
	Cost  float64
	// Full reports that the chosen candidate has no free slot.
	Full bool
	// Requests, Tokens, Held and Prefill are the known load of the chosen
	// candidate.
	Requests, Tokens, Held, Prefill int
	// MemoryShare is the share of its memory that would come to be needed.
	MemoryShare float64
	// FailureRate is its failure rate.
	FailureRate float64
	// Missing is what the targets lacked if none was chosen for want of room.
	Missing Room
	// Protected is that of the demand. In a service with protected streams, ExpectedGap is the
	// gap that a stream must expect on the candidate, 0 if no interval is known, and Safe
	// reports whether protected streams keep to their limit there.
	Protected, Safe bool
	ExpectedGap     time.Duration
	// Window is the window of the chosen candidate if it is in slow start, else 0.
	// OverWindow reports that its requests had reached it.
	Window     int
	OverWindow bool
}

// Pick chooses the candidate with the lowest cost at now. random returns
// numbers from 0 to 1.
func (l *Ledger) Pick(candidates []Candidate, d Demand, now time.Duration, random func() float64) Choice {
	l.updateTotals(now)
	best := Choice{Index: -1, Cost: math.Inf(1)}
	windows, pauses := l.newWindowCheck(d, now), l.newPauseModel(candidates, d)
	headroom := l.newHeadroomCheck(candidates, d)
	// What the cost is relative to is calculated only if a candidate has room: the requests
	// that wait are offered to all candidates again and again.
	var medianFailures float64
	var fast time.Duration
	calculated := false
	for i, c := range candidates {
		window, atWindow := windows.check(c)
		if c.Cold && !l.allowsCold(c.Instance.ID, d.MaxColdPerSecond, now) {
			continue
		}
		total := l.loadFor(c.Instance.ID, d)
		if usable := UsableConnections(d.ConnectionLimit); usable > 0 && total.requests >= usable {
			best.Missing = max(best.Missing, NoConnection)
			continue
		}
		if lacks := l.lacks(c, total, d, pauses); lacks != HasRoom {
			best.Missing = max(best.Missing, lacks)
			continue
		}
		if !headroom.allows(i, total, d) {
			best.Missing = max(best.Missing, NoMemory)
			continue
		}
		if !calculated {
			medianFailures, fast = l.medianFailures(candidates), l.fastInterval(candidates, d)
			calculated = true
		}
		cost, full := l.loadCost(c, total, d, medianFailures, pauses)
		cost += l.stallCost(c, d, now) + l.intervalCost(c, d, fast) + pauses.cost(total, l.usualInterval(c.Instance.ID))
		if l.isUnreachable(c.Instance.ID, now) {
			cost += unreachableCost
		}
		cost += jitter * random()
		chosen := &best
		if atWindow {
			chosen = &windows.best
		}
		if cost < chosen.Cost {
			*chosen = Choice{
				Index: i, Cost: cost, Full: full, Window: window, OverWindow: atWindow,
				Requests: total.requests, Tokens: total.tokens, Held: total.held, Prefill: total.prefill, FailureRate: l.failureRates[c.Instance.ID],
			}
			if d.Engine != nil {
				chosen.MemoryShare = float64(total.tokens+d.Tokens) / float64(max(1, d.Engine.MemoryTokens))
			}
			pauses.describe(chosen, c, l)
		}
	}
	return windows.resolve(best, len(candidates))
}

// medianFailures returns the median failure rate, which is attributed to the
// requests rather than to a target.
func (l *Ledger) medianFailures(candidates []Candidate) float64 {
	var rates []float64
	for _, c := range candidates {
		rates = append(rates, l.failureRates[c.Instance.ID])
	}
	return median(rates)
}

// loadCost returns the cost of a candidate by its failures, location, state and
// load, and whether it has no free slot.
func (l *Ledger) loadCost(c Candidate, total load, d Demand, medianFailures float64, pauses pauseModel) (float64, bool) {
	cost := failureCost * math.Max(0, l.failureRates[c.Instance.ID]-medianFailures)
	if c.Instance.DataCentre != d.DataCentre {
		cost += remoteCost
		if d.IsCopy {
			cost += remoteCopyCost
		}
	}
	if c.Cold {
		cost += coldCost
	}
	if c.Lapsed {
		cost += lapsedCost
	}
	full := false
	if slots := slotLimit(c, d); slots > 0 {
		cost += slotCost(float64(total.requests)/float64(slots), d.Engine != nil)
		full = total.requests >= slots
	}
	if d.Engine != nil && d.Tokens > 0 {
		share := float64(total.tokens+d.Tokens) / float64(max(1, d.Engine.MemoryTokens))
		threshold := 1.0
		if d.IsCopy {
			threshold = copyMemoryShare
		}
		cost += 2*share*share*share + overcommitCost*max(0, share-threshold)
		cost += unmovableCost * unmovableShare(total.held+d.HeldTokens, d.Engine)
		if !d.IsCopy {
			cost += float64(total.prefill) / prefillTokensPerUnit * pauses.prefillFactor(l.usualInterval(c.Instance.ID))
		}
	}
	if full {
		cost += fullCost
	}
	return cost, full
}

// slotCost returns the cost of the share of a target's slots that is taken. An
// engine slows down with each generation; an application runner only when it is
// nearly full, so until then the latency to another data centre costs more.
func slotCost(share float64, engine bool) float64 {
	if engine {
		return 2 * share
	}
	return runnerLoadCost*share + runnerOverloadCost*max(0, share-runnerOverloadShare)
}

// slotLimit returns how many requests a target runs at once, 0 if that is
// unknown.
func slotLimit(c Candidate, d Demand) int {
	connections := UsableConnections(d.ConnectionLimit)
	if connections > 0 && c.Instance.Slots > 0 {
		return min(c.Instance.Slots, connections)
	}
	return max(c.Instance.Slots, connections)
}

// UsableConnections returns how many connections all VMs together may have open
// to a target that accepts limit, 0 if there is no limit. A target resets
// connections beyond its limit, and counts a closed one until it has seen the
// close.
func UsableConnections(limit int) int {
	if limit <= 0 {
		return 0
	}
	return max(1, int(usableConnectionShare*float64(limit)))
}

// unmovableShare returns the share of an engine's memory that could not be
// copied within the notice with held tokens in use.
func unmovableShare(held int, kind *bluebelldoor.EngineKind) float64 {
	if !kind.CanCopy || kind.BytesPerToken <= 0 || kind.LinkBytesPerSecond <= 0 {
		return 0
	}
	movable := noticeSeconds * kind.LinkBytesPerSecond / float64(kind.BytesPerToken)
	return max(0, float64(held)-movable) / float64(max(1, kind.MemoryTokens))
}

// stallCost returns the cost of late events: those of the target and, if it is in
// another data centre, those of all targets there.
func (l *Ledger) stallCost(c Candidate, d Demand, now time.Duration) float64 {
	cost := targetStallCost * l.stalls[c.Instance.ID].valueAt(now)
	if c.Instance.DataCentre != d.DataCentre {
		cost += remoteStallCost * l.stalls[dataCentreKey(c.Instance.DataCentre)].valueAt(now)
	}
	return min(cost, maxStallCost)
}

// allowsCold reports whether this VM may send a cold target another request.
func (l *Ledger) allowsCold(target string, perSecond float64, now time.Duration) bool {
	if perSecond < 0 {
		return true
	}
	recent := 0
	for _, at := range l.coldRequests[target] {
		if now-at < time.Second {
			recent++
		}
	}
	return float64(recent+1) <= perSecond
}

// RecordCold records a request to a cold target.
func (l *Ledger) RecordCold(target string, now time.Duration) {
	kept := l.coldRequests[target][:0]
	for _, at := range l.coldRequests[target] {
		if now-at < time.Second {
			kept = append(kept, at)
		}
	}
	l.coldRequests[target] = append(kept, now)
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[(len(sorted)-1)/2]
}

package placer

import (
	"math"
	"slices"
	"time"

	"bluebelldoor"
)

// Weights of the parts of a target's cost. One unit is a target that is half
// full; the lowest cost is chosen.
const (
	// prefillUnit is how many tokens of prompts before a new one weigh a unit:
	// engines read about that many in a quarter of a second.
	prefillUnit = 3500
	// awayCost weighs a target in another data centre.
	awayCost = 0.15
	// awayCopyCost weighs a copy to another data centre.
	awayCopyCost = 4
	// coldCost weighs a target that is still cold.
	coldCost = 0.5
	// failureCost weighs a target all of whose answers are failures beyond
	// those of the others.
	failureCost = 8
	// lapsedCost weighs a target whose entry has gone in an outage.
	lapsedCost = 4
	// fullCost weighs a target without a place for the request.
	fullCost = 100
	// unreachableCost weighs a target that took no connection of late.
	unreachableCost = 50
	// targetStallCost weighs a late event of a target, awayStallCost one of its
	// data centre, if it is not the VM's; together at most maxStallCost.
	targetStallCost = 0.3
	awayStallCost   = 0.1
	maxStallCost    = 2
	// runnerCost weighs an application runner all of whose places are taken,
	// crowdedCost what is taken beyond crowdedShare of them.
	runnerCost   = 0.2
	crowdedCost  = 4
	crowdedShare = 0.5
	// connectionShare is the part of the connections that a target takes which
	// may be open; the rest is for those that it has not seen close yet.
	connectionShare = 0.9
	// overCost weighs generations that together may come to need twice a
	// target's memory. They need it only if they are long at the same time.
	overCost = 30
	// copiedShare is the part of a target's memory that may come to be needed
	// with a copy before another data centre is better.
	copiedShare = 1.25
	// stuckCost weighs generations that fill an engine beyond what could be
	// copied away within noticeTime: they are cut when the engine leaves.
	stuckCost = 20
	// noticeTime is how long before they go engines say so, at the least. The
	// users' platform gives 1.7 to 2 s.
	noticeTime = 1.5
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
	// Tokens is the memory that it will come to need, 0 if it is no generation.
	Tokens int
	// Held is the memory that it needs at once.
	Held int
	// Long tells that it will run for seconds.
	Long       bool
	DataCentre string
	Engine     *bluebelldoor.EngineKind
	// Connections is how many a target takes from all VMs, one a request; 0 if
	// that is not known.
	Connections int
	// ColdPerSecond is how many requests a cold target may get from this VM in
	// a second; below 0 there is no limit.
	ColdPerSecond float64
	// Copied tells that a copy of a running generation is to be placed: its
	// prompt is not read again, and targets of the data centre go first, for
	// copies to others take twice as long.
	Copied bool
	// Limits, if any, bound the targets that have room.
	Limits *Limits
}

// Choice is the outcome of Pick.
type Choice struct {
	// Index is that of the chosen candidate, -1 for none.
	Index int
	Cost  float64
	// Full tells that the chosen candidate has no place left.
	Full bool
	// Requests, Tokens and Prefill are what it is thought to have.
	Requests, Tokens, Held, Prefill int
	// Share is the part of its memory that would come to be needed.
	Share float64
	// Failures is its share of failed answers.
	Failures float64
	// Lacks is what the targets lacked if none was chosen for want of room.
	Lacks Room
}

// Pick chooses the candidate with the lowest cost at now. random returns
// numbers from 0 to 1.
func (l *Ledger) Pick(candidates []Candidate, d Demand, now time.Duration, random func() float64) Choice {
	l.settle(now)
	best := Choice{Index: -1, Cost: math.Inf(1)}
	usual, fast := l.usualFailures(candidates), l.fastPace(candidates, d)
	for i, c := range candidates {
		if c.Cold && !l.coldRoom(c.Instance.ID, d.ColdPerSecond, now) {
			continue
		}
		if usable := UsableConnections(d.Connections); usable > 0 && l.sums[c.Instance.ID].requests >= usable {
			best.Lacks = max(best.Lacks, NoConnection)
			continue
		}
		if lacks := l.lacks(c, d); lacks != HasRoom {
			best.Lacks = max(best.Lacks, lacks)
			continue
		}
		cost, full := l.cost(c, d, usual)
		cost += l.stallCost(c, d, now) + l.slowness(c, fast)
		if l.isUnreachable(c.Instance.ID, now) {
			cost += unreachableCost
		}
		cost += jitter * random()
		if cost < best.Cost {
			sum := l.sums[c.Instance.ID]
			best = Choice{
				Index: i, Cost: cost, Full: full,
				Requests: sum.requests, Tokens: sum.tokens, Held: sum.held, Prefill: sum.prefill, Failures: l.failures[c.Instance.ID],
			}
			if d.Engine != nil {
				best.Share = float64(sum.tokens+d.Tokens) / float64(max(1, d.Engine.MemoryTokens))
			}
		}
	}
	return best
}

// usualFailures returns the median share of failures, which belongs to the
// requests rather than to a target.
func (l *Ledger) usualFailures(candidates []Candidate) float64 {
	var shares []float64
	for _, c := range candidates {
		shares = append(shares, l.failures[c.Instance.ID])
	}
	return median(shares)
}

func (l *Ledger) cost(c Candidate, d Demand, usual float64) (float64, bool) {
	sum := l.sums[c.Instance.ID]
	cost := failureCost * math.Max(0, l.failures[c.Instance.ID]-usual)
	if c.Instance.DataCentre != d.DataCentre {
		cost += awayCost
		if d.Copied {
			cost += awayCopyCost
		}
	}
	if c.Cold {
		cost += coldCost
	}
	if c.Lapsed {
		cost += lapsedCost
	}
	full := false
	if slots := places(c, d); slots > 0 {
		cost += placesCost(float64(sum.requests)/float64(slots), d.Engine != nil)
		full = sum.requests >= slots
	}
	if d.Engine != nil && d.Tokens > 0 {
		share := float64(sum.tokens+d.Tokens) / float64(max(1, d.Engine.MemoryTokens))
		bearable := 1.0
		if d.Copied {
			bearable = copiedShare
		}
		cost += 2*share*share*share + overCost*max(0, share-bearable)
		cost += stuckCost * stuckShare(sum.held+d.Held, d.Engine)
		if !d.Copied {
			cost += float64(sum.prefill) / prefillUnit
		}
	}
	if full {
		cost += fullCost
	}
	return cost, full
}

// placesCost weighs the part of a target's places that are taken. An engine gets
// slower with each generation; an application runner does so when it is nearly
// full, and the way to another data centre is longer than that before.
func placesCost(share float64, engine bool) float64 {
	if engine {
		return 2 * share
	}
	return runnerCost*share + crowdedCost*max(0, share-crowdedShare)
}

// places returns how many requests a target runs at once, 0 if that is not
// known.
func places(c Candidate, d Demand) int {
	connections := UsableConnections(d.Connections)
	if connections > 0 && c.Instance.Slots > 0 {
		return min(c.Instance.Slots, connections)
	}
	return max(c.Instance.Slots, connections)
}

// UsableConnections returns how many of the connections that a target takes the
// VMs may have open, 0 if it sets no limit. A target resets those beyond what
// it takes, and counts one that was closed until it has seen the end of it.
func UsableConnections(most int) int {
	if most <= 0 {
		return 0
	}
	return max(1, int(connectionShare*float64(most)))
}

// stuckShare returns the part of an engine's memory that could not be copied
// away in time if so many tokens were in use.
func stuckShare(held int, kind *bluebelldoor.EngineKind) float64 {
	if !kind.Moves || kind.BytesPerToken <= 0 || kind.LinkBytesPerSecond <= 0 {
		return 0
	}
	copied := noticeTime * kind.LinkBytesPerSecond / float64(kind.BytesPerToken)
	return max(0, float64(held)-copied) / float64(max(1, kind.MemoryTokens))
}

// stallCost weighs late events: those of the target, and, from another data
// centre, those of all targets there.
func (l *Ledger) stallCost(c Candidate, d Demand, now time.Duration) float64 {
	cost := targetStallCost * l.stalls[c.Instance.ID].now(now)
	if c.Instance.DataCentre != d.DataCentre {
		cost += awayStallCost * l.stalls[stallsOf(c.Instance.DataCentre)].now(now)
	}
	return min(cost, maxStallCost)
}

// coldRoom reports whether this VM may send a cold target another request.
func (l *Ledger) coldRoom(target string, perSecond float64, now time.Duration) bool {
	if perSecond < 0 {
		return true
	}
	recent := 0
	for _, at := range l.cold[target] {
		if now-at < time.Second {
			recent++
		}
	}
	return float64(recent+1) <= perSecond
}

// SentCold notes that a cold target gets a request.
func (l *Ledger) SentCold(target string, now time.Duration) {
	kept := l.cold[target][:0]
	for _, at := range l.cold[target] {
		if now-at < time.Second {
			kept = append(kept, at)
		}
	}
	l.cold[target] = append(kept, now)
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[(len(sorted)-1)/2]
}

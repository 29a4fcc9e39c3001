package placer

import (
	"slices"
	"time"

	"bluebelldoor"
)

const (
	// paceWeight is the weight of the newest look at a target's pace.
	paceWeight = 0.5
	// paceRank is the part of the times between events that are shorter than the
	// one that counts: longer ones are those in which the engine also read prompts,
	// which it does for a while only.
	paceRank = 0.25
	// paceSample is how many times between events a look needs at the least.
	paceSample = 3
	// slowCost weighs an engine that takes twice as long between events as fast
	// ones do, for a generation that runs for seconds. What is within paceSlack of
	// them is as fast: engines of one kind differ so much by what they have to do.
	slowCost  = 5
	paceSlack = 0.12
	// toldPace is the unit in which peers tell paces, so that small changes are not
	// news.
	toldPace = 2 * time.Millisecond
)

// Pace notes the times between events that a target has made one after another.
func (l *Ledger) Pace(target string, between []time.Duration) {
	if len(between) < paceSample {
		return
	}
	sorted := slices.Clone(between)
	slices.Sort(sorted)
	now := sorted[int(paceRank*float64(len(sorted)))]
	before, known := l.paces[target]
	if known {
		now = before + time.Duration(paceWeight*float64(now-before))
	}
	l.paces[target] = now
}

// pace returns the time between events of a target as this VM saw it, or as peers
// did; 0 where nobody has.
func (l *Ledger) pace(target string) time.Duration {
	if own := l.paces[target]; own > 0 {
		return own
	}
	return l.sums[target].pace
}

// fastPace returns the pace of the fast candidates, of which a quarter are faster; 0
// where the demand does not ask for it.
func (l *Ledger) fastPace(candidates []Candidate, d Demand) time.Duration {
	if !d.Long {
		return 0
	}
	var known []time.Duration
	for _, c := range candidates {
		if p := l.pace(c.Instance.ID); p > 0 {
			known = append(known, p)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/4]
}

// slowness weighs a target's pace against that of fast ones.
func (l *Ledger) slowness(c Candidate, fast time.Duration) float64 {
	pace := l.pace(c.Instance.ID)
	if pace == 0 || fast == 0 {
		return 0
	}
	return slowCost * max(0, float64(pace)/float64(fast)-1-paceSlack)
}

// rounded returns a pace as peers are told of it.
func rounded(pace time.Duration) time.Duration { return pace.Round(toldPace) }

// toldPaces adds the paces to loads that peers are told.
func (l *Ledger) toldPaces(loads []bluebelldoor.TargetLoad) {
	for i := range loads {
		loads[i].PaceMs = int(rounded(l.paces[loads[i].Target]).Milliseconds())
	}
}

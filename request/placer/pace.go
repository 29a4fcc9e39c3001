package placer

import (
	"slices"
	"time"

	"bluebelldoor"
)

const (
	// intervalWeight is the weight of the newest sample in the moving average of
	// a target's event interval.
	intervalWeight = 0.5
	// intervalQuantile is the quantile of a sample that counts. Longer intervals
	// are those in which the engine also read prompts, which it does for a while
	// only.
	intervalQuantile = 0.25
	// minIntervals is the least number of intervals in a sample.
	minIntervals = 3
	// slowCost applies to an engine with twice the event interval of the fast
	// ones, for a generation that runs for seconds. Intervals longer by up to
	// slowTolerance count as equal: engines of one kind vary that much with their
	// work.
	slowCost      = 5
	slowTolerance = 0.12
	// reportedIntervalUnit is the unit to which intervals are rounded for peers,
	// so that small changes are not sent.
	reportedIntervalUnit = 2 * time.Millisecond
)

// RecordIntervals records a sample of consecutive event intervals of a target.
func (l *Ledger) RecordIntervals(target string, sample []time.Duration) {
	if len(sample) < minIntervals {
		return
	}
	sorted := slices.Clone(sample)
	slices.Sort(sorted)
	interval := sorted[int(intervalQuantile*float64(len(sorted)))]
	previous, known := l.intervals[target]
	if known {
		interval = previous + time.Duration(intervalWeight*float64(interval-previous))
	}
	l.intervals[target] = interval
}

// intervalFor returns the interval of a target that counts for a demand. Where streams are
// protected it is the usual one, which peers' reports outlast.
func (l *Ledger) intervalFor(target string, d Demand) time.Duration {
	if d.MixesStreams {
		return l.usualInterval(target)
	}
	return l.interval(target)
}

// interval returns the time between events of a target as this VM measured it, or
// else as peers did; 0 if none has.
func (l *Ledger) interval(target string) time.Duration {
	if own := l.intervals[target]; own > 0 {
		return own
	}
	return l.totals[target].interval
}

// fastInterval returns the lower quartile of the candidates' event intervals; 0 if
// the request is not long.
func (l *Ledger) fastInterval(candidates []Candidate, d Demand) time.Duration {
	if !d.Long {
		return 0
	}
	var known []time.Duration
	for _, c := range candidates {
		if interval := l.intervalFor(c.Instance.ID, d); interval > 0 {
			known = append(known, interval)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/4]
}

// intervalCost returns the cost of a target's event interval relative to that of
// the fast ones.
func (l *Ledger) intervalCost(c Candidate, d Demand, fast time.Duration) float64 {
	interval := l.intervalFor(c.Instance.ID, d)
	if interval == 0 || fast == 0 {
		return 0
	}
	return slowCost * max(0, float64(interval)/float64(fast)-1-slowTolerance)
}

// rounded returns an interval as it is reported to peers.
func rounded(interval time.Duration) time.Duration { return interval.Round(reportedIntervalUnit) }

// setIntervals sets the event intervals in the loads reported to peers: the usual ones where
// streams are protected.
func (l *Ledger) setIntervals(loads []bluebelldoor.TargetLoad) {
	for i := range loads {
		interval := l.intervals[loads[i].Target]
		if usual := l.streamPaces.targets[loads[i].Target].own; usual > 0 {
			interval = usual
		}
		loads[i].EventIntervalMs = int(rounded(interval).Milliseconds())
	}
}

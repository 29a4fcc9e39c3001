package placer

import (
	"slices"
	"time"
)

const (
	// pauseFactor is the ratio of the longest event interval of a target to its usual one:
	// the target is slow for a moment and reads a prompt beside its streams.
	pauseFactor = 5
	// pauseMargin is the share of a route's longest event gap that the expected longest
	// interval of a safe target may take.
	pauseMargin = 0.92
	// unsafeCost applies to a target that isn't safe, for a protected stream.
	unsafeCost = 3
	// disturbedCost applies to each protected stream on a target that isn't safe, for a
	// request whose prompt would be read there.
	disturbedCost = 1
	// safeCost applies to a safe target, for a request that isn't a protected stream.
	safeCost = 0.5
)

// pauseModel is the cost of pauses in protected streams: of those that a request would cause
// in others, and of those that it would suffer itself. The zero value costs nothing.
type pauseModel struct {
	demand Demand
	// usual is the median interval of the candidates, 0 if none is known.
	usual time.Duration
}

func (l *Ledger) newPauseModel(candidates []Candidate, d Demand) pauseModel {
	if !d.MixesStreams {
		return pauseModel{}
	}
	var known []time.Duration
	for _, c := range candidates {
		if interval := l.interval(c.Instance.ID); interval > 0 {
			known = append(known, interval)
		}
	}
	m := pauseModel{demand: d}
	if len(known) > 0 {
		slices.Sort(known)
		m.usual = known[len(known)/2]
	}
	return m
}

// isSafe reports whether streams on a target with an event interval keep to the longest gap
// even while it reads a prompt.
func (m *pauseModel) isSafe(interval time.Duration) bool {
	if interval == 0 {
		interval = m.usual
	}
	return interval > 0 && pauseFactor*interval <= time.Duration(pauseMargin*float64(m.demand.MaxEventGap))
}

// cost returns the cost of a target with a load and an event interval, 0 if it is unknown.
func (m *pauseModel) cost(total load, interval time.Duration) float64 {
	if !m.demand.MixesStreams {
		return 0
	}
	switch safe := m.isSafe(interval); {
	case m.demand.Protected && safe:
		return 0
	case m.demand.Protected:
		return unsafeCost + disturbedCost*float64(total.streams)
	case safe:
		return safeCost
	default:
		return disturbedCost * float64(total.streams)
	}
}

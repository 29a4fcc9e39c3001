package placer

import (
	"slices"
	"time"
)

const (
	// pauseMargin is the share of a route's longest event gap that the expected longest
	// interval of a safe target may take. The rest, 14 ms of 180, is for the link to the
	// caller and for the VM's own scheduling.
	pauseMargin = 0.92
	// unsafeCost applies to a target that isn't safe, for a protected stream. It is the cost of
	// the longest backlog of prompts: a stream rather begins after that on a safe target than
	// has a late event.
	unsafeCost = prefillTokensPerSecond * float64(maxPrefillBacklog) / float64(time.Second) / prefillTokensPerUnit
	// disturbedCost applies to each protected stream on a target that isn't safe, for a request
	// whose prompt would be read there. A prompt makes one late only if it coincides with a
	// slow period, so a stream counts as half the delay that the request itself may have.
	disturbedCost = 0.5
	// maxDisturbedCost bounds these together for a request that isn't a protected stream. It
	// begins up to 250 ms later for others, a sixth of an objective of 1,500 ms. With 1.5, more
	// short requests began late on equal engines than without this cost, as all VMs chose the
	// few engines without protected streams.
	maxDisturbedCost = 1
	// safeCost applies to a safe target, for a request that isn't a protected stream: it takes
	// slots and memory that protected streams would need, but makes none of them late.
	safeCost = 0.5
	// crowdingCost applies to each protected stream on a safe target, for a stream that is moved
	// there: safe targets are needed for the prompts of new streams.
	crowdingCost = 0.7
	// openingCost applies to a target that is not safe and has no protected streams, for a stream
	// that is moved there: other requests have their prompts read on such targets.
	openingCost = 1.5
	// assumedInterval is the usual event interval of a target that reads prompts at
	// prefillTokensPerSecond. The time to read a prompt is proportional to the interval, within
	// minPrefillFactor and maxPrefillFactor.
	assumedInterval  = 28 * time.Millisecond
	minPrefillFactor = 0.5
	maxPrefillFactor = 2.5
	// moveEventCost applies to the destination of a protected stream whose next event is
	// expected to take as long as the longest gap. The caller's gap consists of the copy and
	// this event, so it costs as much as a copy to another data centre.
	moveEventCost = remoteCopyCost
	// moveReadingCost applies to the destination of a protected stream that reads a prompt. Most
	// of the longest gap is spent on the copy, so that a chunk of a prompt before the next event
	// is as bad as an unsafe target.
	moveReadingCost = unsafeCost
)

// pauseModel is the cost of pauses in protected streams: of those that a request would cause
// in others, and of those that it would suffer itself. The zero value costs nothing.
type pauseModel struct {
	demand Demand
	// usual is the median interval of the candidates, 0 if none is known.
	usual time.Duration
	// factor is that of the longest intervals to the usual one of the same target.
	factor float64
}

func (l *Ledger) newPauseModel(candidates []Candidate, d Demand) pauseModel {
	if !d.MixesStreams || len(candidates) == 0 {
		return pauseModel{}
	}
	var known []time.Duration
	for _, c := range candidates {
		if interval := l.usualInterval(c.Instance.ID); interval > 0 {
			known = append(known, interval)
		}
	}
	m := pauseModel{demand: d, factor: l.streamPaces.factor(candidates[0].Instance.Service).value}
	if len(known) > 0 {
		slices.Sort(known)
		m.usual = known[len(known)/2]
	}
	return m
}

// usualInterval returns the usual event interval of a target, 0 if neither this VM nor a peer
// has measured it.
func (l *Ledger) usualInterval(target string) time.Duration {
	return l.streamPaces.targets[target].usual()
}

// orUsual returns the event interval of a target, or the usual one if it is unknown.
func (m *pauseModel) orUsual(interval time.Duration) time.Duration {
	if interval == 0 {
		return m.usual
	}
	return interval
}

// expectedGap returns the gap that a stream must expect on a target with an event interval
// while it reads a prompt, 0 if no interval is known.
func (m *pauseModel) expectedGap(interval time.Duration) time.Duration {
	return time.Duration(m.factor * float64(m.orUsual(interval)))
}

// isSafe reports whether streams on a target with an event interval keep to the longest gap
// even while it reads a prompt.
func (m *pauseModel) isSafe(interval time.Duration) bool {
	gap := m.expectedGap(interval)
	return gap > 0 && gap <= time.Duration(pauseMargin*float64(m.demand.MaxEventGap))
}

// cost returns the cost of a target with a load and an event interval, 0 if it is unknown.
func (m *pauseModel) cost(total load, interval time.Duration) float64 {
	if !m.demand.MixesStreams {
		return 0
	}
	safe := m.isSafe(interval)
	disturbed := 0.0
	if !safe {
		disturbed = disturbedCost * float64(total.streams)
	}
	switch {
	case m.demand.Protected:
		if m.demand.IsCopy {
			return m.copyCost(total, interval)
		}
		if !safe {
			return disturbed + unsafeCost
		}
		return 0
	case safe:
		return safeCost
	case m.demand.IsCopy:
		return 0 // No prompt is read.
	default:
		return min(disturbed, maxDisturbedCost)
	}
}

// copyCost returns the cost of the destination of a protected stream. The stream's own prompt is
// not read again, so that it disturbs nobody there, and is safe where no others are read.
func (m *pauseModel) copyCost(total load, interval time.Duration) float64 {
	cost := m.moveCost(total, interval)
	switch {
	case m.isSafe(interval):
		cost += crowdingCost * float64(total.streams)
	case total.streams == 0:
		cost += openingCost
	}
	return cost
}

// prefillFactor returns how much longer than assumed a target takes to read a prompt.
func (m *pauseModel) prefillFactor(interval time.Duration) float64 {
	if interval = m.orUsual(interval); !m.demand.MixesStreams || interval == 0 {
		return 1
	}
	return min(max(float64(interval)/float64(assumedInterval), minPrefillFactor), maxPrefillFactor)
}

// moveCost returns the cost of the first event at the destination of a move.
func (m *pauseModel) moveCost(total load, interval time.Duration) float64 {
	cost := moveEventCost * float64(m.orUsual(interval)) / float64(max(m.demand.MaxEventGap, time.Millisecond))
	if total.prefill > 0 {
		cost += moveReadingCost
	}
	return cost
}

// describe adds to a choice what a stream must expect on its target.
func (m *pauseModel) describe(choice *Choice, c Candidate, l *Ledger) {
	if m.demand.MixesStreams {
		interval := l.usualInterval(c.Instance.ID)
		choice.Protected, choice.ExpectedGap, choice.Safe = m.demand.Protected, m.expectedGap(interval), m.isSafe(interval)
	}
}

package placer

import (
	"math"
	"time"

	"bluebelldoor"
	"bluebelldoor/request/ramper"
)

// Overflow states when a request may go to a target in slow start whose requests have
// reached its window. It goes to the one with the lowest cost.
type Overflow int

// Values of Overflow.
const (
	// OverflowNever leaves the request in the queue.
	OverflowNever Overflow = iota
	// OverflowIfMost allows it if most candidates are at their window, so that the windows
	// and not the load leave no room: all targets are new, or all have had trouble.
	OverflowIfMost
	// OverflowAlways allows it, as the request can't queue.
	OverflowAlways
)

const (
	// maxWindowWait is how long queued generations wait while most targets are at their
	// window: for one or two answers, by which windows grow.
	maxWindowWait = 200 * time.Millisecond
	// expiryMargin is how long before a queued generation expires it may exceed a window.
	// It is longer than the time between two attempts to place it.
	expiryMargin = 30 * time.Millisecond
	// maxAtWindowShare is the share of the candidates at their window above which
	// OverflowIfMost applies.
	maxAtWindowShare = 0.5
)

// SlowStart is how a request treats targets in slow start. The zero value treats them as
// any others.
type SlowStart struct {
	InForce bool
	// VMShare is this VM's share of the requests of all VMs.
	VMShare  float64
	Overflow Overflow
}

// Overflow returns whether the generations in the queue may exceed windows at now. That
// depends on all of them: if it depended on each, one that has just arrived and is served
// first would hold up those that have waited.
func (q *Queue[T]) Overflow(now time.Duration) Overflow {
	for _, w := range q.items {
		if now-w.OrderTime >= maxWindowWait || w.ExpiresAt-now <= expiryMargin {
			return OverflowIfMost
		}
	}
	return OverflowNever
}

// windowCheck tells which candidates are at their window.
type windowCheck struct {
	ledger    *Ledger
	slowStart SlowStart
	now       time.Duration
	// best is the best choice among the candidates at their window, and atWindow their
	// number.
	best     Choice
	atWindow int
}

func (l *Ledger) newWindowCheck(d Demand, now time.Duration) windowCheck {
	return windowCheck{ledger: l, slowStart: d.SlowStart, now: now, best: Choice{Index: -1, Cost: math.Inf(1)}}
}

// check returns the window of a candidate, 0 if it has none, and whether it is reached.
func (w *windowCheck) check(c Candidate) (int, bool) {
	if !w.slowStart.InForce {
		return 0, false
	}
	id, l := c.Instance.ID, w.ledger
	limits, ramping := l.ramps.Limits(id, l.fleet(id, w.slowStart.VMShare), w.now)
	if !ramping || l.totals[id].requests < limits.Window && (l.own[id] == nil || l.own[id].requests < limits.Own) {
		return limits.Window, false
	}
	w.atWindow++
	return limits.Window, true
}

// resolve returns the choice, given the best one among the candidates below their window.
func (w *windowCheck) resolve(best Choice, candidates int) Choice {
	if best.Index >= 0 || w.atWindow == 0 {
		return best
	}
	most := float64(w.atWindow) > maxAtWindowShare*float64(candidates)
	switch {
	case w.best.Index < 0:
		return best
	case w.slowStart.Overflow == OverflowAlways, w.slowStart.Overflow == OverflowIfMost && most:
		return w.best
	}
	best.Missing = max(best.Missing, NoPrefillCapacity)
	return best
}

// fleet returns what was known of the other VMs for a target at the last placement.
func (l *Ledger) fleet(target string, vmShare float64) ramper.Fleet {
	return ramper.Fleet{HearsPeers: len(l.peers.reports) > 0, Credit: l.totals[target].credit, Share: vmShare}
}

// ObserveTargets sets the targets to which slow start applies, by service.
func (l *Ledger) ObserveTargets(services map[string][]ramper.Target, vmShare float64, now time.Duration) {
	l.ramps.Observe(services, vmShare, now)
}

// NewAttempt returns the attempt of a request that is about to start on a target. An answer
// that comes whole takes generation longer.
func (l *Ledger) NewAttempt(target bluebelldoor.TargetIncarnation, prompt int, generation, now time.Duration) ramper.Attempt {
	l.updateTotals(now)
	return ramper.Attempt{Target: target, SentAt: now, Expected: PrefillTime(prompt+l.totals[target.ID].prefill) + generation}
}

// RecordAnswer records the first event or the whole answer of a generation.
func (l *Ledger) RecordAnswer(a ramper.Attempt, vmShare float64, now time.Duration) ramper.Verdict {
	return l.ramps.RecordAnswer(a, l.fleet(a.Target.ID, vmShare), now)
}

// RecordUnanswered records that an attempt has ended without an answer, by its own time
// limit or because its caller has left.
func (l *Ledger) RecordUnanswered(a ramper.Attempt, timedOut bool, vmShare float64, now time.Duration) ramper.Verdict {
	return l.ramps.RecordUnanswered(a, timedOut, l.fleet(a.Target.ID, vmShare), now)
}

// RecordTrouble records that an attempt has failed, and why.
func (l *Ledger) RecordTrouble(a ramper.Attempt, reason string, vmShare float64, now time.Duration) ramper.Verdict {
	return l.ramps.RecordTrouble(a, reason, l.fleet(a.Target.ID, vmShare), now)
}

// SlowStarts returns how many targets are in slow start on this VM.
func (l *Ledger) SlowStarts() int { return l.ramps.Count() }

// TakeSlowStartChanges returns the targets that have entered or left slow start since the
// last call.
func (l *Ledger) TakeSlowStartChanges() []ramper.Change { return l.ramps.TakeChanges() }

// addCredits adds this VM's credits to its loads, and the targets in slow start where it
// has a credit but no requests now. With the loads, credits are told of other targets too:
// a VM that has trouble there, or has just started, learns from them what peers know.
func (l *Ledger) addCredits(loads []bluebelldoor.TargetLoad) []bluebelldoor.TargetLoad {
	for i := range loads {
		loads[i].Credit = l.ramps.Credit(loads[i].Target)
	}
	for _, id := range l.ramps.Reported(l.observedAt) {
		if l.own[id] == nil {
			loads = append(loads, bluebelldoor.TargetLoad{Target: id, Credit: l.ramps.Credit(id)})
		}
	}
	return loads
}

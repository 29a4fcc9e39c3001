package router

import "time"

// RoundRobin is a baseline: it takes the targets in turn and reads no reports.
type RoundRobin struct{ next int }

// Choose implements Chooser.
func (r *RoundRobin) Choose(t *Table, model string, _ Demand, _ time.Time, _ uint64) *Candidate {
	all := t.byModel[model]
	for range all {
		c := all[r.next%len(all)]
		r.next++
		if c.ClosedReason == "" {
			return c
		}
	}
	return nil
}

// LeastOutstanding is a baseline: it takes the target on which this VM has the
// fewest generations.
type LeastOutstanding struct{}

// Choose implements Chooser.
func (LeastOutstanding) Choose(t *Table, model string, _ Demand, _ time.Time, random uint64) *Candidate {
	all := t.byModel[model]
	var best *Candidate
	for i := range all {
		c := all[(i+int(random%uint64(len(all))))%len(all)]
		if c.ClosedReason == "" && (best == nil || c.Load.Inflight() < best.Load.Inflight()) {
			best = c
		}
	}
	return best
}

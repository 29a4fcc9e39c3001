package admitter

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebelldoor"
	"bluebelldoor/request/placer"
)

// since returns a time as the line counts it: from the first that it was told.
func (a *Admitter) since(t time.Time) time.Duration {
	if a.epoch.IsZero() {
		a.epoch = t
	}
	return t.Sub(a.epoch)
}

// enqueue puts a request in the line of its model.
func (a *Admitter) enqueue(r *Request, now time.Time) {
	at := a.since(now)
	w := &placer.Waiting[*Request]{
		Value:    r,
		Priority: r.Class.Priority(),
		Turn:     a.since(r.Deadline),
		InTime:   at + placer.InTime(objective, r.Prompt),
		Latest:   min(at+placer.WaitTime(objective, r.Prompt), a.since(r.Deadline)-a.runs(r)),
		Long:     a.demand(r).OutputTokens >= placer.LongTokens,
	}
	if a.naive {
		w.InTime, w.Latest = a.since(r.Deadline), a.since(r.Deadline)
	}
	line := a.lines[r.Model]
	if line == nil {
		line = &placer.Line[*Request]{}
		a.lines[r.Model] = line
	}
	line.Add(w)
}

// Tick starts what may start now, and refuses what has waited for as long as it
// could start in time.
func (a *Admitter) Tick(now time.Time) []Decision {
	var out []Decision
	at := a.since(now)
	for _, model := range slices.Sorted(maps.Keys(a.lines)) {
		line := a.lines[model]
		out = append(out, a.startUrgent(line, now)...)
		line.Send(at, func(r *Request) placer.Room {
			c := a.chooser.Choose(a.table, r.Model, a.demand(r), now, a.random())
			if c == nil {
				return placer.NoMemory
			}
			out = append(out, a.start(r, c, now))
			return placer.HasRoom
		})
		for _, w := range line.Overdue(at) {
			out = append(out, a.refuse(w.Value, a.overdue(w.Value, now)))
		}
		if line.Len() == 0 {
			delete(a.lines, model)
		}
	}
	return out
}

// startUrgent starts the one with the nearest deadline among the requests that
// have used half of their time, before every class, once in a number of starts.
func (a *Admitter) startUrgent(line *placer.Line[*Request], now time.Time) []Decision {
	if a.starts < urgentEvery {
		return nil
	}
	var best *placer.Waiting[*Request]
	for _, w := range line.Order(a.since(now)) {
		if w.Value.used(now) > urgentAfter && (best == nil || w.Turn < best.Turn) {
			best = w
		}
	}
	if best == nil {
		return nil
	}
	r := best.Value
	c := a.chooser.Choose(a.table, r.Model, a.demand(r), now, a.random())
	if c == nil {
		return nil
	}
	line.Remove(best)
	d := a.start(r, c, now)
	a.starts = 0
	return []Decision{d}
}

// overdue refuses a request that has waited for as long as it may.
func (a *Admitter) overdue(r *Request, now time.Time) *bluebelldoor.Refusal {
	left := r.Deadline.Sub(now)
	back := placer.ComeBack(left, objective, a.share)
	if left <= 0 {
		return bluebelldoor.Refuse(bluebelldoor.DeadlinePassed, "the deadline passed in the queue").WithRetryAfter(back)
	}
	if runs := a.runs(r); runs > left {
		return bluebelldoor.Refuse(bluebelldoor.DeadlineTooNear,
			fmt.Sprintf("a run of %s would end %s after the deadline",
				runs.Round(time.Millisecond), (runs-left).Round(time.Millisecond))).WithRetryAfter(back)
	}
	return bluebelldoor.Refuse(bluebelldoor.EnginesCrowded,
		fmt.Sprintf("no engine had room within %s, %d others wait", now.Sub(r.Arrived).Round(time.Millisecond), a.Waiting())).
		WithRetryAfter(back)
}

// share draws a number from 0 to 1.
func (a *Admitter) share() float64 { return float64(a.random()>>11) / (1 << 53) }

// runs estimates how long a request runs at its target.
func (a *Admitter) runs(r *Request) time.Duration {
	return time.Duration(a.estimator.Remaining(a.key(r), 0, r.MaxTokens)) * a.tokenTime
}

// used returns the share of its class's time that a request has used. Callers
// that come back bring the deadline of their first try.
func (r *Request) used(now time.Time) float64 {
	whole := max(r.Class.DefaultWithin(), r.Deadline.Sub(r.Arrived), 1)
	return 1 - float64(r.Deadline.Sub(now))/float64(whole)
}

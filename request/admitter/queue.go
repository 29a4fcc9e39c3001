package admitter

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebelldoor"
	"bluebelldoor/request/placer"
)

// sinceEpoch converts a time to the duration since the first one it was given,
// the form in which the queues take times.
func (a *Admitter) sinceEpoch(t time.Time) time.Duration {
	if a.epoch.IsZero() {
		a.epoch = t
	}
	return t.Sub(a.epoch)
}

// enqueue adds a request to the queue of its model.
func (a *Admitter) enqueue(r *Request, now time.Time) {
	at := a.sinceEpoch(now)
	w := &placer.QueueItem[*Request]{
		Value:     r,
		Priority:  r.Class.Priority(),
		OrderTime: a.sinceEpoch(r.Deadline),
		StartBy:   at + placer.MaxStartDelay(firstTokenObjective, r.PromptTokens),
		ExpiresAt: min(at+placer.MaxQueueTime(firstTokenObjective, r.PromptTokens), a.sinceEpoch(r.Deadline)-a.expectedDuration(r)),
		Long:      a.demand(r).OutputTokens >= placer.MinLongTokens,
	}
	if a.naive {
		w.StartBy, w.ExpiresAt = a.sinceEpoch(r.Deadline), a.sinceEpoch(r.Deadline)
	}
	queue := a.queues[r.Model]
	if queue == nil {
		queue = &placer.Queue[*Request]{}
		a.queues[r.Model] = queue
	}
	queue.Add(w)
}

// Tick starts the waiting requests that can start now, and refuses those that
// can no longer start in time.
func (a *Admitter) Tick(now time.Time) []Decision {
	var out []Decision
	at := a.sinceEpoch(now)
	for _, model := range slices.Sorted(maps.Keys(a.queues)) {
		queue := a.queues[model]
		out = append(out, a.startUrgent(queue, now)...)
		queue.Dispatch(at, func(r *Request) placer.Room {
			c := a.chooser.Choose(a.table, r.Model, a.demand(r), now, a.random())
			if c == nil {
				return placer.NoMemory
			}
			out = append(out, a.start(r, c, now))
			return placer.HasRoom
		})
		for _, w := range queue.RemoveExpired(at) {
			out = append(out, a.refuse(w.Value, a.expiredRefusal(w.Value, now)))
		}
		if queue.Len() == 0 {
			delete(a.queues, model)
		}
	}
	return out
}

// startUrgent starts the request with the nearest deadline among those that have
// used more than urgentShare of their time, at most once in startsPerUrgent
// starts.
func (a *Admitter) startUrgent(queue *placer.Queue[*Request], now time.Time) []Decision {
	if a.startsSinceUrgent < startsPerUrgent {
		return nil
	}
	var best *placer.QueueItem[*Request]
	for _, w := range queue.Order(a.sinceEpoch(now)) {
		if w.Value.timeUsed(now) > urgentShare && (best == nil || w.OrderTime < best.OrderTime) {
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
	queue.Remove(best)
	d := a.start(r, c, now)
	a.startsSinceUrgent = 0
	return []Decision{d}
}

// expiredRefusal returns the refusal of a request that has expired in the queue.
func (a *Admitter) expiredRefusal(r *Request, now time.Time) *bluebelldoor.Refusal {
	remaining := r.Deadline.Sub(now)
	retryAfter := placer.RetryDelay(remaining, firstTokenObjective, a.randomFraction)
	if remaining <= 0 {
		return bluebelldoor.NewRefusal(bluebelldoor.DeadlinePassed, "deadline passed in the queue").WithRetryAfter(retryAfter)
	}
	if duration := a.expectedDuration(r); duration > remaining {
		return bluebelldoor.NewRefusal(bluebelldoor.DeadlineTooNear,
			fmt.Sprintf("request would take %s and end %s after the deadline",
				duration.Round(time.Millisecond), (duration-remaining).Round(time.Millisecond))).WithRetryAfter(retryAfter)
	}
	return bluebelldoor.NewRefusal(bluebelldoor.EnginesCrowded,
		fmt.Sprintf("no engine had free capacity within %s; %d other requests are waiting", now.Sub(r.Arrived).Round(time.Millisecond), a.Waiting())).
		WithRetryAfter(retryAfter)
}

// randomFraction returns a random number in [0, 1).
func (a *Admitter) randomFraction() float64 { return float64(a.random()>>11) / (1 << 53) }

// expectedDuration estimates how long a request runs on its target.
func (a *Admitter) expectedDuration(r *Request) time.Duration {
	return time.Duration(a.estimator.Remaining(a.estimatorKey(r), 0, r.MaxTokens)) * a.tokenTime
}

// timeUsed returns the share of its class's time that a request has used. A
// retried request keeps the deadline of its first attempt, so its own time may
// be shorter than that of the class.
func (r *Request) timeUsed(now time.Time) float64 {
	total := max(r.Class.DefaultWithin(), r.Deadline.Sub(r.Arrived), 1)
	return 1 - float64(r.Deadline.Sub(now))/float64(total)
}

package relayer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bluebelldoor"
	"bluebelldoor/request/placer"
	"bluebelldoor/request/sharer"
)

// Reasons of refusals for lack of room, as metrics and logs name them.
const (
	// waitedInVain means that no target had room for as long as the request could wait.
	waitedInVain = "waited"
	// noRoomExpected means that the requests ahead leave the queue too slowly.
	noRoomExpected = "notExpected"
	// returnedEarly means that the caller returned before the time that it was told.
	returnedEarly = "early"
)

// sharing is the state by which room is shared by client account, and by which callers are
// refused at once, for services with deferrable routes.
type sharing struct {
	accounts   *sharer.Sharer
	departures map[queueClass]*placer.Departures
	returns    placer.Returns
}

// queueClass are the generations of a service that are long, or those that are not. They
// leave the queue independently where memory is lacking.
type queueClass struct {
	service string
	long    bool
}

func newSharing() sharing {
	return sharing{accounts: sharer.New(), departures: map[queueClass]*placer.Departures{}}
}

// AccountUse returns what the next message tells a peer of the use of client accounts.
func (r *Relayer) AccountUse(peer string) []bluebelldoor.AccountUse {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sharing.accounts.Report(peer, r.clock.Now())
}

// ApplyAccountUse applies what a peer has told of the use of client accounts.
func (r *Relayer) ApplyAccountUse(peer string, use []bluebelldoor.AccountUse) {
	if len(use) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sharing.accounts.Apply(peer, use, r.clock.Now())
}

// AccountShares returns a summary of the use of client accounts.
func (r *Relayer) AccountShares() sharer.Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sharing.accounts.Summary(r.clock.Now())
}

// share makes the order of the queue depend on client accounts if the service calls for it.
// The caller must hold r.mu.
func (j *job) share(queue *placer.Queue[*waiter], w *placer.QueueItem[*waiter]) {
	if !j.terms().HasDeferrable() {
		queue.SetShares(nil)
		return
	}
	queue.SetShares(j.sharing.accounts)
	w.Account = j.account
	if class := j.queueClass(); j.sharing.departures[class] == nil {
		j.sharing.departures[class] = &placer.Departures{}
	}
	w.Value.early = j.sharing.returns.Early(j.returnKey(), j.firstArrival(), j.arrived)
	w.Early = w.Value.early > 0
}

func (j *job) queueClass() queueClass { return queueClass{j.serviceName, j.isLong()} }

func (j *job) returnKey() placer.ReturnKey {
	return placer.ReturnKey{Account: j.account, Route: j.route.Name, PromptTokens: j.request.PromptTokens}
}

// recordPlaced records that the generation got a target from the queue. The caller must hold
// r.mu.
func (j *job) recordPlaced(now time.Duration) {
	if !j.terms().HasDeferrable() {
		return
	}
	tokens := j.request.PromptTokens
	if !j.route.Streamed {
		tokens += j.expectedTokens()
	}
	j.sharing.accounts.Record(j.account, tokens, now)
	if d := j.sharing.departures[j.queueClass()]; d != nil {
		d.RecordPlaced(now)
	}
}

// recordMade records the tokens that a stream has made since the last call as used by its
// account. The caller must hold r.mu.
func (j *job) recordMade(s *stream) {
	if j.service == nil || j.service.Engine == nil || !j.route.Generates || !j.terms().HasDeferrable() {
		return
	}
	made := s.forwarded * j.service.Engine.TokensPerEvent
	j.sharing.accounts.Record(j.account, made-s.shared, j.clock.Now())
	s.shared = made
}

// observeQueue records whether generations of a service wait, once those that have room were
// placed, and once those without time left were removed. The caller must hold r.mu.
func (r *Relayer) observeQueue(service string, queue *placer.Queue[*waiter], placed bool, now time.Duration) {
	for _, long := range []bool{false, true} {
		d := r.sharing.departures[queueClass{service, long}]
		switch {
		case d == nil:
		case queue.Count(long) == 0:
			d.RecordEmpty(placed, now)
		case placed:
			d.RecordWaiting(now)
		}
	}
}

// refuseAtOnce refuses a queued generation for which no room is expected in its time, or whose
// caller returned earlier than it was told. It was offered to all targets once.
func (j *job) refuseAtOnce(w *placer.QueueItem[*waiter]) {
	j.mu.Lock()
	defer j.mu.Unlock()
	queue, now := j.queues[j.serviceName], j.clock.Now()
	d := j.sharing.departures[j.queueClass()]
	if queue == nil || d == nil || !j.terms().HasDeferrable() {
		return
	}
	reason := noRoomExpected
	switch {
	case w.Value.early > 0:
		reason = returnedEarly
	case d.MinWait(queue.Ahead(w, now), now) <= w.ExpiresAt-now:
		return
	}
	if !queue.Remove(w) {
		return
	}
	w.Value.refuse(w.Value.refusalCrowded(queue.Len(), reason))
	j.observeQueue(j.serviceName, queue, false, now)
}

// refusalCrowded returns the refusal for a generation that no engine has room for in time. The
// caller must hold r.mu.
func (w *waiter) refusalCrowded(others int, reason string) *bluebelldoor.Refusal {
	j := w.job
	now := j.clock.Now()
	detail := fmt.Sprintf("no engine had room in time, the best one lacks %s; %d other requests queued", w.lacks, others)
	switch reason {
	case noRoomExpected:
		detail = fmt.Sprintf("no engine is expected to have room in time, the best one lacks %s; %d other requests queued", w.lacks, others)
	case returnedEarly:
		detail = fmt.Sprintf("no engine had room, and the request was told to return %s later; %d other requests queued", w.early.Round(time.Millisecond), others)
	}
	retryAfter := w.retryAfter(now)
	demand := j.demand()
	demand.Limits, demand.Reservation = j.limits(now), w.reservation()
	_, candidates := j.candidates(now)
	j.crowdedFields = []any{
		"reason", reason, "priority", j.priority, "prompt", j.request.PromptTokens, "expected", j.expectedTokens(),
		"waitedMs", (now - j.arrived).Milliseconds(), "firstWaitedMs", (now - j.firstArrival()).Milliseconds(), "retryAfterMs", retryAfter.Milliseconds(),
		"waiting", others, "use", int(j.sharing.accounts.Use(j.account, now)),
		"shortages", placer.JoinShortages(j.ledger.Shortages(candidates, demand, now)),
	}
	j.Metrics.CountCrowded(reason)
	return bluebelldoor.NewRefusal(bluebelldoor.EnginesCrowded, detail).WithRetryAfter(retryAfter)
}

// retryAfter returns after what time the caller may return, and keeps it. The caller must hold
// r.mu.
func (w *waiter) retryAfter(now time.Duration) time.Duration {
	j := w.job
	d := j.sharing.departures[j.queueClass()]
	if d == nil || !j.terms().HasDeferrable() {
		return placer.RetryDelay(j.remaining(), j.route.LatencyObjective, rand.Float64)
	}
	if left := w.early - (now - j.arrived); left > 0 {
		return left
	}
	delay := d.RetryDelay(j.queues[j.serviceName].Count(j.isLong()), j.remaining(), j.route.LatencyObjective, now, rand.Float64)
	j.sharing.returns.Record(j.returnKey(), j.firstArrival(), now+delay, now)
	return delay
}

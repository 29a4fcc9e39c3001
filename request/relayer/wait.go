package relayer

import (
	"math/rand/v2"
	"time"

	"bluebelldoor"
	"bluebelldoor/process/registrar"
	"bluebelldoor/request/placer"
)

const (
	// roomPollInterval is how often queued generations are offered to engines.
	// It is short compared with the 100 ms in which an engine reads a prompt.
	roomPollInterval = 10 * time.Millisecond
	// maxTokenTime is the time per generated token, taken from the objective
	// between tokens, by which a generation is judged too late to end in time.
	maxTokenTime = 20 * time.Millisecond
)

// placement is the result of queueing a generation: a target or a refusal.
type placement struct {
	target      *registrar.Target
	reservation *placer.Reservation
	refusal     *bluebelldoor.Refusal
}

// waiter is a queued generation and the channel for its placement.
type waiter struct {
	job    *job
	placed chan placement
	// lacks is what the targets lacked at the last attempt to place it.
	lacks placer.Room
	// early is by how much the caller returned earlier than it was told.
	early time.Duration
	// reserved is set once memory has been reserved for it.
	reserved bool
}

// mustQueue reports whether the request has to queue: a generation that has not
// been sent to any target yet. Other requests are placed at once.
func (j *job) mustQueue() bool {
	return j.service.Engine != nil && j.route.Generates && j.maybeExecuted == 0 && j.notExecuted == 0 && j.unsent == 0
}

// isLong reports whether the generation holds its memory for seconds.
func (j *job) isLong() bool { return j.expectedTokens() >= placer.MinLongTokens }

// waitForTarget queues the generation and returns its placement.
func (j *job) waitForTarget() (*registrar.Target, *placer.Reservation, *bluebelldoor.Refusal) {
	w := j.enqueue()
	j.dispatchQueued()
	select {
	case p := <-w.Value.placed:
		return p.target, p.reservation, p.refusal
	default:
	}
	j.refuseAtOnce(w)
	j.startPolling()
	select {
	case p := <-w.Value.placed:
		j.Metrics.ObserveRoomWait(j.priority, j.clock.Now()-j.arrived)
		return p.target, p.reservation, p.refusal
	case <-j.ctx.Done():
		return j.leaveQueue(w)
	}
}

// enqueue adds the generation to the queue of its service.
func (j *job) enqueue() *placer.QueueItem[*waiter] {
	w := &placer.QueueItem[*waiter]{
		Value:     &waiter{job: j, placed: make(chan placement, 1)},
		Priority:  j.priority,
		OrderTime: j.firstArrival(),
		Long:      j.isLong(),
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	w.ExpiresAt = j.latestStart()
	w.StartBy = w.ExpiresAt
	urgent := j.isUrgent()
	if objective := j.route.LatencyObjective; objective > 0 {
		w.StartBy = w.OrderTime + placer.MaxStartDelay(objective, j.request.PromptTokens)
		if urgent {
			w.StartBy = w.OrderTime + placer.MaxUrgentQueueTime(objective, j.request.PromptTokens)
		}
	}
	if urgent {
		j.urgentDemandOf(j.serviceName).Record(j.request.PromptTokens, j.arrived)
	}
	if !w.Long {
		j.shortArrivalsOf(j.serviceName).Record(j.priority, j.arrived)
	}
	queue := j.queues[j.serviceName]
	if queue == nil {
		queue = &placer.Queue[*waiter]{}
		j.queues[j.serviceName] = queue
	}
	queue.Add(w)
	j.share(queue, w)
	return w
}

// shortArrivalsOf returns the record of a service's short generations. The caller
// must hold r.mu.
func (r *Relayer) shortArrivalsOf(service string) *placer.ShortArrivals {
	s := r.shortArrivals[service]
	if s == nil {
		s = &placer.ShortArrivals{}
		r.shortArrivals[service] = s
	}
	return s
}

// urgentDemandOf returns the record of a service's urgent generations. The caller must hold
// r.mu.
func (r *Relayer) urgentDemandOf(service string) *placer.UrgentDemand {
	u := r.urgentDemand[service]
	if u == nil {
		u = &placer.UrgentDemand{}
		r.urgentDemand[service] = u
	}
	return u
}

// limits returns the limits on targets for the queued generation. The caller must hold r.mu.
func (j *job) limits(now time.Duration) *placer.Limits {
	if j.terms().Defers(j.route) {
		return placer.NewDeferrableLimits(j.urgentDemandOf(j.serviceName).Headroom(j.sources.Share(), now), j.arrivedLate())
	}
	return placer.NewLimits(!j.isLong(), j.shortArrivalsOf(j.serviceName).RecentBefore(j.priority, now))
}

// arrivedLate reports whether the request could no longer begin within its objective when it
// arrived: its caller came back after a refusal.
func (j *job) arrivedLate() bool {
	objective := j.route.LatencyObjective
	return objective > 0 && j.arrived > j.firstArrival()+placer.MaxStartDelay(objective, j.request.PromptTokens)
}

// firstArrival returns when the caller first sent the request. A caller that
// retries has less time than the route allows, and keeps its place in the queue.
func (j *job) firstArrival() time.Duration {
	if used := j.route.Timeout - j.request.Within; j.request.Within > 0 && used > 0 {
		return j.arrived - used
	}
	return j.arrived
}

// latestStart returns until when the generation may wait for room: as long as it
// can begin within its objective, which starts anew when a caller retries, and
// end before its deadline.
func (j *job) latestStart() time.Duration {
	latest := j.arrived + forgetDelay
	if j.deadline > 0 {
		latest = j.deadline - time.Duration(min(j.expectedTokens(), placer.MinLongTokens))*maxTokenTime - placer.PrefillTime(j.request.PromptTokens)
	}
	if objective := j.route.LatencyObjective; objective > 0 {
		latest = min(latest, j.arrived+j.maxQueueTime(objective))
	}
	return latest
}

// maxQueueTime returns how long the generation may wait for room with an objective.
func (j *job) maxQueueTime(objective time.Duration) time.Duration {
	if j.isUrgent() {
		return placer.MaxUrgentQueueTime(objective, j.request.PromptTokens)
	}
	return placer.MaxQueueTime(objective, j.request.PromptTokens)
}

// leaveQueue removes a request whose deadline has passed or whose caller has
// disconnected. The request may have been placed at the same moment.
func (j *job) leaveQueue(w *placer.QueueItem[*waiter]) (*registrar.Target, *placer.Reservation, *bluebelldoor.Refusal) {
	j.mu.Lock()
	queue := j.queues[j.serviceName]
	removed := queue != nil && queue.Remove(w)
	if removed {
		j.observeQueue(j.serviceName, queue, false, j.clock.Now())
		w.Value.release("the caller left")
	}
	j.mu.Unlock()
	if !removed {
		p := <-w.Value.placed
		return p.target, p.reservation, p.refusal
	}
	return nil, nil, nil
}

// startPolling starts pollForRoom if generations wait and it is not running.
func (r *Relayer) startPolling() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.polling || r.queueLength() == 0 {
		return
	}
	r.polling = true
	go r.pollForRoom()
}

// pollForRoom offers queued generations to the targets until none is left.
func (r *Relayer) pollForRoom() {
	for {
		time.Sleep(roomPollInterval)
		r.dispatchQueued()
		r.mu.Lock()
		if r.queueLength() == 0 {
			r.polling = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
	}
}

// queueLength returns the number of generations in all queues. The caller must
// hold r.mu.
func (r *Relayer) queueLength() int {
	n := 0
	for _, queue := range r.queues {
		n += queue.Len()
	}
	return n
}

// dispatchQueued places queued generations on targets that have room, and refuses
// those that have no time left to wait.
func (r *Relayer) dispatchQueued() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.observeTargets(now)
	for name, queue := range r.queues {
		if r.draining.Load() {
			refuseStreams(queue, now)
		}
		overflow := queue.Overflow(now)
		if q := r.reservations[name]; q != nil {
			q.considered = false
		}
		queue.Dispatch(now, func(w *waiter) placer.Room {
			w.lacks = w.place(now, overflow)
			return w.lacks
		})
		r.observeQueue(name, queue, true, now)
		for _, w := range queue.RemoveExpired(now) {
			w.Value.refuse(w.Value.refusalCrowded(queue.Len(), waitedInVain))
		}
		r.observeQueue(name, queue, false, now)
		if queue.Len() == 0 {
			delete(r.queues, name)
			delete(r.reservations, name)
		}
	}
}

// refuseStreams refuses queued streams, which would outlast a draining VM.
func refuseStreams(queue *placer.Queue[*waiter], now time.Duration) {
	for _, w := range queue.Order(now) {
		if w.Value.job.route.Streamed {
			queue.Remove(w)
			w.Value.refuse(bluebelldoor.NewRefusal(bluebelldoor.Draining, "this VM is leaving").WithRetryAfter(defaultRetryAfter / 10))
		}
	}
}

// refuse ends the wait with a refusal. The caller must hold r.mu.
func (w *waiter) refuse(refusal *bluebelldoor.Refusal) {
	w.release("refused")
	w.placed <- placement{refusal: refusal}
}

// place sends the generation a target that has room for it, or a refusal. It
// returns what the targets lack if the generation has to wait on.
func (w *waiter) place(now time.Duration, overflow placer.Overflow) placer.Room {
	j := w.job
	if refusal := j.checkSuspects(); refusal != nil {
		w.refuse(refusal)
		return placer.HasRoom
	}
	targets, candidates := j.candidates(now)
	if len(targets) == 0 {
		if wait, _ := j.shortestWait(); wait > 0 && now+wait <= j.latestStart() {
			return placer.NoPrefillCapacity
		}
		w.refuse(j.refusalNoTarget())
		return placer.HasRoom
	}
	demand := j.demand()
	demand.Limits, demand.SlowStart.Overflow, demand.Reservation = j.limits(now), overflow, w.reservation()
	choice := j.ledger.Pick(candidates, demand, now, rand.Float64)
	if choice.Index < 0 {
		if choice.Missing == placer.NoMemory {
			w.reserve(candidates, demand, now)
		}
		return max(choice.Missing, placer.NoPrefillCapacity)
	}
	target := targets[choice.Index]
	w.release("placed on " + target.ID)
	w.placed <- placement{target: target, reservation: j.reserve(target, candidates[choice.Index].Cold, demand, now)}
	j.recordPlaced(now)
	j.logChoice(target, choice, len(targets), now)
	return placer.HasRoom
}

package relayer

import (
	"time"

	"bluebelldoor/request/placer"
)

// queueReservation is the memory reserved for the first urgent generation of a service's queue
// that lacks memory.
type queueReservation struct {
	owner  *waiter
	memory *placer.MemoryReservation
	// considered is set once it has been reconsidered in the current dispatch.
	considered bool
}

// isUrgent reports whether the request is a generation beside deferrable ones. That follows from
// its route: the priority of an account decides who is first, not who can wait.
func (j *job) isUrgent() bool {
	return j.route.Generates && j.terms().IsUrgent(j.route)
}

// mayReserve reports whether memory may be reserved for the generation: it is urgent and can
// still begin in time. One whose account ranks below the route must not hold back others that
// rank above it.
func (j *job) mayReserve() bool {
	return j.isUrgent() && j.priority <= j.route.Priority && !j.isRetry()
}

// reservation returns the memory reserved for the queued generation, nil for none. The caller
// must hold r.mu.
func (w *waiter) reservation() *placer.MemoryReservation {
	if q := w.job.reservations[w.job.serviceName]; q != nil && q.owner == w {
		return q.memory
	}
	return nil
}

// reserve reserves memory for the queued generation, for which no target has memory, if it is
// the first such one in this dispatch. A reservation for another generation of the queue ends.
// The caller must hold r.mu.
func (w *waiter) reserve(candidates []placer.Candidate, demand placer.Demand, now time.Duration) {
	j := w.job
	if !j.mayReserve() {
		return
	}
	q := j.reservations[j.serviceName]
	if q == nil {
		q = &queueReservation{}
		j.reservations[j.serviceName] = q
	}
	if q.considered {
		return
	}
	q.considered = true
	if q.owner != w {
		if q.owner != nil {
			q.owner.release("another is first")
		}
		q.owner, q.memory = w, nil
	}
	before := q.memory.Target()
	q.memory = j.ledger.ReserveMemory(q.memory, j.settings.Load().VM, candidates, demand, now)
	target := q.memory.Target()
	switch {
	case target == before:
		return
	case target == "":
		j.log.Info("reservation ended", "id", j.request.ID, "target", before, "why", "no target to wait for")
		return
	case !w.reserved:
		w.reserved = true
		j.Metrics.CountReservation()
	}
	j.log.Info("memory reserved", "id", j.request.ID, "route", j.route.Name, "target", target, "before", before,
		"tokens", q.memory.Tokens(), "of", len(candidates), "waitedMs", (now - j.arrived).Milliseconds())
	if j.sources.GenerationPlaced != nil {
		j.sources.GenerationPlaced()
	}
}

// release ends the reservation of the queued generation, if it has one. The caller must hold
// r.mu.
func (w *waiter) release(why string) {
	j := w.job
	q := j.reservations[j.serviceName]
	if q == nil || q.owner != w {
		return
	}
	if target := q.memory.Target(); target != "" {
		j.log.Info("reservation ended", "id", j.request.ID, "target", target, "why", why)
	}
	q.memory.End()
	q.owner, q.memory = nil, nil
}

// Headroom is what deferrable generations leave free for urgent ones, and what this VM has
// reserved for urgent ones in its queues, for operators.
type Headroom struct {
	// Tokens is the largest size for which there is to be room, Targets the number of targets
	// on which, over all services.
	Tokens, Targets int
	// Reserved is the memory that the VM has reserved, in tokens.
	Reserved int
}

// Headroom returns the headroom that this VM's urgent demand asks for, and its reservations.
func (r *Relayer) Headroom() Headroom {
	r.mu.Lock()
	defer r.mu.Unlock()
	var total Headroom
	for _, demand := range r.urgentDemand {
		h := demand.Headroom(r.sources.Share(), r.clock.Now())
		total.Tokens, total.Targets = max(total.Tokens, h.Tokens), total.Targets+h.Targets
	}
	for _, q := range r.reservations {
		total.Reserved += q.memory.Tokens()
	}
	return total
}

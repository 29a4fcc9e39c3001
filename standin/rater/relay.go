package rater

import (
	"math"
	"time"

	"bluebelldoor"
	"bluebelldoor/request/placer"
	"bluebelldoor/standin/batcher"
)

const (
	// firstTokenObjective is the target for the time to the first token.
	firstTokenObjective = 1500 * time.Millisecond
	// hintSigma is the sigma of the lognormal error of callers' length hints.
	hintSigma = 0.9
	// baseRetryAfter is the minimum delay given to refused callers. A random time of
	// up to half of it is added.
	baseRetryAfter = 8 * time.Second
	// broadcastDelay is how long a load broadcast takes to reach the peers.
	broadcastDelay = time.Millisecond
	// maxTokenTime is the longest time that an engine takes for a token.
	maxTokenTime = 20 * time.Millisecond
)

// hint draws the output length that the caller expects.
func (b *bench) hint(outputTokens, maxTokens int) int {
	return min(max(int(float64(outputTokens)*math.Exp(hintSigma*b.policyRandom.NormFloat64())), 1), maxTokens)
}

// relayDecider decides with the placer, as for requests that are relayed
// unchanged.
type relayDecider struct {
	bench         *bench
	vm            *vm
	ledger        *placer.Ledger
	queue         placer.Queue[*job]
	shortArrivals placer.ShortArrivals
	reservations  map[*job]*placer.Reservation
}

func newRelayDecider(b *bench, v *vm) *relayDecider {
	return &relayDecider{bench: b, vm: v, ledger: placer.NewLedger(), reservations: map[*job]*placer.Reservation{}}
}

func (r *relayDecider) demand(j *job) placer.Demand {
	return placer.Demand{
		Tokens: j.kind.PromptTokens + j.hint, HeldTokens: j.kind.PromptTokens, DataCentre: r.vm.dataCentre, MaxColdPerSecond: -1,
		Engine: &bluebelldoor.EngineKind{
			MemoryTokens: r.bench.run.Workload.Engine.MemoryTokens, CanCopy: r.bench.run.Policy == Relay,
			BytesPerToken: 1, LinkBytesPerSecond: r.bench.run.copyRate(),
		},
	}
}

// candidates returns the engines that accept new work, other than excluded.
func (r *relayDecider) candidates(excluded *engineState) ([]*engineState, []placer.Candidate) {
	var engines []*engineState
	var out []placer.Candidate
	for _, t := range r.bench.document.Targets() {
		e := r.bench.engine(t.Name())
		if e == excluded || e.leaving || e.lost || !r.bench.document.DataCentre(t.DataCentre()).InService() {
			continue
		}
		engines = append(engines, e)
		out = append(out, placer.Candidate{
			Instance: &bluebelldoor.Instance{ID: e.name, DataCentre: t.DataCentre(), Slots: r.bench.run.Workload.Engine.MaxRunning},
			Cold:     !e.batcher.Warm(),
		})
	}
	return engines, out
}

func (r *relayDecider) arrive(j *job) []decision {
	if j.hint < placer.MinLongTokens {
		r.shortArrivals.Record(rank(j), r.bench.now)
	}
	r.queue.Add(&placer.QueueItem[*job]{
		Value: j, Priority: rank(j), OrderTime: j.arrived,
		StartBy:   j.arrived + placer.MaxStartDelay(firstTokenObjective, j.kind.PromptTokens),
		ExpiresAt: min(r.bench.now+placer.MaxQueueTime(firstTokenObjective, j.kind.PromptTokens), j.arrived+j.kind.TimeLimit-minRunTime(j.hint)),
		Long:      j.hint >= placer.MinLongTokens,
	})
	return r.tick()
}

// rank returns a job's priority for the placer, which counts from 0. Class
// priorities count from 1.
func rank(j *job) int { return j.request.Class.Priority() - 1 }

// minRunTime estimates the least time that a generation takes, which must remain
// before its deadline when it starts. It caps the tokens at placer.MinLongTokens.
func minRunTime(tokens int) time.Duration {
	return time.Duration(min(tokens, placer.MinLongTokens)) * maxTokenTime
}

// tick refuses expired generations and dispatches queued ones to engines with
// room.
func (r *relayDecider) tick() []decision {
	var out []decision
	now := r.bench.now
	for _, item := range r.queue.RemoveExpired(now) {
		retryAfter := baseRetryAfter + time.Duration(r.bench.policyRandom.Int64N(int64(baseRetryAfter/2)))
		out = append(out, decision{job: item.Value, refused: true, retryAfter: retryAfter})
	}
	engines, candidates := r.candidates(nil)
	r.queue.Dispatch(now, func(j *job) placer.Room {
		d := r.demand(j)
		d.Limits = placer.NewLimits(j.hint < placer.MinLongTokens, r.shortArrivals.RecentBefore(rank(j), now))
		choice := r.ledger.Pick(candidates, d, now, r.bench.random.Float64)
		if choice.Index < 0 {
			return max(choice.Missing, placer.NoPrefillCapacity)
		}
		r.place(j, engines[choice.Index], d.Tokens, j.kind.PromptTokens)
		out = append(out, decision{job: j, engine: engines[choice.Index]})
		return placer.HasRoom
	})
	return out
}

// place reserves memory for a job on an engine and broadcasts the loads.
func (r *relayDecider) place(j *job, e *engineState, tokens, prefill int) {
	r.reservations[j] = r.ledger.Start(e.name, tokens, prefill)
	r.broadcastLoads()
}

// broadcastLoads sends the VM's loads to the other VMs.
func (r *relayDecider) broadcastLoads() {
	loads := r.ledger.OwnLoads()
	r.bench.schedule(r.bench.now+broadcastDelay, func() {
		for _, v := range r.bench.vms {
			if other, ok := v.decider.(*relayDecider); ok && v != r.vm {
				other.ledger.ApplyPeerLoads(r.vm.name, bluebelldoor.LoadDelta{Loads: loads}, r.bench.now)
			}
		}
	})
}

func (r *relayDecider) refresh() { r.broadcastLoads() }

func (r *relayDecider) produced(j *job, _ time.Duration) {
	reservation := r.reservations[j]
	if reservation == nil {
		return
	}
	reservation.PromptRead()
	generated := j.result.tokens
	reservation.UpdateMemory(j.kind.PromptTokens+max(j.hint, generated), j.kind.PromptTokens+generated)
}

// release ends a job's reservation, removes it from the queue, and returns the
// decisions that follow.
func (r *relayDecider) release(j *job) []decision {
	if reservation := r.reservations[j]; reservation != nil {
		reservation.End()
		delete(r.reservations, j)
	}
	for _, item := range r.queue.Order(r.bench.now) {
		if item.Value == j {
			r.queue.Remove(item)
		}
	}
	return r.tick()
}

func (r *relayDecider) done(j *job) []decision    { return r.release(j) }
func (r *relayDecider) abandon(j *job) []decision { return r.release(j) }
func (r *relayDecider) failed(j *job) []decision  { return r.release(j) }

// destination chooses an engine to move a generation to; nil if none has room.
func (r *relayDecider) destination(j *job) *engineState {
	engines, candidates := r.candidates(j.engine)
	memoryTokens := j.kind.PromptTokens + j.result.tokens
	d := r.demand(j)
	d.IsCopy, d.HeldTokens, d.Limits, d.DataCentre = true, memoryTokens, placer.CopyLimits, r.bench.dataCentre(j.engine)
	choice := r.ledger.Pick(candidates, d, r.bench.now, r.bench.random.Float64)
	if choice.Index < 0 {
		return nil
	}
	return engines[choice.Index]
}

// moveReservation moves a job's reservation to another engine. The memory is
// copied, so no prefill is reserved.
func (r *relayDecider) moveReservation(j *job, to *engineState) {
	r.reservations[j].End()
	r.place(j, to, 0, 0)
	r.produced(j, 0)
}

// move continues a generation on another engine, with its memory copied.
func (b *bench) move(j *job, to *engineState) {
	j.engine.batcher.Detach(j.request.ID)
	j.vm.decider.(*relayDecider).moveReservation(j, to)
	j.engine = to
	j.sequence.Copied = true
	to.batcher.Add(j.sequence)
}

var _ decider = (*relayDecider)(nil)

// fits reports whether an engine has the memory and a slot for a copy.
func fits(e *engineState, c batcher.Config, memoryTokens int) bool {
	return e.batcher.MemoryUsed()+memoryTokens < c.MemoryTokens && e.batcher.Running() < c.MaxRunning
}

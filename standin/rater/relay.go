package rater

import (
	"math"
	"time"

	"bluebelldoor"
	"bluebelldoor/request/placer"
	"bluebelldoor/standin/batcher"
)

const (
	// objective is within what a first token is wanted.
	objective = 1500 * time.Millisecond
	// hintSigma spreads what callers expect around what comes.
	hintSigma = 0.9
	// comeBack is when callers that were refused are told to come back, half of
	// it later at the most.
	comeBack = 8 * time.Second
	// toldAfter is how long peers take to hear of a placement.
	toldAfter = time.Millisecond
	// tokenTime is how long an engine takes for a token at most.
	tokenTime = 20 * time.Millisecond
)

// hint draws what the caller expects of a generation's length.
func (b *bench) hint(length, most int) int {
	return min(max(int(float64(length)*math.Exp(hintSigma*b.hints.NormFloat64())), 1), most)
}

// relaying decides as for requests that are passed on as they are.
type relaying struct {
	bench  *bench
	vm     *vm
	ledger *placer.Ledger
	line   placer.Line[*job]
	shorts placer.Shorts
	placed map[*job]*placer.Reservation
}

func newRelaying(b *bench, v *vm) *relaying {
	return &relaying{bench: b, vm: v, ledger: placer.NewLedger(), placed: map[*job]*placer.Reservation{}}
}

func (r *relaying) demand(j *job) placer.Demand {
	return placer.Demand{
		Tokens: j.kind.Prompt + j.hint, Held: j.kind.Prompt, DataCentre: r.vm.near, ColdPerSecond: -1,
		Engine: &bluebelldoor.EngineKind{
			MemoryTokens: r.bench.run.Workload.Engine.MemoryTokens, Moves: r.bench.run.Policy == Relay,
			BytesPerToken: 1, LinkBytesPerSecond: r.bench.run.copyRate(),
		},
	}
}

// candidates returns the engines that take new work, but one.
func (r *relaying) candidates(except *engineState) ([]*engineState, []placer.Candidate) {
	var engines []*engineState
	var out []placer.Candidate
	for _, t := range r.bench.document.Targets() {
		e := r.bench.engine(t.Name())
		if e == except || e.leaving || e.lost || !r.bench.document.DataCentre(t.DataCentre()).InService() {
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

func (r *relaying) arrive(j *job) []decision {
	if j.hint < placer.LongTokens {
		r.shorts.Came(rank(j), r.bench.now)
	}
	r.line.Add(&placer.Waiting[*job]{
		Value: j, Priority: rank(j), Turn: j.arrived,
		InTime: j.arrived + placer.InTime(objective, j.kind.Prompt),
		Latest: min(r.bench.now+placer.WaitTime(objective, j.kind.Prompt), j.arrived+j.kind.Within-runTime(j.hint)),
		Long:   j.hint >= placer.LongTokens,
	})
	return r.tick()
}

// rank is a generation's rank among the routes of a relay, which count from 0.
// Classes count from 1.
func rank(j *job) int { return j.request.Class.Priority() - 1 }

// runTime is how long a generation takes at the least, as it is taken into
// account where deadlines are near.
func runTime(tokens int) time.Duration {
	return time.Duration(min(tokens, placer.LongTokens)) * tokenTime
}

// tick sends generations from the line to engines that have room.
func (r *relaying) tick() []decision {
	var out []decision
	now := r.bench.now
	for _, w := range r.line.Overdue(now) {
		back := comeBack + time.Duration(r.bench.hints.Int64N(int64(comeBack/2)))
		out = append(out, decision{job: w.Value, refused: true, back: back})
	}
	engines, candidates := r.candidates(nil)
	r.line.Send(now, func(j *job) placer.Room {
		d := r.demand(j)
		d.Limits = placer.NewLimits(j.hint < placer.LongTokens, r.shorts.Before(rank(j), now))
		choice := r.ledger.Pick(candidates, d, now, r.bench.random.Float64)
		if choice.Index < 0 {
			return max(choice.Lacks, placer.NoReading)
		}
		r.place(j, engines[choice.Index], d.Tokens, j.kind.Prompt)
		out = append(out, decision{job: j, engine: engines[choice.Index]})
		return placer.HasRoom
	})
	return out
}

func (r *relaying) place(j *job, e *engineState, tokens, prefill int) {
	r.placed[j] = r.ledger.Start(e.name, tokens, prefill)
	r.tell()
}

// tell lets the other VMs hear of this one's loads.
func (r *relaying) tell() {
	loads := r.ledger.Own()
	r.bench.at(r.bench.now+toldAfter, func() {
		for _, v := range r.bench.vms {
			if other, ok := v.decider.(*relaying); ok && v != r.vm {
				other.ledger.Peer(r.vm.name, bluebelldoor.LoadDelta{Loads: loads}, r.bench.now)
			}
		}
	})
}

func (r *relaying) refresh() { r.tell() }

func (r *relaying) produced(j *job, _ time.Duration) {
	reservation := r.placed[j]
	if reservation == nil {
		return
	}
	reservation.Read()
	made := j.result.tokens
	reservation.Need(j.kind.Prompt+max(j.hint, made), j.kind.Prompt+made)
}

func (r *relaying) leave(j *job) []decision {
	if reservation := r.placed[j]; reservation != nil {
		reservation.End()
		delete(r.placed, j)
	}
	for _, w := range r.line.Order(r.bench.now) {
		if w.Value == j {
			r.line.Remove(w)
		}
	}
	return r.tick()
}

func (r *relaying) done(j *job) []decision    { return r.leave(j) }
func (r *relaying) abandon(j *job) []decision { return r.leave(j) }
func (r *relaying) failed(j *job) []decision  { return r.leave(j) }

// destination chooses an engine for a copy of a generation.
func (r *relaying) destination(j *job) *engineState {
	engines, candidates := r.candidates(j.engine)
	held := j.kind.Prompt + j.result.tokens
	d := r.demand(j)
	d.Copied, d.Held, d.Limits, d.DataCentre = true, held, placer.CopyLimits, r.bench.dataCentre(j.engine)
	choice := r.ledger.Pick(candidates, d, r.bench.now, r.bench.random.Float64)
	if choice.Index < 0 {
		return nil
	}
	return engines[choice.Index]
}

// moved notes that a generation goes on at another engine.
func (r *relaying) moved(j *job, to *engineState) {
	r.placed[j].End()
	r.place(j, to, 0, 0)
	r.produced(j, 0)
}

// moveTo takes a generation's memory to another engine.
func (b *bench) moveTo(j *job, to *engineState) {
	j.engine.batcher.Detach(j.request.ID)
	j.vm.decider.(*relaying).moved(j, to)
	j.engine = to
	j.sequence.Copied = true
	to.batcher.Add(j.sequence)
}

var _ decider = (*relaying)(nil)

// fits reports whether an engine has memory for a copy.
func fits(e *engineState, c batcher.Config, held int) bool {
	return e.batcher.MemoryUsed()+held < c.MemoryTokens && e.batcher.Running() < c.MaxRunning
}

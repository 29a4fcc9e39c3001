package rater

import (
	"slices"
	"time"

	"bluebelldoor/standin/batcher"
)

// Engines are taken away all the while, as on the users' platform: it reclaims a
// sixth of them each 3.3 s with 1.7 s of notice.
const (
	reclaimShare = 0.17
	reclaimEvery = 3300 * time.Millisecond
	notice       = 1700 * time.Millisecond
	awayFor      = 3 * time.Second
	// wholeCopy is how long a link takes for the whole memory of an engine, as on
	// the users' platform, lastCopy what the copy of the rest takes.
	wholeCopy = 1870 * time.Millisecond
	lastCopy  = 30 * time.Millisecond
	// awayTimes is how much longer a copy to another data centre takes.
	awayTimes = 2
)

// reclaim gives some engines notice.
func (b *bench) reclaim() {
	b.at(b.now+reclaimEvery, b.reclaim)
	for range max(1, int(reclaimShare*float64(len(b.engines)))) {
		b.giveNotice(b.engines[b.hints.IntN(len(b.engines))])
	}
}

func (b *bench) giveNotice(e *engineState) {
	if e.leaving || e.lost {
		return
	}
	e.leaving = true
	b.at(b.now+notice, func() { b.takeAway(e) })
	if b.run.Policy == Relay {
		b.empty(e)
	}
}

// takeAway ends what still runs on an engine; an empty one comes back later.
func (b *bench) takeAway(e *engineState) {
	b.lose(e)
	b.at(b.now+awayFor, func() {
		b.table.preemptions += e.batcher.Preemptions()
		b.table.wasted += e.batcher.WastedTokens()
		e.batcher = batcher.New(b.run.Workload.Engine)
		e.lost, e.leaving = false, false
		e.warmUp(b.run.Workload.Engine)
		e.reports = nil
		b.step(e)
		b.report(e)
	})
}

// empty moves the generations off an engine, the smallest first, one after the
// other.
func (b *bench) empty(e *engineState) {
	if e.lost {
		return
	}
	var next *job
	for _, j := range b.on(e) {
		if j.result.tokens > 0 && !j.stuck && (next == nil || j.held() < next.held()) {
			next = j
		}
	}
	if next == nil {
		b.at(b.now+idleStep, func() { b.empty(e) })
		return
	}
	to := next.vm.decider.(*relaying).destination(next)
	if to == nil || !fits(to, b.run.Workload.Engine, next.held()) {
		next.stuck = true
		b.empty(e)
		return
	}
	took := time.Duration(float64(next.held())/b.run.copyRate()*float64(time.Second)) + lastCopy
	if b.dataCentre(to) != b.dataCentre(e) {
		took *= awayTimes
	}
	b.at(b.now+took, func() {
		if !e.lost && b.jobs[next.request.ID] == next && !to.lost {
			b.moveTo(next, to)
		}
		b.empty(e)
	})
}

// copyRate is how many tokens of memory a link carries in a second.
func (r Run) copyRate() float64 {
	return float64(r.Workload.Engine.MemoryTokens) / wholeCopy.Seconds()
}

// held is the memory that a generation has.
func (j *job) held() int { return j.kind.Prompt + j.result.tokens }

// on returns what runs on an engine, in the order of arrival.
func (b *bench) on(e *engineState) []*job {
	var out []*job
	for _, j := range b.jobs {
		if j.engine == e {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(x, y *job) int { return x.number - y.number })
	return out
}

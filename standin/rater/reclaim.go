package rater

import (
	"slices"
	"time"

	"bluebelldoor/standin/batcher"
)

// Engines are reclaimed as on the users' platform, which takes away a sixth of
// them every 3.3 s, with 1.7 s of notice.
const (
	reclaimShare     = 0.17
	reclaimInterval  = 3300 * time.Millisecond
	noticePeriod     = 1700 * time.Millisecond
	replacementDelay = 3 * time.Second
	// fullCopyTime is how long a link takes for the whole memory of an engine, as
	// on the users' platform. finalCopyTime is how long the final copy takes, of
	// the tokens generated since the first.
	fullCopyTime  = 1870 * time.Millisecond
	finalCopyTime = 30 * time.Millisecond
	// remoteCopyFactor is how much longer a copy to another data centre takes.
	remoteCopyFactor = 2
)

// reclaim gives notice to some engines and schedules the next round.
func (b *bench) reclaim() {
	b.schedule(b.now+reclaimInterval, b.reclaim)
	for range max(1, int(reclaimShare*float64(len(b.engines)))) {
		b.giveNotice(b.engines[b.policyRandom.IntN(len(b.engines))])
	}
}

// giveNotice schedules the reclaim of an engine. With policy Relay, its generations
// move off it meanwhile.
func (b *bench) giveNotice(e *engineState) {
	if e.leaving || e.lost {
		return
	}
	e.leaving = true
	b.schedule(b.now+noticePeriod, func() { b.remove(e) })
	if b.run.Policy == Relay {
		b.evacuate(e)
	}
}

// remove fails the requests that still run on an engine, and replaces it with an
// empty, warm one later.
func (b *bench) remove(e *engineState) {
	b.lose(e)
	b.schedule(b.now+replacementDelay, func() {
		b.table.preemptions += e.batcher.Preemptions()
		b.table.wastedTokens += e.batcher.WastedTokens()
		e.batcher = batcher.New(b.run.Workload.Engine)
		e.lost, e.leaving = false, false
		e.warmUp(b.run.Workload.Engine)
		e.reports = nil
		b.step(e)
		b.report(e)
	})
}

// evacuate moves the generations off an engine one at a time, the smallest first.
func (b *bench) evacuate(e *engineState) {
	if e.lost {
		return
	}
	var next *job
	for _, j := range b.jobsOn(e) {
		if j.result.tokens > 0 && !j.noDestination && (next == nil || j.memoryTokens() < next.memoryTokens()) {
			next = j
		}
	}
	if next == nil {
		b.schedule(b.now+idlePollInterval, func() { b.evacuate(e) })
		return
	}
	to := next.vm.decider.(*relayDecider).destination(next)
	if to == nil || !fits(to, b.run.Workload.Engine, next.memoryTokens()) {
		next.noDestination = true
		b.evacuate(e)
		return
	}
	duration := time.Duration(float64(next.memoryTokens())/b.run.copyRate()*float64(time.Second)) + finalCopyTime
	if b.dataCentre(to) != b.dataCentre(e) {
		duration *= remoteCopyFactor
	}
	b.schedule(b.now+duration, func() {
		if !e.lost && b.jobs[next.request.ID] == next && !to.lost {
			b.move(next, to)
		}
		b.evacuate(e)
	})
}

// copyRate returns how many tokens of memory a link copies per second.
func (r Run) copyRate() float64 {
	return float64(r.Workload.Engine.MemoryTokens) / fullCopyTime.Seconds()
}

// memoryTokens returns the size of a generation's memory.
func (j *job) memoryTokens() int { return j.kind.PromptTokens + j.result.tokens }

// jobsOn returns the jobs on an engine in order of arrival.
func (b *bench) jobsOn(e *engineState) []*job {
	var out []*job
	for _, j := range b.jobs {
		if j.engine == e {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(x, y *job) int { return x.number - y.number })
	return out
}

package rater

import (
	"fmt"
	"strconv"
	"time"

	"bluebelldoor"
	"bluebelldoor/standin/batcher"
)

type engineState struct {
	name    string
	batcher *batcher.Batcher
	lost    bool
	// leaving reports that the engine has been given notice.
	leaving bool
	reports []bluebelldoor.LoadReport
}

// addEngine adds a warm engine.
func (b *bench) addEngine(i int) {
	config := b.run.Workload.Engine
	e := &engineState{name: engineName(i), batcher: batcher.New(config)}
	e.warmUp(config)
	b.engines = append(b.engines, e)
	b.schedule(time.Duration(i)*time.Millisecond, func() { b.step(e) })
	b.schedule(0, func() { b.report(e) })
}

// warmUp runs enough short generations for the engine to become warm.
func (e *engineState) warmUp(config batcher.Config) {
	for range config.WarmAfter {
		e.batcher.Add(&batcher.Sequence{ID: "warm up", PromptTokens: 1, OutputTokens: 1})
	}
	e.batcher.Step()
}

func (b *bench) dataCentre(e *engineState) string {
	for _, t := range b.document.Targets() {
		if t.Name() == e.name {
			return t.DataCentre()
		}
	}
	return ""
}

func (b *bench) engine(name string) *engineState {
	for _, e := range b.engines {
		if e.name == name {
			return e
		}
	}
	panic(fmt.Sprintf("no engine %s", name))
}

// step runs one step of an engine. Callers receive its tokens when the step ends.
func (b *bench) step(e *engineState) {
	if e.lost {
		return
	}
	engine := e.batcher
	duration, produced := engine.Step()
	if duration == 0 {
		b.schedule(b.now+idlePollInterval, func() { b.step(e) })
		return
	}
	b.schedule(b.now+duration, func() {
		for _, s := range produced {
			if j := b.jobs[s.ID]; j != nil && j.sequence == s {
				b.receiveToken(j)
			}
		}
		b.step(e)
	})
}

// receiveToken passes a token on to the caller, and ends the request after the last
// one.
func (b *bench) receiveToken(j *job) {
	j.result.addToken(b.now-j.lastToken, b.now-j.arrived)
	gap := b.now - j.lastToken
	j.lastToken = b.now
	j.vm.produced(j, gap)
	if !j.sequence.Done() {
		return
	}
	delete(b.jobs, j.request.ID)
	j.result.completed = true
	j.result.preemptions = j.sequence.Preemptions()
	b.table.add(j, b.now)
	b.apply(j.vm.done(j))
}

// expire abandons a request at its deadline.
func (b *bench) expire(id string) {
	j := b.jobs[id]
	if j == nil {
		return
	}
	delete(b.jobs, id)
	if j.engine != nil {
		j.engine.batcher.Remove(id)
	}
	b.table.add(j, b.now)
	b.apply(j.vm.abandon(j))
}

// fail ends a request on a lost engine. A request whose caller has received no
// token is retried.
func (b *bench) fail(j *job) {
	delete(b.jobs, j.request.ID)
	decisions := j.vm.failed(j)
	if j.result.tokens == 0 && j.attempts <= maxRetries {
		j.engine = nil
		b.submit(j, 0)
	} else {
		if j.result.counted {
			b.table.addInterrupted(j.kind.Class, 1)
		}
		b.table.add(j, b.now)
	}
	b.apply(decisions)
}

// lose takes an engine away at once and fails its requests.
func (b *bench) lose(e *engineState) {
	e.lost = true
	for i := 1; i <= b.lastID; i++ { // in order of arrival, so that runs are repeatable
		if j := b.jobs["job-"+strconv.Itoa(i)]; j != nil && j.engine == e {
			b.fail(j)
		}
	}
}

// report adds a load report. VMs see the first of e.reports, which is the newest
// that is at least reportLag old.
func (b *bench) report(e *engineState) {
	if e.lost {
		return
	}
	e.reports = append(e.reports, bluebelldoor.LoadReport{
		Incarnation:  e.name,
		Leaving:      e.leaving,
		Warm:         e.batcher.Warm(),
		Running:      e.batcher.Running(),
		Waiting:      e.batcher.Waiting(),
		MemoryUsed:   e.batcher.MemoryUsed(),
		MemoryTokens: b.run.Workload.Engine.MemoryTokens,
		Finished:     e.batcher.Finished(),
		Received:     b.wallTime(),
	})
	for len(e.reports) > 1 && b.wallTime().Sub(e.reports[1].Received) >= reportLag {
		e.reports = e.reports[1:]
	}
	b.schedule(b.now+refreshInterval/5, func() { b.report(e) })
}

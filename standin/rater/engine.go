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
	// leaving tells that the engine has been given notice.
	leaving bool
	reports []bluebelldoor.LoadReport
}

// addEngine adds an engine that is warm from the start.
func (b *bench) addEngine(i int) {
	config := b.run.Workload.Engine
	e := &engineState{name: engineName(i), batcher: batcher.New(config)}
	e.warmUp(config)
	b.engines = append(b.engines, e)
	b.at(time.Duration(i)*time.Millisecond, func() { b.step(e) })
	b.at(0, func() { b.report(e) })
}

// warmUp lets an engine end what makes it warm.
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

// step runs one step of an engine; its tokens are seen when it ends.
func (b *bench) step(e *engineState) {
	if e.lost {
		return
	}
	inside := e.batcher
	took, produced := inside.Step()
	if took == 0 {
		b.at(b.now+idleStep, func() { b.step(e) })
		return
	}
	b.at(b.now+took, func() {
		for _, s := range produced {
			if j := b.jobs[s.ID]; j != nil && j.sequence == s {
				b.token(j)
			}
		}
		b.step(e)
	})
}

func (b *bench) token(j *job) {
	j.result.token(b.now-j.last, b.now-j.arrived)
	gap := b.now - j.last
	j.last = b.now
	j.vm.produced(j, gap)
	if !j.sequence.Done() {
		return
	}
	delete(b.jobs, j.request.ID)
	j.result.whole = true
	j.result.preemptions = j.sequence.Preemptions()
	b.table.add(j, b.now)
	b.decide(j.vm.done(j))
}

// expire gives a request up at its deadline.
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
	b.decide(j.vm.abandon(j))
}

// fail ends a request on a lost engine; one that showed nothing is run anew.
func (b *bench) fail(j *job) {
	delete(b.jobs, j.request.ID)
	decisions := j.vm.failed(j)
	if j.result.tokens == 0 && j.tries <= retryGiven {
		j.engine = nil
		b.submit(j, 0)
	} else {
		if j.result.counted {
			b.table.noteCut(j.kind.Class, 1)
		}
		b.table.add(j, b.now)
	}
	b.decide(decisions)
}

func (b *bench) lose(e *engineState) {
	e.lost = true
	for i := 1; i <= b.ids; i++ { // in the order of arrival, to be repeatable
		if j := b.jobs["job-"+strconv.Itoa(i)]; j != nil && j.engine == e {
			b.fail(j)
		}
	}
}

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
		Received:     b.clock(),
	})
	for len(e.reports) > 1 && b.clock().Sub(e.reports[1].Received) >= reportLag {
		e.reports = e.reports[1:]
	}
	b.at(b.now+reportEvery/5, func() { b.report(e) })
}

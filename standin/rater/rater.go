package rater

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"bluebelldoor"
	"bluebelldoor/process/ranker"
	"bluebelldoor/request/admitter"
	"bluebelldoor/standin/batcher"
)

const (
	model            = "model"
	refreshInterval  = 250 * time.Millisecond
	reportLag        = 200 * time.Millisecond
	tickInterval     = 20 * time.Millisecond
	idlePollInterval = 2 * time.Millisecond
	warmUpTime       = 20 * time.Second
	maxRetries       = 1
	// The delay before a refused caller's retry is at most its remaining time
	// divided by maxRetryDelayDivisor.
	maxRetryDelayDivisor = 3
)

var dataCentres = []string{"north", "middle", "south"}

func engineName(i int) string { return "engine-" + strconv.Itoa(i) }

// Fault is a fault injected after the first third of a run, unless stated
// otherwise.
type Fault string

// The faults.
const (
	NoFault    Fault = "calm" // no fault
	EngineLost Fault = "engine lost"
	EngineCold Fault = "engine cold"
	// DataCentreOut takes one data centre out of service for the middle third.
	DataCentreOut Fault = "data centre out"
	// EnginesReclaimed takes engines away with notice throughout the run.
	EnginesReclaimed Fault = "engines reclaimed"
)

// Policy is the scheduling policy of a run.
type Policy string

// The policies.
const (
	Admitter            Policy = "bluebelldoor"               // admitter and router
	AdmitterReportsOnly Policy = "bluebelldoor, reports only" // without load broadcasts
	Relay               Policy = "relay"                      // placer
	RelayWithoutMoves   Policy = "relay, no moves"            // placer, no migration off engines under notice
	RoundRobin          Policy = "round robin"                // baseline
	LeastOutstanding    Policy = "least outstanding"          // baseline
)

// Run holds the parameters of one simulation run.
type Run struct {
	Workload Workload
	Policy   Policy
	Fault    Fault
	// Load is the offered load as a share of Capacity.
	Load float64
	// Capacity is in requests a second.
	Capacity float64
	Duration time.Duration
	Seed     uint64
}

// event is a call scheduled for a virtual time.
type event struct {
	at    time.Duration
	order int // breaks ties, so that runs are repeatable
	call  func()
}

// events is a heap ordered by time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// job is one request of a caller.
type job struct {
	kind         Kind
	outputTokens int // of the complete generation
	hint         int // output tokens that the caller expects
	arrived      time.Duration
	request      *admitter.Request
	sequence     *batcher.Sequence
	vm           *vm
	engine       *engineState
	lastToken    time.Duration // or the time of the last attempt's start
	attempts     int
	number       int // of the last attempt, in order of submission
	// noDestination reports that no engine had room for a copy.
	noDestination bool
	result        result
}

type vm struct {
	name       string
	dataCentre string
	decider
}

// bench is a discrete-event simulation of the VMs and engines of a run.
type bench struct {
	run    Run
	random *rand.Rand
	// policyRandom serves draws that only some policies make, so that every
	// policy sees the same arrivals.
	policyRandom *rand.Rand
	start        time.Time
	now          time.Duration
	queue        events
	lastOrder    int
	engines      []*engineState
	vms          []*vm
	jobs         map[string]*job
	document     *bluebelldoor.Document
	table        Table
	lastID       int
}

// Measure simulates a run and returns its results.
func Measure(r Run) Table {
	b := &bench{
		run:          r,
		random:       rand.New(rand.NewPCG(r.Seed, 1)),
		policyRandom: rand.New(rand.NewPCG(r.Seed, 2)),
		start:        time.Unix(1_000_000, 0),
		jobs:         map[string]*job{},
		document:     r.Workload.document(""),
	}
	for i := range r.Workload.Engines {
		b.addEngine(i)
	}
	for i := range r.Workload.VMs {
		b.addVM(i)
	}
	b.scheduleRun()
	for b.queue.Len() > 0 {
		e := heap.Pop(&b.queue).(event)
		if e.at > r.Duration {
			break
		}
		b.now = e.at
		e.call()
	}
	for _, e := range b.engines {
		b.table.preemptions += e.batcher.Preemptions()
		b.table.wastedTokens += e.batcher.WastedTokens()
		hits, misses := e.batcher.CacheHits()
		b.table.cacheHits += hits
		b.table.cacheMisses += misses
	}
	return b.table
}

// schedule schedules a call for a virtual time.
func (b *bench) schedule(at time.Duration, call func()) {
	b.lastOrder++
	heap.Push(&b.queue, event{at: at, order: b.lastOrder, call: call})
}

// wallTime returns the virtual time as a time.Time.
func (b *bench) wallTime() time.Time { return b.start.Add(b.now) }

func (b *bench) addVM(i int) {
	v := &vm{name: "vm-" + strconv.Itoa(i), dataCentre: dataCentres[i%len(dataCentres)]}
	switch b.run.Policy {
	case Relay, RelayWithoutMoves:
		v.decider = newRelayDecider(b, v)
	case Admitter, AdmitterReportsOnly, RoundRobin, LeastOutstanding:
		v.decider = newAdmitterDecider(b, v)
	}
	b.vms = append(b.vms, v)
	b.schedule(time.Duration(i)*refreshInterval/time.Duration(b.run.Workload.VMs), func() { b.refresh(v) })
	b.schedule(time.Duration(i)*time.Millisecond, func() { b.tick(v) })
}

// scheduleRun schedules the first arrival and the fault.
func (b *bench) scheduleRun() {
	b.schedule(time.Second, b.arrive)
	third := b.run.Duration / 3
	switch b.run.Fault {
	case NoFault:
	case EngineLost:
		b.schedule(third, func() { b.lose(b.engines[0]) })
	case EngineCold:
		b.schedule(third, func() { b.engines[0].batcher.MakeCold() })
	case DataCentreOut:
		b.schedule(third, func() { b.document = b.run.Workload.document(dataCentres[0]) })
		b.schedule(2*third, func() { b.document = b.run.Workload.document("") })
	case EnginesReclaimed:
		b.schedule(reclaimInterval, b.reclaim)
	}
}

// arrive submits one request and schedules the next, as a Poisson process.
func (b *bench) arrive() {
	kind, outputTokens := b.run.Workload.draw(b.random)
	account := b.random.IntN(b.run.Workload.Accounts)
	j := &job{kind: kind, outputTokens: outputTokens, arrived: b.now, vm: b.vms[b.random.IntN(len(b.vms))]}
	j.hint = b.hint(outputTokens, kind.MaxTokens)
	j.result.counted = b.now > warmUpTime && b.now+kind.TimeLimit < b.run.Duration
	b.submit(j, account)
	rate := b.run.Load * b.run.Capacity
	b.schedule(b.now+time.Duration(b.random.ExpFloat64()/rate*float64(time.Second)), b.arrive)
}

// submit starts an attempt of a request at its VM.
func (b *bench) submit(j *job, account int) {
	b.lastID++
	id := "job-" + strconv.Itoa(b.lastID)
	j.attempts++
	j.number = b.lastID
	j.request = &admitter.Request{
		ID: id,
		Account: bluebelldoor.NewClientAccount(bluebelldoor.AccountSpec{
			Name: "account-" + strconv.Itoa(account), MaxStreams: 100_000, Large: true,
		}),
		Class:        b.document.Class(j.kind.Class),
		Model:        model,
		PromptTokens: j.kind.PromptTokens,
		MaxTokens:    j.kind.MaxTokens,
		Arrived:      b.wallTime(),
		Deadline:     b.start.Add(j.arrived + j.kind.TimeLimit),
	}
	j.sequence = &batcher.Sequence{ID: id, PromptTokens: j.kind.PromptTokens, OutputTokens: j.outputTokens, Priority: j.request.Class.Priority()}
	if j.kind.SharedPrefix > 0 {
		j.sequence.Prefix = j.kind.Class + "/" + strconv.Itoa(account)
		j.sequence.PrefixTokens = int(j.kind.SharedPrefix * float64(j.kind.PromptTokens))
		j.request.PrefixHash = ranker.Score(model, j.sequence.Prefix)
	}
	j.lastToken = b.now
	b.jobs[id] = j
	b.schedule(j.arrived+j.kind.TimeLimit, func() { b.expire(id) })
	b.apply(j.vm.arrive(j))
}

// apply carries out decisions.
func (b *bench) apply(decisions []decision) {
	for _, d := range decisions {
		j := d.job
		if d.refused && b.retryLater(j, d.retryAfter) {
			continue
		}
		if d.refused {
			delete(b.jobs, j.request.ID)
			j.result.refused = true
			b.table.add(j, b.now)
			continue
		}
		j.engine = d.engine
		if j.engine.lost {
			b.fail(j)
			continue
		}
		j.engine.batcher.Add(j.sequence)
	}
}

// retryLater schedules a refused caller's retry for when it was told to retry, but
// at the latest after 1/maxRetryDelayDivisor of its remaining time. It reports
// whether the caller retries: not if too little time would remain for a first
// token.
func (b *bench) retryLater(j *job, after time.Duration) bool {
	remaining := j.arrived + j.kind.TimeLimit - b.now
	after = min(after, remaining/maxRetryDelayDivisor)
	if after <= 0 || remaining-after < firstTokenObjective {
		return false
	}
	b.schedule(b.now+after, func() {
		if b.jobs[j.request.ID] == j {
			b.apply(j.vm.arrive(j))
		}
	})
	return true
}

// refresh updates a VM from the newest load reports that have reached it.
func (b *bench) refresh(v *vm) {
	v.refresh()
	b.schedule(b.now+refreshInterval, func() { b.refresh(v) })
}

func (b *bench) vmNames() []string {
	names := make([]string, len(b.vms))
	for i, v := range b.vms {
		names[i] = v.name
	}
	return names
}

func (b *bench) tick(v *vm) {
	b.apply(v.tick())
	b.schedule(b.now+tickInterval, func() { b.tick(v) })
}

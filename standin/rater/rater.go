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
	model       = "model"
	reportEvery = 250 * time.Millisecond
	reportLag   = 200 * time.Millisecond
	tickEvery   = 20 * time.Millisecond
	idleStep    = 2 * time.Millisecond
	warmUp      = 20 * time.Second
	retryGiven  = 1
	// returnPart is the part of their time after which callers that were refused
	// come back at the latest.
	returnPart = 3
)

var dataCentres = []string{"north", "middle", "south"}

func engineName(i int) string { return "engine-" + strconv.Itoa(i) }

// Fault is what happens in the middle third of a run.
type Fault string

// The faults.
const (
	Calm        Fault = "calm"
	EngineLost  Fault = "engine lost"
	EngineCold  Fault = "engine cold"
	DataCentres Fault = "data centre out"
	// Reclaims takes engines away all the while, each with a notice.
	Reclaims Fault = "engines reclaimed"
)

// Policy is what decides.
type Policy string

// The policies: that of the system's own interface, the same by reports alone,
// that of requests which are passed on as they are, the same without moves, and
// two baselines.
const (
	Own              Policy = "bluebelldoor"
	OwnReports       Policy = "bluebelldoor, reports only"
	Relay            Policy = "relay"
	RelayStays       Policy = "relay, no moves"
	RoundRobin       Policy = "round robin"
	LeastOutstanding Policy = "least outstanding"
)

// Run is one measurement.
type Run struct {
	Workload Workload
	Policy   Policy
	Fault    Fault
	// Load is the share of capacity that is offered.
	Load     float64
	Capacity float64
	Duration time.Duration
	Seed     uint64
}

// event is something that happens at a time; the heap orders them.
type event struct {
	at    time.Duration
	order int
	do    func()
}

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

// job is one request on its way.
type job struct {
	kind     Kind
	length   int
	hint     int // what the caller expects
	arrived  time.Duration
	request  *admitter.Request
	sequence *batcher.Sequence
	vm       *vm
	engine   *engineState
	last     time.Duration
	tries    int
	number   int
	// stuck tells that no engine has room for a copy.
	stuck  bool
	result result
}

type vm struct {
	name string
	near string
	decider
}

type bench struct {
	run    Run
	random *rand.Rand
	// hints draws what only some policies ask for, so that all see the same
	// arrivals.
	hints    *rand.Rand
	start    time.Time
	now      time.Duration
	queue    events
	order    int
	engines  []*engineState
	vms      []*vm
	jobs     map[string]*job
	document *bluebelldoor.Document
	table    Table
	ids      int
}

// Measure makes a run and returns what was seen.
func Measure(r Run) Table {
	b := &bench{
		run:      r,
		random:   rand.New(rand.NewPCG(r.Seed, 1)),
		hints:    rand.New(rand.NewPCG(r.Seed, 2)),
		start:    time.Unix(1_000_000, 0),
		jobs:     map[string]*job{},
		document: r.Workload.document(""),
	}
	for i := range r.Workload.Engines {
		b.addEngine(i)
	}
	for i := range r.Workload.VMs {
		b.addVM(i)
	}
	b.plan()
	for b.queue.Len() > 0 {
		e := heap.Pop(&b.queue).(event)
		if e.at > r.Duration {
			break
		}
		b.now = e.at
		e.do()
	}
	for _, e := range b.engines {
		b.table.preemptions += e.batcher.Preemptions()
		b.table.wasted += e.batcher.WastedTokens()
		hits, misses := e.batcher.CacheHits()
		b.table.hits += hits
		b.table.misses += misses
	}
	return b.table
}

func (b *bench) at(d time.Duration, do func()) {
	b.order++
	heap.Push(&b.queue, event{at: d, order: b.order, do: do})
}

func (b *bench) clock() time.Time { return b.start.Add(b.now) }

func (b *bench) addVM(i int) {
	v := &vm{name: "vm-" + strconv.Itoa(i), near: dataCentres[i%len(dataCentres)]}
	switch b.run.Policy {
	case Relay, RelayStays:
		v.decider = newRelaying(b, v)
	case Own, OwnReports, RoundRobin, LeastOutstanding:
		v.decider = newAdmitting(b, v)
	}
	b.vms = append(b.vms, v)
	b.at(time.Duration(i)*reportEvery/time.Duration(b.run.Workload.VMs), func() { b.refresh(v) })
	b.at(time.Duration(i)*time.Millisecond, func() { b.tick(v) })
}

// plan schedules arrivals and the fault.
func (b *bench) plan() {
	b.at(time.Second, b.arrive)
	third := b.run.Duration / 3
	switch b.run.Fault {
	case Calm:
	case EngineLost:
		b.at(third, func() { b.lose(b.engines[0]) })
	case EngineCold:
		b.at(third, func() { b.engines[0].batcher.MakeCold() })
	case DataCentres:
		b.at(third, func() { b.document = b.run.Workload.document(dataCentres[0]) })
		b.at(2*third, func() { b.document = b.run.Workload.document("") })
	case Reclaims:
		b.at(reclaimEvery, b.reclaim)
	}
}

// arrive makes one request and schedules the next.
func (b *bench) arrive() {
	kind, length := b.run.Workload.draw(b.random)
	account := b.random.IntN(b.run.Workload.Accounts)
	j := &job{kind: kind, length: length, arrived: b.now, vm: b.vms[b.random.IntN(len(b.vms))]}
	j.hint = b.hint(length, kind.Most)
	j.result.counted = b.now > warmUp && b.now+kind.Within < b.run.Duration
	b.submit(j, account)
	rate := b.run.Load * b.run.Capacity
	b.at(b.now+time.Duration(b.random.ExpFloat64()/rate*float64(time.Second)), b.arrive)
}

func (b *bench) submit(j *job, account int) {
	b.ids++
	id := "job-" + strconv.Itoa(b.ids)
	j.tries++
	j.number = b.ids
	j.request = &admitter.Request{
		ID: id,
		Account: bluebelldoor.NewClientAccount(bluebelldoor.AccountSpec{
			Name: "account-" + strconv.Itoa(account), MaxStreams: 100_000, Large: true,
		}),
		Class:     b.document.Class(j.kind.Class),
		Model:     model,
		Prompt:    j.kind.Prompt,
		MaxTokens: j.kind.Most,
		Arrived:   b.clock(),
		Deadline:  b.start.Add(j.arrived + j.kind.Within),
	}
	j.sequence = &batcher.Sequence{ID: id, PromptTokens: j.kind.Prompt, OutputTokens: j.length, Priority: j.request.Class.Priority()}
	if j.kind.Shared > 0 {
		j.sequence.Prefix = j.kind.Class + "/" + strconv.Itoa(account)
		j.sequence.PrefixTokens = int(j.kind.Shared * float64(j.kind.Prompt))
		j.request.Prefix = ranker.Score(model, j.sequence.Prefix)
	}
	j.last = b.now
	b.jobs[id] = j
	b.at(j.arrived+j.kind.Within, func() { b.expire(id) })
	b.decide(j.vm.arrive(j))
}

// decide carries decisions out.
func (b *bench) decide(decisions []decision) {
	for _, d := range decisions {
		j := d.job
		if d.refused && b.comesBack(j, d.back) {
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

// comesBack lets a caller that was refused come back when it was told to, but
// after a returnPart of its time at the latest, and reports whether it does.
func (b *bench) comesBack(j *job, after time.Duration) bool {
	left := j.arrived + j.kind.Within - b.now
	after = min(after, left/returnPart)
	if after <= 0 || left-after < objective {
		return false
	}
	b.at(b.now+after, func() {
		if b.jobs[j.request.ID] == j {
			b.decide(j.vm.arrive(j))
		}
	})
	return true
}

// refresh gives a VM the newest of what it is told, which lags.
func (b *bench) refresh(v *vm) {
	v.refresh()
	b.at(b.now+reportEvery, func() { b.refresh(v) })
}

func (b *bench) names() []string {
	names := make([]string, len(b.vms))
	for i, v := range b.vms {
		names[i] = v.name
	}
	return names
}

func (b *bench) tick(v *vm) {
	b.decide(v.tick())
	b.at(b.now+tickEvery, func() { b.tick(v) })
}

package rater

import (
	"strconv"
	"time"

	"bluebelldoor/process/ranker"
	"bluebelldoor/process/slotter"
	"bluebelldoor/request/admitter"
	"bluebelldoor/request/router"
)

// soonest is the least time between two tellings of a VM.
const soonest = 15 * time.Millisecond

// decision says that a request starts at an engine, or is refused.
type decision struct {
	job     *job
	engine  *engineState
	refused bool
	// back is when a refused caller is told to come back, 0 for not at all.
	back time.Duration
}

// decider decides for one VM. What ends may let others start.
type decider interface {
	arrive(j *job) []decision
	produced(j *job, gap time.Duration)
	done(j *job) []decision
	abandon(j *job) []decision
	failed(j *job) []decision
	tick() []decision
	refresh()
}

// admitting decides by the admitter, or by a baseline.
type admitting struct {
	bench    *bench
	vm       *vm
	admitter *admitter.Admitter
	loads    map[string]*router.Load
	peers    *router.PeerLoads
	// telling tells that the other VMs are about to hear of this one's loads.
	telling bool
	told    time.Duration
}

func newAdmitting(b *bench, v *vm) *admitting {
	peers := router.NewPeerLoads()
	var chooser router.Chooser = router.New(peers)
	var options []admitter.Option
	switch b.run.Policy {
	case RoundRobin:
		chooser, options = &router.RoundRobin{}, append(options, admitter.WithNaive())
	case LeastOutstanding:
		chooser, options = router.LeastOutstanding{}, append(options, admitter.WithNaive())
	case OwnReports:
		chooser = router.Router{}
	case Own, Relay, RelayStays:
	}
	a := &admitting{bench: b, vm: v, admitter: admitter.New(chooser, b.random.Uint64, options...), loads: map[string]*router.Load{}, peers: peers}
	for _, e := range b.engines {
		a.loads[e.name] = router.NewLoad()
	}
	return a
}

func (a *admitting) decisions(in []admitter.Decision) []decision {
	var out []decision
	for _, d := range in {
		next := decision{job: a.bench.jobs[d.Request.ID], refused: d.Refusal != nil}
		if d.Refusal != nil {
			next.back = d.Refusal.RetryAfter()
		}
		if d.Target != nil {
			a.tell()
			next.engine = a.bench.engine(d.Target.Name())
		}
		out = append(out, next)
	}
	return out
}

// tell lets the other VMs hear of this one's loads.
func (a *admitting) tell() {
	if a.telling {
		return
	}
	a.telling = true
	a.bench.at(max(a.bench.now, a.told+soonest)+toldAfter, func() {
		a.telling = false
		a.told = a.bench.now
		loads := a.admitter.Loads()
		for _, v := range a.bench.vms {
			if v != a.vm {
				v.decider.(*admitting).peers.Hear(a.vm.name, loads, a.bench.clock())
			}
		}
	})
}

func (a *admitting) arrive(j *job) []decision {
	j.request.Arrived = a.bench.clock()
	return a.decisions(a.admitter.Arrive(j.request, a.bench.clock()))
}

func (a *admitting) produced(j *job, gap time.Duration) {
	a.admitter.Produced(j.request.ID, j.result.tokens, gap)
}

func (a *admitting) done(j *job) []decision {
	return a.decisions(a.admitter.Done(j.request.ID, a.bench.clock()))
}

func (a *admitting) abandon(j *job) []decision {
	return a.decisions(a.admitter.Abandon(j.request.ID, a.bench.clock()))
}

func (a *admitting) failed(j *job) []decision {
	return a.decisions(a.admitter.Failed(j.request.ID, a.bench.clock()))
}

func (a *admitting) tick() []decision { return a.decisions(a.admitter.Tick(a.bench.clock())) }

// refresh takes a new table from the lagging reports.
func (a *admitting) refresh() {
	b := a.bench
	var candidates []*router.Candidate
	for _, t := range b.document.Targets() {
		e := b.engine(t.Name())
		c := &router.Candidate{Target: t, Load: a.loads[e.name], Reported: true, Report: e.reports[0], Near: t.DataCentre() == a.vm.near}
		c.Warm = c.Report.Warm
		if !b.document.DataCentre(t.DataCentre()).InService() {
			c.Closed = "out of service"
		}
		for i := range t.ColdSlots() {
			if ranker.First(t.Name()+"/"+strconv.Itoa(i), b.names()) == a.vm.name {
				c.Slots = append(c.Slots, slotter.Slot{Drained: true})
			}
		}
		candidates = append(candidates, c)
	}
	a.tell()
	table := router.NewTable(a.vm.name, len(b.vms), candidates)
	for _, name := range b.names() {
		if name != a.vm.name {
			table.Peers = append(table.Peers, name)
		}
	}
	a.admitter.SetTable(table, b.document)
}

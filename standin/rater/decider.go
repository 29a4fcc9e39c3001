package rater

import (
	"strconv"
	"time"

	"bluebelldoor/process/ranker"
	"bluebelldoor/process/slotter"
	"bluebelldoor/request/admitter"
	"bluebelldoor/request/router"
)

// minBroadcastInterval is the minimum time between two load broadcasts of a VM.
const minBroadcastInterval = 15 * time.Millisecond

// decision is that a request starts on an engine, or is refused.
type decision struct {
	job     *job
	engine  *engineState
	refused bool
	// retryAfter is the delay given to a refused caller, 0 for no retry.
	retryAfter time.Duration
}

// decider makes the decisions of one VM. A request that ends frees room, so the
// methods that end one return the requests that now start or are refused.
type decider interface {
	arrive(j *job) []decision
	produced(j *job, gap time.Duration)
	done(j *job) []decision
	abandon(j *job) []decision
	failed(j *job) []decision
	tick() []decision
	refresh()
}

// admitterDecider decides with the admitter, or with a baseline chooser.
type admitterDecider struct {
	bench    *bench
	vm       *vm
	admitter *admitter.Admitter
	loads    map[string]*router.Load
	peers    *router.PeerLoads
	// broadcasting reports that a broadcast of the loads is scheduled.
	broadcasting  bool
	lastBroadcast time.Duration
}

func newAdmitterDecider(b *bench, v *vm) *admitterDecider {
	peers := router.NewPeerLoads()
	var chooser router.Chooser = router.New(peers)
	var options []admitter.Option
	switch b.run.Policy {
	case RoundRobin:
		chooser, options = &router.RoundRobin{}, append(options, admitter.WithNaive())
	case LeastOutstanding:
		chooser, options = router.LeastOutstanding{}, append(options, admitter.WithNaive())
	case AdmitterReportsOnly:
		chooser = router.Router{}
	case Admitter, Relay, RelayWithoutMoves:
	}
	a := &admitterDecider{bench: b, vm: v, admitter: admitter.New(chooser, b.random.Uint64, options...), loads: map[string]*router.Load{}, peers: peers}
	for _, e := range b.engines {
		a.loads[e.name] = router.NewLoad()
	}
	return a
}

func (a *admitterDecider) decisions(in []admitter.Decision) []decision {
	var out []decision
	for _, d := range in {
		next := decision{job: a.bench.jobs[d.Request.ID], refused: d.Refusal != nil}
		if d.Refusal != nil {
			next.retryAfter = d.Refusal.RetryAfter()
		}
		if d.Target != nil {
			a.broadcastLoads()
			next.engine = a.bench.engine(d.Target.Name())
		}
		out = append(out, next)
	}
	return out
}

// broadcastLoads schedules a broadcast of the VM's loads to the other VMs, unless
// one is already scheduled.
func (a *admitterDecider) broadcastLoads() {
	if a.broadcasting {
		return
	}
	a.broadcasting = true
	a.bench.schedule(max(a.bench.now, a.lastBroadcast+minBroadcastInterval)+broadcastDelay, func() {
		a.broadcasting = false
		a.lastBroadcast = a.bench.now
		loads := a.admitter.Loads()
		for _, v := range a.bench.vms {
			if v != a.vm {
				v.decider.(*admitterDecider).peers.Replace(a.vm.name, loads, a.bench.wallTime())
			}
		}
	})
}

func (a *admitterDecider) arrive(j *job) []decision {
	j.request.Arrived = a.bench.wallTime()
	return a.decisions(a.admitter.Arrive(j.request, a.bench.wallTime()))
}

func (a *admitterDecider) produced(j *job, gap time.Duration) {
	a.admitter.Produced(j.request.ID, j.result.tokens, gap)
}

func (a *admitterDecider) done(j *job) []decision {
	return a.decisions(a.admitter.Done(j.request.ID, a.bench.wallTime()))
}

func (a *admitterDecider) abandon(j *job) []decision {
	return a.decisions(a.admitter.Abandon(j.request.ID, a.bench.wallTime()))
}

func (a *admitterDecider) failed(j *job) []decision {
	return a.decisions(a.admitter.Failed(j.request.ID, a.bench.wallTime()))
}

func (a *admitterDecider) tick() []decision { return a.decisions(a.admitter.Tick(a.bench.wallTime())) }

// refresh builds a new routing table from the delayed load reports.
func (a *admitterDecider) refresh() {
	b := a.bench
	var candidates []*router.Candidate
	for _, t := range b.document.Targets() {
		e := b.engine(t.Name())
		c := &router.Candidate{Target: t, Load: a.loads[e.name], HasReport: true, Report: e.reports[0], SameDataCentre: t.DataCentre() == a.vm.dataCentre}
		c.Warm = c.Report.Warm
		if !b.document.DataCentre(t.DataCentre()).InService() {
			c.ClosedReason = "out of service"
		}
		for i := range t.ColdSlots() {
			if ranker.First(t.Name()+"/"+strconv.Itoa(i), b.vmNames()) == a.vm.name {
				c.Slots = append(c.Slots, slotter.Slot{Drained: true})
			}
		}
		candidates = append(candidates, c)
	}
	a.broadcastLoads()
	table := router.NewTable(a.vm.name, len(b.vms), candidates)
	for _, name := range b.vmNames() {
		if name != a.vm.name {
			table.Peers = append(table.Peers, name)
		}
	}
	a.admitter.SetTable(table, b.document)
}

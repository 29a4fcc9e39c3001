package router

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebelldoor"
	"bluebelldoor/process/slotter"
)

const (
	// reportTooOld is when a report no longer counts; the target is then as
	// good as cold.
	reportTooOld = 2 * time.Second
	// scanAll is up to how many candidates each one is weighed; of more than
	// that, sample are picked at random.
	scanAll = 16
	sample  = 8
	// probeEvery is of how many requests one goes to a cold target, if this VM
	// has a free slot of one.
	probeEvery = 4
	// memoryHeadroom is the share of memory that is never planned for.
	memoryHeadroom = 0.05
	// growth is the share of the tokens still to come that is planned for:
	// generations end at different times, and free their memory as they do.
	growth = 0.42
	// toldGrowth is the same where peers told what they have: nothing is set
	// aside for what reports do not show yet.
	toldGrowth = 0.1
	// queuedAtTarget is how many generations beyond its batch a target may
	// hold, so that it does not idle until its next report is seen.
	queuedAtTarget = 2
	// shareStretch is by how much VMs together may overdraw the room that a
	// report showed; while it travels, generations end.
	shareStretch = 1.5
	// farCost is what another data centre adds to the cost.
	farCost = 0.25
	// breakAfter failures in a row close a target, for breakFor at a time.
	breakAfter = 3
	breakFor   = time.Second
	// prefixGain is what the cost falls by at a target that has probably read
	// the prefix before; prefixTargets of them serve a prefix.
	prefixGain    = 0.6
	prefixTargets = 2
	// shareEpoch is how long a VM's lot in the rest of a target's room stands.
	shareEpoch = 200 * time.Millisecond
)

// Demand is what a request will come to need, in tokens.
type Demand struct {
	// Prompt is the size of the prompt.
	Prompt int
	// Need is the expected size of the output.
	Need int
	// Mean is what other VMs' generations are expected to still produce.
	Mean int
	// Prefix is a hash of the beginning of the prompt, 0 if it is too short to
	// be worth a cache.
	Prefix uint64
}

// Candidate is a target as one VM sees it. The load is shared between
// successive candidates of the same target; the rest is immutable.
type Candidate struct {
	Target   *bluebelldoor.Target
	Load     *Load
	Report   bluebelldoor.LoadReport
	Reported bool
	Warm     bool
	Slots    []slotter.Slot
	// Closed is why the target may get no new work, "" if it may.
	Closed string
	Near   bool
}

// Table is all candidates as the control goroutine last published them.
type Table struct {
	// Self is the name of this VM, VMs the number of VMs that send work.
	Self string
	VMs  int
	// Peers are the other VMs that send work.
	Peers  []string
	models map[string][]*Candidate
	names  map[string]*Candidate
}

// NewTable indexes candidates by model and name.
func NewTable(self string, vms int, candidates []*Candidate) *Table {
	t := &Table{
		Self:   self,
		VMs:    max(vms, 1),
		models: map[string][]*Candidate{},
		names:  make(map[string]*Candidate, len(candidates)),
	}
	for _, c := range candidates {
		t.names[c.Target.Name()] = c
		for _, m := range c.Target.Models() {
			t.models[m] = append(t.models[m], c)
		}
	}
	return t
}

// Candidate returns the candidate with this name, nil if there is none.
func (t *Table) Candidate(name string) *Candidate { return t.names[name] }

// Candidates returns the candidates of a model. Callers must not change it.
func (t *Table) Candidates(model string) []*Candidate { return t.models[model] }

// Chooser picks a candidate for a demand, nil if none may take it now. The
// number random decides between samples.
type Chooser interface {
	Choose(t *Table, model string, d Demand, now time.Time, random uint64) *Candidate
}

// Router is the chooser of the system. Without peers it goes by the targets'
// reports alone.
type Router struct{ peers *PeerLoads }

var _ Chooser = Router{}

// New returns a router that goes by what peers tell as well.
func New(peers *PeerLoads) Router { return Router{peers} }

// Choose implements Chooser. It allocates nothing.
func (r Router) Choose(t *Table, model string, d Demand, now time.Time, random uint64) *Candidate {
	all := t.models[model]
	if random%probeEvery == 0 {
		if c := probe(all, now, random/probeEvery); c != nil {
			return c
		}
	}
	p := pick{table: t, demand: d, now: now, peers: r.peers, told: r.peers.all(t.Peers, now)}
	for i := range prefixTargets {
		p.weigh(home(all, d.Prefix, i), prefixGain)
	}
	if len(all) <= scanAll {
		for _, c := range all {
			p.weigh(c, 0)
		}
		return p.best
	}
	step := len(all)/sample + 1
	start := int(random % uint64(len(all)))
	for i := range sample {
		p.weigh(all[(start+i*step)%len(all)], 0)
	}
	return p.best
}

// pick keeps the cheapest of the candidates that were weighed.
type pick struct {
	table  *Table
	demand Demand
	now    time.Time
	peers  *PeerLoads
	// told tells that all other VMs have said what they have on the targets.
	told bool
	best *Candidate
	cost float64
}

func (p *pick) weigh(c *Candidate, gain float64) {
	if c == nil {
		return
	}
	cost, ok := p.weight(c)
	if ok && (p.best == nil || cost-gain < p.cost) {
		p.best, p.cost = c, cost-gain
	}
}

// home returns the i-th target that serves a prefix, nil if there is none. All
// VMs see the candidates in the document's order, so they agree on it without
// a word; it is a hint, and nothing is lost when it is wrong.
func home(all []*Candidate, prefix uint64, i int) *Candidate {
	if prefix == 0 || len(all) == 0 {
		return nil
	}
	n := uint64(len(all))
	return all[(prefix+uint64(i)*(1+prefix/n%n))%n]
}

// probe returns a cold target with a free slot, so that it gets the work that
// makes it warm while others carry the load.
func probe(all []*Candidate, now time.Time, random uint64) *Candidate {
	for i := range min(len(all), scanAll) {
		c := all[(int(random%uint64(len(all)))+i)%len(all)]
		if c.Why(now) == bluebelldoor.OK && !c.WarmAt(now) && c.coldRoom(now) {
			return c
		}
	}
	return nil
}

// weight weighs a candidate; false if it may not take the demand now.
func (p *pick) weight(c *Candidate) (float64, bool) {
	if c.Why(p.now) != bluebelldoor.OK {
		return 0, false
	}
	if !c.WarmAt(p.now) {
		return coldCost + c.distance(), c.coldRoom(p.now)
	}
	running, memory := p.forecast(c)
	limit := c.Target.MaxRunning() + queuedAtTarget
	if running >= limit || !p.told && !c.share(p.table, p.now) {
		return 0, false
	}
	capacity := float64(c.Target.MemoryTokens()) * (1 - memoryHeadroom)
	full := float64(memory) / capacity
	if full > 1 {
		return 0, false
	}
	return float64(running)/float64(limit) + full + c.distance(), true
}

// coldCost makes a cold target the last choice.
const coldCost = 100

func (c *Candidate) distance() float64 {
	if c.Near {
		return 0
	}
	return farCost
}

// Open reports whether document and report let new work go to the target. It
// reads nothing that changes, unlike Why and WarmAt.
func (c *Candidate) Open() bool {
	return c.Closed == "" && c.Reported && !c.Report.Leaving
}

// Why returns why the target may get no new work at all, OK if it may.
func (c *Candidate) Why(now time.Time) bluebelldoor.Code {
	if !c.Open() {
		return bluebelldoor.NoTarget
	}
	if c.Load.failures >= breakAfter && now.Sub(c.Load.failedAt) < breakFor {
		return bluebelldoor.NoTarget
	}
	return bluebelldoor.OK
}

// WarmAt reports whether the target counts as warm at now: its newest report
// says so, is recent, and is younger than the last sign of a cold start.
func (c *Candidate) WarmAt(now time.Time) bool {
	return c.Warm && now.Sub(c.Report.Received) <= reportTooOld && c.Report.Received.After(c.Load.chilled)
}

// coldRoom reports whether this VM holds a free slot of a cold target, and the
// target's own report shows room as well.
func (c *Candidate) coldRoom(now time.Time) bool {
	usable := 0
	for _, s := range c.Slots {
		if s.Usable(now) {
			usable++
		}
	}
	if c.Load.Inflight() >= usable {
		return false
	}
	sent := c.Load.since(c.Report.Received)
	return c.Report.Running+c.Report.Waiting+sent < c.Target.ColdSlots()
}

// others returns what other VMs have on a target: what they told, if all did.
// Otherwise the target's report tells of those that did not, but it lags.
func (p *pick) others(c *Candidate) bluebelldoor.TargetLoad {
	told := p.peers.On(c.Target.Name(), p.now)
	if p.told {
		return told
	}
	mine, mineUsed := c.Load.reported(c.Report.Received)
	requests := max(c.Report.Running+c.Report.Waiting-mine, told.Requests)
	held := max(c.Report.MemoryUsed-mineUsed, told.Held)
	toCome := max(requests*p.demand.Mean, told.Tokens-told.Held)
	return bluebelldoor.TargetLoad{Requests: requests, Held: held, Tokens: held + toCome}
}

// forecast returns how many generations the target has now, and the memory, in
// tokens, that they and the demand will come to need together.
func (p *pick) forecast(c *Candidate) (running, memory int) {
	others, planned := p.others(c), growth
	if p.told {
		planned = toldGrowth
	}
	running = others.Requests + c.Load.Inflight()
	toCome := others.Tokens - others.Held + c.Load.need - c.Load.used + p.demand.Need
	memory = others.Held + c.Load.used + p.demand.Prompt + int(planned*float64(toCome))
	return running, memory
}

// share reports whether this VM may take one more of the room that the last
// report showed. All VMs see the same room; each takes its part, and the rest
// goes by lot, so that together they do not rush on it. What this VM's own
// generations freed since then is its own.
func (c *Candidate) share(t *Table, now time.Time) bool {
	at := c.Report.Received
	free := max(c.Target.MaxRunning()+queuedAtTarget-c.Report.Running-c.Report.Waiting, 0)
	room := int(shareStretch * float64(free))
	allowed := room/t.VMs + c.Load.finishedSince(at)
	sent := c.Load.since(at)
	if sent != allowed {
		return sent < allowed
	}
	return lot(c.Target.Name(), t.Self, now) < float64(room%t.VMs)/float64(t.VMs)
}

// lot draws a number from 0 to 1 that stands for one epoch.
func lot(target, self string, now time.Time) float64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(now.UnixNano() / int64(shareEpoch)))
	_, _ = d.WriteString(target)
	_, _ = d.WriteString(self)
	return float64(d.Sum64()>>11) / (1 << 53)
}

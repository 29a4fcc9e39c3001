package router

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebelldoor"
	"bluebelldoor/process/slotter"
)

const (
	// reportMaxAge is the age beyond which a report is ignored; the target then
	// counts as cold.
	reportMaxAge = 2 * time.Second
	// fullScanLimit is the number of candidates up to which all are compared;
	// of more than that, sampleSize are sampled at random.
	fullScanLimit = 16
	sampleSize    = 8
	// requestsPerProbe: one in this many requests goes to a cold target, if this
	// VM has a free slot of one.
	requestsPerProbe = 4
	// memoryHeadroom is the share of memory that is never planned for.
	memoryHeadroom = 0.05
	// outputShare is the share of the remaining output tokens that is planned
	// for: generations end at different times, and free their memory as they do.
	outputShare = 0.42
	// outputSharePeersKnown is used instead if all peers have sent their loads:
	// no reserve is needed for load that reports do not show yet.
	outputSharePeersKnown = 0.1
	// targetQueueLength is how many generations beyond its batch a target may
	// hold, so that it does not idle until its next report is seen.
	targetQueueLength = 2
	// shareOvercommit is the factor by which all VMs together may exceed the free
	// capacity in a report; generations end while the report is in transit.
	shareOvercommit = 1.5
	// remoteCost is added to the cost of a target in another data centre.
	remoteCost = 0.25
	// breakerFailures consecutive failures close a target for breakerTime.
	breakerFailures = 3
	breakerTime     = time.Second
	// prefixDiscount is subtracted from the cost of a target that has probably
	// cached the prefix; prefixTargets targets serve each prefix.
	prefixDiscount = 0.6
	prefixTargets  = 2
	// shareEpoch is how long a VM's random share of a target's remaining
	// capacity stays the same.
	shareEpoch = 200 * time.Millisecond
)

// Demand is the expected resource use of a request, in tokens.
type Demand struct {
	// PromptTokens is the size of the prompt.
	PromptTokens int
	// OutputTokens is the expected size of the output.
	OutputTokens int
	// MeanRemaining is the output that a generation of another VM is expected to
	// have left.
	MeanRemaining int
	// PrefixHash is a hash of the beginning of the prompt, 0 if it is too short
	// to be worth caching.
	PrefixHash uint64
}

// Candidate is a target as one VM sees it. The load is shared between
// successive candidates of the same target; the rest is immutable.
type Candidate struct {
	Target    *bluebelldoor.Target
	Load      *Load
	Report    bluebelldoor.LoadReport
	HasReport bool
	Warm      bool
	Slots     []slotter.Slot
	// ClosedReason is why the target may get no new work, "" if it may.
	ClosedReason string
	// SameDataCentre reports whether the target is in this VM's data centre.
	SameDataCentre bool
}

// Table is all candidates as the control goroutine last published them.
type Table struct {
	// Self is the name of this VM, VMs the number of VMs that send work.
	Self string
	VMs  int
	// Peers are the other VMs that send work.
	Peers   []string
	byModel map[string][]*Candidate
	byName  map[string]*Candidate
}

// NewTable indexes candidates by model and name.
func NewTable(self string, vms int, candidates []*Candidate) *Table {
	t := &Table{
		Self:    self,
		VMs:     max(vms, 1),
		byModel: map[string][]*Candidate{},
		byName:  make(map[string]*Candidate, len(candidates)),
	}
	for _, c := range candidates {
		t.byName[c.Target.Name()] = c
		for _, m := range c.Target.Models() {
			t.byModel[m] = append(t.byModel[m], c)
		}
	}
	return t
}

// Candidate returns the candidate with this name, nil if there is none.
func (t *Table) Candidate(name string) *Candidate { return t.byName[name] }

// Candidates returns the candidates of a model. Callers must not change it.
func (t *Table) Candidates(model string) []*Candidate { return t.byModel[model] }

// Chooser picks a candidate for a demand, nil if none can accept it now. The
// random number selects samples and breaks ties.
type Chooser interface {
	Choose(t *Table, model string, d Demand, now time.Time, random uint64) *Candidate
}

// Router is the default chooser. Without peers it relies on the targets'
// reports alone.
type Router struct{ peers *PeerLoads }

var _ Chooser = Router{}

// New returns a router that also uses the loads that peers send.
func New(peers *PeerLoads) Router { return Router{peers} }

// Choose implements Chooser. It allocates nothing.
func (r Router) Choose(t *Table, model string, d Demand, now time.Time, random uint64) *Candidate {
	all := t.byModel[model]
	if random%requestsPerProbe == 0 {
		if c := coldProbe(all, now, random/requestsPerProbe); c != nil {
			return c
		}
	}
	s := selection{table: t, demand: d, now: now, peers: r.peers, peersKnown: r.peers.allReported(t.Peers, now)}
	for i := range prefixTargets {
		s.consider(prefixTarget(all, d.PrefixHash, i), prefixDiscount)
	}
	if len(all) <= fullScanLimit {
		for _, c := range all {
			s.consider(c, 0)
		}
		return s.best
	}
	step := len(all)/sampleSize + 1
	start := int(random % uint64(len(all)))
	for i := range sampleSize {
		s.consider(all[(start+i*step)%len(all)], 0)
	}
	return s.best
}

// selection keeps the cheapest of the candidates considered so far.
type selection struct {
	table  *Table
	demand Demand
	now    time.Time
	peers  *PeerLoads
	// peersKnown reports whether all other VMs have sent their loads recently.
	peersKnown bool
	best       *Candidate
	cost       float64
}

func (s *selection) consider(c *Candidate, discount float64) {
	if c == nil {
		return
	}
	cost, ok := s.costOf(c)
	if ok && (s.best == nil || cost-discount < s.cost) {
		s.best, s.cost = c, cost-discount
	}
}

// prefixTarget returns the i-th target that serves a prefix, nil if there is
// none. All VMs have the candidates in the document's order, so they agree on
// it without communication. It is only a hint: a wrong one costs a cache miss.
func prefixTarget(all []*Candidate, prefix uint64, i int) *Candidate {
	if prefix == 0 || len(all) == 0 {
		return nil
	}
	n := uint64(len(all))
	return all[(prefix+uint64(i)*(1+prefix/n%n))%n]
}

// coldProbe returns a cold target with a free slot. The request warms it up
// while other targets carry the load.
func coldProbe(all []*Candidate, now time.Time, random uint64) *Candidate {
	for i := range min(len(all), fullScanLimit) {
		c := all[(int(random%uint64(len(all)))+i)%len(all)]
		if c.AvailabilityCode(now) == bluebelldoor.OK && !c.WarmAt(now) && c.hasColdSlot(now) {
			return c
		}
	}
	return nil
}

// costOf returns the cost of a candidate, and whether it can accept the demand
// now.
func (s *selection) costOf(c *Candidate) (float64, bool) {
	if c.AvailabilityCode(s.now) != bluebelldoor.OK {
		return 0, false
	}
	if !c.WarmAt(s.now) {
		return coldCost + c.distanceCost(), c.hasColdSlot(s.now)
	}
	running, memory := s.forecast(c)
	limit := c.Target.MaxRunning() + targetQueueLength
	if running >= limit || !s.peersKnown && !c.withinShare(s.table, s.now) {
		return 0, false
	}
	capacity := float64(c.Target.MemoryTokens()) * (1 - memoryHeadroom)
	utilization := float64(memory) / capacity
	if utilization > 1 {
		return 0, false
	}
	return float64(running)/float64(limit) + utilization + c.distanceCost(), true
}

// coldCost makes a cold target the last choice.
const coldCost = 100

func (c *Candidate) distanceCost() float64 {
	if c.SameDataCentre {
		return 0
	}
	return remoteCost
}

// AcceptsWork reports whether the document and the report allow new work on the
// target. Unlike AvailabilityCode and WarmAt, it reads no mutable state.
func (c *Candidate) AcceptsWork() bool {
	return c.ClosedReason == "" && c.HasReport && !c.Report.Leaving
}

// AvailabilityCode returns the code with which new work for the target is refused,
// OK if it is accepted.
func (c *Candidate) AvailabilityCode(now time.Time) bluebelldoor.Code {
	if !c.AcceptsWork() {
		return bluebelldoor.NoTarget
	}
	if c.Load.failures >= breakerFailures && now.Sub(c.Load.failedAt) < breakerTime {
		return bluebelldoor.NoTarget
	}
	return bluebelldoor.OK
}

// WarmAt reports whether the target counts as warm at now: its newest report
// says so, is recent, and is newer than the last sign of a cold start.
func (c *Candidate) WarmAt(now time.Time) bool {
	return c.Warm && now.Sub(c.Report.Received) <= reportMaxAge && c.Report.Received.After(c.Load.coldAt)
}

// hasColdSlot reports whether this VM holds a free slot of a cold target, and
// the target's own report shows free capacity as well.
func (c *Candidate) hasColdSlot(now time.Time) bool {
	usable := 0
	for _, s := range c.Slots {
		if s.Usable(now) {
			usable++
		}
	}
	if c.Load.Inflight() >= usable {
		return false
	}
	sent := c.Load.sentAfter(c.Report.Received)
	return c.Report.Running+c.Report.Waiting+sent < c.Target.ColdSlots()
}

// peerLoad returns the load of other VMs on a target. If all peers have sent
// theirs, it is the sum of those; otherwise the target's report, which lags,
// accounts for the VMs that have not.
func (s *selection) peerLoad(c *Candidate) bluebelldoor.TargetLoad {
	known := s.peers.OnTarget(c.Target.Name(), s.now)
	if s.peersKnown {
		return known
	}
	own, ownHeld := c.Load.reported(c.Report.Received)
	requests := max(c.Report.Running+c.Report.Waiting-own, known.Requests)
	held := max(c.Report.MemoryUsed-ownHeld, known.HeldTokens)
	remaining := max(requests*s.demand.MeanRemaining, known.Tokens-known.HeldTokens)
	return bluebelldoor.TargetLoad{Requests: requests, HeldTokens: held, Tokens: held + remaining}
}

// forecast returns how many generations the target has now, and the memory, in
// tokens, that they and the demand are expected to need together.
func (s *selection) forecast(c *Candidate) (running, memory int) {
	peers, share := s.peerLoad(c), outputShare
	if s.peersKnown {
		share = outputSharePeersKnown
	}
	running = peers.Requests + c.Load.Inflight()
	remaining := peers.Tokens - peers.HeldTokens + c.Load.expectedTokens - c.Load.heldTokens + s.demand.OutputTokens
	memory = peers.HeldTokens + c.Load.heldTokens + s.demand.PromptTokens + int(share*float64(remaining))
	return running, memory
}

// withinShare reports whether this VM may send one more request within its
// share of the free capacity that the last report showed. All VMs see the same
// report; each takes an equal share and the remainder is assigned at random per
// epoch, so that together they do not overload the target. Capacity that this
// VM's own generations have freed since the report is added to its share.
func (c *Candidate) withinShare(t *Table, now time.Time) bool {
	at := c.Report.Received
	free := max(c.Target.MaxRunning()+targetQueueLength-c.Report.Running-c.Report.Waiting, 0)
	capacity := int(shareOvercommit * float64(free))
	allowed := capacity/t.VMs + c.Load.finishedAfter(at)
	sent := c.Load.sentAfter(at)
	if sent != allowed {
		return sent < allowed
	}
	return epochRandom(c.Target.Name(), t.Self, now) < float64(capacity%t.VMs)/float64(t.VMs)
}

// epochRandom returns a pseudo-random number in [0, 1) for a target and a VM
// that stays the same for one epoch.
func epochRandom(target, self string, now time.Time) float64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(now.UnixNano() / int64(shareEpoch)))
	_, _ = d.WriteString(target)
	_, _ = d.WriteString(self)
	return float64(d.Sum64()>>11) / (1 << 53)
}

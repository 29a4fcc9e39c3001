package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebelldoor"
	"bluebelldoor/process/recorder"
	"bluebelldoor/process/slotter"
	"bluebelldoor/request/router"
	"bluebelldoor/version/viewer"
)

const (
	publishInterval  = 50 * time.Millisecond
	eventQueueSize   = 256
	pollsPerFreshFor = 4
	initialFreshFor  = time.Second
	peerPollTimeout  = time.Second
	reportInterval   = 250 * time.Millisecond
	minRetryDelay    = 100 * time.Millisecond
	maxRetryJitter   = 400 * time.Millisecond
	peerAliveTimeout = 3 * time.Second
	leaveTimeout     = time.Second
	// suspensionThreshold is above the difference that results from reading two
	// clocks one after the other.
	suspensionThreshold = 20 * time.Millisecond
)

// Sources are the adapters from which the controller gets its information.
type Sources struct {
	Configuration bluebelldoor.ConfigurationReader
	VMList        bluebelldoor.VMLister
	Peers         bluebelldoor.PeerClient
	Engines       bluebelldoor.EngineClient
	// Suspended returns the total time for which the VM has been suspended, which
	// the monotonic clock does not count; nil where the VM is never suspended.
	Suspended func() time.Duration
}

// Controller maintains the control state of one VM.
type Controller struct {
	settings    *bluebelldoor.Settings
	incarnation string
	started     time.Time
	sources     Sources
	log         hclog.Logger
	metrics     *recorder.Metrics
	events      chan event
	state       atomic.Pointer[State]

	// Owned by the control goroutine.
	viewer   *viewer.Viewer
	slotter  *slotter.Slotter
	loads    map[string]*router.Load
	reports  map[string]bluebelldoor.LoadReport
	peers    map[string]Peer
	polled   map[string]bool // targets that have answered or failed since the start
	ready    bool
	draining bool
	rejected rejection
	// lastSuspended is the last result of Sources.Suspended.
	lastSuspended time.Duration
}

// rejection is the newest document that was refused, and why.
type rejection struct {
	revision uint64
	reason   string
}

// New returns a controller that has no document and no VM list yet.
func New(settings *bluebelldoor.Settings, incarnation string, sources Sources, log hclog.Logger, metrics *recorder.Metrics) *Controller {
	c := &Controller{
		settings:    settings,
		incarnation: incarnation,
		started:     time.Now(),
		sources:     sources,
		log:         log,
		metrics:     metrics,
		events:      make(chan event, eventQueueSize),
		viewer:      viewer.New(settings.Name()),
		slotter:     slotter.New(settings.Name()),
		loads:       map[string]*router.Load{},
		reports:     map[string]bluebelldoor.LoadReport{},
		peers:       map[string]Peer{},
		polled:      map[string]bool{},
	}
	if c.sources.Suspended == nil {
		c.sources.Suspended = func() time.Duration { return 0 }
	}
	c.lastSuspended = c.sources.Suspended()
	c.publish(c.started)
	return c
}

// Start runs the controller until the clean-up function is called.
func (c *Controller) Start() func() {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, loop := range []func(context.Context){c.control, c.watchDocument, c.watchList, c.pollPeers, c.pollReports} {
		group.Go(func() { loop(ctx) })
	}
	return func() {
		cancel()
		group.Wait()
	}
}

// State returns the last published state; it is never nil.
func (c *Controller) State() *State { return c.state.Load() }

// Incarnation returns the identifier that distinguishes this process from earlier and
// later ones of the same VM.
func (c *Controller) Incarnation() string { return c.incarnation }

// Uptime returns the time since the process started, by the monotonic clock.
func (c *Controller) Uptime() time.Duration { return time.Since(c.started) }

// control is the loop that owns the control state. It never waits for I/O or for
// other goroutines.
func (c *Controller) control(ctx context.Context) {
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.events:
			if !c.applyEvents(e) {
				continue
			}
		case <-ticker.C:
			c.detectSuspension()
		}
		c.publish(time.Now())
	}
}

// detectSuspension discards the evidence for the view if the VM was suspended.
// The monotonic clock, which measures the age of the evidence, did not advance
// meanwhile; this also applies to polls that are in flight.
func (c *Controller) detectSuspension() {
	now := c.sources.Suspended()
	if suspendedFor := now - c.lastSuspended; suspendedFor > suspensionThreshold {
		c.log.Warn("VM was suspended; view evidence discarded", "forMs", suspendedFor.Milliseconds())
		c.viewer.DiscardEvidence(time.Now())
	}
	c.lastSuspended = now
}

// applyEvents applies an event and all those queued behind it, and reports
// whether one of them must be published at once. Load reports and confirmations
// are frequent and wait for the next tick.
func (c *Controller) applyEvents(e event) bool {
	c.detectSuspension()
	urgent := e.apply(c)
	for {
		select {
		case e := <-c.events:
			urgent = e.apply(c) || urgent
		default:
			return urgent
		}
	}
}

// post sends an event to the control goroutine.
func (c *Controller) post(ctx context.Context, e event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

func (c *Controller) publish(now time.Time) {
	view := c.viewer.View()
	s := &State{
		view:               view,
		peers:              make(map[string]Peer, len(c.peers)),
		publishedAt:        now,
		ready:              c.ready,
		draining:           c.draining,
		rejected:           c.rejected,
		suspendedAtPublish: c.lastSuspended,
		suspended:          c.sources.Suspended,
	}
	for name, p := range c.peers {
		s.peers[name] = p
	}
	s.table = c.buildTable(view)
	if d := view.Document(); d != nil {
		c.metrics.SetActiveDocument(d.Revision(), now.Sub(view.DocumentConfirmed()))
	}
	c.state.Store(s)
}

func (c *Controller) buildTable(view *viewer.View) *router.Table {
	d, l := view.Document(), view.List()
	if d == nil || l == nil {
		return router.NewTable(c.settings.Name(), 1, nil)
	}
	senders := 0
	var peers []string
	for _, vm := range l.VMs() {
		if vm.Leaving() {
			continue
		}
		senders++
		if vm.Name() != c.settings.Name() {
			peers = append(peers, vm.Name())
		}
	}
	candidates := make([]*router.Candidate, 0, len(d.Targets()))
	for _, t := range d.Targets() {
		candidates = append(candidates, c.buildCandidate(view, t))
	}
	table := router.NewTable(c.settings.Name(), senders, candidates)
	table.Peers = peers
	return table
}

func (c *Controller) buildCandidate(view *viewer.View, t *bluebelldoor.Target) *router.Candidate {
	load := c.loads[t.Name()]
	if load == nil {
		load = router.NewLoad()
		c.loads[t.Name()] = load
	}
	report, reported := c.reports[t.Name()]
	return &router.Candidate{
		Target:         t,
		Load:           load,
		Report:         report,
		HasReport:      reported,
		Warm:           report.Warm && report.Finished >= view.Document().Limits().WarmAfter,
		Slots:          c.slotter.Slots(t.Name()),
		ClosedReason:   view.ClosedReason(t.Name()),
		SameDataCentre: t.DataCentre() == c.settings.DataCentre(),
	}
}

package detector

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"bluebelldoor"
)

const (
	// collectTime is in what time all connections to a target that ends are seen to end.
	collectTime = 50 * time.Millisecond
	// askTimeout bounds the wait for a sign of life.
	askTimeout = 300 * time.Millisecond
	// keepTime is how long requests are kept after they have ended.
	keepTime = time.Second
	// restartWait is in what time a target that has ended is back under another start, and
	// restartPoll how often that is looked for.
	restartWait = 5 * time.Second
	restartPoll = 100 * time.Millisecond
	// maxKept bounds the ended requests that are kept of one target.
	maxKept = 64
)

// SignOfLife is what a target shows when it is asked.
type SignOfLife int

// The signs of life.
const (
	// Unknown: it has not answered in time.
	Unknown SignOfLife = iota
	// Responds: the incarnation that was asked for has answered.
	Responds
	// Accepts: a process accepts connections at its address.
	Accepts
	// Refuses: no process accepts connections, or another incarnation does.
	Refuses
)

// End is the end of a target, or of its connections.
type End struct {
	Service string
	Target  bluebelldoor.TargetIncarnation
	// Ago is the time since the VM noticed it, Span how much earlier it may have been, and
	// LivedAgo the time since the target last took a request.
	Ago, Span, LivedAgo time.Duration
	// Ended is set if the target has ended, and not only connections to it.
	Ended    bool
	Requests []Request
}

// Request is a request that a target had when it ended.
type Request struct {
	Account  string
	Suspects []string
}

// Sources are what the detector needs to know of targets.
type Sources struct {
	// Ask looks for a sign of life of a target.
	Ask func(ctx context.Context, service string, t *bluebelldoor.Instance) SignOfLife
	// AcceptsNewWork reports whether a target is in service, and is not leaving.
	AcceptsNewWork func(t *bluebelldoor.Instance) bool
	// Replaced reports whether another start has taken the place of a target.
	Replaced func(service string, t *bluebelldoor.Instance) bool
	// Earliest returns the earliest time, by the clock, at which what the VM notices now may have
	// happened. It is the clock's time if the field is nil.
	Earliest func() time.Duration
	// Ended is called for each target that has ended. It must not block.
	Ended func(End)
}

// Detector detects the ends of targets on one VM. It is safe for concurrent use.
type Detector struct {
	clock   bluebelldoor.Clock
	sources Sources
	ctx     context.Context

	mu      sync.Mutex
	targets map[bluebelldoor.TargetIncarnation]*target
	// nextForget is when targets without requests are dropped next.
	nextForget time.Duration
}

// target is a target that has or had requests of the VM.
type target struct {
	instance *bluebelldoor.Instance
	service  string
	running  map[*Exposure]bool
	// recent are the requests that have ended lately, the oldest first.
	recent []*Exposure
	// asking is set while a sign of life is awaited.
	asking bool
	// reported is when the end was reported that was reported last, if hasEnded is set.
	reported time.Duration
	hasEnded bool
}

// New returns a detector and a function that stops it.
func New(sources Sources, clock bluebelldoor.Clock) (*Detector, func()) {
	if sources.Earliest == nil {
		sources.Earliest = clock.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Detector{clock: clock, sources: sources, ctx: ctx, targets: map[bluebelldoor.TargetIncarnation]*target{}}, cancel
}

// Exposure is a request that is on a target. One of its methods must be called in the end.
type Exposure struct {
	detector *Detector
	target   *target
	account  string
	suspects []string
	begun    time.Duration
	ended    time.Duration
	// answered is set if the answer was complete, broken if the target ended the connection,
	// and idle if it may have done so before the request came. left is set if the VM did not
	// wait for it any more.
	answered, broken, idle, left bool
}

// Begin records that a request is sent to a target.
func (d *Detector) Begin(service string, t *bluebelldoor.Instance, account string, suspects []string) *Exposure {
	e := &Exposure{detector: d, account: account, suspects: suspects, begun: d.clock.Now()}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forget(e.begun)
	e.target = d.targets[t.Incarnation()]
	if e.target == nil {
		e.target = &target{instance: t, service: service, running: map[*Exposure]bool{}}
		d.targets[t.Incarnation()] = e.target
	}
	e.target.running[e] = true
	return e
}

// Answered records that the answer was complete.
func (e *Exposure) Answered() {
	if e == nil {
		return
	}
	e.end(func() { e.answered = true })
}

// Left records that the VM no longer waits for the target, or that the target has not run the
// request.
func (e *Exposure) Left() {
	if e == nil {
		return
	}
	d := e.detector
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.target.running[e] {
		delete(e.target.running, e)
		e.left = true
	}
}

// Broken records that the target has ended the connection before the answer was complete. idle
// is set if the connection had been idle and no byte of a response has come.
func (e *Exposure) Broken(idle bool) {
	if e == nil {
		return
	}
	d := e.detector
	inService, since := d.sources.AcceptsNewWork(e.target.instance), d.sources.Earliest()
	e.end(func() { e.broken, e.idle = true, idle })
	if !inService {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	t, at := e.target, e.ended
	if t.asking || t.hasEnded && at-t.reported < collectTime {
		return
	}
	t.asking = true
	go d.decide(t, notice{min(since, at), at})
}

func (e *Exposure) end(set func()) {
	d := e.detector
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	t := e.target
	if !t.running[e] {
		return
	}
	delete(t.running, e)
	set()
	e.ended = now
	t.recent = append(t.recent, e)
	t.prune(now)
}

// prune forgets requests that have ended long ago, and the oldest of too many.
func (t *target) prune(now time.Duration) {
	t.recent = slices.DeleteFunc(t.recent, func(e *Exposure) bool { return now-e.ended > keepTime })
	if surplus := len(t.recent) - maxKept; surplus > 0 {
		t.recent = slices.Delete(t.recent, 0, surplus)
	}
}

// forget drops the targets without requests, from time to time. The caller holds d.mu.
func (d *Detector) forget(now time.Duration) {
	if now < d.nextForget {
		return
	}
	d.nextForget = now + keepTime
	maps.DeleteFunc(d.targets, func(_ bluebelldoor.TargetIncarnation, t *target) bool {
		t.prune(now)
		return len(t.running) == 0 && len(t.recent) == 0 && !t.asking
	})
}

// notice is when the VM noticed that a target had ended a connection, and from when on that may
// have been.
type notice struct{ since, at time.Duration }

// decide finds out whether a target that has ended a connection has ended itself.
func (d *Detector) decide(t *target, n notice) {
	sign := d.ask(t)
	if sign != Refuses && d.sleep(collectTime) {
		// It may have begun to end.
		sign = d.ask(t)
	}
	d.mu.Lock()
	t.asking = false
	on, lives := t.onTarget(n.at)
	d.mu.Unlock()
	if sign == Refuses {
		d.report(t, n, on, true)
		return
	}
	if sign != Responds && !lives {
		// Nothing shows that the target lives on, or that it does not. Those are accused whose
		// connections it has ended, unless it may have ended these before they came.
		d.report(t, n, slices.DeleteFunc(slices.Clone(on), func(e *Exposure) bool { return !e.broken || e.idle }), false)
	}
	d.awaitRestart(t, n, on)
}

func (d *Detector) ask(t *target) SignOfLife {
	ctx, cancel := context.WithTimeout(d.ctx, askTimeout)
	defer cancel()
	return d.sources.Ask(ctx, t.service, t.instance)
}

// onTarget returns the requests that a target had at a time at which it ended a connection,
// and whether it has answered requests since. The caller holds d.mu.
func (t *target) onTarget(at time.Duration) (on []*Exposure, lives bool) {
	for e := range t.running {
		if e.begun <= at {
			on = append(on, e)
		}
	}
	for _, e := range t.recent {
		switch {
		case e.begun > at:
			lives = lives || e.answered
		case e.broken && e.ended >= at-collectTime:
			on = append(on, e)
		case e.answered:
			// What had arrived at the VM before the end may be read after it.
			lives = lives || e.ended > at+collectTime/2
		}
	}
	return on, lives
}

// awaitRestart reports the end of a target that seemed to live if another start takes its
// place soon, unless it announces that it is leaving.
func (d *Detector) awaitRestart(t *target, n notice, on []*Exposure) {
	for waited := time.Duration(0); waited < restartWait; waited += restartPoll {
		if d.sources.Replaced(t.service, t.instance) {
			d.report(t, n, on, true)
			return
		}
		if !d.sources.AcceptsNewWork(t.instance) || !d.sleep(restartPoll) {
			return
		}
	}
}

// report reports the end of a target with those of the requests that it has not answered
// since, and that the VM has waited for.
func (d *Detector) report(t *target, n notice, on []*Exposure, ended bool) {
	d.mu.Lock()
	t.reported, t.hasEnded = n.at, true
	now := d.clock.Now()
	end := End{Service: t.service, Target: t.instance.Incarnation(), Ago: now - n.at, Span: n.at - n.since, LivedAgo: now, Ended: ended}
	for _, e := range on {
		if e.broken && !e.idle {
			// The target had accepted its connection.
			end.LivedAgo = min(end.LivedAgo, now-e.begun)
		}
		if !e.answered && !e.left {
			end.Requests = append(end.Requests, Request{e.account, e.suspects})
		}
	}
	d.mu.Unlock()
	if len(end.Requests) > 0 {
		d.sources.Ended(end)
	}
}

// sleep reports whether the detector has not been stopped meanwhile.
func (d *Detector) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.ctx.Done():
		return false
	}
}

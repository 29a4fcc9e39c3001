package relayer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"bluebelldoor"
	"bluebelldoor/connection/acceptor"
	"bluebelldoor/connection/exchanger"
	"bluebelldoor/process/budgeter"
	"bluebelldoor/process/pauser"
	"bluebelldoor/process/recorder"
	"bluebelldoor/process/registrar"
	"bluebelldoor/process/turner"
	"bluebelldoor/request/placer"
)

// Settings are a VM's bounds on relayed requests.
type Settings struct {
	DataCentre string
	// KeyEvidence is how old the proof may be that a key is still valid.
	KeyEvidence time.Duration
	// News is how old the evidence may be on which a request is told that its
	// route or key does not exist.
	News time.Duration
	// Leaving is how long a target that leaves may still get the rest of a stream of
	// which it holds a copy.
	Leaving time.Duration
	// ColdFactor times a cold target's rate, and ColdAllowance beside it, is
	// what all VMs together may send it in a second.
	ColdFactor    float64
	ColdAllowance float64
}

// Sources are what the relayer asks of the process.
type Sources struct {
	View     func() *registrar.View
	Evidence func() (time.Duration, bool)
	// Leaves notes that a target itself says that it leaves.
	Leaves func(t *bluebelldoor.Instance)
	// Share returns the part of what all VMs together may send that this VM
	// may.
	Share func() float64
	// Placed is called when a generation has been given a target: peers that
	// do not hear of it at once choose the same.
	Placed func()
}

// Parts are the parts that the relayer works with.
type Parts struct {
	Codec   bluebelldoor.Codec
	Mover   bluebelldoor.Mover
	Targets *exchanger.Exchanger
	Turns   *turner.Turner
	Pauses  *pauser.Pauser
	Budget  *budgeter.Budgeter
	Metrics *recorder.RelayMetrics
}

// Relayer serves the requests of one VM. It is safe for concurrent use.
type Relayer struct {
	Parts
	settings atomic.Pointer[Settings]
	sources  Sources
	clock    bluebelldoor.Clock
	log      hclog.Logger
	traffic  traffic
	leaving  atomic.Bool
	closed   atomic.Bool

	mu      sync.Mutex
	ledger  *placer.Ledger
	streams map[*stream]struct{}
	// lines hold, by service, the generations for which no engine has room yet;
	// looking tells that a goroutine looks for room.
	lines map[string]*placer.Line[*waiter]
	// shorts tell, by service, whether short generations come.
	shorts  map[string]*placer.Shorts
	looking bool
}

// New returns a relayer.
func New(settings Settings, sources Sources, parts Parts, clock bluebelldoor.Clock, log hclog.Logger) *Relayer {
	r := &Relayer{
		Parts:   parts,
		sources: sources,
		clock:   clock,
		log:     log,
		ledger:  placer.NewLedger(),
		streams: map[*stream]struct{}{},
		lines:   map[string]*placer.Line[*waiter]{},
		shorts:  map[string]*placer.Shorts{},
	}
	r.settings.Store(&settings)
	return r
}

// Reload takes changed bounds into force.
func (r *Relayer) Reload(settings Settings) { r.settings.Store(&settings) }

// Leave makes the VM refuse new streams, which would outlast it, and those that
// wait for an engine.
func (r *Relayer) Leave() {
	if !r.leaving.Swap(true) {
		r.admitWaiting()
	}
}

// Close makes the VM refuse all requests: it ends before it could serve them.
func (r *Relayer) Close() { r.closed.Store(true) }

// Waiting returns how many generations wait for an engine.
func (r *Relayer) Waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.waiting()
}

// Loads returns what this VM has on the targets, for its peers.
func (r *Relayer) Loads() []bluebelldoor.TargetLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Own()
}

// PeerLoads takes what a peer has on the targets. It reports whether it could: what
// has changed is of no use where the rest is not held any more.
func (r *Relayer) PeerLoads(name string, news bluebelldoor.LoadDelta) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Peer(name, news, r.clock.Now())
}

// job is one request on its way.
type job struct {
	*Relayer
	ctx      context.Context
	call     *acceptor.Call
	request  *bluebelldoor.RelayRequest
	route    *bluebelldoor.RouteSpec
	service  *bluebelldoor.ServiceKind
	name     string // of the service
	account  string
	priority int
	arrived  time.Duration
	deadline time.Duration // 0 for none
	excluded map[string]bool
	runs     int // sends after which a target may have run the request
	unrun    int // sends that were proved not to have run
	unsends  int // targets that no byte was sent to
}

// Serve takes a caller's request to its final answer.
func (r *Relayer) Serve(ctx context.Context, call *acceptor.Call) {
	r.traffic.requests.Add(1)
	j := &job{Relayer: r, ctx: ctx, call: call, arrived: r.clock.Now(), excluded: map[string]bool{}}
	var err error
	j.request, err = r.Codec.Request(call.Request, call.Body)
	if err != nil {
		j.request = &bluebelldoor.RelayRequest{HTTP: call.Request}
		j.refuse(bluebelldoor.Refuse(bluebelldoor.BadRequest, err.Error()))
		return
	}
	if refusal := j.admit(); refusal != nil {
		j.refuse(refusal)
		return
	}
	if j.deadline > 0 {
		var cancel context.CancelFunc
		j.ctx, cancel = context.WithTimeout(ctx, j.deadline-j.arrived)
		defer cancel()
	}
	r.Budget.Request(j.name, j.arrived)
	j.run()
}

// left returns what remains of the request's time.
func (j *job) left() time.Duration {
	if j.deadline == 0 {
		return 0
	}
	return j.deadline - j.clock.Now()
}

func (j *job) expired() bool { return j.deadline > 0 && j.left() <= 0 }

// refuse gives the final answer to a request that is not served. One that a
// target may have run is never said not to have run.
func (j *job) refuse(refusal *bluebelldoor.Refusal) {
	if j.runs > 0 && refusal.Executed() == bluebelldoor.ExecutedNo {
		refusal = bluebelldoor.Refuse(bluebelldoor.OutcomeUnknown, refusal.Detail()).WithExecuted(bluebelldoor.ExecutedUnknown)
	}
	j.note("refused", refusal.Code(), refusal.Detail())
	if j.call.Begun() {
		j.call.Abort()
		return
	}
	header := j.Codec.Refusal(j.request.ID, refusal)
	if err := j.call.Respond(refusal.Code().Info().Status, header, []byte(refusal.Error()+"\n")); err != nil {
		j.log.Debug("caller has left", "id", j.request.ID, "error", err)
	}
}

// note writes the line of a request's outcome.
func (j *job) note(outcome string, code bluebelldoor.Code, detail string, more ...any) {
	took := j.clock.Now() - j.arrived
	age, _ := j.sources.Evidence()
	j.Metrics.Outcome(j.priority, code, took)
	version := uint64(0)
	if routing := j.sources.View().Routing(); routing != nil {
		version = routing.Version()
	}
	route := ""
	if j.route != nil {
		route = j.route.Name
	}
	args := append([]any{
		"id", j.request.ID, "route", route, "code", int(code), "detail", detail, "service", j.name, "account", j.account,
		"tookMs", took.Milliseconds(), "runs", j.runs, "unrun", j.unrun, "version", version, "viewAgeMs", age.Milliseconds(),
	}, more...)
	j.log.Info(outcome, args...)
}

// run sends the request until it has a final answer.
func (j *job) run() {
	for {
		target, reservation, refusal := j.place()
		if refusal != nil {
			j.refuse(refusal)
			return
		}
		if target == nil {
			j.giveUp()
			return
		}
		if done := j.try(target, reservation); done {
			return
		}
		if j.ctx.Err() != nil {
			j.giveUp()
			return
		}
	}
}

// giveUp ends a request whose time is over or whose caller has left.
func (j *job) giveUp() {
	if !j.expired() {
		code, detail := j.whyEnded()
		outcome := "caller left"
		if code != bluebelldoor.CallerGone {
			outcome = "broken off"
		}
		j.note(outcome, code, detail)
		j.call.Abort()
		return
	}
	if j.runs == 0 {
		j.refuse(bluebelldoor.Refuse(bluebelldoor.DeadlinePassed, "the time is over and no target was asked"))
		return
	}
	j.refuse(bluebelldoor.Refuse(bluebelldoor.TargetTimeout, "the time is over and the target has not answered").WithExecuted(bluebelldoor.ExecutedUnknown))
}

// whyEnded returns why the context of a request has ended before its time was over.
func (j *job) whyEnded() (bluebelldoor.Code, string) {
	cause := context.Cause(j.ctx)
	if errors.Is(cause, acceptor.ErrStopped) {
		return bluebelldoor.Draining, cause.Error()
	}
	return bluebelldoor.CallerGone, acceptor.ErrCallerLeft.Error()
}

// mayRepeat reports whether the request may go to a further target although an
// earlier one may have run it.
func (j *job) mayRepeat() bool {
	return j.route.Repeatable() && j.runs < j.route.MaxTargets && j.ctx.Err() == nil && j.budget(retryShare)
}

func (j *job) budget(share float64) bool {
	return j.Budget.Repeat(j.name, j.sources.Share(), share, j.clock.Now())
}

// outcome notes how a target did.
func (j *job) outcome(t *registrar.Target, failed bool) {
	j.mu.Lock()
	j.ledger.Outcome(t.ID, failed)
	j.mu.Unlock()
}

// passOn gives a target's whole answer to the caller.
func (j *job) passOn(t *registrar.Target, head *http.Response, body []byte) {
	if err := j.call.Respond(head.StatusCode, j.Codec.AnswerHeader(head), body); err != nil {
		j.note("caller left", bluebelldoor.CallerGone, err.Error(), "target", t.ID)
		return
	}
	j.traffic.passed(0, len(body))
	j.note("answered", bluebelldoor.OK, "", "target", t.ID, "status", head.StatusCode)
}

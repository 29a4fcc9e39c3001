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
	"bluebelldoor/process/accountant"
	"bluebelldoor/process/budgeter"
	"bluebelldoor/process/detector"
	"bluebelldoor/process/limiter"
	"bluebelldoor/process/pauser"
	"bluebelldoor/process/quarantiner"
	"bluebelldoor/process/recorder"
	"bluebelldoor/process/registrar"
	"bluebelldoor/process/turner"
	"bluebelldoor/request/placer"
	"bluebelldoor/request/ramper"
)

// defaultBufferedBytes bounds what is kept of all responses if no accountant is given.
const defaultBufferedBytes = 16 << 20

// Settings are the limits that a VM applies to relayed requests.
type Settings struct {
	// VM is the name of this VM among its peers.
	VM         string
	DataCentre string
	// MaxKeyEvidenceAge is the maximum age of the evidence that an API key is
	// valid.
	MaxKeyEvidenceAge time.Duration
	// MaxViewAge is the maximum age of the routing view on which a request is refused
	// because its route or key does not exist.
	MaxViewAge time.Duration
	// LeavingGrace is how long after its notice a leaving target may still continue a
	// stream of which it holds a copy.
	LeavingGrace time.Duration
	// ColdFactor times a cold target's own rate, plus ColdAllowance, is the
	// number of requests per second that all VMs together may send to it.
	ColdFactor    float64
	ColdAllowance float64
	// Secret is the fleet's; it keys the digests that identify requests.
	Secret string
}

// Sources are the functions through which the relayer reads and notifies the
// rest of the process.
type Sources struct {
	View func() *registrar.View
	// EvidenceAge returns the age of the evidence that the routing is current, and
	// whether there is any.
	EvidenceAge func() (time.Duration, bool)
	// IsBehind reports whether a newer routing is known that has not arrived. If it is nil,
	// none ever is.
	IsBehind func() bool
	// MarkLeaving is called when a target announces in a response that it is
	// leaving.
	MarkLeaving func(t *bluebelldoor.Instance)
	// Share returns the fraction of the limits on all VMs together that this
	// VM may use.
	Share func() float64
	// GenerationPlaced is called when a generation is about to be sent to a target.
	// Peers that do not learn of it at once would choose the same target.
	GenerationPlaced func()
}

// Dependencies are the components that the relayer depends on.
type Dependencies struct {
	Codec   bluebelldoor.Codec
	Mover   bluebelldoor.GenerationCopier
	Targets *exchanger.Exchanger
	Turns   *turner.Turner
	Pauses  *pauser.Pauser
	Limits  *limiter.Limiter
	Budget  *budgeter.Budgeter
	Parts   *quarantiner.Quarantiner
	Ends    *detector.Detector
	// Starts is asked whether engines that have ended a connection still run.
	Starts  bluebelldoor.StartReporter
	Metrics *recorder.RelayMetrics
	// Memory bounds what is kept of responses until it can be passed on.
	Memory *accountant.Accountant
}

// Relayer serves the requests of one VM. It is safe for concurrent use.
type Relayer struct {
	Dependencies
	settings atomic.Pointer[Settings]
	sources  Sources
	clock    bluebelldoor.Clock
	log      hclog.Logger
	traffic  traffic
	draining atomic.Bool
	closed   atomic.Bool
	// ending is done when requests that are still under way get their final answer.
	ending context.Context
	end    context.CancelFunc

	mu      sync.Mutex
	ledger  *placer.Ledger
	streams map[*stream]struct{}
	// queues hold, by service, the generations for which no engine has room yet.
	queues map[string]*placer.Queue[*waiter]
	// shortArrivals record, by service, the latest short generations.
	shortArrivals map[string]*placer.ShortArrivals
	// urgentDemand tracks, by service, the latest urgent generations beside deferrable ones.
	urgentDemand map[string]*placer.UrgentDemand
	sharing      sharing
	// reservations are, by service, the memory reserved for the first in the queue.
	reservations map[string]*queueReservation
	// polling reports whether pollForRoom is running.
	polling bool
	// observed is the view from which the ledger last learned of the targets.
	observed *registrar.View
}

// New returns a relayer.
func New(settings Settings, sources Sources, dependencies Dependencies, clock bluebelldoor.Clock, log hclog.Logger) *Relayer {
	if dependencies.Parts == nil {
		dependencies.Parts = quarantiner.New(clock, func() {}, log)
	}
	if dependencies.Memory == nil {
		dependencies.Memory = accountant.New(defaultBufferedBytes)
	}
	r := &Relayer{
		Dependencies:  dependencies,
		sources:       sources,
		clock:         clock,
		log:           log,
		ledger:        placer.NewLedger(),
		streams:       map[*stream]struct{}{},
		queues:        map[string]*placer.Queue[*waiter]{},
		shortArrivals: map[string]*placer.ShortArrivals{},
		urgentDemand:  map[string]*placer.UrgentDemand{},
		sharing:       newSharing(),
		reservations:  map[string]*queueReservation{},
	}
	if r.Ends == nil {
		r.Ends = r.newDetector()
	}
	r.settings.Store(&settings)
	r.ending, r.end = context.WithCancel(context.Background())
	return r
}

// Reload applies changed settings.
func (r *Relayer) Reload(settings Settings) { r.settings.Store(&settings) }

// Drain makes the VM refuse new streams and streams that wait for an engine, as
// they would outlast the VM.
func (r *Relayer) Drain() {
	if !r.draining.Swap(true) {
		r.dispatchQueued()
	}
}

// Close makes the VM refuse all requests, as it stops before it could serve them.
func (r *Relayer) Close() { r.closed.Store(true) }

// End makes requests that are still under way, but for streams, get their final answer at
// once, as the VM is about to stop.
func (r *Relayer) End() { r.end() }

// QueueLength returns how many generations wait for an engine.
func (r *Relayer) QueueLength() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queueLength()
}

// Loads returns the load that this VM has on each target, for its peers.
func (r *Relayer) Loads() []bluebelldoor.TargetLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observeTargets(r.clock.Now())
	return r.ledger.OwnLoads()
}

// ApplyPeerLoads applies a peer's report of its loads on the targets. It returns
// false for a report of changes if the peer's earlier loads have expired.
func (r *Relayer) ApplyPeerLoads(name string, delta bluebelldoor.LoadDelta) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.ApplyPeerLoads(name, delta, r.clock.Now())
}

// job is one request in progress.
type job struct {
	*Relayer
	ctx         context.Context
	call        *acceptor.Call
	request     *bluebelldoor.RelayRequest
	route       *bluebelldoor.RouteSpec
	service     *bluebelldoor.ServiceKind
	serviceName string
	account     string
	priority    int
	arrived     time.Duration
	deadline    time.Duration // 0 for none
	// excludedMu guards excluded once a stream has begun, as the stream may be sent again while
	// it is being moved.
	excludedMu    sync.Mutex
	excluded      map[string]bool
	maybeExecuted int // sends after which a target may have run the request
	notExecuted   int // sends that a target reported as not executed
	unsent        int // attempts in which no byte was sent
	permitted     limiter.Permit
	permitTime    time.Duration // spent on requests for permits
	// sent is the latest attempt. Only the goroutine that sends the request uses it.
	sent ramper.Attempt
	// suspect is the result of requestSuspect once suspectOnce is done.
	suspectOnce sync.Once
	suspect     string
	// exposure is that of the latest attempt. Only the goroutine that sends the request uses it.
	exposure *detector.Exposure
	// probe is the set of parts that are quarantined and with which the request is sent all the
	// same, nil if there is none.
	probe atomic.Pointer[string]
	// crowdedFields are the log fields of a refusal for lack of room.
	crowdedFields []any
}

// Serve handles a caller's request up to its final response.
func (r *Relayer) Serve(ctx context.Context, call *acceptor.Call) {
	r.traffic.requests.Add(1)
	j := &job{Relayer: r, ctx: ctx, call: call, arrived: r.clock.Now(), excluded: map[string]bool{}}
	var err error
	j.request, err = r.Codec.ParseRequest(call.Request, call.Body)
	if err != nil {
		j.request = &bluebelldoor.RelayRequest{HTTP: call.Request}
		j.refuse(bluebelldoor.NewRefusal(bluebelldoor.BadRequest, err.Error()))
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
	if !j.route.Streamed {
		var cancel context.CancelCauseFunc
		j.ctx, cancel = context.WithCancelCause(j.ctx)
		defer cancel(nil)
		defer context.AfterFunc(r.ending, func() { cancel(acceptor.ErrStopped) })()
	}
	r.Budget.CountRequest(j.serviceName, j.arrived)
	j.run()
}

// remaining returns the time until the deadline, 0 if there is none.
func (j *job) remaining() time.Duration {
	if j.deadline == 0 {
		return 0
	}
	return j.deadline - j.clock.Now()
}

func (j *job) expired() bool { return j.deadline > 0 && j.remaining() <= 0 }

// refuse sends a refusal as the final response. A request that a target may have
// run is never reported as not executed.
func (j *job) refuse(refusal *bluebelldoor.Refusal) {
	if j.maybeExecuted > 0 && refusal.Executed() == bluebelldoor.ExecutedNo {
		refusal = bluebelldoor.NewRefusal(bluebelldoor.OutcomeUnknown, refusal.Detail()).WithExecuted(bluebelldoor.ExecutedUnknown)
	}
	j.logOutcome("refused", refusal.Code(), refusal.Detail(), j.crowdedFields...)
	if j.call.Begun() {
		j.call.Abort()
		return
	}
	header := j.Codec.RefusalHeader(j.request.ID, refusal)
	if err := j.call.Respond(refusal.Code().Info().Status, header, []byte(refusal.Error()+"\n")); err != nil {
		j.log.Debug("could not send refusal to caller", "id", j.request.ID, "error", err)
	}
}

// logOutcome logs and counts the outcome of a request.
func (j *job) logOutcome(outcome string, code bluebelldoor.Code, detail string, more ...any) {
	took := j.clock.Now() - j.arrived
	age, _ := j.sources.EvidenceAge()
	j.Metrics.ObserveAnswer(j.priority, code, took)
	version := uint64(0)
	if routing := j.sources.View().Routing(); routing != nil {
		version = routing.Version()
	}
	route := ""
	if j.route != nil {
		route = j.route.Name
	}
	args := append([]any{
		"id", j.request.ID, "route", route, "code", int(code), "detail", detail, "service", j.serviceName, "account", j.account,
		"tookMs", took.Milliseconds(), "runs", j.maybeExecuted, "unrun", j.notExecuted, "version", version, "viewAgeMs", age.Milliseconds(),
	}, more...)
	j.log.Info(outcome, args...)
}

// run sends the request to targets until the caller has its final response.
func (j *job) run() {
	for {
		target, reservation, refusal := j.placePermitted()
		if refusal != nil {
			j.refuse(refusal)
			return
		}
		if target == nil {
			j.abandon()
			return
		}
		if done := j.attempt(target, reservation); done {
			return
		}
		if j.ctx.Err() != nil {
			j.abandon()
			return
		}
	}
}

// abandon ends a request whose deadline has passed or whose context was cancelled.
func (j *job) abandon() {
	if !j.expired() {
		code, detail := j.endCause()
		if code == bluebelldoor.Draining && !j.call.Begun() {
			j.refuse(bluebelldoor.NewRefusal(code, detail).WithRetryAfter(defaultRetryAfter / 10))
			return
		}
		outcome := "caller left"
		if code != bluebelldoor.CallerGone {
			outcome = "broken off"
		}
		j.logOutcome(outcome, code, detail)
		j.call.Abort()
		return
	}
	if j.maybeExecuted == 0 {
		j.refuse(bluebelldoor.NewRefusal(bluebelldoor.DeadlinePassed, "deadline passed before any target accepted the request"))
		return
	}
	j.refuse(bluebelldoor.NewRefusal(bluebelldoor.TargetTimeout, "deadline passed without a response from the target").WithExecuted(bluebelldoor.ExecutedUnknown))
}

// endCause returns why the context of a request ended before its deadline.
func (j *job) endCause() (bluebelldoor.Code, string) {
	cause := context.Cause(j.ctx)
	if errors.Is(cause, acceptor.ErrStopped) {
		return bluebelldoor.Draining, cause.Error()
	}
	return bluebelldoor.CallerGone, acceptor.ErrCallerDisconnected.Error()
}

// mayRetry reports whether the request may be sent to another target although an
// earlier one may have run it. If so, it takes a retry from the budget.
func (j *job) mayRetry() bool {
	return j.route.Repeatable() && j.maybeExecuted < j.route.MaxTargets && j.ctx.Err() == nil && j.takeRetryBudget(retryBudgetShare)
}

func (j *job) takeRetryBudget(share float64) bool {
	return j.Budget.TryRepeat(j.serviceName, j.sources.Share(), share, j.clock.Now())
}

// recordOutcome records in the ledger whether a target failed.
func (j *job) recordOutcome(t *registrar.Target, failed bool) {
	j.mu.Lock()
	j.ledger.RecordOutcome(t.ID, failed)
	j.mu.Unlock()
}

// respond sends a target's complete response to the caller.
func (j *job) respond(t *registrar.Target, head *http.Response, body []byte) {
	if err := j.call.Respond(head.StatusCode, j.Codec.ResponseHeader(head), body); err != nil {
		j.logOutcome("caller left", bluebelldoor.CallerGone, err.Error(), "target", t.ID)
		return
	}
	j.traffic.add(0, len(body))
	j.logOutcome("answered", bluebelldoor.OK, "", "target", t.ID, "status", head.StatusCode)
}

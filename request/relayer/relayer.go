package relayer

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebelldoor"
	"bluebelldoor/connection/acceptor"
	"bluebelldoor/connection/exchanger"
	"bluebelldoor/process/budgeter"
	"bluebelldoor/process/recorder"
	"bluebelldoor/process/registrar"
	"bluebelldoor/process/turner"
	"bluebelldoor/request/placer"
)

const (
	// comeBack is when a caller that was refused for want of something short
	// may come back; callers cut it to a third of the time they have left.
	comeBack = 300 * time.Millisecond
	// maxUnrun bounds the targets that may refuse a request unrun before the
	// caller is refused.
	maxUnrun = 3
	// maxUnsent bounds the targets of which none took a byte: a data centre of
	// them may be dark.
	maxUnsent = 10
	// retryShare is the part of the budget that retries may use; the rest is
	// kept for generations that move.
	retryShare = 0.6
	// newsFor is how old the evidence may be on which a request is told that
	// its route or key does not exist.
	newsFor = 2500 * time.Millisecond
)

// Settings are a VM's bounds on relayed requests.
type Settings struct {
	DataCentre string
	// KeyEvidence is how old the proof may be that a key is still valid.
	KeyEvidence time.Duration
	// ColdFactor times a cold target's rate, and ColdAllowance beside it, is
	// what all VMs together may send it in a second.
	ColdFactor    float64
	ColdAllowance float64
}

// Sources are what the relayer asks of the process.
type Sources struct {
	View     func() *registrar.View
	Evidence func() (time.Duration, bool)
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
	leaving  atomic.Bool

	mu      sync.Mutex
	ledger  *placer.Ledger
	streams map[*stream]struct{}
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
	}
	r.settings.Store(&settings)
	return r
}

// Reload takes changed bounds into force.
func (r *Relayer) Reload(settings Settings) { r.settings.Store(&settings) }

// Leave makes the VM refuse new streams, which would outlast it.
func (r *Relayer) Leave() { r.leaving.Store(true) }

// Loads returns what this VM has on the targets, for its peers.
func (r *Relayer) Loads() []bluebelldoor.TargetLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Own()
}

// PeerLoads takes what a peer has on the targets.
func (r *Relayer) PeerLoads(name string, loads []bluebelldoor.TargetLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.Peer(name, loads, r.clock.Now())
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

// admit finds route, client account, time and service, or refuses.
func (j *job) admit() *bluebelldoor.Refusal {
	view := j.sources.View()
	routing := view.Routing()
	age, proved := j.sources.Evidence()
	if routing == nil || !proved {
		return bluebelldoor.Refuse(bluebelldoor.ViewStale, "no routing has been read yet").WithRetryAfter(comeBack)
	}
	j.route = routing.Route(j.request.Host, j.request.Path)
	if j.route == nil {
		return j.unknown(age, bluebelldoor.UnknownRoute, "no route has this host and path")
	}
	j.priority = j.route.Priority
	if routing.Keyed() && !j.route.Public {
		if age > j.settings.Load().KeyEvidence {
			return bluebelldoor.Refuse(bluebelldoor.ViewStale, "the platform has not confirmed the keys for "+age.Round(time.Millisecond).String()).WithRetryAfter(comeBack)
		}
		account := routing.Account(j.request.APIKey)
		if account == nil {
			return j.unknown(age, bluebelldoor.Unauthorized, "no client account holds this API key")
		}
		j.account = account.Account
		if account.HasPriority {
			j.priority = account.Priority
		}
	}
	if j.leaving.Load() && j.route.Streamed {
		return bluebelldoor.Refuse(bluebelldoor.Draining, "this VM is leaving").WithRetryAfter(comeBack / 10)
	}
	j.limitTime()
	j.name = pickShare(j.route.Shares)
	j.service = routing.Service(j.name)
	if j.service == nil {
		j.service = &bluebelldoor.ServiceKind{Name: j.name}
	}
	return nil
}

// unknown refuses what does not exist, or, where this VM may have missed that
// it was added, what it can't judge.
func (j *job) unknown(age time.Duration, code bluebelldoor.Code, detail string) *bluebelldoor.Refusal {
	if age > newsFor {
		return bluebelldoor.Refuse(bluebelldoor.ViewStale, detail+", by a view that is "+age.Round(time.Millisecond).String()+" old").WithRetryAfter(comeBack)
	}
	return bluebelldoor.Refuse(code, detail)
}

func (j *job) limitTime() {
	limit := j.route.Timeout
	if j.request.Within > 0 && (limit == 0 || j.request.Within < limit) {
		limit = j.request.Within
	}
	if limit > 0 {
		j.deadline = j.arrived + limit
	}
}

func pickShare(shares []bluebelldoor.ServiceShare) string {
	total := 0
	for _, s := range shares {
		total += max(0, s.Weight)
	}
	if total == 0 {
		return shares[0].Service
	}
	n := rand.IntN(total)
	for _, s := range shares {
		if n -= max(0, s.Weight); n < 0 {
			return s.Service
		}
	}
	return shares[0].Service
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
	args := append([]any{
		"id", j.request.ID, "code", int(code), "detail", detail, "service", j.name, "account", j.account,
		"tookMs", took.Milliseconds(), "runs", j.runs, "unrun", j.unrun, "version", version, "viewAgeMs", age.Milliseconds(),
	}, more...)
	j.log.Info(outcome, args...)
}

// run sends the request until it has a final answer.
func (j *job) run() {
	for {
		target, stay, refusal := j.place()
		if refusal != nil {
			j.refuse(refusal)
			return
		}
		if done := j.try(target, stay); done {
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
		j.note("caller left", bluebelldoor.CallerGone, "the caller closed its connection")
		j.call.Abort()
		return
	}
	if j.runs == 0 {
		j.refuse(bluebelldoor.Refuse(bluebelldoor.DeadlinePassed, "the time is over and no target was asked"))
		return
	}
	j.refuse(bluebelldoor.Refuse(bluebelldoor.TargetTimeout, "the time is over and the target has not answered").WithExecuted(bluebelldoor.ExecutedUnknown))
}

// demand returns what the request needs of a target.
func (j *job) demand() placer.Demand {
	d := placer.Demand{DataCentre: j.settings.Load().DataCentre, Engine: j.service.Engine, ColdPerSecond: -1}
	if j.route.Generates {
		d.Tokens = j.request.PromptTokens + j.expected()
	}
	if j.service.ColdPerSecond > 0 {
		d.ColdPerSecond = (j.service.ColdPerSecond*j.settings.Load().ColdFactor + j.settings.Load().ColdAllowance) * coldSafety * j.sources.Share()
	}
	return d
}

// coldSafety is taken off a cold target's rate, for requests on their way.
const coldSafety = 0.7

// expected returns how many tokens the generation is expected to make.
func (j *job) expected() int {
	switch hint, most := j.request.ExpectedTokens, j.request.MaxTokens; {
	case hint == 0:
		return most / 2
	case most == 0:
		return hint
	default:
		return min(hint, most)
	}
}

// place chooses a target for the request and notes the request there, so that
// the next one that is placed sees it.
func (j *job) place() (*registrar.Target, *placer.Stay, *bluebelldoor.Refusal) {
	now := j.clock.Now()
	targets, candidates := j.candidates(now)
	if len(targets) == 0 {
		return nil, nil, bluebelldoor.Refuse(bluebelldoor.NoTarget, "no target of the service may take work").WithRetryAfter(comeBack)
	}
	demand := j.demand()
	choice, stay, refusal := j.reserve(candidates, demand, now)
	if refusal != nil {
		return nil, nil, refusal
	}
	t := targets[choice.Index]
	j.log.Info("target chosen", "id", j.request.ID, "target", t.ID, "dataCentre", t.DataCentre, "of", len(targets),
		"cost", round(choice.Cost), "requests", choice.Requests, "tokens", choice.Tokens, "prefill", choice.Prefill,
		"failures", round(choice.Failures), "coldMs", max(0, t.ColdUntil-now).Milliseconds(), "full", choice.Full)
	return t, stay, nil
}

func (j *job) reserve(candidates []placer.Candidate, demand placer.Demand, now time.Duration) (placer.Choice, *placer.Stay, *bluebelldoor.Refusal) {
	j.mu.Lock()
	defer j.mu.Unlock()
	choice := j.ledger.Pick(candidates, demand, now, rand.Float64)
	if choice.Index < 0 {
		return choice, nil, bluebelldoor.Refuse(bluebelldoor.ColdTargets, "all targets are cold and have what they bear").WithRetryAfter(comeBack)
	}
	if refusal := j.crowded(choice); refusal != nil {
		return choice, nil, refusal
	}
	chosen := candidates[choice.Index]
	if chosen.Cold {
		j.ledger.SentCold(chosen.Instance.ID, now)
	}
	return choice, j.ledger.Start(chosen.Instance.ID, demand.Tokens, j.request.PromptTokens), nil
}

// round keeps three decimals, for log lines.
func round(f float64) float64 { return math.Round(f*1000) / 1000 }

func (j *job) candidates(now time.Duration) ([]*registrar.Target, []placer.Candidate) {
	view := j.sources.View()
	var targets []*registrar.Target
	var candidates []placer.Candidate
	for _, t := range view.Serving(j.name) {
		if !view.Open(t.Instance) || j.excluded[t.ID] {
			continue
		}
		targets = append(targets, t)
		candidates = append(candidates, placer.Candidate{Instance: t.Instance, Cold: now < t.ColdUntil, Lapsed: t.Lapsed})
	}
	return targets, candidates
}

// permit is the last check before bytes leave for a target.
func (j *job) permit(t *registrar.Target) error {
	view := j.sources.View()
	if !view.Open(t.Instance) {
		return errClosed
	}
	if j.call.Begun() {
		return nil
	}
	return j.stillAllowed(view)
}

// stillAllowed checks route and key once more: the view may have changed while
// a connection was opened, or the VM may have been suspended.
func (j *job) stillAllowed(view *registrar.View) error {
	routing := view.Routing()
	if !routing.Allows(j.request.Host, j.request.Path, j.name) {
		return errClosed
	}
	if j.account == "" {
		return nil
	}
	if age, _ := j.sources.Evidence(); age > j.settings.Load().KeyEvidence {
		return errClosed
	}
	if account := routing.Account(j.request.APIKey); account == nil || account.Account != j.account {
		return errClosed
	}
	return nil
}

// outgoing returns the request as it goes to a target.
func (j *job) outgoing(t *registrar.Target, resumeAfter, copied string) *exchanger.Outgoing {
	return &exchanger.Outgoing{
		ID:     j.request.ID,
		Method: j.request.HTTP.Method,
		URI:    j.request.HTTP.RequestURI,
		Host:   j.request.Host,
		Header: j.Codec.Head(j.request, bluebelldoor.Dispatch{
			Target:      t.Instance,
			Left:        j.left(),
			Account:     j.account,
			Priority:    j.priority,
			ResumeAfter: resumeAfter,
			Copy:        copied,
		}),
		Body:   j.request.Body,
		Fresh:  !j.route.Repeatable(),
		Permit: func() error { return j.permit(t) },
	}
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
	j.note("answered", bluebelldoor.OK, "", "target", t.ID, "status", head.StatusCode)
}

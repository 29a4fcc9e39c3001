package admitter

import (
	"maps"
	"slices"
	"time"

	"bluebelldoor"
	"bluebelldoor/request/estimator"
	"bluebelldoor/request/placer"
	"bluebelldoor/request/router"
)

const (
	// smallAccountVMs is how many VMs serve a small client account.
	smallAccountVMs = 2
	// urgentShare is the share of its time after which a waiting request may
	// start before requests of any class, at most once in startsPerUrgent
	// starts. This bounds starvation.
	urgentShare     = 0.5
	startsPerUrgent = 8
	// firstTokenObjective is the time to first token that the most urgent
	// streams require. It holds for all classes, since classes define none.
	firstTokenObjective = 1500 * time.Millisecond
	// tokenTimeWeight is the weight of the newest sample in the moving average.
	tokenTimeWeight = 0.1
	// initialTokenTime is the time per token assumed before the first sample.
	initialTokenTime = 20 * time.Millisecond
	minRetryAfter    = 500 * time.Millisecond
	// tokensPerEstimate is the number of tokens after which the remaining output
	// is estimated again.
	tokensPerEstimate = 16
)

// Request is a request to start one generation. Sizes are in tokens.
type Request struct {
	ID           string
	Account      *bluebelldoor.ClientAccount
	Class        *bluebelldoor.Class
	Model        string
	PromptTokens int
	MaxTokens    int
	// PrefixHash is a hash of the beginning of the prompt, 0 if it is too short to
	// be worth caching.
	PrefixHash uint64
	Arrived    time.Time
	Deadline   time.Time

	candidate *router.Candidate
	produced  int
	remaining int
}

// Decision says that a request starts at a target, or is refused.
type Decision struct {
	Request *Request
	Target  *bluebelldoor.Target
	Refusal *bluebelldoor.Refusal
}

// Admitter decides for one VM. It is not safe for concurrent use.
type Admitter struct {
	chooser   router.Chooser
	table     *router.Table
	document  *bluebelldoor.Document
	estimator *estimator.Estimator
	queues    map[string]*placer.Queue[*Request] // by model
	epoch     time.Time
	active    map[string]*Request
	// accountRequests is the number of waiting and active requests by account.
	accountRequests map[string]int
	tokenTime       time.Duration
	// startsSinceUrgent is the number of starts since the last urgent one.
	startsSinceUrgent int
	// remainingSum is the remaining output of all active requests.
	remainingSum int
	random       func() uint64
	naive        bool
}

// Option changes how an admitter behaves.
type Option func(*Admitter)

// WithNaive disables the queue, limits and early refusals: each request starts
// immediately on the target that the chooser returns. It is a baseline for
// comparison.
func WithNaive() Option { return func(a *Admitter) { a.naive = true } }

// New returns an admitter that refuses everything until SetTable is called.
func New(chooser router.Chooser, random func() uint64, options ...Option) *Admitter {
	a := &Admitter{
		chooser:         chooser,
		estimator:       estimator.New(),
		active:          map[string]*Request{},
		accountRequests: map[string]int{},
		queues:          map[string]*placer.Queue[*Request]{},
		tokenTime:       initialTokenTime,
		random:          random,
	}
	for _, option := range options {
		option(a)
	}
	return a
}

// SetTable sets the table and document for subsequent decisions.
func (a *Admitter) SetTable(t *router.Table, d *bluebelldoor.Document) {
	a.table, a.document = t, d
}

// Arrive adds a new request, which starts, waits or is refused immediately. The
// result may include decisions on waiting requests.
func (a *Admitter) Arrive(r *Request, now time.Time) []Decision {
	if refusal := a.check(r, now); refusal != nil {
		return []Decision{{Request: r, Refusal: refusal}}
	}
	a.accountRequests[r.Account.Name()]++
	a.enqueue(r, now)
	return a.Tick(now)
}

func (a *Admitter) estimatorKey(r *Request) estimator.Key {
	return estimator.Key{Model: r.Model, Class: r.Class.Name()}
}

func (a *Admitter) demand(r *Request) router.Demand {
	return router.Demand{
		PromptTokens:  r.PromptTokens,
		OutputTokens:  a.estimator.Remaining(a.estimatorKey(r), 0, r.MaxTokens),
		MeanRemaining: a.remainingSum / max(len(a.active), 1),
		PrefixHash:    r.PrefixHash,
	}
}

func (a *Admitter) start(r *Request, c *router.Candidate, now time.Time) Decision {
	d := a.demand(r)
	r.candidate = c
	r.produced = 0
	r.remaining = d.OutputTokens
	a.remainingSum += r.remaining
	c.Load.Start(r.ID, d, now)
	a.active[r.ID] = r
	a.startsSinceUrgent++
	return Decision{Request: r, Target: c.Target}
}

func smooth(old, sample time.Duration) time.Duration {
	return old + time.Duration(tokenTimeWeight*float64(sample-old))
}

func (a *Admitter) refuse(r *Request, refusal *bluebelldoor.Refusal) Decision {
	a.release(r)
	return Decision{Request: r, Refusal: refusal}
}

func (a *Admitter) release(r *Request) {
	name := r.Account.Name()
	a.accountRequests[name]--
	if a.accountRequests[name] <= 0 {
		delete(a.accountRequests, name)
	}
}

// Produced records the number of tokens that a generation has produced; gap is
// the time since the previous token.
func (a *Admitter) Produced(id string, tokens int, gap time.Duration) {
	r := a.active[id]
	if r == nil {
		return
	}
	r.produced = tokens
	if tokens > 1 {
		a.tokenTime = smooth(a.tokenTime, min(gap, time.Second))
	}
	before := r.remaining
	if tokens%tokensPerEstimate == 0 {
		r.remaining = a.estimator.Remaining(a.estimatorKey(r), tokens, r.MaxTokens)
	} else {
		r.remaining = max(r.remaining-1, 0)
	}
	a.remainingSum += r.remaining - before
	r.candidate.Load.Progress(id, tokens, r.remaining)
}

// Done records that a generation has completed, and decides on waiting requests.
func (a *Admitter) Done(id string, now time.Time) []Decision {
	r := a.active[id]
	if r == nil {
		return nil
	}
	a.estimator.Observe(a.estimatorKey(r), r.produced)
	r.candidate.Load.RecordSuccess()
	a.finish(r, now)
	return a.Tick(now)
}

// Abandon records that a generation ended without completing and without a
// failure of its target, or removes a waiting request. It returns decisions on
// waiting requests.
func (a *Admitter) Abandon(id string, now time.Time) []Decision {
	if r := a.active[id]; r != nil {
		a.finish(r, now)
		return a.Tick(now)
	}
	for _, queue := range a.queues {
		for _, w := range queue.Order(a.sinceEpoch(now)) {
			if w.Value.ID == id && queue.Remove(w) {
				a.release(w.Value)
				return nil
			}
		}
	}
	return nil
}

// Failed records that a generation ended by a failure of its target.
func (a *Admitter) Failed(id string, now time.Time) []Decision {
	if r := a.active[id]; r != nil {
		r.candidate.Load.RecordFailure(now)
	}
	return a.Abandon(id, now)
}

func (a *Admitter) finish(r *Request, now time.Time) {
	r.candidate.Load.Finish(r.ID, now)
	delete(a.active, r.ID)
	a.remainingSum -= r.remaining
	a.release(r)
}

// Loads returns this VM's load by target, for its peers.
func (a *Admitter) Loads() []bluebelldoor.TargetLoad {
	loads := map[string]bluebelldoor.TargetLoad{}
	for _, r := range a.active {
		name := r.candidate.Target.Name()
		if _, done := loads[name]; !done {
			loads[name] = r.candidate.Load.Summary(name)
		}
	}
	return slices.Collect(maps.Values(loads))
}

// Waiting returns the number of waiting requests.
func (a *Admitter) Waiting() int {
	n := 0
	for _, queue := range a.queues {
		n += queue.Len()
	}
	return n
}

// Active returns the number of running generations.
func (a *Admitter) Active() int { return len(a.active) }

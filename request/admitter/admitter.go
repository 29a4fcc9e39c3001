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
	// smallShard is how many VMs serve a small client account.
	smallShard = 2
	// urgentAfter is the share of its time after which a waiting request may go
	// before every class; one in urgentEvery starts does. This bounds starvation.
	urgentAfter = 0.5
	urgentEvery = 8
	// objective is within what a first token is wanted: that of the users'
	// most urgent streams. Classes state none.
	objective = 1500 * time.Millisecond
	// smoothing weighs the newest of the measured times.
	smoothing = 0.1
	// startTokenTime is assumed before any was measured.
	startTokenTime = 20 * time.Millisecond
	minRetryAfter  = 500 * time.Millisecond
	// estimateEvery is after how many tokens the rest is estimated anew.
	estimateEvery = 16
)

// Request is one generation that asks to start. Sizes are in tokens.
type Request struct {
	ID        string
	Account   *bluebelldoor.ClientAccount
	Class     *bluebelldoor.Class
	Model     string
	Prompt    int
	MaxTokens int
	// Prefix is a hash of the beginning of the prompt, 0 if it has none worth
	// a cache.
	Prefix   uint64
	Arrived  time.Time
	Deadline time.Time

	target   *router.Candidate
	produced int
	rest     int
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
	lines     map[string]*placer.Line[*Request] // by model
	epoch     time.Time
	active    map[string]*Request
	accounts  map[string]int
	tokenTime time.Duration
	starts    int
	restSum   int
	random    func() uint64
	naive     bool
}

// Option changes how an admitter behaves.
type Option func(*Admitter)

// WithNaive turns the queue, limits and early refusals off: each request
// starts at once wherever the chooser says. It is the baseline.
func WithNaive() Option { return func(a *Admitter) { a.naive = true } }

// New returns an admitter without a table; it refuses everything until it has
// one.
func New(chooser router.Chooser, random func() uint64, options ...Option) *Admitter {
	a := &Admitter{
		chooser:   chooser,
		estimator: estimator.New(),
		active:    map[string]*Request{},
		accounts:  map[string]int{},
		lines:     map[string]*placer.Line[*Request]{},
		tokenTime: startTokenTime,
		random:    random,
	}
	for _, option := range options {
		option(a)
	}
	return a
}

// SetTable takes a newly published table and document.
func (a *Admitter) SetTable(t *router.Table, d *bluebelldoor.Document) {
	a.table, a.document = t, d
}

// Arrive decides on a new request: it starts, waits or is refused at once.
// Decisions on waiting requests may come along.
func (a *Admitter) Arrive(r *Request, now time.Time) []Decision {
	if refusal := a.check(r, now); refusal != nil {
		return []Decision{{Request: r, Refusal: refusal}}
	}
	a.accounts[r.Account.Name()]++
	a.enqueue(r, now)
	return a.Tick(now)
}

func (a *Admitter) key(r *Request) estimator.Key {
	return estimator.Key{Model: r.Model, Class: r.Class.Name()}
}

func (a *Admitter) demand(r *Request) router.Demand {
	return router.Demand{
		PromptTokens:  r.Prompt,
		OutputTokens:  a.estimator.Remaining(a.key(r), 0, r.MaxTokens),
		MeanRemaining: a.restSum / max(len(a.active), 1),
		PrefixHash:    r.Prefix,
	}
}

func (a *Admitter) start(r *Request, c *router.Candidate, now time.Time) Decision {
	d := a.demand(r)
	r.target = c
	r.produced = 0
	r.rest = d.OutputTokens
	a.restSum += r.rest
	c.Load.Start(r.ID, d, now)
	a.active[r.ID] = r
	a.starts++
	return Decision{Request: r, Target: c.Target}
}

func smooth(old, sample time.Duration) time.Duration {
	return old + time.Duration(smoothing*float64(sample-old))
}

func (a *Admitter) refuse(r *Request, refusal *bluebelldoor.Refusal) Decision {
	a.release(r)
	return Decision{Request: r, Refusal: refusal}
}

func (a *Admitter) release(r *Request) {
	name := r.Account.Name()
	a.accounts[name]--
	if a.accounts[name] <= 0 {
		delete(a.accounts, name)
	}
}

// Produced notes that a generation has so many tokens; gap is the time since
// the token before.
func (a *Admitter) Produced(id string, tokens int, gap time.Duration) {
	r := a.active[id]
	if r == nil {
		return
	}
	r.produced = tokens
	if tokens > 1 {
		a.tokenTime = smooth(a.tokenTime, min(gap, time.Second))
	}
	before := r.rest
	if tokens%estimateEvery == 0 {
		r.rest = a.estimator.Remaining(a.key(r), tokens, r.MaxTokens)
	} else {
		r.rest = max(r.rest-1, 0)
	}
	a.restSum += r.rest - before
	r.target.Load.Progress(id, tokens, r.rest)
}

// Done notes that a generation has ended whole, and decides on waiting ones.
func (a *Admitter) Done(id string, now time.Time) []Decision {
	r := a.active[id]
	if r == nil {
		return nil
	}
	a.estimator.Observe(a.key(r), r.produced)
	r.target.Load.RecordSuccess()
	a.leave(r, now)
	return a.Tick(now)
}

// Abandon notes that a generation ended otherwise, or that a waiting request
// was given up, and decides on waiting ones.
func (a *Admitter) Abandon(id string, now time.Time) []Decision {
	if r := a.active[id]; r != nil {
		a.leave(r, now)
		return a.Tick(now)
	}
	for _, line := range a.lines {
		for _, w := range line.Order(a.since(now)) {
			if w.Value.ID == id && line.Remove(w) {
				a.release(w.Value)
				return nil
			}
		}
	}
	return nil
}

// Failed notes that the target broke the generation, and ends it there.
func (a *Admitter) Failed(id string, now time.Time) []Decision {
	if r := a.active[id]; r != nil {
		r.target.Load.RecordFailure(now)
	}
	return a.Abandon(id, now)
}

func (a *Admitter) leave(r *Request, now time.Time) {
	r.target.Load.Finish(r.ID, now)
	delete(a.active, r.ID)
	a.restSum -= r.rest
	a.release(r)
}

// Loads returns what this VM has on the targets, for its peers.
func (a *Admitter) Loads() []bluebelldoor.TargetLoad {
	told := map[string]bluebelldoor.TargetLoad{}
	for _, r := range a.active {
		name := r.target.Target.Name()
		if _, done := told[name]; !done {
			told[name] = r.target.Load.Summary(name)
		}
	}
	return slices.Collect(maps.Values(told))
}

// Waiting returns how many requests wait.
func (a *Admitter) Waiting() int {
	n := 0
	for _, line := range a.lines {
		n += line.Len()
	}
	return n
}

// Active returns how many generations run.
func (a *Admitter) Active() int { return len(a.active) }

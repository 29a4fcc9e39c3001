package streamer

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"bluebelldoor"
	"bluebelldoor/process/controller"
	"bluebelldoor/process/ranker"
	"bluebelldoor/process/recorder"
	"bluebelldoor/request/admitter"
	"bluebelldoor/request/identifier"
)

const (
	// stallThreshold is the time between two tokens beyond which the excess is
	// counted as a stall that the caller notices.
	stallThreshold = 250 * time.Millisecond
	// unreachableStalls is the number of stall times for which a target may be
	// unreachable before a stream on it is ended as lost; resumeInterval is the
	// pause between attempts to resume.
	unreachableStalls = 2
	resumeInterval    = 200 * time.Millisecond
	// reportMaxAge is the age up to which a load report shows a live target.
	reportMaxAge = 2 * time.Second
	// disconnectTime is how long an engine may take to detect a closed connection.
	disconnectTime = time.Second
	// resumeWindow is how long a generation without a reader can be resumed.
	resumeWindow  = 10 * time.Second
	cancelTimeout = 2 * time.Second
	// prefixBytes is the length of the prompt prefix that is hashed for routing
	// to the engines' prefix caches.
	prefixBytes = 1024
	// lostRetryAfter is the retry time given after a target was lost.
	lostRetryAfter = time.Second
)

// Streamer serves the generations of one VM. It is safe for concurrent use.
type Streamer struct {
	engines bluebelldoor.EngineClient
	gate    *Gate
	budget  *RetryBudget
	state   func() *controller.State
	secret  []byte
	journal *recorder.Journal
	metrics *recorder.Metrics
	log     hclog.Logger
	active  atomic.Int64
	// moveOn is cancelled when the streams are to continue at other VMs.
	moveOn       context.Context
	cancelMoveOn context.CancelFunc
}

// New returns a streamer.
func New(engines bluebelldoor.EngineClient, gate *Gate, state func() *controller.State, secret []byte, journal *recorder.Journal, metrics *recorder.Metrics, log hclog.Logger) *Streamer {
	s := &Streamer{
		engines: engines,
		gate:    gate,
		budget:  NewRetryBudget(),
		state:   state,
		secret:  secret,
		journal: journal,
		metrics: metrics,
		log:     log,
	}
	s.moveOn, s.cancelMoveOn = context.WithCancel(context.Background())
	return s
}

// Active returns the number of streams in progress.
func (s *Streamer) Active() int { return int(s.active.Load()) }

// MoveOn ends every stream with an event that names the VMs where it can be
// resumed.
func (s *Streamer) MoveOn() { s.cancelMoveOn() }

// errMoveOn and errCallerGone end a stream for reasons other than its target.
var (
	errMoveOn     = errors.New("this VM is leaving")
	errCallerGone = errors.New("the caller disconnected")
)

// Job is one generation to serve.
type Job struct {
	Request  bluebelldoor.GenerateRequest
	Account  *bluebelldoor.ClientAccount
	Class    *bluebelldoor.Class
	Arrived  time.Time
	Deadline time.Time
}

// Serve runs a job and returns its result.
func (s *Streamer) Serve(ctx context.Context, j Job, sink bluebelldoor.Sink) bluebelldoor.GenerateResult {
	s.begin()
	defer s.end()
	ctx, cancel := context.WithDeadline(ctx, j.Deadline)
	defer cancel()
	s.budget.Deposit(s.state().View().Document().Limits().RetryPercent)
	for attempt := 1; ; attempt++ {
		result, retry := s.attempt(ctx, j, attempt, sink)
		if !retry {
			return result
		}
		if !s.budget.Withdraw() {
			return bluebelldoor.GenerateResult{Refusal: bluebelldoor.NewRefusal(bluebelldoor.RetryBudget, "the target failed and no retries are left in this VM's budget").
				WithExecuted(bluebelldoor.ExecutedUnknown).WithRetryAfter(lostRetryAfter)}
		}
		s.metrics.Retried()
	}
}

func (s *Streamer) begin() {
	s.active.Add(1)
	s.metrics.StreamStarted()
}

func (s *Streamer) end() {
	s.active.Add(-1)
	s.metrics.StreamEnded()
}

// attempt runs the job on one target; retry is true if another target may be
// tried, that is if the attempt failed before the caller received anything.
func (s *Streamer) attempt(ctx context.Context, j Job, attempt int, sink bluebelldoor.Sink) (result bluebelldoor.GenerateResult, retry bool) {
	queuedAt := time.Now()
	admissionID := j.Request.ID + "/" + identifier.Nonce()
	target, refusal := s.gate.Enter(ctx, &admitter.Request{
		ID:           admissionID,
		Account:      j.Account,
		Class:        j.Class,
		Model:        j.Request.Model,
		PromptTokens: promptTokens(j.Request.Prompt),
		MaxTokens:    j.Request.MaxTokens,
		PrefixHash:   prefixHash(j.Request.Model, j.Request.Prompt),
		Arrived:      queuedAt,
		Deadline:     j.Deadline,
	})
	if refusal != nil {
		if attempt > 1 {
			refusal = refusal.WithExecuted(bluebelldoor.ExecutedUnknown)
		}
		return bluebelldoor.GenerateResult{Refusal: refusal}, false
	}
	s.metrics.ObserveQueueTime(j.Class.Name(), time.Since(queuedAt))
	r := &run{
		streamer:    s,
		job:         j,
		admissionID: admissionID,
		target:      target,
		id:          identifier.New(s.secret, j.Account.Name(), target.Name()),
		sink:        sink,
		lastToken:   j.Arrived,
	}
	s.journal.Record(j.Request.ID, "attempt %d: target %s, generation %s, queued for %s", attempt, target.Name(), r.id, time.Since(queuedAt).Round(time.Microsecond))
	return r.start(ctx)
}

// prefixHash hashes the beginning of a prompt, so that prompts with the same
// prefix are routed to the same few targets. It returns 0 for a short prompt.
func prefixHash(model, prompt string) uint64 {
	if len(prompt) < prefixBytes {
		return 0
	}
	return ranker.Score(model, prompt[:prefixBytes])
}

// promptTokens estimates the number of tokens of a prompt, rather too high than
// too low.
func promptTokens(prompt string) int { return 1 + len(strings.Fields(prompt)) + len(prompt)/16 }

// hasRecentReport reports whether the target has recently sent a load report.
func (s *Streamer) hasRecentReport(target string) bool {
	c := s.state().Table().Candidate(target)
	return c != nil && c.HasReport && time.Since(c.Report.Received) <= reportMaxAge
}

// Resume continues to read a generation that any VM has started, from the token
// after sequence. It sends no new work to the target.
func (s *Streamer) Resume(ctx context.Context, requestID string, class *bluebelldoor.Class, target *bluebelldoor.Target, id string, sequence int, sink bluebelldoor.Sink) bluebelldoor.GenerateResult {
	s.begin()
	defer s.end()
	s.metrics.Resumed()
	s.journal.Record(requestID, "resume of generation %s at target %s after token %d", id, target.Name(), sequence)
	r := &run{
		streamer:  s,
		job:       Job{Request: bluebelldoor.GenerateRequest{ID: requestID, Streamed: true}, Class: class},
		target:    target,
		id:        id,
		sink:      sink,
		sequence:  sequence,
		resumed:   true,
		lastToken: time.Now(),
	}
	result, _ := r.resume(ctx, errors.New("resumed by the caller"))
	return result
}

// Package director handles the requests of callers and peers on one VM. It
// authenticates callers, and passes the work to the streamer, the executor and the
// controller.
//
// It is independent of the protocol; listeners call it.
package director

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebelldoor"
	"bluebelldoor/process/controller"
	"bluebelldoor/process/executor"
	"bluebelldoor/process/recorder"
	"bluebelldoor/request/identifier"
	"bluebelldoor/request/streamer"
)

const (
	retryAfter         = time.Second
	defaultMaxTokens   = 4096
	defaultCallTimeout = 30 * time.Second
)

// Director handles requests on one VM. It is safe for concurrent use.
type Director struct {
	settings      *bluebelldoor.Settings
	control       *controller.Controller
	streams       *streamer.Streamer
	calls         *executor.Executor
	journal       *recorder.Journal
	metrics       *recorder.Metrics
	log           hclog.Logger
	draining      func() bool
	exchangeLoads func(*bluebelldoor.LoadsMessage) *bluebelldoor.LoadsMessage
}

var (
	_ bluebelldoor.Front       = (*Director)(nil)
	_ bluebelldoor.PeerHandler = (*Director)(nil)
)

// New returns a director. It refuses new requests once draining returns true.
// exchangeLoads handles a peer's load message and returns the reply.
func New(settings *bluebelldoor.Settings, control *controller.Controller, streams *streamer.Streamer, calls *executor.Executor, journal *recorder.Journal, metrics *recorder.Metrics, log hclog.Logger, draining func() bool, exchangeLoads func(*bluebelldoor.LoadsMessage) *bluebelldoor.LoadsMessage) *Director {
	return &Director{
		settings:      settings,
		control:       control,
		streams:       streams,
		calls:         calls,
		journal:       journal,
		metrics:       metrics,
		log:           log,
		draining:      draining,
		exchangeLoads: exchangeLoads,
	}
}

// account returns the client account of an API key.
func (d *Director) account(apiKey string) (*bluebelldoor.ClientAccount, *bluebelldoor.Refusal) {
	document := d.control.State().View().Document()
	if document == nil {
		return nil, bluebelldoor.NewRefusal(bluebelldoor.ViewStale, "no document has been read yet").WithRetryAfter(retryAfter)
	}
	sum := sha256.Sum256([]byte(apiKey))
	a := document.AccountByKey(hex.EncodeToString(sum[:]))
	if a == nil {
		return nil, bluebelldoor.NewRefusal(bluebelldoor.Unauthorized, "no client account has this API key")
	}
	return a, nil
}

// admit returns the client account of an API key, and a refusal if this VM takes
// no new work.
func (d *Director) admit(apiKey string) (*bluebelldoor.ClientAccount, *bluebelldoor.Refusal) {
	a, refusal := d.account(apiKey)
	if refusal != nil {
		return nil, refusal
	}
	if d.draining() {
		return nil, bluebelldoor.NewRefusal(bluebelldoor.Draining, "this VM is leaving; ask another one").WithRetryAfter(retryAfter)
	}
	return a, d.control.State().CheckFresh(time.Now())
}

// Mint implements bluebelldoor.Front.
func (d *Director) Mint(ctx context.Context, apiKey string) (string, time.Duration, *bluebelldoor.Refusal) {
	a, refusal := d.admit(apiKey)
	if refusal != nil {
		return "", 0, d.recordRefusal("", refusal)
	}
	key, validFor, refusal := d.calls.Mint(ctx, a.Name())
	if refusal != nil {
		return "", 0, d.recordRefusal("", refusal)
	}
	return key, validFor, nil
}

// Generate implements bluebelldoor.Front.
func (d *Director) Generate(ctx context.Context, r bluebelldoor.GenerateRequest, sink bluebelldoor.Sink) bluebelldoor.GenerateResult {
	arrived := time.Now()
	job, refusal := d.newJob(r, arrived)
	if refusal != nil {
		return bluebelldoor.GenerateResult{Refusal: d.recordRefusal(r.ID, refusal)}
	}
	d.log.Debug("generation arrived", "request", r.ID, "account", job.Account.Name(), "class", job.Class.Name(), "model", r.Model)
	final := d.streams.Serve(ctx, job, sink)
	return d.finish(r.ID, final)
}

func (d *Director) newJob(r bluebelldoor.GenerateRequest, arrived time.Time) (streamer.Job, *bluebelldoor.Refusal) {
	var job streamer.Job
	a, refusal := d.admit(r.APIKey)
	if refusal != nil {
		return job, refusal
	}
	document := d.control.State().View().Document()
	if _, known := document.ModelTargets(r.Model); !known {
		return job, bluebelldoor.NewRefusal(bluebelldoor.UnknownModel, fmt.Sprintf("model %q", r.Model))
	}
	if r.Class == "" {
		r.Class = a.Class()
	}
	class := document.Class(r.Class)
	if class == nil {
		return job, bluebelldoor.NewRefusal(bluebelldoor.BadRequest, fmt.Sprintf("no class %q", r.Class))
	}
	if r.MaxTokens == 0 {
		r.MaxTokens = defaultMaxTokens
	}
	if r.Within == 0 {
		r.Within = class.DefaultWithin()
	}
	return streamer.Job{Request: r, Account: a, Class: class, Arrived: arrived, Deadline: arrived.Add(r.Within)}, nil
}

// finish records a refusal, if any. If the generation can be resumed elsewhere, it
// adds the addresses of available VMs.
func (d *Director) finish(id string, final bluebelldoor.GenerateResult) bluebelldoor.GenerateResult {
	if final.Refusal == nil {
		return final
	}
	final.Refusal = d.recordRefusal(id, final.Refusal)
	if final.Refusal.Code() == bluebelldoor.MovedOn {
		s := d.control.State()
		for _, name := range d.availableVMs(s) {
			final.ResumeAt = append(final.ResumeAt, s.View().List().VM(name).CallerAddress())
		}
	}
	return final
}

// Resume implements bluebelldoor.Front.
func (d *Director) Resume(ctx context.Context, apiKey, requestID, generation string, sequence int, sink bluebelldoor.Sink) bluebelldoor.GenerateResult {
	a, refusal := d.account(apiKey)
	if refusal != nil {
		return bluebelldoor.GenerateResult{Refusal: d.recordRefusal(requestID, refusal)}
	}
	document := d.control.State().View().Document()
	name, ok := identifier.Target(d.settings.FleetSecret(), a.Name(), generation)
	target := document.Target(name)
	if !ok || target == nil {
		return bluebelldoor.GenerateResult{Refusal: d.recordRefusal(requestID, bluebelldoor.NewRefusal(bluebelldoor.UnknownGeneration, generation))}
	}
	class := document.Class(a.Class())
	ctx, cancel := context.WithTimeout(ctx, class.DefaultWithin())
	defer cancel()
	return d.finish(requestID, d.streams.Resume(ctx, requestID, class, target, generation, sequence, sink))
}

// Call implements bluebelldoor.Front.
func (d *Director) Call(ctx context.Context, r bluebelldoor.CallRequest) (bluebelldoor.Answer, *bluebelldoor.Refusal) {
	a, refusal := d.prepareCall(&r)
	if refusal != nil {
		if r.Key != "" {
			// An earlier request with this key may have run.
			refusal = refusal.WithExecuted(bluebelldoor.ExecutedUnknown)
		}
		return bluebelldoor.Answer{}, d.recordRefusal(r.ID, refusal)
	}
	out := d.calls.Execute(ctx, a.Name(), r.Service, bluebelldoor.Call{
		ID:          r.ID,
		Method:      r.Method,
		Path:        r.Path,
		ContentType: r.ContentType,
		Body:        r.Body,
		Key:         r.Key,
	}, time.Now().Add(r.Within))
	if out.Refusal != nil {
		return bluebelldoor.Answer{}, d.recordRefusal(r.ID, out.Refusal)
	}
	return out.Answer, nil
}

// prepareCall returns the client account of a call, sets the default time limit,
// and removes the key of a call that may be repeated. A keyed call is not refused
// because the view is stale or this VM is draining: the key's home decides, and
// checks its own view before it sends the call.
func (d *Director) prepareCall(r *bluebelldoor.CallRequest) (*bluebelldoor.ClientAccount, *bluebelldoor.Refusal) {
	a, refusal := d.account(r.APIKey)
	if refusal != nil {
		return nil, refusal
	}
	service := d.control.State().View().Document().Service(r.Service)
	if service == nil {
		return nil, bluebelldoor.NewRefusal(bluebelldoor.UnknownService, r.Service)
	}
	if r.Within == 0 {
		r.Within = defaultCallTimeout
	}
	if service.IsIdempotent(r.Method) {
		r.Key = ""
		return d.admit(r.APIKey)
	}
	if r.Key == "" {
		return nil, bluebelldoor.NewRefusal(bluebelldoor.KeyRequired, "get a key from POST /v1/keys and send it as Idempotency-Key")
	}
	return a, nil
}

// recordRefusal records a refusal in metrics, journal and log, and returns it.
func (d *Director) recordRefusal(id string, r *bluebelldoor.Refusal) *bluebelldoor.Refusal {
	d.metrics.Refused(r.Code())
	d.journal.RecordRefusal(id, r)
	d.log.Info("refused", "request", id, "code", int(r.Code()), "name", r.Code().String(), "executed", string(r.Executed()))
	return r
}

// State implements bluebelldoor.PeerHandler.
func (d *Director) State(_ context.Context, in *bluebelldoor.StateRequest) (*bluebelldoor.StateReply, error) {
	return d.control.Answer(in), nil
}

// Forward implements bluebelldoor.PeerHandler.
func (d *Director) Forward(ctx context.Context, in *bluebelldoor.ForwardRequest) (*bluebelldoor.ForwardReply, error) {
	return d.calls.Forward(ctx, in), nil
}

// Announce implements bluebelldoor.PeerHandler.
func (d *Director) Announce(_ context.Context, in *bluebelldoor.KeyRequest) (*bluebelldoor.AnnounceReply, error) {
	return d.calls.Announce(in), nil
}

// Ask implements bluebelldoor.PeerHandler.
func (d *Director) Ask(_ context.Context, in *bluebelldoor.KeyRequest) (*bluebelldoor.AskReply, error) {
	return d.calls.Ask(in), nil
}

// Leave implements bluebelldoor.PeerHandler.
func (d *Director) Leave(ctx context.Context, in *bluebelldoor.LeaveRequest) (*bluebelldoor.LeaveReply, error) {
	d.control.MarkPeerDraining(ctx, in.Name)
	return &bluebelldoor.LeaveReply{}, nil
}

// Loads implements bluebelldoor.PeerHandler.
func (d *Director) Loads(_ context.Context, in *bluebelldoor.LoadsMessage) (*bluebelldoor.LoadsMessage, error) {
	return d.exchangeLoads(in), nil
}

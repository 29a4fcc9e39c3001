// Package director is what callers and peers ask of one VM: it checks who asks,
// and hands the work to the streamer, the executor and the controller.
//
// It knows no protocol; listeners drive it.
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
	comeBack         = time.Second
	defaultMaxTokens = 4096
	callWithin       = 30 * time.Second
)

// Director serves one VM. It is safe for concurrent use.
type Director struct {
	settings *bluebelldoor.Settings
	control  *controller.Controller
	streams  *streamer.Streamer
	calls    *executor.Executor
	journal  *recorder.Journal
	metrics  *recorder.Metrics
	log      hclog.Logger
	closed   func() bool
	loads    func(*bluebelldoor.LoadsMessage) *bluebelldoor.LoadsMessage
}

var (
	_ bluebelldoor.Front       = (*Director)(nil)
	_ bluebelldoor.PeerHandler = (*Director)(nil)
)

// New returns a director. It takes no new requests once closed returns true.
// loads answers what peers tell of theirs.
func New(settings *bluebelldoor.Settings, control *controller.Controller, streams *streamer.Streamer, calls *executor.Executor, journal *recorder.Journal, metrics *recorder.Metrics, log hclog.Logger, closed func() bool, loads func(*bluebelldoor.LoadsMessage) *bluebelldoor.LoadsMessage) *Director {
	return &Director{
		settings: settings,
		control:  control,
		streams:  streams,
		calls:    calls,
		journal:  journal,
		metrics:  metrics,
		log:      log,
		closed:   closed,
		loads:    loads,
	}
}

// account finds the client account of an API key.
func (d *Director) account(apiKey string) (*bluebelldoor.ClientAccount, *bluebelldoor.Refusal) {
	document := d.control.State().View().Document()
	if document == nil {
		return nil, bluebelldoor.Refuse(bluebelldoor.ViewStale, "no document has been read yet").WithRetryAfter(comeBack)
	}
	sum := sha256.Sum256([]byte(apiKey))
	a := document.AccountByKey(hex.EncodeToString(sum[:]))
	if a == nil {
		return nil, bluebelldoor.Refuse(bluebelldoor.Unauthorized, "no client account has this API key")
	}
	return a, nil
}

// admitted finds the account, and refuses if this VM may take no new work.
func (d *Director) admitted(apiKey string) (*bluebelldoor.ClientAccount, *bluebelldoor.Refusal) {
	a, refusal := d.account(apiKey)
	if refusal != nil {
		return nil, refusal
	}
	if d.closed() {
		return nil, bluebelldoor.Refuse(bluebelldoor.Draining, "this VM is leaving; ask another one").WithRetryAfter(comeBack)
	}
	return a, d.control.State().Fresh(time.Now())
}

// Mint implements bluebelldoor.Front.
func (d *Director) Mint(ctx context.Context, apiKey string) (string, time.Duration, *bluebelldoor.Refusal) {
	a, refusal := d.admitted(apiKey)
	if refusal != nil {
		return "", 0, d.refuse("", refusal)
	}
	key, validFor, refusal := d.calls.Mint(ctx, a.Name())
	if refusal != nil {
		return "", 0, d.refuse("", refusal)
	}
	return key, validFor, nil
}

// Generate implements bluebelldoor.Front.
func (d *Director) Generate(ctx context.Context, r bluebelldoor.GenerateRequest, sink bluebelldoor.Sink) bluebelldoor.Final {
	arrived := time.Now()
	job, refusal := d.job(r, arrived)
	if refusal != nil {
		return bluebelldoor.Final{Refusal: d.refuse(r.ID, refusal)}
	}
	d.log.Debug("generation arrived", "request", r.ID, "account", job.Account.Name(), "class", job.Class.Name(), "model", r.Model)
	final := d.streams.Serve(ctx, job, sink)
	return d.finish(r.ID, final)
}

func (d *Director) job(r bluebelldoor.GenerateRequest, arrived time.Time) (streamer.Job, *bluebelldoor.Refusal) {
	var job streamer.Job
	a, refusal := d.admitted(r.APIKey)
	if refusal != nil {
		return job, refusal
	}
	document := d.control.State().View().Document()
	if _, known := document.Serving(r.Model); !known {
		return job, bluebelldoor.Refuse(bluebelldoor.UnknownModel, fmt.Sprintf("model %q", r.Model))
	}
	if r.Class == "" {
		r.Class = a.Class()
	}
	class := document.Class(r.Class)
	if class == nil {
		return job, bluebelldoor.Refuse(bluebelldoor.BadRequest, fmt.Sprintf("no class %q", r.Class))
	}
	if r.MaxTokens == 0 {
		r.MaxTokens = defaultMaxTokens
	}
	if r.Within == 0 {
		r.Within = class.DefaultWithin()
	}
	return streamer.Job{Request: r, Account: a, Class: class, Arrived: arrived, Deadline: arrived.Add(r.Within)}, nil
}

// finish notes how an answer ended, and names VMs to resume at where that
// helps.
func (d *Director) finish(id string, final bluebelldoor.Final) bluebelldoor.Final {
	if final.Refusal == nil {
		return final
	}
	final.Refusal = d.refuse(id, final.Refusal)
	if final.Refusal.Code() == bluebelldoor.MovedOn {
		s := d.control.State()
		for _, name := range d.liveVMs(s) {
			final.ResumeAt = append(final.ResumeAt, s.View().List().VM(name).CallerAddress())
		}
	}
	return final
}

// Resume implements bluebelldoor.Front.
func (d *Director) Resume(ctx context.Context, apiKey, requestID, generation string, sequence int, sink bluebelldoor.Sink) bluebelldoor.Final {
	a, refusal := d.account(apiKey)
	if refusal != nil {
		return bluebelldoor.Final{Refusal: d.refuse(requestID, refusal)}
	}
	document := d.control.State().View().Document()
	name, ok := identifier.Target(d.settings.FleetSecret(), a.Name(), generation)
	target := document.Target(name)
	if !ok || target == nil {
		return bluebelldoor.Final{Refusal: d.refuse(requestID, bluebelldoor.Refuse(bluebelldoor.UnknownGeneration, generation))}
	}
	class := document.Class(a.Class())
	ctx, cancel := context.WithTimeout(ctx, class.DefaultWithin())
	defer cancel()
	return d.finish(requestID, d.streams.Resume(ctx, requestID, class, target, generation, sequence, sink))
}

// Call implements bluebelldoor.Front.
func (d *Director) Call(ctx context.Context, r bluebelldoor.CallRequest) (bluebelldoor.Answer, *bluebelldoor.Refusal) {
	a, refusal := d.checkCall(&r)
	if refusal != nil {
		if r.Key != "" {
			// An earlier request with this key may have run.
			refusal = refusal.WithExecuted(bluebelldoor.ExecutedUnknown)
		}
		return bluebelldoor.Answer{}, d.refuse(r.ID, refusal)
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
		return bluebelldoor.Answer{}, d.refuse(r.ID, out.Refusal)
	}
	return out.Answer, nil
}

// checkCall finds the account of a call, and drops the key of one that may be
// repeated. A keyed call is not refused for a stale view or for draining: its
// home decides, and checks its own view before it sends.
func (d *Director) checkCall(r *bluebelldoor.CallRequest) (*bluebelldoor.ClientAccount, *bluebelldoor.Refusal) {
	a, refusal := d.account(r.APIKey)
	if refusal != nil {
		return nil, refusal
	}
	service := d.control.State().View().Document().Service(r.Service)
	if service == nil {
		return nil, bluebelldoor.Refuse(bluebelldoor.UnknownService, r.Service)
	}
	if r.Within == 0 {
		r.Within = callWithin
	}
	if service.MayRepeat(r.Method) {
		r.Key = ""
		return d.admitted(r.APIKey)
	}
	if r.Key == "" {
		return nil, bluebelldoor.Refuse(bluebelldoor.KeyRequired, "get a key from POST /v1/keys and send it as Idempotency-Key")
	}
	return a, nil
}

// refuse notes a refusal and returns it.
func (d *Director) refuse(id string, r *bluebelldoor.Refusal) *bluebelldoor.Refusal {
	d.metrics.Refused(r.Code())
	d.journal.Refused(id, r)
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
	return d.loads(in), nil
}

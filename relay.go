package bluebelldoor

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Clock measures ages. Its time also passes while the VM is suspended, and
// does not follow the time of day.
type Clock interface {
	// Now returns the time since an arbitrary start.
	Now() time.Duration
}

// Record is what the platform publishes under one key, as it stands there.
type Record struct {
	Key string `cbor:"key"`
	// Revision is that of the entry's last change, its removal included.
	Revision uint64 `cbor:"revision"`
	Value    []byte `cbor:"value"`
	// Gone tells that the entry was removed.
	Gone bool `cbor:"gone"`
}

// Change is what an entry says. One field besides Gone is set; none is where
// the entry can't be read or is of no concern.
type Change struct {
	Gone       bool
	Routing    *Routing
	Instance   *Instance
	DataCentre string // a data centre that is out of service while the entry stands
	// Err tells why an entry can't be read.
	Err error
}

// Published is an answer of the catalogue.
type Published struct {
	// Revision is that of the catalogue when it answered.
	Revision uint64
	// Whole tells that Records are all there are, else those after a revision.
	Whole   bool
	Records []Record
}

// Catalogue reads what the platform publishes: routing, targets, and data
// centres that are out of service.
type Catalogue interface {
	// Read returns every entry.
	Read(ctx context.Context) (Published, error)
	// Watch waits for changes after a revision, at most wait. The error is
	// ErrHistoryLost if the catalogue no longer knows them.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Published, error)
	// Decode returns what an entry says.
	Decode(e Record) Change
}

// TargetStart names one start of a target.
type TargetStart struct {
	ID   string `cbor:"id"`
	Born int64  `cbor:"born"`
}

// Reporter asks targets what they say of themselves.
type Reporter interface {
	// Leaving reports whether the target is about to go.
	Leaving(ctx context.Context, t *Instance) (bool, error)
}

// RelayRequest is what the product knows of a request that it passes on
// without reading its body.
type RelayRequest struct {
	ID     string
	Host   string
	Path   string
	APIKey string
	// Within is what the caller allows, counted from its sending; 0 if it does
	// not say.
	Within time.Duration
	// PromptTokens and MaxTokens size a generation, 0 where it is none.
	PromptTokens int
	MaxTokens    int
	// ExpectedTokens is the caller's guess at the length, 0 for none.
	ExpectedTokens int
	// ResumeAfter is the event that the caller saw last, empty for none.
	ResumeAfter string

	HTTP *http.Request
	Body []byte
}

// Dispatch is how a request goes to one target.
type Dispatch struct {
	Target *Instance
	// Left is what remains of the caller's and the operators' time.
	Left     time.Duration
	Account  string
	Priority int
	// ResumeAfter is the last event that the caller has.
	ResumeAfter string
	// Copy names the copy of a running generation to go on from.
	Copy string
}

// AnswerHead is what the product knows of a target's answer.
type AnswerHead struct {
	// RequestID is the request that the target says it answers.
	RequestID string
	// NotExecuted tells that the target did not and will not run the request.
	NotExecuted bool
	// IdleFor is how long the target keeps an idle connection, 0 if unsaid.
	IdleFor time.Duration
	// Leaving tells that the target that was asked takes no new work any more.
	Leaving bool
	// PauseFor is how long the target wants nothing more from this VM, 0 if it
	// sets no pause.
	PauseFor time.Duration
	// Malformed names a field that can't be read and is left out, empty if there
	// is none.
	Malformed string
}

// Listener takes what a target says in the head of an answer. It must not block.
type Listener func(t *Instance, head AnswerHead)

// Codec translates between messages on the wire and the types of the product.
type Codec interface {
	// Request reads a caller's request.
	Request(r *http.Request, body []byte) (*RelayRequest, error)
	// Head returns the head of a request as it goes to a target, framing left
	// out.
	Head(r *RelayRequest, d Dispatch) http.Header
	// Answer reads the head of a target's answer.
	Answer(head *http.Response) AnswerHead
	// AnswerHeader returns the header fields of a target's answer that go to
	// the caller, framing left out.
	AnswerHeader(head *http.Response) http.Header
	// Refusal returns the header fields of a refusal.
	Refusal(requestID string, r *Refusal) http.Header
}

// CopyResult is what a source says of a copy of a running generation.
type CopyResult struct {
	// Copy names the copy, for Dispatch.
	Copy string
	// Handle names it for Free.
	Handle string
	// Events is how many events the generation had made.
	Events int
}

// Mover moves running generations between engines.
type Mover interface {
	// Copy copies what is new of a running generation from source to
	// destination. With stop, the generation stops first. The error is a
	// *CopyError.
	Copy(ctx context.Context, source, destination *Instance, requestID string, stop bool) (CopyResult, error)
	// Free drops a copy that will not be used.
	Free(ctx context.Context, source *Instance, handle string) error
}

// EngineControl makes the control calls of engines.
type EngineControl interface {
	Mover
	Reporter
}

// CopyError tells why a generation was not copied.
type CopyError struct {
	// Status is the engine's answer, 0 if it gave none.
	Status int
	// Stopped is the copy to go on from at the source itself, empty if the
	// generation goes on running or is gone.
	Stopped string
	Cause   error
}

// Error implements error.
func (e *CopyError) Error() string { return "copy: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CopyError) Unwrap() error { return e.Cause }

// ErrHistoryLost says that a catalogue no longer knows the changes after a
// revision; read it whole.
var ErrHistoryLost = errors.New("the catalogue no longer holds this history")

package bluebelldoor

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Clock measures ages. It is monotonic, and also advances while the VM is
// suspended.
type Clock interface {
	// Now returns the time since an arbitrary start.
	Now() time.Duration
}

// Position is a state of the catalogue. A catalogue that returns from an older copy of
// itself begins a new era and gives out again the revisions above that of the copy.
// Revisions are comparable within an era only; every position of a higher era is newer.
type Position struct {
	// Era is 0 if the catalogue names none.
	Era      uint64
	Revision uint64
}

// After reports whether p is newer than q.
func (p Position) After(q Position) bool {
	if p.Era != q.Era {
		return p.Era > q.Era
	}
	return p.Revision > q.Revision
}

// Record is what the platform publishes under a key, not yet decoded.
type Record struct {
	Key string `cbor:"key"`
	// Era is that of the catalogue when it last showed the record.
	Era uint64 `cbor:"era,omitempty"`
	// Revision is that of the record's last change, including its removal.
	Revision uint64 `cbor:"revision"`
	// Value is empty in a message that refers to it by Reference.
	Value []byte `cbor:"value"`
	// Reference identifies a large value that peers fetch separately, nil for a small one.
	Reference *ValueReference `cbor:"reference,omitempty"`
	// Removed is set if the record was removed.
	Removed bool `cbor:"gone"`
}

// Position returns the position of the record's last change.
func (r Record) Position() Position { return Position{r.Era, r.Revision} }

// Change is a decoded record. One of Routing, Instance, DataCentre and Err is set,
// none if the record is of another kind, or was a routing or target and is removed.
type Change struct {
	Removed    bool
	Routing    *Routing
	Instance   *Instance
	DataCentre string // out of service as long as the record exists
	// Err tells why the record can't be decoded.
	Err error
}

// CatalogueReply is a reply of the catalogue.
type CatalogueReply struct {
	// Era is that of the catalogue when it replied, 0 if it names none. A catalogue that
	// returns from an older copy of itself begins a new era.
	Era uint64
	// Revision is that of the catalogue when it replied.
	Revision uint64
	// Full is set if Records holds all records, not only the changes after a
	// revision.
	Full    bool
	Records []Record
	// Unseen is the newest position up to which records may have come and gone that are
	// not among Records, zero if there are none.
	Unseen Position
}

// Position returns the position of the catalogue when it replied.
func (r CatalogueReply) Position() Position { return Position{r.Era, r.Revision} }

// Catalogue reads what the platform publishes: routing, targets, and data
// centres that are out of service.
type Catalogue interface {
	// Read returns every record.
	Read(ctx context.Context) (CatalogueReply, error)
	// Watch waits, for at most wait, for changes after a position. The error is
	// ErrHistoryLost if the catalogue no longer holds them, or is in a newer era.
	Watch(ctx context.Context, after Position, wait time.Duration) (CatalogueReply, error)
	// Decode decodes a record.
	Decode(r Record) Change
}

// TargetIncarnation identifies one incarnation, that is, one start, of a target.
type TargetIncarnation struct {
	ID        string `cbor:"id"`
	StartedAt int64  `cbor:"born"`
}

// Reporter asks targets for their state.
type Reporter interface {
	// Leaving reports whether the target announces that it is leaving.
	Leaving(ctx context.Context, t *Instance) (bool, error)
}

// StartReporter asks engines when they started.
type StartReporter interface {
	// StartedAt returns when the engine at the target's address started, in Unix
	// milliseconds, 0 if it does not say.
	StartedAt(ctx context.Context, t *Instance) (int64, error)
}

// RelayRequest describes a request that is relayed without reading its body.
type RelayRequest struct {
	ID     string
	Host   string
	Path   string
	APIKey string
	// Within is the caller's time limit, counted from when it sent the request; 0
	// if it sets none.
	Within time.Duration
	// PromptTokens and MaxTokens are the size of a generation, 0 for other requests.
	PromptTokens int
	MaxTokens    int
	// ExpectedTokens is the caller's estimate of the output length, 0 for none.
	ExpectedTokens int
	// ResumeAfter is the ID of the last event that the caller received, empty for none.
	ResumeAfter string
	// SharedParts are the IDs of the parts of the prompt that other requests may have too.
	SharedParts []string
	// Prompt is what the caller says of the prompt besides the body, empty for nothing.
	Prompt string

	HTTP *http.Request
	Body []byte
}

// Dispatch holds the parameters with which a request is sent to one target.
type Dispatch struct {
	Target *Instance
	// TimeLeft is the time left of the caller's and the operators' time limits.
	TimeLeft time.Duration
	Account  string
	Priority int
	// ResumeAfter is the ID of the last event that the caller has.
	ResumeAfter string
	// CopyID identifies the copy of a running generation to continue from.
	CopyID string
}

// ResponseHead holds what is read from the head of a target's response.
type ResponseHead struct {
	// RequestID is the ID of the request that the target responds to, as it states.
	RequestID string
	// NotExecuted is set if the target did not and will not run the request.
	NotExecuted bool
	// IdleTimeout is how long the target keeps an idle connection, 0 if not stated.
	IdleTimeout time.Duration
	// Leaving is set if the target that was asked announces that it is leaving.
	Leaving bool
	// PauseFor is how long this VM must send the target no requests, 0 for no pause.
	PauseFor time.Duration
	// Limit is what the response says of the requests that the target accepts.
	Limit RateLimit
	// Malformed describes a header field that can't be parsed and is ignored,
	// empty if there is none.
	Malformed string
}

// RateLimit is what a response says of the requests per second that a target accepts
// from all VMs together.
type RateLimit struct {
	// Unknown is set if the response does not say whether there is a limit: it may
	// come from another target, or its field is malformed.
	Unknown bool
	// Named is set if there is a limit.
	Named     bool
	PerSecond float64
}

// HeadObserver receives the head of each response of a target. It must not block.
type HeadObserver func(t *Instance, head ResponseHead)

// Codec translates between messages on the wire and the types of this package.
type Codec interface {
	// ParseRequest parses a caller's request.
	ParseRequest(r *http.Request, body []byte) (*RelayRequest, error)
	// RequestHeader returns the header fields of a request to a target, without those for
	// framing.
	RequestHeader(r *RelayRequest, d Dispatch) http.Header
	// ParseResponseHead parses the head of a target's response.
	ParseResponseHead(head *http.Response) ResponseHead
	// ResponseHeader returns the header fields of a target's response that are sent to
	// the caller, without those for framing.
	ResponseHeader(head *http.Response) http.Header
	// RefusalHeader returns the header fields of a refusal.
	RefusalHeader(requestID string, r *Refusal) http.Header
}

// CopyResult is a source's reply about a copy of a running generation.
type CopyResult struct {
	// CopyID identifies the copy in Dispatch.
	CopyID string
	// Handle identifies it in Free.
	Handle string
	// Events is how many events the generation had produced.
	Events int
}

// GenerationCopier copies running generations between engines.
type GenerationCopier interface {
	// Copy copies the part of a running generation that destination lacks from
	// source. With stop, the generation stops first. The error is a *CopyError.
	Copy(ctx context.Context, source, destination *Instance, requestID string, stop bool) (CopyResult, error)
	// Free discards a copy that will not be used.
	Free(ctx context.Context, source *Instance, handle string) error
}

// EngineControl makes the control calls to engines.
type EngineControl interface {
	GenerationCopier
	Reporter
	StartReporter
}

// CopyError tells why a generation was not copied.
type CopyError struct {
	// Status is the HTTP status of the engine's response, 0 if there was none.
	Status int
	// StoppedCopyID identifies the copy to continue from at the source itself, empty if
	// the generation is still running or is gone.
	StoppedCopyID string
	Cause         error
}

// Error implements error.
func (e *CopyError) Error() string { return "copy: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CopyError) Unwrap() error { return e.Cause }

// ErrHistoryLost means that the catalogue no longer holds the changes after a
// revision; all of it must be read again.
var ErrHistoryLost = errors.New("the catalogue no longer holds the changes after this revision")

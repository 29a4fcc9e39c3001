package bluebelldoor

import (
	"context"
	"time"
)

// Token is one piece of a generation. Sequence starts at 1.
type Token struct {
	Sequence int
	Text     string
}

// GenerationEnd is the end of a generation as its engine reports it.
type GenerationEnd struct {
	// Tokens is the number of tokens of the complete generation.
	Tokens int
	// Reason is "stop", "length" or "cancelled".
	Reason string
	// Preemptions is how often the engine preempted the generation.
	Preemptions int
}

// Generation is a request to an engine.
type Generation struct {
	ID        string
	Model     string
	Prompt    string
	MaxTokens int
	Priority  int
	// Within is the time left until the caller's deadline.
	Within time.Duration
	// Permit is called as the last step before any byte is sent. If it returns an
	// error, nothing is sent and the error is returned.
	Permit func() error
}

// EngineClient calls model engines. Implementations take no decisions.
type EngineClient interface {
	// Generate starts a generation, passes its tokens to onToken in order, then
	// returns the end. A *SendError tells whether the engine may have run it.
	Generate(ctx context.Context, t *Target, g Generation, onToken func(Token) error) (GenerationEnd, error)
	// Resume continues a generation from the token after sequence.
	Resume(ctx context.Context, t *Target, id string, sequence int, onToken func(Token) error) (GenerationEnd, error)
	// Cancel ends a generation unless it is being read, as another VM may have
	// resumed it.
	Cancel(ctx context.Context, t *Target, id string) error
	// Report reads the target's load report.
	Report(ctx context.Context, t *Target) (LoadReport, error)
}

// EngineState is the state that an engine reports of its weights and role.
type EngineState struct {
	Loaded  []Weights `json:"loaded"`
	Loading []Weights `json:"loading"`
	Role    string    `json:"role"`
	// Fence is the highest fencing number that the engine has seen.
	Fence uint64 `json:"fence"`
}

// OrderKind is the operation that an order asks of an engine.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order is one order to an engine. Orders are idempotent.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Weights Weights   `json:"weights"`
	Role    string    `json:"role"`
	// Fence is the fencing number; it increases with the document's revision.
	Fence uint64 `json:"fence"`
	// Permit is called as the last step before any byte is sent.
	Permit func() error `json:"-"`
}

// OrderClient sends orders to engines.
type OrderClient interface {
	// EngineState reads the state of an engine.
	EngineState(ctx context.Context, t *Target) (EngineState, error)
	Order(ctx context.Context, t *Target, o Order) error
}

// Call is one request to an application runner.
type Call struct {
	ID          string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Key is the idempotency key, empty for idempotent methods.
	Key    string
	Within time.Duration
	// Permit is called as the last step before any byte is sent. If it returns an
	// error, nothing is sent and the error is returned.
	Permit func() error
}

// Answer is the complete response of an application runner.
type Answer struct {
	Status      int    `cbor:"status"`
	ContentType string `cbor:"contentType"`
	Body        []byte `cbor:"body"`
}

// ApplicationClient calls application runners.
type ApplicationClient interface {
	// Do sends the call once, over a connection that it shares with no other call.
	Do(ctx context.Context, t *Target, c Call) (Answer, error)
}

// SendError is a failure to get a response from a target.
type SendError struct {
	// Executed is ExecutedNo if no byte was sent or the target's response proves it.
	Executed Executed
	// UnknownGeneration is set if the target reports that it does not know the generation.
	UnknownGeneration bool
	// ConnReused is set if the request was sent over a connection that had been idle. The
	// target may have closed that before the request came.
	ConnReused bool
	// WrongRequestID is set if the response belonged to another request.
	WrongRequestID bool
	// Cause is the underlying error.
	Cause error
}

// Error implements error.
func (e *SendError) Error() string { return "send: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// ConfigurationReader reads the platform's configuration service.
type ConfigurationReader interface {
	// Read waits until the service holds a revision higher than after. If wait
	// passes first, the publication has no text.
	Read(ctx context.Context, after uint64, wait time.Duration) (Publication, error)
}

// Publication is a response of the configuration service.
type Publication struct {
	// Revision is what the service holds; a stale copy may hold an old one.
	Revision uint64
	// Text is the document, nil if the service holds nothing newer.
	Text []byte
}

// VMLister reads the platform's VM list, which may lag.
type VMLister interface {
	// List returns the list that the platform currently serves.
	List(ctx context.Context) (*VMList, error)
}

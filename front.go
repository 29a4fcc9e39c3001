package bluebelldoor

import (
	"context"
	"time"
)

// GenerateRequest is a caller's request for a generation.
type GenerateRequest struct {
	// ID identifies the request in logs and explanations.
	ID        string
	APIKey    string
	Class     string
	Model     string
	Prompt    string
	MaxTokens int
	// Within is the caller's time limit, counted from arrival; 0 selects the
	// default of the class.
	Within time.Duration
	// Streamed is set if tokens are sent to the caller as they arrive.
	Streamed bool
}

// GenerateResult is the outcome of a generation for a caller.
type GenerateResult struct {
	// Generation is the ID to resume with, empty if no generation started.
	Generation string
	Tokens     int
	Reason     string
	// Refusal is nil if the generation is complete.
	Refusal *Refusal
	// ResumeAt lists the caller addresses of VMs to resume at.
	ResumeAt []string
}

// Sink receives the tokens of a generation. An error means that the caller is gone.
type Sink interface {
	Token(generation string, t Token) error
}

// Entry tells a caller which VMs to use.
type Entry struct {
	// Addresses are caller addresses in order of preference.
	Addresses []string
	// ValidFor is how long the caller may cache the addresses.
	ValidFor time.Duration
}

// CallRequest is a caller's request to a service of application runners.
type CallRequest struct {
	ID          string
	APIKey      string
	Service     string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Key is the idempotency key, empty for idempotent methods.
	Key    string
	Within time.Duration
}

// Front is the interface of a VM to callers, independent of their protocol.
type Front interface {
	// Entry returns the VMs that a client account should use for a model.
	Entry(apiKey, model string) (Entry, *Refusal)
	// Mint returns a new idempotency key and how long it is valid.
	Mint(ctx context.Context, apiKey string) (string, time.Duration, *Refusal)
	// Generate runs a generation and passes its tokens to sink.
	Generate(ctx context.Context, r GenerateRequest, sink Sink) GenerateResult
	// Resume continues a generation from the token after sequence.
	Resume(ctx context.Context, apiKey, requestID, generation string, sequence int, sink Sink) GenerateResult
	// Call sends a request to an application runner.
	Call(ctx context.Context, r CallRequest) (Answer, *Refusal)
}

package bluebelldoor

import (
	"fmt"
	"time"
)

// Executed says whether a request ran at a target.
type Executed string

// The values of Executed in a final response. ExecutedNo is used only if no byte of
// the request was sent to a target, or the target's response proves it.
const (
	ExecutedNo      Executed = "no"
	ExecutedYes     Executed = "yes"
	ExecutedUnknown Executed = "unknown"
)

// Refusal is the final response to a request that was not completely served. It
// is an error, immutable, and safe for concurrent use.
type Refusal struct {
	code       Code
	executed   Executed
	retryAfter time.Duration
	detail     string
}

// NewRefusal returns a refusal with ExecutedNo and no time to retry after.
func NewRefusal(code Code, detail string) *Refusal {
	return &Refusal{code: code, executed: ExecutedNo, detail: detail}
}

// WithExecuted returns a copy with e as its execution state.
func (r *Refusal) WithExecuted(e Executed) *Refusal {
	c := *r
	c.executed = e
	return &c
}

// WithRetryAfter returns a copy that tells the caller to retry after d.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	c := *r
	c.retryAfter = d
	return &c
}

// Code returns the result code.
func (r *Refusal) Code() Code { return r.code }

// Executed returns whether the request ran at a target.
func (r *Refusal) Executed() Executed { return r.executed }

// RetryAfter returns when to retry, 0 if a retry does not help.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Detail returns the reason, with the values that led to the refusal.
func (r *Refusal) Detail() string { return r.detail }

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%d): %s; executed: %s", r.code, int(r.code), r.detail, r.executed)
}

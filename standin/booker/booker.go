// Package booker is a stand-in for an application runner whose calls are not
// idempotent. It counts the executions of each idempotency key and does not
// deduplicate calls, so that tests can detect duplicate execution.
package booker

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"bluebelldoor/connection/server"
)

// Faults are the faults that tests inject.
type Faults struct {
	// DelayMs delays each response.
	DelayMs int64 `json:"delayMs"`
	// CloseBeforeExecution closes the connection before the call is executed.
	CloseBeforeExecution bool `json:"cutBefore"`
	// CloseAfterExecution closes the connection after the call was executed, without a
	// response.
	CloseAfterExecution bool `json:"cutAfter"`
	// Refuse responds with 503 and does not execute the call.
	Refuse bool `json:"refuse"`
	// WrongRequestID responds with the ID of another request.
	WrongRequestID bool `json:"crossed"`
}

// Runner is the stand-in. It is safe for concurrent use.
type Runner struct {
	mu         sync.Mutex
	faults     Faults
	executions map[string]int
}

// New returns a runner with no executions.
func New() *Runner {
	return &Runner{executions: map[string]int{}}
}

// Executions returns the number of executions of each key.
func (r *Runner) Executions() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int, len(r.executions))
	for k, n := range r.executions {
		out[k] = n
	}
	return out
}

// SetFaults replaces the injected faults.
func (r *Runner) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

func (r *Runner) currentFaults() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

func (r *Runner) recordExecution(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions[key]++
	return r.executions[key]
}

type receipt struct {
	Service    string `json:"service"`
	Key        string `json:"key"`
	Executions int    `json:"executions"`
	Echo       string `json:"echo"`
}

// Serve listens on address and returns a clean-up function.
func Serve(r *Runner, address string) (func(), error) {
	h := server.New(address)
	h.Any("/v1/services/*path", r.handle)
	h.GET("/v1/report", func(_ context.Context, c *app.RequestContext) {
		c.JSON(200, map[string]any{"incarnation": "booker", "warm": true, "finished": 1_000_000})
	})
	h.GET("/standin/executions", func(_ context.Context, c *app.RequestContext) { c.JSON(200, r.Executions()) })
	h.PUT("/standin/faults", func(_ context.Context, c *app.RequestContext) {
		var f Faults
		if err := json.Unmarshal(c.Request.Body(), &f); err != nil {
			c.String(400, err.Error())
			return
		}
		r.SetFaults(f)
	})
	return server.Start(h)
}

func (r *Runner) handle(_ context.Context, c *app.RequestContext) {
	f := r.currentFaults()
	if f.CloseBeforeExecution {
		_ = c.GetConn().Close()
		return
	}
	if f.Refuse {
		c.Response.Header.Set("X-Executed", "no")
		c.String(503, "refused")
		return
	}
	key := string(c.GetHeader("Idempotency-Key"))
	n := r.recordExecution(key)
	time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
	if f.CloseAfterExecution {
		_ = c.GetConn().Close()
		return
	}
	id := string(c.GetHeader("X-Request-Id"))
	if f.WrongRequestID {
		id = "another-request"
	}
	c.Response.Header.Set("X-Request-Id", id)
	service, _, _ := strings.Cut(strings.TrimPrefix(c.Param("path"), "/"), "/")
	c.JSON(200, receipt{Service: service, Key: key, Executions: n, Echo: string(c.Request.Body())})
}

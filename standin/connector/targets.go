package connector

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bluebelldoor"
	"bluebelldoor/standin/generator"
)

// Targets calls stand-ins of targets by name, on behalf of one VM.
type Targets struct {
	from    string
	network *Network
	cluster *Cluster
}

var (
	_ bluebelldoor.EngineClient      = (*Targets)(nil)
	_ bluebelldoor.ApplicationClient = (*Targets)(nil)
	_ bluebelldoor.OrderClient       = (*Targets)(nil)
)

// Cluster is the registry of the VMs and stand-ins of a simulation. It is safe for
// concurrent use.
type Cluster struct {
	mu         sync.Mutex
	engines    map[string]*generator.Engine
	executions []Execution
	callDelay  time.Duration
	vms        map[string]bluebelldoor.PeerHandler
}

// Execution is one call executed by an application runner.
type Execution struct {
	At     time.Time
	Target string
	Key    string
	ID     string
}

// NewCluster returns an empty cluster.
func NewCluster() *Cluster {
	return &Cluster{engines: map[string]*generator.Engine{}, vms: map[string]bluebelldoor.PeerHandler{}}
}

// SetEngine registers the engine of a target; a restarted engine replaces the
// earlier one.
func (c *Cluster) SetEngine(name string, e *generator.Engine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engines[name] = e
}

// Engine returns the engine of a target.
func (c *Cluster) Engine(name string) *generator.Engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.engines[name]
}

// SetDelay sets how long an application runner takes for each call.
func (c *Cluster) SetDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callDelay = d
}

// Executions returns the executed calls, in order.
func (c *Cluster) Executions() []Execution {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Execution(nil), c.executions...)
}

func (c *Cluster) recordExecution(target string, call bluebelldoor.Call) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions = append(c.executions, Execution{At: time.Now(), Target: target, Key: call.Key, ID: call.ID})
	return c.callDelay
}

// NewTargets returns the target client of the process named from.
func NewTargets(from string, n *Network, c *Cluster) *Targets {
	return &Targets{from: from, network: n, cluster: c}
}

func notExecutedError(err error) error {
	return &bluebelldoor.SendError{Executed: bluebelldoor.ExecutedNo, Cause: err}
}

func unknownOutcomeError(err error) error {
	return &bluebelldoor.SendError{Executed: bluebelldoor.ExecutedUnknown, Cause: err}
}

// connect simulates the dial and then calls permit, as the last step before the
// request is sent.
func (t *Targets) connect(ctx context.Context, to string, permit func() error) error {
	if err := t.network.deliver(ctx, t.from, to); err != nil {
		return notExecutedError(err)
	}
	if permit == nil {
		return nil
	}
	return permit()
}

// Do implements bluebelldoor.ApplicationClient.
func (t *Targets) Do(ctx context.Context, target *bluebelldoor.Target, c bluebelldoor.Call) (bluebelldoor.Answer, error) {
	if err := t.connect(ctx, target.Name(), c.Permit); err != nil {
		return bluebelldoor.Answer{}, err
	}
	err := t.network.roundTrip(ctx, t.from, target.Name(), func() {
		time.Sleep(t.cluster.recordExecution(target.Name(), c))
	})
	if err != nil {
		return bluebelldoor.Answer{}, unknownOutcomeError(err)
	}
	return bluebelldoor.Answer{Status: 200, ContentType: "text/plain", Body: []byte(c.ID)}, nil
}

// Generate implements bluebelldoor.EngineClient.
func (t *Targets) Generate(ctx context.Context, target *bluebelldoor.Target, g bluebelldoor.Generation, onToken func(bluebelldoor.Token) error) (bluebelldoor.GenerationEnd, error) {
	if err := t.connect(ctx, target.Name(), g.Permit); err != nil {
		return bluebelldoor.GenerationEnd{}, err
	}
	// There is no latency between permit and the start of the generation: a
	// request in transit can't be recalled and counts as sent.
	t.cluster.Engine(target.Name()).Start(g.ID, g.Prompt, g.MaxTokens, g.Priority)
	return t.readTokens(ctx, target.Name(), g.ID, 0, onToken)
}

// Resume implements bluebelldoor.EngineClient.
func (t *Targets) Resume(ctx context.Context, target *bluebelldoor.Target, id string, sequence int, onToken func(bluebelldoor.Token) error) (bluebelldoor.GenerationEnd, error) {
	if err := t.connect(ctx, target.Name(), nil); err != nil {
		return bluebelldoor.GenerationEnd{}, err
	}
	return t.readTokens(ctx, target.Name(), id, sequence, onToken)
}

func (t *Targets) readTokens(ctx context.Context, name, id string, sequence int, onToken func(bluebelldoor.Token) error) (bluebelldoor.GenerationEnd, error) {
	end, known, err := t.cluster.Engine(name).Read(ctx, id, sequence, func(n int) error {
		if err := t.network.deliver(ctx, name, t.from); err != nil {
			return unknownOutcomeError(err)
		}
		return onToken(bluebelldoor.Token{Sequence: n, Text: generator.TokenText(id, n)})
	})
	if err != nil {
		var sendErr *bluebelldoor.SendError
		if errors.As(err, &sendErr) || ctx.Err() == nil {
			return bluebelldoor.GenerationEnd{}, err
		}
		return bluebelldoor.GenerationEnd{}, unknownOutcomeError(err)
	}
	if !known {
		return bluebelldoor.GenerationEnd{}, &bluebelldoor.SendError{Executed: bluebelldoor.ExecutedNo, UnknownGeneration: true, Cause: errors.New("no such generation")}
	}
	reason := "stop"
	if end.Cancelled {
		reason = "cancelled"
	}
	return bluebelldoor.GenerationEnd{Tokens: end.Tokens, Reason: reason, Preemptions: end.Preemptions}, nil
}

// Cancel implements bluebelldoor.EngineClient.
func (t *Targets) Cancel(ctx context.Context, target *bluebelldoor.Target, id string) error {
	err := t.network.roundTrip(ctx, t.from, target.Name(), func() { t.cluster.Engine(target.Name()).Cancel(id, true) })
	return err
}

// Report implements bluebelldoor.EngineClient.
func (t *Targets) Report(ctx context.Context, target *bluebelldoor.Target) (bluebelldoor.LoadReport, error) {
	var r bluebelldoor.LoadReport
	sentAt := time.Now()
	err := t.network.roundTrip(ctx, t.from, target.Name(), func() {
		if e := t.cluster.Engine(target.Name()); e != nil {
			r = e.Report()
		} else {
			r = bluebelldoor.LoadReport{Incarnation: "application", Warm: true}
		}
	})
	r.Received = sentAt.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	return r, err
}

// EngineState implements bluebelldoor.OrderClient.
func (t *Targets) EngineState(ctx context.Context, target *bluebelldoor.Target) (bluebelldoor.EngineState, error) {
	var s bluebelldoor.EngineState
	err := t.network.roundTrip(ctx, t.from, target.Name(), func() { s = t.cluster.Engine(target.Name()).State() })
	return s, err
}

// Order implements bluebelldoor.OrderClient.
func (t *Targets) Order(ctx context.Context, target *bluebelldoor.Target, o bluebelldoor.Order) error {
	if err := t.connect(ctx, target.Name(), o.Permit); err != nil {
		return err
	}
	if !t.cluster.Engine(target.Name()).Order(o) {
		return errors.New("old fencing number")
	}
	return t.network.deliver(ctx, target.Name(), t.from)
}

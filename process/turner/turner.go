// Package turner serializes the copies of running generations off one engine.
// Copies share the engine's link: when two VMs copy at once, each delays the
// other's short final copy, during which a caller's stream is stalled.
// One VM, chosen by rendezvous hashing, grants the turns. If it can't be reached,
// a copy is delayed but goes ahead.
package turner

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebelldoor"
	"bluebelldoor/process/ranker"
)

const (
	// leaseDuration is the maximum duration of a turn: two copies between data
	// centres.
	leaseDuration = 1200 * time.Millisecond
	// gatherDelay is how long the first turn of an engine is held back for further
	// requests, so that the smallest copy goes first.
	gatherDelay = 8 * time.Millisecond
	// maxWait is the maximum time to wait for a turn; engines stop within about
	// two seconds of announcing that they are leaving.
	maxWait = 2500 * time.Millisecond
)

// Turner requests turns, and grants those of the engines assigned to its VM. It is
// safe for concurrent use.
type Turner struct {
	self   string
	peers  bluebelldoor.FleetClient
	alive  func() []bluebelldoor.MemberState
	log    hclog.Logger
	mu     sync.Mutex
	queues map[string]*queue
}

// gathering is the placeholder holder of an engine's turn during gatherDelay.
const gathering = "(gathering)"

// queue holds the turns of one engine.
type queue struct {
	holder  string
	expires time.Time
	waiting []*waiter
}

type waiter struct {
	request string
	tokens  int
	granted chan struct{}
}

// New returns a turner for the VM named self.
func New(self string, peers bluebelldoor.FleetClient, alive func() []bluebelldoor.MemberState, log hclog.Logger) *Turner {
	return &Turner{self: self, peers: peers, alive: alive, log: log, queues: map[string]*queue{}}
}

// Acquire waits for a turn to copy a generation of the given size off an engine,
// and returns without one when the wait ends. The returned function releases the turn.
func (t *Turner) Acquire(ctx context.Context, engine, request string, tokens int) func() {
	in := &bluebelldoor.TurnRequest{From: t.self, Engine: engine, Request: request, Tokens: tokens}
	address := t.grantor(engine)
	t.send(ctx, address, in)
	return func() { t.sendRelease(address, in) }
}

// TryAcquire requests a turn to copy into an engine. It returns false if another copy
// has it.
func (t *Turner) TryAcquire(ctx context.Context, engine, request string) (func(), bool) {
	in := &bluebelldoor.TurnRequest{From: t.self, Engine: "into/" + engine, Request: request, NoWait: true}
	address := t.grantor(in.Engine)
	if reply, answered := t.send(ctx, address, in); answered && !reply.Granted {
		return nil, false
	}
	return func() { t.sendRelease(address, in) }, true
}

func (t *Turner) sendRelease(address string, in *bluebelldoor.TurnRequest) {
	out := *in
	out.Release = true
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	t.send(ctx, address, &out)
}

// grantor returns the peer address of the VM that grants turns for an engine,
// "" for this VM.
func (t *Turner) grantor(engine string) string {
	var names []string
	addresses := map[string]string{}
	for _, m := range t.alive() {
		if !m.Leaving {
			names = append(names, m.Name)
			addresses[m.Name] = m.PeerAddress
		}
	}
	first := ranker.First("turn/"+engine, names)
	if first == "" || first == t.self {
		return ""
	}
	return addresses[first]
}

// send sends a request to the grantor and reports whether it answered. Without an
// answer the copy goes ahead: turns affect speed, not correctness.
func (t *Turner) send(ctx context.Context, address string, in *bluebelldoor.TurnRequest) (*bluebelldoor.TurnReply, bool) {
	if address == "" {
		return t.Turn(ctx, in), true
	}
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	reply, err := t.peers.Turn(ctx, address, in)
	if err != nil {
		t.log.Warn("turn request not answered", "id", in.Request, "engine", in.Engine, "peer", address, "release", in.Release, "error", err)
	}
	return reply, err == nil
}

// Turn handles a request: it releases a turn, or grants one, waiting for it unless
// NoWait is set.
func (t *Turner) Turn(ctx context.Context, in *bluebelldoor.TurnRequest) *bluebelldoor.TurnReply {
	if in.Release {
		t.release(in)
		return &bluebelldoor.TurnReply{}
	}
	w := t.enqueue(in)
	if w == nil {
		return &bluebelldoor.TurnReply{}
	}
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	leaseCheck := time.NewTicker(leaseDuration / 4)
	defer leaseCheck.Stop()
	for {
		select {
		case <-w.granted:
			return &bluebelldoor.TurnReply{Granted: true}
		case <-ctx.Done():
			t.dequeue(in.Engine, w)
			return &bluebelldoor.TurnReply{}
		case <-timeout.C:
			t.dequeue(in.Engine, w)
			return &bluebelldoor.TurnReply{}
		case <-leaseCheck.C:
			t.mu.Lock()
			t.grantNext(in.Engine)
			t.mu.Unlock()
		}
	}
}

// enqueue adds a request to the queue; it returns nil if NoWait is set and the turn is
// taken.
func (t *Turner) enqueue(in *bluebelldoor.TurnRequest) *waiter {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[in.Engine]
	if in.NoWait && q != nil && (len(q.waiting) > 0 || q.holder != "" && time.Now().Before(q.expires)) {
		return nil
	}
	if q == nil {
		q = &queue{}
		t.queues[in.Engine] = q
		if !in.NoWait {
			q.holder, q.expires = gathering, time.Now().Add(gatherDelay)
			time.AfterFunc(gatherDelay, func() { t.release(&bluebelldoor.TurnRequest{Engine: in.Engine, Request: gathering}) })
		}
	}
	w := &waiter{request: in.Request, tokens: in.Tokens, granted: make(chan struct{})}
	q.waiting = append(q.waiting, w)
	t.grantNext(in.Engine)
	return w
}

func (t *Turner) dequeue(engine string, w *waiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[engine]
	if q == nil {
		return
	}
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	if q.holder == w.request {
		q.holder = ""
	}
	t.grantNext(engine)
}

func (t *Turner) release(in *bluebelldoor.TurnRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.queues[in.Engine]; q != nil && q.holder == in.Request {
		q.holder = ""
		t.grantNext(in.Engine)
	}
}

// grantNext grants the next turn: the smallest copy first, which saves the most
// generations before the engine stops. The caller holds t.mu.
func (t *Turner) grantNext(engine string) {
	q := t.queues[engine]
	if q == nil || q.holder != "" && time.Now().Before(q.expires) {
		return
	}
	if len(q.waiting) == 0 {
		delete(t.queues, engine)
		return
	}
	next := 0
	for i, w := range q.waiting {
		if w.tokens < q.waiting[next].tokens {
			next = i
		}
	}
	w := q.waiting[next]
	q.waiting = append(q.waiting[:next], q.waiting[next+1:]...)
	q.holder, q.expires = w.request, time.Now().Add(leaseDuration)
	close(w.granted)
}

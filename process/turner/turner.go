// Package turner orders the copies of running generations off one engine.
// Copies queue on an engine's link, so that two VMs that copy at once make
// each other's last, short copy wait, in which a caller's stream stands still.
// One VM, found by rendezvous hashing, grants turns; one that can't be reached
// delays a copy, and never forbids it.
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
	// lease is how long a turn lasts at most: two copies between data centres.
	lease = 1200 * time.Millisecond
	// gather is how long the first turn of an engine waits for others to ask,
	// so that the smallest is first.
	gather = 8 * time.Millisecond
	// waitMost is how long a turn is waited for; engines leave within about
	// two seconds of their notice.
	waitMost = 2500 * time.Millisecond
)

// Turner grants turns on behalf of the fleet and asks for them. It is safe for
// concurrent use.
type Turner struct {
	self  string
	peers bluebelldoor.FleetPeers
	alive func() []bluebelldoor.MemberState
	log   hclog.Logger
	mu    sync.Mutex
	lines map[string]*line
}

// gathering holds the first turn of an engine.
const gathering = "(gathering)"

// line is the queue for one engine.
type line struct {
	holder  string
	until   time.Time
	waiting []*waiter
}

type waiter struct {
	request string
	tokens  int
	granted chan struct{}
}

// New returns a turner of the VM named self.
func New(self string, peers bluebelldoor.FleetPeers, alive func() []bluebelldoor.MemberState, log hclog.Logger) *Turner {
	return &Turner{self: self, peers: peers, alive: alive, log: log, lines: map[string]*line{}}
}

// Acquire waits for a turn to copy a generation of tokens off an engine. The
// returned function gives it back.
func (t *Turner) Acquire(ctx context.Context, engine, request string, tokens int) func() {
	in := &bluebelldoor.TurnRequest{From: t.self, Engine: engine, Request: request, Tokens: tokens}
	address := t.grantor(engine)
	t.ask(ctx, address, in)
	return func() { t.giveBack(address, in) }
}

// TryAcquire asks for a turn to copy into an engine. It returns false where
// another copy has it.
func (t *Turner) TryAcquire(ctx context.Context, engine, request string) (func(), bool) {
	in := &bluebelldoor.TurnRequest{From: t.self, Engine: "into/" + engine, Request: request, AtOnce: true}
	address := t.grantor(in.Engine)
	if reply, answered := t.ask(ctx, address, in); answered && !reply.Granted {
		return nil, false
	}
	return func() { t.giveBack(address, in) }, true
}

func (t *Turner) giveBack(address string, in *bluebelldoor.TurnRequest) {
	out := *in
	out.Release = true
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	t.ask(ctx, address, &out)
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

// ask reports whether the grantor has answered. Without an answer the copy goes
// ahead: turns save time, not safety.
func (t *Turner) ask(ctx context.Context, address string, in *bluebelldoor.TurnRequest) (*bluebelldoor.TurnReply, bool) {
	if address == "" {
		return t.Turn(ctx, in), true
	}
	ctx, cancel := context.WithTimeout(ctx, waitMost)
	defer cancel()
	reply, err := t.peers.Turn(ctx, address, in)
	if err != nil {
		t.log.Warn("no word on a turn", "id", in.Request, "engine", in.Engine, "peer", address, "release", in.Release, "error", err)
	}
	return reply, err == nil
}

// Turn grants or takes back a turn; unless it is asked for at once, it waits
// until the turn has come.
func (t *Turner) Turn(ctx context.Context, in *bluebelldoor.TurnRequest) *bluebelldoor.TurnReply {
	if in.Release {
		t.release(in)
		return &bluebelldoor.TurnReply{}
	}
	w := t.join(in)
	if w == nil {
		return &bluebelldoor.TurnReply{}
	}
	timer := time.NewTimer(waitMost)
	defer timer.Stop()
	recheck := time.NewTicker(lease / 4)
	defer recheck.Stop()
	for {
		select {
		case <-w.granted:
			return &bluebelldoor.TurnReply{Granted: true}
		case <-ctx.Done():
			t.leave(in.Engine, w)
			return &bluebelldoor.TurnReply{}
		case <-timer.C:
			t.leave(in.Engine, w)
			return &bluebelldoor.TurnReply{}
		case <-recheck.C:
			t.mu.Lock()
			t.advance(in.Engine)
			t.mu.Unlock()
		}
	}
}

// join queues for a turn; nil if it is wanted at once and taken.
func (t *Turner) join(in *bluebelldoor.TurnRequest) *waiter {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lines[in.Engine]
	if in.AtOnce && l != nil && (len(l.waiting) > 0 || l.holder != "" && time.Now().Before(l.until)) {
		return nil
	}
	if l == nil {
		l = &line{}
		t.lines[in.Engine] = l
		if !in.AtOnce {
			l.holder, l.until = gathering, time.Now().Add(gather)
			time.AfterFunc(gather, func() { t.release(&bluebelldoor.TurnRequest{Engine: in.Engine, Request: gathering}) })
		}
	}
	w := &waiter{request: in.Request, tokens: in.Tokens, granted: make(chan struct{})}
	l.waiting = append(l.waiting, w)
	t.advance(in.Engine)
	return w
}

func (t *Turner) leave(engine string, w *waiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lines[engine]
	if l == nil {
		return
	}
	for i, other := range l.waiting {
		if other == w {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			break
		}
	}
	if l.holder == w.request {
		l.holder = ""
	}
	t.advance(engine)
}

func (t *Turner) release(in *bluebelldoor.TurnRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.lines[in.Engine]; l != nil && l.holder == in.Request {
		l.holder = ""
		t.advance(in.Engine)
	}
}

// advance grants the next turn: the smallest copy first, which saves the most
// generations in the time that is left. A mutex is held.
func (t *Turner) advance(engine string) {
	l := t.lines[engine]
	if l == nil || l.holder != "" && time.Now().Before(l.until) {
		return
	}
	if len(l.waiting) == 0 {
		delete(t.lines, engine)
		return
	}
	next := 0
	for i, w := range l.waiting {
		if w.tokens < l.waiting[next].tokens {
			next = i
		}
	}
	w := l.waiting[next]
	l.waiting = append(l.waiting[:next], l.waiting[next+1:]...)
	l.holder, l.until = w.request, time.Now().Add(lease)
	close(w.granted)
}

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

	"bluebelldoor"
	"bluebelldoor/process/ranker"
)

const (
	// lease is how long a turn lasts at most: two copies between data centres.
	lease = 1200 * time.Millisecond
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
	mu    sync.Mutex
	lines map[string]*line
}

// line is the queue for one source.
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
func New(self string, peers bluebelldoor.FleetPeers, alive func() []bluebelldoor.MemberState) *Turner {
	return &Turner{self: self, peers: peers, alive: alive, lines: map[string]*line{}}
}

// Acquire waits for a turn to copy a generation of tokens off source. The
// returned function gives it back.
func (t *Turner) Acquire(ctx context.Context, source, request string, tokens int) func() {
	in := &bluebelldoor.TurnRequest{From: t.self, Source: source, Request: request, Tokens: tokens}
	address := t.grantor(source)
	t.ask(ctx, address, in)
	return func() {
		out := *in
		out.Release = true
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		t.ask(ctx, address, &out)
	}
}

// grantor returns the peer address of the VM that grants turns for source, ""
// for this VM.
func (t *Turner) grantor(source string) string {
	var names []string
	addresses := map[string]string{}
	for _, m := range t.alive() {
		if !m.Leaving {
			names = append(names, m.Name)
			addresses[m.Name] = m.PeerAddress
		}
	}
	first := ranker.First("turn/"+source, names)
	if first == "" || first == t.self {
		return ""
	}
	return addresses[first]
}

func (t *Turner) ask(ctx context.Context, address string, in *bluebelldoor.TurnRequest) {
	if address == "" {
		t.Turn(ctx, in)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, waitMost)
	defer cancel()
	// Without an answer the copy goes ahead: turns save time, not safety.
	_, _ = t.peers.Turn(ctx, address, in)
}

// Turn grants or takes back a turn; it waits until the turn has come.
func (t *Turner) Turn(ctx context.Context, in *bluebelldoor.TurnRequest) *bluebelldoor.TurnReply {
	if in.Release {
		t.release(in)
		return &bluebelldoor.TurnReply{}
	}
	w := t.join(in)
	timer := time.NewTimer(waitMost)
	defer timer.Stop()
	for {
		select {
		case <-w.granted:
			return &bluebelldoor.TurnReply{Granted: true}
		case <-ctx.Done():
			t.leave(in.Source, w)
			return &bluebelldoor.TurnReply{}
		case <-timer.C:
			t.leave(in.Source, w)
			return &bluebelldoor.TurnReply{}
		case <-time.After(lease / 4):
			t.mu.Lock()
			t.advance(in.Source)
			t.mu.Unlock()
		}
	}
}

func (t *Turner) join(in *bluebelldoor.TurnRequest) *waiter {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lines[in.Source]
	if l == nil {
		l = &line{}
		t.lines[in.Source] = l
	}
	w := &waiter{request: in.Request, tokens: in.Tokens, granted: make(chan struct{})}
	l.waiting = append(l.waiting, w)
	t.advance(in.Source)
	return w
}

func (t *Turner) leave(source string, w *waiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lines[source]
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
	t.advance(source)
}

func (t *Turner) release(in *bluebelldoor.TurnRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.lines[in.Source]; l != nil && l.holder == in.Request {
		l.holder = ""
		t.advance(in.Source)
	}
}

// advance grants the next turn: the smallest copy first, which saves the most
// generations in the time that is left. A mutex is held.
func (t *Turner) advance(source string) {
	l := t.lines[source]
	if l == nil || l.holder != "" && time.Now().Before(l.until) {
		return
	}
	if len(l.waiting) == 0 {
		delete(t.lines, source)
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

package lender

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// These behaviours end the target's process, which starts again under the same ID after
// Target.SetDownFor. They differ in the point of the answer at which it ends.
const (
	EndUnanswered  Behaviour = "endUnanswered"  // before the head
	EndAfterHead   Behaviour = "endAfterHead"   // before the first event
	EndAfterEvents Behaviour = "endAfterEvents" // after eventsBeforeEnd events
	EndBeforeLast  Behaviour = "endBeforeLast"  // after all events, before the end of the stream
	EndLater       Behaviour = "endLater"       // endDelay after the whole answer
)

const (
	// eventsBeforeEnd is how many events a target with EndAfterEvents sends.
	eventsBeforeEnd = 3
	// endDelay is how long after an answer a target with EndLater ends.
	endDelay = 200 * time.Millisecond
	// defaultDownFor is how long a target stays away after its process has ended.
	defaultDownFor = 500 * time.Millisecond
)

// restartListener is a listener that can be closed and opened again at its address.
type restartListener struct {
	mu     sync.Mutex
	opened *sync.Cond
	inner  net.Listener
	down   bool
	closed bool
}

func newRestartListener(inner net.Listener) *restartListener {
	l := &restartListener{inner: inner}
	l.opened = sync.NewCond(&l.mu)
	return l
}

// Accept implements net.Listener. While the listener is down it waits.
func (l *restartListener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		for l.down && !l.closed {
			l.opened.Wait()
		}
		inner := l.inner
		l.mu.Unlock()
		conn, err := inner.Accept()
		if err == nil {
			return conn, nil
		}
		l.mu.Lock()
		final := l.closed || !l.down && l.inner == inner
		l.mu.Unlock()
		if final {
			return nil, err
		}
	}
}

// Close implements net.Listener.
func (l *restartListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.opened.Broadcast()
	return l.inner.Close()
}

// Addr implements net.Listener.
func (l *restartListener) Addr() net.Addr {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner.Addr()
}

// goDown closes the listener until comeUp.
func (l *restartListener) goDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = true
	_ = l.inner.Close() // connections are refused from now on
}

// comeUp opens the listener again, and reports whether it could.
func (l *restartListener) comeUp() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	inner, err := net.Listen("tcp", l.inner.Addr().String())
	if err != nil {
		return false
	}
	l.inner, l.down = inner, false
	l.opened.Broadcast()
	return true
}

// SetDownFor sets how long the target stays away when its process ends.
func (t *Target) SetDownFor(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.downFor = d
}

// Restart ends the target's process: all connections end, and new ones are refused until it
// has started again, as another incarnation. It does nothing while the target is away.
func (t *Target) Restart() {
	t.mu.Lock()
	now := time.Now()
	if now.Before(t.downUntil) {
		t.mu.Unlock()
		return
	}
	downFor := t.downFor
	t.ends, t.downUntil = append(t.ends, now), now.Add(downFor)
	for _, g := range t.active {
		if !g.stopped {
			g.stopped = true
			close(g.stop)
		}
	}
	t.listener.goDown()
	for conn := range t.conns {
		_ = conn.Close()
	}
	t.mu.Unlock()
	time.AfterFunc(downFor, t.startAgain)
}

// startAgain begins the next incarnation.
func (t *Target) startAgain() {
	const retry = 20 * time.Millisecond
	if !t.listener.comeUp() {
		t.mu.Lock()
		stopped := t.stopped
		t.downUntil = time.Now().Add(2 * retry)
		t.mu.Unlock()
		if !stopped {
			time.AfterFunc(retry, t.startAgain)
		}
		return
	}
	t.mu.Lock()
	t.startedMs, t.downUntil = time.Now().UnixMilli(), time.Time{}
	t.mu.Unlock()
	t.Register("ready")
}

// Ends returns when the target's process ended.
func (t *Target) Ends() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.ends)
}

// answerThenEnd sends as much of the answer of an application runner as a behaviour that ends
// its process allows.
func (t *Target) answerThenEnd(w http.ResponseWriter, behaviour Behaviour) {
	switch behaviour {
	case EndAfterHead, EndAfterEvents, EndBeforeLast:
		w.Header().Set("Content-Length", "100")
		w.WriteHeader(http.StatusOK)
		if behaviour != EndAfterHead {
			_, _ = w.Write([]byte("the first half of an answer"))
		}
		w.(http.Flusher).Flush()
		time.Sleep(eventInterval)
		t.Restart()
		panic(http.ErrAbortHandler)
	case EndLater:
		time.AfterFunc(endDelay, t.Restart)
	}
}

// CloseIdleConnections closes the connections on which no request is under way.
func (t *Target) CloseIdleConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn, busy := range t.conns {
		if !busy {
			_ = conn.Close()
		}
	}
}

// Package link is a stand-in for a network link: a TCP proxy that tests can cut,
// stall or delay. It does not change the data that it forwards.
package link

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// resetNoticeTime bounds the wait for the error of a connection that has ended.
	resetNoticeTime = 50 * time.Millisecond
	// windowBytes is what a connection holds that its peer has not read.
	windowBytes = 64 << 10
	// drainTime bounds how long the rest of what a peer sends is read after the remote end
	// has closed.
	drainTime = 500 * time.Millisecond
)

// Link forwards connections to one address. It is safe for concurrent use.
type Link struct {
	remote   string
	listener net.Listener

	mu       sync.Mutex
	disabled bool
	stalled  chan struct{}
	// oneWay limits a stall to the bytes sent to the remote end.
	oneWay bool
	delay  time.Duration
	conns  map[net.Conn]struct{}
}

// New returns a link to the remote address and a clean-up function.
func New(remote string) (*Link, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen")
	}
	l := &Link{remote: remote, listener: listener, conns: map[net.Conn]struct{}{}}
	go l.accept()
	return l, func() {
		_ = listener.Close()
		l.Cut()
	}, nil
}

// Address returns the address on which the link accepts connections.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Cut resets all connections and refuses new ones until Restore. Only an end of the link may
// end a connection in order.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disabled = true
	for c := range l.conns {
		reset(c)
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	c.Close()
}

// Stall blocks all forwarding until Restore.
func (l *Link) Stall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stalled == nil {
		l.stalled = make(chan struct{})
	}
}

// StallOneWay blocks forwarding to the remote end until Restore.
func (l *Link) StallOneWay() {
	l.Stall()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.oneWay = true
}

// Delay delays each write by d until Restore.
func (l *Link) Delay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Restore restores the link. Stalled bytes are forwarded.
func (l *Link) Restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disabled, l.oneWay, l.delay = false, false, 0
	if l.stalled != nil {
		close(l.stalled)
		l.stalled = nil
	}
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn)
	}
}

func (l *Link) forward(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("tcp", l.remote)
	if err != nil {
		return
	}
	defer out.Close()
	if !l.track(in, out) {
		return
	}
	limitWindow(in)
	limitWindow(out)
	done := make(chan end, 2)
	for _, direction := range [][2]net.Conn{{in, out}, {out, in}} {
		go func() {
			toRemote := direction[1] == out
			_, err := io.Copy(gatedWriter{l, direction[1], toRemote}, direction[0])
			done <- end{toRemote, err}
		}()
	}
	first := <-done
	switch {
	case first.err != nil || endsWithReset(in, out, done):
		reset(in)
		reset(out)
	case !first.toRemote:
		closeInOrder(in)
	}
}

// limitWindow makes a peer that does not read block the writer soon, as links between machines do.
func limitWindow(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(windowBytes)
		_ = tcp.SetWriteBuffer(windowBytes)
	}
}

// end is the end of one direction of a connection, in order if it has no error.
type end struct {
	toRemote bool
	err      error
}

// endsWithReset reports whether a connection of which one direction has ended was reset. The
// other direction may have taken the error, which the kernel reports once, while it wrote.
func endsWithReset(in, out net.Conn, done <-chan end) bool {
	for _, c := range []net.Conn{in, out} {
		_ = c.SetDeadline(time.Now()) // fails only on a closed connection
	}
	select {
	case second := <-done:
		return errors.Is(second.err, syscall.ECONNRESET)
	case <-time.After(resetNoticeTime):
		return false // the link is stalled
	}
}

// closeInOrder closes a connection without a reset, which unread bytes would cause.
func closeInOrder(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok && tcp.CloseWrite() == nil && tcp.SetReadDeadline(time.Now().Add(drainTime)) == nil {
		_, _ = io.Copy(io.Discard, tcp)
	}
	_ = c.Close()
}

func (l *Link) track(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		l.conns[c] = struct{}{}
	}
	return !l.disabled
}

// gatedWriter writes to conn after the link's delay, and not while the link is
// stalled.
type gatedWriter struct {
	link *Link
	conn net.Conn
	// toRemote is true if conn leads to the remote end.
	toRemote bool
}

// Write implements io.Writer.
func (g gatedWriter) Write(p []byte) (int, error) {
	g.link.mu.Lock()
	stalled, delay := g.link.stalled, g.link.delay
	if g.link.oneWay && !g.toRemote {
		stalled = nil
	}
	g.link.mu.Unlock()
	time.Sleep(delay)
	if stalled != nil {
		<-stalled
	}
	return g.conn.Write(p)
}

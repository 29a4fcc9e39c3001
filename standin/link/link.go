// Package link is a stand-in for a network link: it forwards TCP connections
// and can be cut or stalled by a test. It does not change what it carries.
package link

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Link forwards connections to one address. It is safe for concurrent use.
type Link struct {
	to       string
	listener net.Listener

	mu      sync.Mutex
	down    bool
	stalled chan struct{}
	// oneWay tells that only what goes to the far end is held back.
	oneWay bool
	delay  time.Duration
	conns  map[net.Conn]struct{}
}

// New returns a link to an address and a clean-up function.
func New(to string) (*Link, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen")
	}
	l := &Link{to: to, listener: listener, conns: map[net.Conn]struct{}{}}
	go l.accept()
	return l, func() {
		_ = listener.Close()
		l.Cut()
	}, nil
}

// Address returns where the link takes connections.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Cut closes all connections and refuses new ones until Mend.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = true
	for c := range l.conns {
		c.Close()
	}
}

// Stall holds back all bytes until Mend.
func (l *Link) Stall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stalled == nil {
		l.stalled = make(chan struct{})
	}
}

// StallOneWay holds back the bytes to the far end until Mend.
func (l *Link) StallOneWay() {
	l.Stall()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.oneWay = true
}

// Delay holds back each piece for a while until Mend.
func (l *Link) Delay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Mend lets the link work again. Bytes held back go on.
func (l *Link) Mend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down, l.oneWay, l.delay = false, false, 0
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
	out, err := net.Dial("tcp", l.to)
	if err != nil {
		return
	}
	defer out.Close()
	if !l.keep(in, out) {
		return
	}
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{in, out}, {out, in}} {
		go func() {
			_, _ = io.Copy(gated{l, pair[1], pair[1] == out}, pair[0])
			done <- struct{}{}
		}()
	}
	<-done
}

func (l *Link) keep(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		l.conns[c] = struct{}{}
	}
	return !l.down
}

// gated writes once the link is not stalled.
type gated struct {
	link *Link
	to   net.Conn
	// there tells that the bytes go to the far end.
	there bool
}

// Write implements io.Writer.
func (g gated) Write(p []byte) (int, error) {
	g.link.mu.Lock()
	stalled, delay := g.link.stalled, g.link.delay
	if g.link.oneWay && !g.there {
		stalled = nil
	}
	g.link.mu.Unlock()
	time.Sleep(delay)
	if stalled != nil {
		<-stalled
	}
	return g.to.Write(p)
}

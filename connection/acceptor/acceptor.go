package acceptor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"bluebelldoor"
)

const (
	// readBuffer holds the largest head that is taken; callers keep to the
	// limit of the routing in force, which is lower.
	readBuffer = 32 << 10
	// defaultIdle, defaultHeader and defaultBody hold before any routing is
	// known.
	defaultIdle   = 15 * time.Second
	defaultHeader = 3 * time.Second
	defaultBody   = 4 << 20
	// bodyTimeout bounds how long a body may pause while it is read.
	bodyTimeout = 10 * time.Second
	// lingerTime and lingerBytes bound what is read of a caller that was
	// rejected before its body was in.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 8 << 20
	// writeTimeout bounds how long a caller may take no bytes of an answer.
	writeTimeout = 10 * time.Second
)

// maxHeld bounds the bodies that are held at once; small ones do not count.
const (
	maxHeld   = 32 << 20
	smallBody = 64 << 10
	// heldRetry is when a caller whose body found no room may come back.
	heldRetry = 500 * time.Millisecond
)

// Handler answers one request. It must end the call with Respond, or with
// Begin and Finish or Abort.
type Handler func(ctx context.Context, call *Call)

// Causes for which the context of a request ends.
var (
	ErrCallerLeft = errors.New("the caller closed its connection")
	ErrStopped    = errors.New("this VM has stopped")
)

// Acceptor serves callers at one address.
type Acceptor struct {
	handler  Handler
	limits   func() bluebelldoor.CallerLimits
	log      hclog.Logger
	listener net.Listener
	leaving  atomic.Bool
	stopped  atomic.Bool
	busy     atomic.Int64
	held     atomic.Int64
	mu       sync.Mutex
	conns    map[*connection]struct{}
}

// Option changes an acceptor.
type Option func(*Acceptor)

// WithLog logs requests that are not taken.
func WithLog(log hclog.Logger) Option { return func(a *Acceptor) { a.log = log } }

// New listens on address. limits returns the bounds in force. The clean-up
// function closes the listener and all connections.
func New(address string, limits func() bluebelldoor.CallerLimits, handler Handler, options ...Option) (*Acceptor, func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listen to callers on %s", address)
	}
	a := &Acceptor{handler: handler, limits: limits, log: hclog.NewNullLogger(), listener: l, conns: map[*connection]struct{}{}}
	for _, set := range options {
		set(a)
	}
	go a.accept()
	return a, a.stop, nil
}

// Address returns the IP:port on which callers connect.
func (a *Acceptor) Address() string { return a.listener.Addr().String() }

// Leave lets each connection end with the answer that it is waiting for; new
// connections are still served, one request each.
func (a *Acceptor) Leave() { a.leaving.Store(true) }

// Busy returns how many requests are being served.
func (a *Acceptor) Busy() int { return int(a.busy.Load()) }

func (a *Acceptor) stop() {
	a.stopped.Store(true)
	_ = a.listener.Close() // nothing listens after this either way
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		c.conn.Close()
	}
}

// whyClosed returns why a connection with a request under way is closed.
func (a *Acceptor) whyClosed() error {
	if a.stopped.Load() {
		return ErrStopped
	}
	return ErrCallerLeft
}

func (a *Acceptor) accept() {
	for {
		conn, err := a.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Out of descriptors: wait for connections to end.
			a.log.Warn("no connection taken", "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c := &connection{owner: a, conn: conn, reader: bufio.NewReaderSize(conn, readBuffer)}
		a.mu.Lock()
		a.conns[c] = struct{}{}
		a.mu.Unlock()
		go c.serve()
	}
}

func (a *Acceptor) bounds() bluebelldoor.CallerLimits {
	l := a.limits()
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdle
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeader
	}
	if l.HeaderBytes <= 0 || l.HeaderBytes > readBuffer {
		l.HeaderBytes = readBuffer
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBody
	}
	return l
}

// connection is one caller's connection.
type connection struct {
	owner  *Acceptor
	conn   net.Conn
	reader *bufio.Reader
	held   int64
}

// hold counts the bytes of a body, and reports whether there is room for them.
func (c *connection) hold(n int) bool {
	if n <= smallBody {
		return true
	}
	more := int64(n) - c.held
	c.held = int64(n)
	return c.owner.held.Add(more) <= maxHeld
}

// release gives the room of a body back.
func (c *connection) release() {
	c.owner.held.Add(-c.held)
	c.held = 0
}

func (c *connection) serve() {
	defer func() {
		c.release()
		c.conn.Close()
		c.owner.mu.Lock()
		delete(c.owner.conns, c)
		c.owner.mu.Unlock()
	}()
	for c.serveOne() {
	}
}

// serveOne takes one request and reports whether another may follow.
func (c *connection) serveOne() bool {
	limits := c.owner.bounds()
	if c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout)) != nil {
		return false
	}
	if _, err := c.reader.Peek(1); err != nil {
		return false
	}
	c.owner.busy.Add(1)
	defer c.owner.busy.Add(-1)
	if c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)) != nil {
		return false
	}
	request, body, refusal := c.read(limits)
	if refusal != nil {
		c.reject(refusal)
		return false
	}
	if request == nil {
		return false
	}
	if c.conn.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		// Bytes are the next request; an error is the caller's leaving, or the
		// deadline set below.
		if _, err := c.reader.Peek(1); err != nil {
			cancel(c.owner.whyClosed())
		}
	}()
	call := &Call{conn: c, Request: request, Body: body, idle: limits.IdleTimeout}
	call.close = request.Close || request.ProtoMinor == 0
	c.owner.handler(ctx, call)
	c.release()
	if !call.kept() {
		c.conn.Close()
		<-watched
		return false
	}
	if c.conn.SetReadDeadline(time.Now().Add(-time.Second)) != nil {
		return false
	}
	<-watched
	return true
}

// read takes a whole request off the connection, or tells why it can't be
// taken. With neither request nor refusal the caller has left.
func (c *connection) read(limits bluebelldoor.CallerLimits) (*http.Request, []byte, *bluebelldoor.Refusal) {
	head, err := peekHead(c.reader, limits.HeaderBytes)
	switch {
	case errors.Is(err, errHeadTooLarge):
		return nil, nil, bluebelldoor.Refuse(bluebelldoor.HeadTooLarge, err.Error())
	case isTimeout(err):
		return nil, nil, bluebelldoor.Refuse(bluebelldoor.TooSlow, "the head did not arrive in time")
	case err != nil:
		return nil, nil, nil
	}
	if err := checkHead(head); err != nil {
		return nil, nil, bluebelldoor.Refuse(bluebelldoor.BadRequest, err.Error())
	}
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, nil, bluebelldoor.Refuse(bluebelldoor.BadRequest, err.Error())
	}
	if request.ContentLength > int64(limits.BodyBytes) {
		return nil, nil, tooLarge(limits)
	}
	if request.Header.Get("Expect") != "" {
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, nil
		}
	}
	body, refusal := c.readBody(request, limits)
	if refusal != nil {
		return nil, nil, refusal
	}
	return request, body, nil
}

func tooLarge(limits bluebelldoor.CallerLimits) *bluebelldoor.Refusal {
	return bluebelldoor.Refuse(bluebelldoor.TooLarge, fmt.Sprintf("bodies may have %d bytes", limits.BodyBytes))
}

func (c *connection) readBody(request *http.Request, limits bluebelldoor.CallerLimits) ([]byte, *bluebelldoor.Refusal) {
	if request.ContentLength == 0 {
		return nil, nil
	}
	var body []byte
	if request.ContentLength > 0 {
		body = make([]byte, 0, request.ContentLength)
	}
	buffer := make([]byte, 8<<10)
	for {
		if err := c.conn.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
			return nil, bluebelldoor.Refuse(bluebelldoor.BadRequest, err.Error())
		}
		n, err := request.Body.Read(buffer)
		body = append(body, buffer[:n]...)
		switch {
		case len(body) > limits.BodyBytes:
			return nil, tooLarge(limits)
		case !c.hold(len(body)):
			return nil, bluebelldoor.Refuse(bluebelldoor.BodiesHeld, "too many large bodies at once").WithRetryAfter(heldRetry)
		case err == io.EOF:
			return body, nil
		case isTimeout(err):
			return nil, bluebelldoor.Refuse(bluebelldoor.TooSlow, "the body did not arrive in time")
		case err != nil:
			return nil, bluebelldoor.Refuse(bluebelldoor.BadRequest, err.Error())
		}
	}
}

// reject answers a request that was not taken, and closes. What the caller
// still sends is read for a while: a connection that is closed with bytes unread
// is reset, and the answer lost with it.
func (c *connection) reject(refusal *bluebelldoor.Refusal) {
	c.owner.log.Info("request not taken", "caller", c.conn.RemoteAddr().String(), "code", int(refusal.Code()), "detail", refusal.Detail())
	header := http.Header{}
	if after := refusal.RetryAfter(); after > 0 {
		header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	}
	call := &Call{conn: c, close: true}
	if call.Respond(refusal.Code().Info().Status, header, []byte(refusal.Error()+"\n")) != nil {
		return // the caller has left
	}
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil || tcp.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, tcp, lingerBytes) // its end is the caller's
}

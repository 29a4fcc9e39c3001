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
	"bluebelldoor/connection/server"
	"bluebelldoor/process/accountant"
)

const (
	// readBufferBytes is the size of a connection's read buffer. It is replaced by one of
	// maxHeadBytes for a request head that does not fit.
	readBufferBytes = 4 << 10
	// maxHeadBytes is the maximum size of a request head; the limit in the active routing is
	// lower.
	maxHeadBytes = 32 << 10
	// The defaults apply until a routing has been loaded.
	defaultIdleTimeout   = 15 * time.Second
	defaultHeaderTimeout = 3 * time.Second
	defaultBodyBytes     = 4 << 20
	// bodyReadTimeout limits the wait for the next bytes of a body.
	bodyReadTimeout = 10 * time.Second
	// lingerTimeout and maxLingerBytes limit how much is read from a caller
	// whose request was rejected before its body was complete.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 8 << 20
	// writeTimeout limits each write to a caller that reads no bytes.
	writeTimeout = 10 * time.Second
)

const (
	// defaultBufferedBodyBytes limits the request bodies buffered at once on all
	// connections, unless WithMemory sets another limit.
	defaultBufferedBodyBytes = 32 << 20
	// bodyLimitRetryAfter is the Retry-After sent when that limit is exceeded.
	bodyLimitRetryAfter = 500 * time.Millisecond
)

// Handler handles one request. It must end the call with Respond, or with
// Begin followed by Finish or Abort.
type Handler func(ctx context.Context, call *Call)

// Cancellation causes of a request's context.
var (
	ErrCallerDisconnected = errors.New("the caller closed its connection")
	ErrStopped            = errors.New("this VM has stopped")
)

// Acceptor serves callers on one address.
type Acceptor struct {
	handler        Handler
	limits         func() bluebelldoor.CallerLimits
	log            hclog.Logger
	memory         *accountant.Accountant
	listener       net.Listener
	draining       atomic.Bool
	stopped        atomic.Bool
	activeRequests atomic.Int64
	mu             sync.Mutex
	conns          map[*connection]struct{}
}

// Option configures an Acceptor.
type Option func(*Acceptor)

// WithLogger sets the logger for rejected requests and accept errors.
func WithLogger(log hclog.Logger) Option { return func(a *Acceptor) { a.log = log } }

// WithMemory has memory bound the request bodies buffered at once.
func WithMemory(memory *accountant.Accountant) Option { return func(a *Acceptor) { a.memory = memory } }

// New listens on address and starts serving. limits returns the current limits.
// The returned function closes the listener and all connections.
func New(address string, limits func() bluebelldoor.CallerLimits, handler Handler, options ...Option) (*Acceptor, func(), error) {
	a := &Acceptor{
		handler: handler,
		limits:  limits,
		log:     hclog.NewNullLogger(),
		memory:  accountant.New(defaultBufferedBodyBytes),
		conns:   map[*connection]struct{}{},
	}
	for _, set := range options {
		set(a)
	}
	l, err := server.Listen(address, func(err error) { a.log.Warn("cannot accept callers, trying again", "address", address, "error", err) })
	if err != nil {
		return nil, nil, errors.Wrap(err, "callers")
	}
	a.listener = l
	go a.accept()
	return a, a.stop, nil
}

// Address returns the IP:port of the listener.
func (a *Acceptor) Address() string { return a.listener.Addr().String() }

// Drain closes each connection after its current response. New connections are
// still accepted, for one request each.
func (a *Acceptor) Drain() { a.draining.Store(true) }

// ActiveRequests returns the number of active requests.
func (a *Acceptor) ActiveRequests() int { return int(a.activeRequests.Load()) }

func (a *Acceptor) stop() {
	a.stopped.Store(true)
	_ = a.listener.Close() // no longer listening, even on error
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		c.conn.Close()
	}
}

// closeCause returns the cancellation cause for a request whose connection was
// closed.
func (a *Acceptor) closeCause() error {
	if a.stopped.Load() {
		return ErrStopped
	}
	return ErrCallerDisconnected
}

func (a *Acceptor) accept() {
	for {
		conn, err := a.listener.Accept()
		if err != nil {
			return
		}
		c := &connection{acceptor: a, conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), memory: a.memory.Begin(), headMemory: a.memory.Begin()}
		a.mu.Lock()
		a.conns[c] = struct{}{}
		a.mu.Unlock()
		go c.serve()
	}
}

// effectiveLimits returns the current limits with defaults for unset ones.
func (a *Acceptor) effectiveLimits() bluebelldoor.CallerLimits {
	l := a.limits()
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.HeaderBytes <= 0 || l.HeaderBytes > maxHeadBytes {
		l.HeaderBytes = maxHeadBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	return l
}

// connection is one caller's connection.
type connection struct {
	acceptor *Acceptor
	conn     net.Conn
	reader   *bufio.Reader
	// memory is that of the request body, and headMemory that of a larger read buffer.
	memory, headMemory *accountant.Allocation
}

// growReader replaces the read buffer by one that holds any request head. It reports false
// if there is no memory for that.
func (c *connection) growReader() bool {
	if !c.headMemory.Resize(2 * maxHeadBytes) {
		return false
	}
	c.reader = bufio.NewReaderSize(c.reader, maxHeadBytes)
	return true
}

func (c *connection) serve() {
	defer func() {
		c.memory.End()
		c.headMemory.End()
		c.conn.Close()
		c.acceptor.mu.Lock()
		delete(c.acceptor.conns, c)
		c.acceptor.mu.Unlock()
	}()
	for c.serveRequest() {
	}
}

// serveRequest serves one request and reports whether the connection can be
// reused.
func (c *connection) serveRequest() bool {
	limits := c.acceptor.effectiveLimits()
	if c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout)) != nil {
		return false
	}
	if _, err := c.reader.Peek(1); err != nil {
		return false
	}
	c.acceptor.activeRequests.Add(1)
	defer c.acceptor.activeRequests.Add(-1)
	if c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)) != nil {
		return false
	}
	request, body, refusal := c.readRequest(limits)
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
	watchDone := make(chan struct{})
	go func() {
		defer close(watchDone)
		// Bytes here belong to the next, pipelined request. An error means that
		// the caller disconnected or that the deadline set below has expired.
		if _, err := c.reader.Peek(1); err != nil {
			cancel(c.acceptor.closeCause())
		}
	}()
	call := &Call{conn: c, Request: request, Body: body, idleTimeout: limits.IdleTimeout}
	call.closeAfter = request.Close || request.ProtoMinor == 0
	c.acceptor.handler(ctx, call)
	c.memory.End()
	if !call.reusable() {
		c.conn.Close()
		<-watchDone
		return false
	}
	if c.conn.SetReadDeadline(time.Now().Add(-time.Second)) != nil {
		return false
	}
	<-watchDone
	return true
}

// readRequest reads a request with its body, or returns why it is rejected. If
// both are nil, the caller has disconnected.
func (c *connection) readRequest(limits bluebelldoor.CallerLimits) (*http.Request, []byte, *bluebelldoor.Refusal) {
	head, err := peekHead(c.reader, limits.HeaderBytes)
	if errors.Is(err, bufio.ErrBufferFull) {
		if !c.growReader() {
			return nil, nil, bluebelldoor.NewRefusal(bluebelldoor.BodiesHeld, "no memory for a large request head").WithRetryAfter(bodyLimitRetryAfter)
		}
		head, err = peekHead(c.reader, limits.HeaderBytes)
	}
	switch {
	case errors.Is(err, errHeadTooLarge):
		return nil, nil, bluebelldoor.NewRefusal(bluebelldoor.HeadTooLarge, err.Error())
	case isTimeout(err):
		return nil, nil, bluebelldoor.NewRefusal(bluebelldoor.TooSlow, "timed out reading the request head")
	case err != nil:
		return nil, nil, nil
	}
	if err := checkHead(head); err != nil {
		return nil, nil, bluebelldoor.NewRefusal(bluebelldoor.BadRequest, err.Error())
	}
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, nil, bluebelldoor.NewRefusal(bluebelldoor.BadRequest, err.Error())
	}
	if request.ContentLength > int64(limits.BodyBytes) {
		return nil, nil, bodyTooLarge(limits)
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

func bodyTooLarge(limits bluebelldoor.CallerLimits) *bluebelldoor.Refusal {
	return bluebelldoor.NewRefusal(bluebelldoor.TooLarge, fmt.Sprintf("request body exceeds %d bytes", limits.BodyBytes))
}

func (c *connection) readBody(request *http.Request, limits bluebelldoor.CallerLimits) ([]byte, *bluebelldoor.Refusal) {
	if request.ContentLength == 0 {
		return nil, nil
	}
	maxBytes := limits.BodyBytes + 1
	if request.ContentLength > 0 {
		maxBytes = int(request.ContentLength)
	}
	// The buffer grows with the bytes that arrive: a length alone takes no memory.
	var body []byte
	buffer := make([]byte, readBufferBytes)
	for {
		if err := c.conn.SetReadDeadline(time.Now().Add(bodyReadTimeout)); err != nil {
			return nil, bluebelldoor.NewRefusal(bluebelldoor.BadRequest, err.Error())
		}
		n, err := request.Body.Read(buffer)
		var taken bool
		body, taken = c.memory.Append(body, buffer[:n], maxBytes)
		switch {
		case len(body) > limits.BodyBytes:
			return nil, bodyTooLarge(limits)
		case !taken:
			return nil, bluebelldoor.NewRefusal(bluebelldoor.BodiesHeld, "too many large request bodies buffered").WithRetryAfter(bodyLimitRetryAfter)
		case err == io.EOF:
			return body, nil
		case isTimeout(err):
			return nil, bluebelldoor.NewRefusal(bluebelldoor.TooSlow, "timed out reading the request body")
		case err != nil:
			return nil, bluebelldoor.NewRefusal(bluebelldoor.BadRequest, err.Error())
		}
	}
}

// reject sends the refusal and half-closes the connection, then reads what the
// caller still sends, up to a limit: closing a socket with unread data resets
// the connection, and the caller could lose the response.
func (c *connection) reject(refusal *bluebelldoor.Refusal) {
	c.acceptor.log.Info("request not taken", "caller", c.conn.RemoteAddr().String(), "code", int(refusal.Code()), "detail", refusal.Detail())
	header := http.Header{}
	if retryAfter := refusal.RetryAfter(); retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
	call := &Call{conn: c, closeAfter: true}
	if call.Respond(refusal.Code().Info().Status, header, []byte(refusal.Error()+"\n")) != nil {
		return // the caller has disconnected
	}
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil || tcp.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	_, _ = c.reader.Discard(maxLingerBytes) // best effort
}

package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"bluebelldoor"
)

const (
	// dialTimeout is several round trips between data centres but only a part
	// of the shortest request deadline, so that another target can be tried. A
	// lost SYN is retransmitted only after 1 s, so waiting longer rarely helps.
	dialTimeout = 250 * time.Millisecond
	// unackedTimeout is the TCP_USER_TIMEOUT: it closes a connection whose peer
	// acknowledges nothing, for example after a network partition.
	unackedTimeout = 2 * time.Second
	// defaultIdleTimeout applies if a target sends no Keep-Alive timeout, and
	// limits the timeouts that targets send.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the idle timeout to allow for the time that
	// a request takes to arrive.
	idleMargin = time.Second
	// Bodies above largeBodyBytes are written while the response is read, as
	// the target may respond before it has read the body.
	largeBodyBytes = 16 << 10
	// MaxIdlePerTarget is the maximum number of idle connections per target.
	MaxIdlePerTarget = 8
	// readBufferBytes is the size of a connection's read buffer, which must hold the head of
	// a response.
	readBufferBytes = 8 << 10
	// staleResponseTimeout limits the wait for the right response after one to
	// another request. Targets respond to most requests within a tenth of it.
	staleResponseTimeout = 500 * time.Millisecond
	// deadlineMargin is how long before a request's deadline a target may end its response
	// because of it. The target learns the time that is left, in whole milliseconds.
	deadlineMargin = 20 * time.Millisecond
	// maxStaleResponses is how many responses to other requests are skipped
	// before the connection is closed.
	maxStaleResponses = 2
)

// Exchanger sends requests to targets over pooled connections. It is safe for
// concurrent use.
type Exchanger struct {
	codec  bluebelldoor.Codec
	onHead bluebelldoor.HeadObserver
	mu     sync.Mutex
	idle   map[string][]*pooledConn
	opened int64
}

// pooledConn is one connection to a target.
type pooledConn struct {
	conn   net.Conn
	reader *bufio.Reader
	// expires is when an idle connection is no longer used, because the target
	// may close it.
	expires time.Time
}

// Option configures an Exchanger.
type Option func(*Exchanger)

// WithHeadObserver calls observer with the head of each final response, including
// skipped ones.
func WithHeadObserver(observer bluebelldoor.HeadObserver) Option {
	return func(x *Exchanger) { x.onHead = observer }
}

// New returns an Exchanger and a function that closes its idle connections.
func New(codec bluebelldoor.Codec, options ...Option) (*Exchanger, func()) {
	x := &Exchanger{codec: codec, onHead: func(*bluebelldoor.Instance, bluebelldoor.ResponseHead) {}, idle: map[string][]*pooledConn{}}
	for _, o := range options {
		o(x)
	}
	return x, x.closeAllIdle
}

// Opened returns the number of connections opened so far.
func (x *Exchanger) Opened() int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.opened
}

func (x *Exchanger) closeAllIdle() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, list := range x.idle {
		for _, c := range list {
			c.conn.Close()
		}
	}
	x.idle = map[string][]*pooledConn{}
}

// poolKey includes the target's ID and start time, as a restarted or different
// target may use the same address.
func poolKey(t *bluebelldoor.Instance) string {
	return fmt.Sprintf("%s/%s/%d", t.Address, t.ID, t.StartedAt)
}

// CloseIdle closes the idle connections to a target that has been removed.
func (x *Exchanger) CloseIdle(t *bluebelldoor.Instance) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.idle[poolKey(t)] {
		c.conn.Close()
	}
	delete(x.idle, poolKey(t))
}

// takeIdle removes a usable idle connection from the pool and returns it, or nil
// if there is none.
func (x *Exchanger) takeIdle(t *bluebelldoor.Instance) *pooledConn {
	x.mu.Lock()
	defer x.mu.Unlock()
	list := x.idle[poolKey(t)]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		if len(list) == 0 {
			delete(x.idle, poolKey(t))
		} else {
			x.idle[poolKey(t)] = list
		}
		if time.Now().Before(c.expires) && c.reader.Buffered() == 0 && openAndIdle(c.conn) {
			return c
		}
		c.conn.Close()
	}
	return nil
}

// putIdle returns a connection to the pool for at most idleTimeout, or the
// default if that is not positive. If the target then has more than maxIdle idle
// connections, the oldest are closed; maxIdle decreases as other VMs join.
func (x *Exchanger) putIdle(t *bluebelldoor.Instance, c *pooledConn, idleTimeout time.Duration, maxIdle int) {
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	c.expires = time.Now().Add(min(idleTimeout-idleMargin, defaultIdleTimeout))
	x.mu.Lock()
	defer x.mu.Unlock()
	list := append(x.idle[poolKey(t)], c)
	surplus := max(0, len(list)-min(max(0, maxIdle), MaxIdlePerTarget))
	for _, oldest := range list[:surplus] {
		oldest.conn.Close()
	}
	if surplus == len(list) {
		delete(x.idle, poolKey(t))
		return
	}
	x.idle[poolKey(t)] = slices.Delete(list, 0, surplus)
}

func (x *Exchanger) dial(ctx context.Context, t *bluebelldoor.Instance) (*pooledConn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, ControlContext: setUserTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", t.Address)
	if err != nil {
		return nil, errors.Wrap(err, "dial target")
	}
	x.mu.Lock()
	x.opened++
	x.mu.Unlock()
	return &pooledConn{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}, nil
}

// Probe reports whether a target accepts connections. It sends nothing.
func (x *Exchanger) Probe(ctx context.Context, t *bluebelldoor.Instance) error {
	c, err := x.dial(ctx, t)
	if err == nil {
		c.conn.Close()
	}
	return err
}

// Request is a request to one target.
type Request struct {
	ID     string
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// NewConn requires a new connection. It is set for requests that must not be
	// repeated, as the target may just have closed an idle connection.
	NewConn bool
	// MaxIdle is this VM's share of the idle connections that the target
	// accepts from all VMs.
	MaxIdle int
	// Permit is called last before the first byte is sent; an error prevents
	// that.
	Permit func() error
}

// Send sends a request once and waits for the head of the response. The error is
// a *bluebelldoor.SendError, or that of Permit. When ctx is done, the connection
// is closed, on which the target cancels the request.
func (x *Exchanger) Send(ctx context.Context, t *bluebelldoor.Instance, request *Request) (*Response, error) {
	var c *pooledConn
	if !request.NewConn {
		c = x.takeIdle(t)
	}
	reused := c != nil
	if c == nil {
		dialed, err := x.dial(ctx, t)
		if err != nil {
			return nil, &bluebelldoor.SendError{Executed: bluebelldoor.ExecutedNo, Cause: err}
		}
		c = dialed
	}
	if err := request.Permit(); err != nil {
		x.putIdle(t, c, 0, request.MaxIdle)
		return nil, err
	}
	response := &Response{ctx: ctx, exchanger: x, target: t, conn: c, maxIdle: request.MaxIdle, written: make(chan struct{})}
	response.stopWatch = context.AfterFunc(ctx, func() { c.conn.Close() })
	if err := response.roundTrip(request); err != nil {
		response.Close()
		return nil, &bluebelldoor.SendError{Executed: bluebelldoor.ExecutedUnknown, ConnReused: reused, WrongRequestID: errors.Is(err, errWrongRequestID), Cause: err}
	}
	return response, nil
}

var errDeadlineClose = errors.New("target closed a response without framing as its time ran out")

var errWrongRequestID = errors.New("the response carries another request's ID, or none")

// Response is a target's response whose head has been read.
type Response struct {
	// ctx is that of the request.
	ctx       context.Context
	exchanger *Exchanger
	target    *bluebelldoor.Instance
	conn      *pooledConn
	// stopWatch stops the watch that closes the connection when the request's
	// context is done. It returns false if the context is already done.
	stopWatch func() bool
	// written is closed once the request has been written, or could not be: writeErr.
	written      chan struct{}
	writeErr     error
	maxIdle      int
	httpResponse *http.Response
	head         bluebelldoor.ResponseHead
	// discardConn prevents the connection from returning to the pool.
	discardConn bool
	// closed is set once the connection is closed or back in the pool.
	closed bool
}

func (r *Response) roundTrip(request *Request) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.URI, request.Host)
	_ = request.Header.Write(&b) // a bytes.Buffer never returns an error
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(request.Body))
	}
	b.WriteString("\r\n")
	b.Write(request.Body)
	write := func() {
		defer close(r.written)
		_, err := r.conn.conn.Write(b.Bytes())
		r.writeErr = errors.Wrap(err, "write request")
	}
	if len(request.Body) > largeBodyBytes {
		go write()
	} else if write(); r.writeErr != nil {
		return r.writeErr
	}
	return r.readHead(request)
}

// readHead reads the head of the response. It skips interim (1xx) responses and
// late responses to earlier requests on the connection.
func (r *Response) readHead(request *Request) error {
	for stale, interim := 0, 0; stale <= maxStaleResponses; {
		if err := awaitHead(r.conn.reader); err != nil {
			return errors.Wrap(err, "read response")
		}
		response, err := http.ReadResponse(r.conn.reader, &http.Request{Method: request.Method})
		if err != nil {
			return errors.Wrap(err, "read response")
		}
		if response.StatusCode < 200 {
			if interim++; interim > maxInterimResponses {
				return errTooManyInterim
			}
			continue
		}
		r.httpResponse, r.head = response, r.exchanger.codec.ParseResponseHead(response)
		// An error response may lack the request ID; a success must carry it.
		errorWithoutID := r.head.RequestID == "" && response.StatusCode >= http.StatusMultipleChoices
		current := errorWithoutID || r.head.RequestID == request.ID
		if !current {
			// The limit of a late response may no longer be in force.
			r.head.Limit = bluebelldoor.RateLimit{Unknown: true}
		}
		r.exchanger.onHead(r.target, r.head)
		if current {
			return errors.Wrap(r.conn.conn.SetReadDeadline(time.Time{}), "read response")
		}
		r.discardConn = true
		if request.NewConn || r.CloseDelimited() {
			// A new connection has no earlier request that this could be the
			// response to, and no response follows a close-delimited one.
			return errWrongRequestID
		}
		if err := r.conn.conn.SetReadDeadline(time.Now().Add(staleResponseTimeout)); err != nil {
			return errors.Wrap(errWrongRequestID, err.Error())
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return errors.Wrap(errWrongRequestID, err.Error())
		}
		stale++
	}
	return errWrongRequestID
}

// HTTPResponse returns the response as read from the target.
func (r *Response) HTTPResponse() *http.Response { return r.httpResponse }

// Head returns the decoded head of the response.
func (r *Response) Head() bluebelldoor.ResponseHead { return r.head }

// Read reads the body. It returns io.EOF only if the response is complete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.httpResponse.Body.Read(p)
	if err != io.EOF {
		return n, err
	}
	if r.CloseDelimited() {
		if r.deadlineReached() {
			return n, errDeadlineClose
		}
		if writeErr := r.endWrite(); writeErr != nil {
			return n, errors.Wrap(writeErr, "connection ended within a response without framing")
		}
	}
	r.recycle()
	return n, err
}

// endWrite ends the writing of the request, and returns the error of the connection that this
// met, if any. The kernel reports such an error once: if the write got it, the read that follows
// finds the end of the stream, as if the target had closed in order.
func (r *Response) endWrite() error {
	if err := r.conn.conn.SetWriteDeadline(time.Now()); err != nil {
		return errors.Wrap(err, "end write of request")
	}
	<-r.written
	// A write fails with EPIPE if the target resets the connection after it has closed its
	// side. All that it sent before the close has come then.
	if errors.Is(r.writeErr, os.ErrDeadlineExceeded) || errors.Is(r.writeErr, syscall.EPIPE) {
		return nil
	}
	return r.writeErr
}

// deadlineReached reports whether the target may have ended the response because of the
// request's deadline.
func (r *Response) deadlineReached() bool {
	deadline, ok := r.ctx.Deadline()
	return r.ctx.Err() != nil || ok && time.Until(deadline) < deadlineMargin
}

// CloseDelimited reports whether the response is close-delimited.
func (r *Response) CloseDelimited() bool {
	return r.httpResponse.ContentLength < 0 && len(r.httpResponse.TransferEncoding) == 0
}

// recycle returns the connection to the pool if it can be reused, else closes
// it.
func (r *Response) recycle() {
	if r.closed {
		return
	}
	requestSent := false
	select {
	case <-r.written:
		requestSent = r.writeErr == nil
	default:
	}
	reusable := requestSent && !r.discardConn && !r.httpResponse.Close && !r.CloseDelimited() && r.conn.reader.Buffered() == 0
	if !reusable || !r.stopWatch() {
		r.Close()
		return
	}
	r.closed = true
	r.exchanger.putIdle(r.target, r.conn, r.head.IdleTimeout, r.maxIdle)
}

// Close closes the connection unless it is already closed or back in the pool.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	r.stopWatch()
	r.conn.conn.Close()
}

package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bluebelldoor"
)

const (
	// dialTimeout bounds a new connection: many round trips between data
	// centres, and a part of the shortest deadline, so that another target can
	// be tried. A lost first packet is sent again only after a second.
	dialTimeout = 250 * time.Millisecond
	// unackedTimeout ends a connection whose peer acknowledges nothing, as
	// behind a partition.
	unackedTimeout = 2 * time.Second
	// defaultIdle is how long a connection is kept whose target does not say.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off what a target says, for the way of the request.
	idleMargin = time.Second
	// largeBody is written beside reading the answer, which may come early.
	largeBody = 16 << 10
	// MaxIdle bounds the idle connections to a target.
	MaxIdle = 8
	// readBuffer holds the head of an answer.
	readBuffer = 8 << 10
	// strayWait is how long an answer is waited for after one to another
	// request: targets answer most calls within a tenth of it.
	strayWait = 500 * time.Millisecond
	// maxStray is how many answers to other requests are skipped on a
	// connection before it is given up.
	maxStray = 2
)

// Exchanger keeps connections to targets. It is safe for concurrent use.
type Exchanger struct {
	codec bluebelldoor.Codec
	heard bluebelldoor.Listener
	mu    sync.Mutex
	idle  map[string][]*channel
	opens int64
}

// channel is one connection to a target.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
	// until is when the target may close it for idleness.
	until time.Time
}

// Option changes an exchanger.
type Option func(*Exchanger)

// WithListener tells l what targets say in the head of each answer, those that
// are skipped included.
func WithListener(l bluebelldoor.Listener) Option {
	return func(x *Exchanger) { x.heard = l }
}

// New returns an exchanger and a clean-up function that closes idle
// connections.
func New(codec bluebelldoor.Codec, options ...Option) (*Exchanger, func()) {
	x := &Exchanger{codec: codec, heard: func(*bluebelldoor.Instance, bluebelldoor.AnswerHead) {}, idle: map[string][]*channel{}}
	for _, o := range options {
		o(x)
	}
	return x, x.closeIdle
}

// Opened returns how many connections were opened.
func (x *Exchanger) Opened() int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.opens
}

func (x *Exchanger) closeIdle() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, list := range x.idle {
		for _, c := range list {
			c.conn.Close()
		}
	}
	x.idle = map[string][]*channel{}
}

// key tells connections to different starts of targets at one address apart.
func key(t *bluebelldoor.Instance) string {
	return fmt.Sprintf("%s/%s/%d", t.Address, t.ID, t.Born)
}

// Forget closes the idle connections to a target that is gone.
func (x *Exchanger) Forget(t *bluebelldoor.Instance) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.idle[key(t)] {
		c.conn.Close()
	}
	delete(x.idle, key(t))
}

func (x *Exchanger) take(t *bluebelldoor.Instance) *channel {
	x.mu.Lock()
	defer x.mu.Unlock()
	list := x.idle[key(t)]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		if len(list) == 0 {
			delete(x.idle, key(t))
		} else {
			x.idle[key(t)] = list
		}
		if time.Now().Before(c.until) && c.reader.Buffered() == 0 && quiet(c.conn) {
			return c
		}
		c.conn.Close()
	}
	return nil
}

// put keeps a connection for idleFor at the most, and no more than most. Those
// beyond it are closed, the oldest first: most falls when other VMs join.
func (x *Exchanger) put(t *bluebelldoor.Instance, c *channel, idleFor time.Duration, most int) {
	if idleFor <= 0 {
		idleFor = defaultIdle
	}
	c.until = time.Now().Add(min(idleFor-idleMargin, defaultIdle))
	x.mu.Lock()
	defer x.mu.Unlock()
	list := append(x.idle[key(t)], c)
	surplus := max(0, len(list)-min(max(0, most), MaxIdle))
	for _, old := range list[:surplus] {
		old.conn.Close()
	}
	if surplus == len(list) {
		delete(x.idle, key(t))
		return
	}
	x.idle[key(t)] = slices.Delete(list, 0, surplus)
}

func (x *Exchanger) open(ctx context.Context, t *bluebelldoor.Instance) (*channel, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, ControlContext: limitUnacked}
	conn, err := dialer.DialContext(ctx, "tcp4", t.Address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to target")
	}
	x.mu.Lock()
	x.opens++
	x.mu.Unlock()
	return &channel{conn: conn, reader: bufio.NewReaderSize(conn, readBuffer)}, nil
}

// Outgoing is a request as it goes to one target.
type Outgoing struct {
	ID     string
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Fresh asks for a new connection: a request that may run only once is
	// not risked on one that the target may just have closed.
	Fresh bool
	// MostIdle is how many idle connections to the target the VM may keep, of
	// those that it takes from all VMs.
	MostIdle int
	// Permit is asked as the last step before bytes leave.
	Permit func() error
}

// Send sends a request once and waits for the head of its answer. The error is
// a *bluebelldoor.SendError, or that of Permit. When ctx ends, the connection
// is closed, which makes a target drop the request.
func (x *Exchanger) Send(ctx context.Context, t *bluebelldoor.Instance, o *Outgoing) (*Answer, error) {
	var c *channel
	if !o.Fresh {
		c = x.take(t)
	}
	if c == nil {
		opened, err := x.open(ctx, t)
		if err != nil {
			return nil, &bluebelldoor.SendError{Executed: bluebelldoor.ExecutedNo, Cause: err}
		}
		c = opened
	}
	if err := o.Permit(); err != nil {
		x.put(t, c, 0, o.MostIdle)
		return nil, err
	}
	a := &Answer{owner: x, target: t, channel: c, mostIdle: o.MostIdle, written: make(chan error, 1)}
	a.unwatch = context.AfterFunc(ctx, func() { c.conn.Close() })
	if err := a.exchange(o); err != nil {
		a.Close()
		return nil, &bluebelldoor.SendError{Executed: bluebelldoor.ExecutedUnknown, Crossed: errors.Is(err, errCrossed), Cause: err}
	}
	return a, nil
}

var errCrossed = errors.New("the target answered another request")

// Answer is a target's answer whose head has been read.
type Answer struct {
	owner    *Exchanger
	target   *bluebelldoor.Instance
	channel  *channel
	unwatch  func() bool
	written  chan error
	mostIdle int
	response *http.Response
	head     bluebelldoor.AnswerHead
	ended    bool
	closed   bool
}

func (a *Answer) exchange(o *Outgoing) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", o.Method, o.URI, o.Host)
	_ = o.Header.Write(&b) // a buffer takes all
	if len(o.Body) > 0 || o.Method != http.MethodGet && o.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(o.Body))
	}
	b.WriteString("\r\n")
	b.Write(o.Body)
	write := func() error {
		_, err := a.channel.conn.Write(b.Bytes())
		return errors.Wrap(err, "write request")
	}
	if len(o.Body) > largeBody {
		go func() { a.written <- write() }()
	} else {
		err := write()
		a.written <- err
		if err != nil {
			return err
		}
	}
	return a.readHead(o)
}

// readHead reads the head of the answer. Interim answers are skipped, and so
// are late answers to requests that were sent on the connection before.
func (a *Answer) readHead(o *Outgoing) error {
	for strays := 0; strays <= maxStray; {
		response, err := http.ReadResponse(a.channel.reader, &http.Request{Method: o.Method})
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		if response.StatusCode < 200 {
			continue
		}
		a.response, a.head = response, a.owner.codec.Answer(response)
		a.owner.heard(a.target, a.head)
		// A failure may come without an ID; a success must say whose it is.
		unnamed := a.head.RequestID == "" && response.StatusCode >= http.StatusMultipleChoices
		if unnamed || a.head.RequestID == o.ID {
			return errors.Wrap(a.channel.conn.SetReadDeadline(time.Time{}), "read answer")
		}
		a.ended = true // the connection is not kept after a stray answer
		if o.Fresh || a.Unframed() {
			// Nothing was asked on it before: the answer is the target's to
			// this request, with another's name.
			return errCrossed
		}
		if err := a.channel.conn.SetReadDeadline(time.Now().Add(strayWait)); err != nil {
			return errors.Wrap(errCrossed, err.Error())
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return errors.Wrap(errCrossed, err.Error())
		}
		strays++
	}
	return errCrossed
}

// Response returns the head of the answer.
func (a *Answer) Response() *http.Response { return a.response }

// Head returns what the product knows of the answer.
func (a *Answer) Head() bluebelldoor.AnswerHead { return a.head }

// Read reads the body. io.EOF means that the answer is whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if err == io.EOF {
		a.keep()
	}
	return n, err
}

// Unframed reports whether the answer ends with its connection.
func (a *Answer) Unframed() bool {
	return a.response.ContentLength < 0 && len(a.response.TransferEncoding) == 0
}

// keep gives the connection back if nothing speaks against it.
func (a *Answer) keep() {
	if a.closed {
		return
	}
	sent := false
	select {
	case err := <-a.written:
		sent = err == nil
	default:
	}
	usable := sent && !a.ended && !a.response.Close && !a.Unframed() && a.channel.reader.Buffered() == 0
	if !usable || !a.unwatch() {
		a.Close()
		return
	}
	a.closed = true
	a.owner.put(a.target, a.channel, a.head.IdleFor, a.mostIdle)
}

// Close gives the answer up and closes its connection, unless it was whole.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	a.unwatch()
	a.channel.conn.Close()
}

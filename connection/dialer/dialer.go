package dialer

import (
	"context"
	"crypto/tls"
	"io"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1"
	"github.com/pkg/errors"

	"bluebelldoor"
)

const (
	dialTimeout       = 500 * time.Millisecond
	maxResponseBytes  = 16 << 20
	idleTimeout       = time.Second
	reportIdleTimeout = 30 * time.Second
	// statusAt is where the status is in a response.
	statusAt = len("HTTP/1.1 ")
)

// Dialer sends requests to targets. It is safe for concurrent use.
type Dialer struct{ reports *client.Client }

// New returns a dialer. Only load reports, which are frequent and idempotent,
// use keep-alive connections.
func New() *Dialer {
	reports, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(dialTimeout),
		client.WithMaxIdleConnDuration(reportIdleTimeout),
	)
	if err != nil {
		panic(err) // none of the options above can fail
	}
	return &Dialer{reports: reports}
}

var (
	_ bluebelldoor.EngineClient      = (*Dialer)(nil)
	_ bluebelldoor.ApplicationClient = (*Dialer)(nil)
	_ bluebelldoor.OrderClient       = (*Dialer)(nil)
)

// singleUseDialer returns an established connection once. A second dial fails,
// so that the HTTP client can't send a request twice.
type singleUseDialer struct {
	network.Dialer
	conn network.Conn
}

// checkedConn finds what the HTTP client takes for a response and is none: a status that HTTP does
// not have, as the client takes any digits, and 000 for 200; and a response without framing whose
// connection broke, as the client takes each error of a read for its end.
type checkedConn struct {
	network.Conn
	checked, failed bool
	// readErr is the error of a read, other than the end of the stream.
	readErr error
}

// Peek implements network.Conn.
func (c *checkedConn) Peek(n int) ([]byte, error) {
	b, err := c.Conn.Peek(n)
	if err != nil && !errors.Is(err, io.EOF) {
		c.readErr = err
	}
	if err != nil || c.checked || len(b) <= statusAt {
		return b, err
	}
	c.checked, c.failed = true, b[statusAt] < '1' || b[statusAt] > '5'
	if c.failed {
		_ = c.Close()
	}
	return b, nil
}

var errNoStatus = errors.New("target responded with a status that HTTP does not have")

var errConnUsed = errors.New("connection already used")

// DialConnection implements network.Dialer.
func (d *singleUseDialer) DialConnection(string, string, time.Duration, *tls.Config) (network.Conn, error) {
	if d.conn == nil {
		return nil, errConnUsed
	}
	conn := d.conn
	d.conn = nil
	return conn, nil
}

// exchange sends one request over a new connection. The returned clean-up
// function closes it and is never nil. permit is called once the connection is
// established and before any byte is sent.
func exchange(ctx context.Context, address string, req *protocol.Request, permit func() error, stream bool) (*protocol.Response, func(), error) {
	inner := standard.NewDialer()
	conn, err := inner.DialConnection("tcp", address, dialTimeout, nil)
	if err != nil {
		return nil, func() {}, &bluebelldoor.SendError{Executed: bluebelldoor.ExecutedNo, Cause: errors.Wrap(err, "dial")}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	resp := protocol.AcquireResponse()
	cleanUp := func() {
		stop()
		_ = conn.Close()
	}
	if permit != nil {
		if err := permit(); err != nil {
			return nil, cleanUp, err
		}
	}
	if err := ctx.Err(); err != nil {
		return nil, cleanUp, &bluebelldoor.SendError{Executed: bluebelldoor.ExecutedNo, Cause: err}
	}
	checked := &checkedConn{Conn: conn}
	client := http1.NewHostClient(&http1.ClientOptions{
		Dialer:              &singleUseDialer{Dialer: inner, conn: checked},
		MaxConns:            1,
		MaxIdleConnDuration: idleTimeout,
		MaxResponseBodySize: maxResponseBytes,
		ResponseBodyStream:  stream,
		RetryIfFunc:         func(*protocol.Request, *protocol.Response, error) bool { return false },
	}).(*http1.HostClient)
	client.Addr = address
	req.SetConnectionClose()
	err = client.Do(ctx, req, resp)
	switch {
	case checked.failed:
		err = errNoStatus
	case err == nil && checked.readErr != nil:
		err = errors.Wrap(checked.readErr, "connection ended within a response")
	}
	if err != nil {
		return nil, cleanUp, &bluebelldoor.SendError{Executed: bluebelldoor.ExecutedUnknown, Cause: err}
	}
	return resp, cleanUp, nil
}

// newRequest returns a request with the headers common to all requests.
func newRequest(method, address, path, id string, timeout time.Duration) *protocol.Request {
	req := protocol.AcquireRequest()
	req.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	if id != "" {
		req.Header.Set("X-Request-Id", id)
	}
	if timeout > 0 {
		req.Header.Set("X-Within-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	}
	return req
}

// Do implements bluebelldoor.ApplicationClient.
func (d *Dialer) Do(ctx context.Context, t *bluebelldoor.Target, c bluebelldoor.Call) (bluebelldoor.Answer, error) {
	req := newRequest(c.Method, t.Address(), c.Path, c.ID, c.Within)
	if c.Key != "" {
		req.Header.Set("Idempotency-Key", c.Key)
	}
	if len(c.Body) > 0 {
		req.Header.SetContentTypeBytes([]byte(c.ContentType))
		req.SetBody(c.Body)
	}
	resp, cleanUp, err := exchange(ctx, t.Address(), req, c.Permit, false)
	defer cleanUp()
	if err != nil {
		return bluebelldoor.Answer{}, err
	}
	if echoed := string(resp.Header.Peek("X-Request-Id")); echoed != "" && echoed != c.ID {
		return bluebelldoor.Answer{}, &bluebelldoor.SendError{
			Executed:       bluebelldoor.ExecutedUnknown,
			WrongRequestID: true,
			Cause:          errors.Errorf("response is for request %q", echoed),
		}
	}
	if string(resp.Header.Peek("X-Executed")) == string(bluebelldoor.ExecutedNo) {
		return bluebelldoor.Answer{}, &bluebelldoor.SendError{
			Executed: bluebelldoor.ExecutedNo,
			Cause:    errors.Errorf("target did not execute the request: status %d", resp.StatusCode()),
		}
	}
	return bluebelldoor.Answer{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        append([]byte(nil), resp.Body()...),
	}, nil
}

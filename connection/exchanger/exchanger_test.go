package exchanger_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/connection/exchanger"
	"bluebelldoor/platform"
)

// startTarget starts a server that calls respond for its nth request, counted
// from 1 over all connections. It also returns the number of requests received.
func startTarget(t *testing.T, respond func(n int, id string, conn net.Conn)) (*bluebelldoor.Instance, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	requests := &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				br := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					respond(int(requests.Add(1)), request.Header.Get("Attempt-Id"), conn)
				}
			}()
		}
	}()
	return &bluebelldoor.Instance{ID: "t", Address: l.Addr().String()}, requests
}

// okResponse returns a 200 response to the request with this ID.
func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newRequest(id string, newConn bool) *exchanger.Request {
	return &exchanger.Request{
		ID: id, Method: "POST", URI: "/a/", Host: "h", NewConn: newConn, MaxIdle: exchanger.MaxIdlePerTarget,
		Header: http.Header{"Attempt-Id": {id}},
		Permit: func() error { return nil },
	}
}

// reset closes conn with RST.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// TestAnswers checks, for each kind of response, whether Send succeeds, whether
// the body is complete and whether the connection is reused.
func TestAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		respond  func(id string, conn net.Conn)
		body     string
		headRead bool // Send succeeds
		complete bool
		reused   bool // the next request uses the same connection
	}{
		"complete": {func(id string, c net.Conn) { _, _ = io.WriteString(c, okResponse(id, "abc")) }, "abc", true, true, true},
		"chunks": {func(id string, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
		}, "abc", true, true, true},
		"chunks without the last chunk": {func(id string, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
			c.Close()
		}, "abc", true, false, false},
		"a truncated body": {func(id string, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+id+"\r\nContent-Length: 9\r\n\r\nabc")
			c.Close()
		}, "abc", true, false, false},
		"no length, closed": {func(id string, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+id+"\r\n\r\nabc")
			c.Close()
		}, "abc", true, true, false},
		"no length, reset": {func(id string, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+id+"\r\n\r\nabc")
			time.Sleep(20 * time.Millisecond)
			reset(c)
		}, "abc", true, false, false},
		"bytes after the response": {func(id string, c net.Conn) { _, _ = io.WriteString(c, okResponse(id, "abc")+"more") }, "abc", true, true, false},
		"a second response":        {func(id string, c net.Conn) { _, _ = io.WriteString(c, okResponse(id, "abc")+okResponse(id, "abc")) }, "abc", true, true, false},
		"another response first": {func(id string, c net.Conn) {
			_, _ = io.WriteString(c, okResponse("other", "xyz")+okResponse(id, "abc"))
		}, "abc", true, true, false},
		"a success without an ID": {func(_ string, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc")
		}, "", false, false, false},
		"an error without an ID": {func(_ string, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 500 Oops\r\nContent-Length: 3\r\n\r\nabc")
		}, "abc", true, true, true},
		"an interim response": {func(id string, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n"+okResponse(id, "abc"))
		}, "abc", true, true, true},
		"Connection: close": {func(id string, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+id+"\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc")
		}, "abc", true, true, false},
		"only other responses": {func(_ string, c net.Conn) {
			_, _ = io.WriteString(c, okResponse("o1", "x")+okResponse("o2", "x")+okResponse("o3", "x"))
		}, "", false, false, false},
		"not HTTP": {func(_ string, c net.Conn) { _, _ = io.WriteString(c, "noise\r\n\r\n") }, "", false, false, false},
		"closed":   {func(_ string, c net.Conn) { c.Close() }, "", false, false, false},
		"reset":    {func(_ string, c net.Conn) { reset(c) }, "", false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			instance, _ := startTarget(t, func(n int, id string, conn net.Conn) {
				if n == 1 {
					c.respond(id, conn)
					return
				}
				_, _ = io.WriteString(conn, okResponse(id, "next"))
			})
			x, stop := exchanger.New(platform.Codec{})
			defer stop()
			response, err := x.Send(context.Background(), instance, newRequest("r1", false))
			assert.Equal(t, err == nil, c.headRead, "%v", err)
			if err != nil {
				var sendErr *bluebelldoor.SendError
				assert.Assert(t, errors.As(err, &sendErr))
				assert.Equal(t, sendErr.Executed, bluebelldoor.ExecutedUnknown)
			} else {
				body, err := io.ReadAll(response)
				assert.Equal(t, string(body), c.body)
				assert.Equal(t, err == nil, c.complete, "%v", err)
				response.Close()
			}
			time.Sleep(10 * time.Millisecond)
			next, err := x.Send(context.Background(), instance, newRequest("r2", false))
			assert.NilError(t, err)
			body, err := io.ReadAll(next)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "next")
			assert.Equal(t, x.Opened() == 1, c.reused)
		})
	}
}

// TestTruncatedHead guards against a response that ends inside its head and is passed on as a
// complete one with an empty or short body: wherever it ends, it is no response.
func TestTruncatedHead(t *testing.T) {
	for name, rest := range map[string]string{
		"length":          "Content-Length: 123\r\nServer-Stamp: s\r\n",
		"chunks":          "Transfer-Encoding: chunked\r\nServer-Stamp: s\r\n",
		"close-delimited": "Connection: close\r\nServer-Stamp: s\r\n",
		"line feeds":      "Content-Length: 123\nServer-Stamp: s\n",
	} {
		t.Run(name, func(t *testing.T) {
			const id = "r1"
			head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\n" + rest + "\r\n"
			for end := 1; end < len(head); end++ {
				instance, _ := startTarget(t, func(_ int, _ string, conn net.Conn) {
					_, _ = io.WriteString(conn, head[:end])
					conn.Close()
				})
				x, stop := exchanger.New(platform.Codec{})
				_, err := x.Send(context.Background(), instance, newRequest(id, true))
				stop()
				var sendErr *bluebelldoor.SendError
				assert.Assert(t, errors.As(err, &sendErr), "a head that ends after %q was taken", head[:end])
				assert.Equal(t, sendErr.Executed, bluebelldoor.ExecutedUnknown)
			}
		})
	}
}

// TestNoHead guards against a request that waits until its deadline for the rest of a head
// although the target has sent bytes that are none.
func TestNoHead(t *testing.T) {
	for name, text := range map[string]string{
		"another protocol": "SSH-2.0-x",
		"a digit":          "1",
		"no status line":   "HTTP/2 200 OK\r\n",
		"no field":         "HTTP/1.1 200 OK\r\nnoise\r\n",
		"no field name":    "HTTP/1.1 200 OK\r\n: x\r\n",
		"a status line":    "HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			instance, _ := startTarget(t, func(_ int, _ string, conn net.Conn) {
				_, _ = io.WriteString(conn, text)
				<-t.Context().Done()
			})
			x, stop := exchanger.New(platform.Codec{})
			defer stop()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			_, err := x.Send(ctx, instance, newRequest("r1", true))
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err())
		})
	}
}

// TestNothingLeft checks that a refused connection is reported as not executed.
func TestNothingLeft(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	unreachable := &bluebelldoor.Instance{ID: "t", Address: l.Addr().String()}
	assert.NilError(t, l.Close())
	x, stop := exchanger.New(platform.Codec{})
	defer stop()
	_, err = x.Send(context.Background(), unreachable, newRequest("r1", true))
	var sendErr *bluebelldoor.SendError
	assert.Assert(t, errors.As(err, &sendErr))
	assert.Equal(t, sendErr.Executed, bluebelldoor.ExecutedNo)
}

// TestPermit checks that an error of Permit is returned and nothing is sent.
func TestPermit(t *testing.T) {
	instance, requests := startTarget(t, func(_ int, id string, conn net.Conn) { _, _ = io.WriteString(conn, okResponse(id, "")) })
	x, stop := exchanger.New(platform.Codec{})
	defer stop()
	denied := errors.New("denied")
	o := newRequest("r1", true)
	o.Permit = func() error { return denied }
	_, err := x.Send(context.Background(), instance, o)
	assert.Equal(t, err, denied)
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, requests.Load(), int64(0))
}

// TestStale checks that an idle connection is not reused after the target has
// closed it or written to it.
func TestStale(t *testing.T) {
	for name, disturb := range map[string]func(net.Conn){
		"closed": func(c net.Conn) { c.Close() },
		"reset":  reset,
		"bytes":  func(c net.Conn) { _, _ = io.WriteString(c, okResponse("r1", "late")) },
	} {
		t.Run(name, func(t *testing.T) {
			instance, requests := startTarget(t, func(n int, id string, conn net.Conn) {
				_, _ = io.WriteString(conn, okResponse(id, "abc"))
				if n == 1 {
					time.Sleep(20 * time.Millisecond)
					disturb(conn)
				}
			})
			x, stop := exchanger.New(platform.Codec{})
			defer stop()
			for _, id := range []string{"r1", "r2"} {
				response, err := x.Send(context.Background(), instance, newRequest(id, false))
				assert.NilError(t, err)
				_, err = io.ReadAll(response)
				assert.NilError(t, err)
				time.Sleep(60 * time.Millisecond)
			}
			assert.Equal(t, requests.Load(), int64(2))
			assert.Equal(t, x.Opened(), int64(2))
		})
	}
}

// TestEarly checks that a response is read while a large body is still being
// sent.
func TestEarly(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nAttempt-Id: r1\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(time.Second)
		conn.Close()
	}()
	x, stop := exchanger.New(platform.Codec{})
	defer stop()
	o := newRequest("r1", false)
	o.Body = make([]byte, 32<<20)
	response, err := x.Send(context.Background(), &bluebelldoor.Instance{ID: "t", Address: l.Addr().String()}, o)
	assert.NilError(t, err)
	assert.Equal(t, response.HTTPResponse().StatusCode, 413)
	response.Close()
}

// TestCancel checks that the connection is closed when the context is
// cancelled.
func TestCancel(t *testing.T) {
	closed := make(chan struct{})
	instance, _ := startTarget(t, func(_ int, _ string, conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
	})
	x, stop := exchanger.New(platform.Codec{})
	defer stop()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := x.Send(ctx, instance, newRequest("r1", true))
	assert.Assert(t, err != nil)
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("connection not closed within 500 ms of the cancellation")
	}
}

// fullBacklog returns an address whose listen backlog is full, so that further
// SYNs are dropped.
func fullBacklog(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	assert.NilError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, unix.Listen(fd, 0))
	sockaddr, err := unix.Getsockname(fd)
	assert.NilError(t, err)
	address := fmt.Sprintf("127.0.0.1:%d", sockaddr.(*unix.SockaddrInet4).Port)
	for range 4 {
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	return address
}

// TestNoConnection checks that dialing a target that drops SYNs fails well within
// 1 s, the shortest request deadline, so that another target can be tried.
func TestNoConnection(t *testing.T) {
	x, stop := exchanger.New(platform.Codec{})
	defer stop()
	start := time.Now()
	_, err := x.Send(context.Background(), &bluebelldoor.Instance{ID: "t", Address: fullBacklog(t)}, newRequest("r1", true))
	var sendErr *bluebelldoor.SendError
	assert.Assert(t, errors.As(err, &sendErr))
	assert.Equal(t, sendErr.Executed, bluebelldoor.ExecutedNo)
	assert.Assert(t, time.Since(start) < 700*time.Millisecond, "failed only after %s", time.Since(start))
}

// TestMostIdle checks that no more idle connections are kept than MaxIdle of the
// last request and MaxIdlePerTarget allow.
func TestMostIdle(t *testing.T) {
	for name, c := range map[string]struct{ maxIdle, lastMaxIdle, kept int }{
		"none":            {0, 0, 0},
		"two":             {2, 2, 2},
		"too many":        {100, 100, exchanger.MaxIdlePerTarget},
		"then fewer":      {4, 2, 2},
		"then none":       {4, 0, 0},
		"then more":       {2, 4, 3},
		"then still many": {100, exchanger.MaxIdlePerTarget, exchanger.MaxIdlePerTarget},
	} {
		t.Run(name, func(t *testing.T) {
			const requests = exchanger.MaxIdlePerTarget + 2
			instance, _ := startTarget(t, func(_ int, id string, conn net.Conn) { _, _ = io.WriteString(conn, okResponse(id, "abc")) })
			x, stop := exchanger.New(platform.Codec{})
			defer stop()
			for i := range requests {
				o := newRequest("r1", true)
				o.MaxIdle = c.maxIdle
				if i == requests-1 {
					o.MaxIdle = c.lastMaxIdle
				}
				response, err := x.Send(context.Background(), instance, o)
				assert.NilError(t, err)
				_, err = io.ReadAll(response)
				assert.NilError(t, err)
			}
			// Concurrent requests reuse each idle connection once and open the rest.
			responses := make([]*exchanger.Response, 0, requests)
			for range requests {
				response, err := x.Send(context.Background(), instance, newRequest("r1", false))
				assert.NilError(t, err)
				responses = append(responses, response)
			}
			assert.Equal(t, int(x.Opened()), 2*requests-c.kept)
			for _, response := range responses {
				response.Close()
			}
		})
	}
}

// TestForget checks that CloseIdle closes the idle connections to the target.
func TestForget(t *testing.T) {
	closed := make(chan struct{})
	instance, _ := startTarget(t, func(_ int, id string, conn net.Conn) {
		_, _ = io.WriteString(conn, okResponse(id, "abc"))
		go func() {
			// The connection's goroutine is reading the next request and closes
			// the connection at EOF, after which this write fails.
			for {
				time.Sleep(10 * time.Millisecond)
				if _, err := conn.Write(nil); err != nil {
					close(closed)
					return
				}
			}
		}()
	})
	x, stop := exchanger.New(platform.Codec{})
	defer stop()
	response, err := x.Send(context.Background(), instance, newRequest("r1", false))
	assert.NilError(t, err)
	_, err = io.ReadAll(response)
	assert.NilError(t, err)
	x.CloseIdle(instance)
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("connection not closed within 2 s")
	}
}

// TestListener checks that the head observer is called for each response,
// including errors and skipped responses.
func TestListener(t *testing.T) {
	const leaving = "Server-Leaving: 1\r\n"
	for name, c := range map[string]struct {
		before, head string // a response sent first, and the head of the response
		leaving      int
	}{
		"a success":              {"", "HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\n" + leaving, 1},
		"an error":               {"", "HTTP/1.1 500 No\r\nAttempt-Id: 2\r\n" + leaving, 1},
		"an error without an ID": {"", "HTTP/1.1 502 No\r\n" + leaving, 1},
		"a late response":        {"HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\n" + leaving + "Content-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\n", 1},
		"misdirected (421)":      {"", "HTTP/1.1 421 No\r\nAttempt-Id: 2\r\n" + leaving, 0},
		"no leaving header":      {"", "HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			instance, _ := startTarget(t, func(n int, id string, conn net.Conn) {
				if n == 1 {
					_, _ = io.WriteString(conn, okResponse(id, ""))
					return
				}
				_, _ = io.WriteString(conn, c.before+c.head+"Content-Length: 0\r\n\r\n")
			})
			leavingHeads := 0
			x, stop := exchanger.New(platform.Codec{}, exchanger.WithHeadObserver(func(from *bluebelldoor.Instance, head bluebelldoor.ResponseHead) {
				assert.Equal(t, from, instance)
				if head.Leaving {
					leavingHeads++
				}
			}))
			defer stop()
			for _, id := range []string{"1", "2"} {
				response, err := x.Send(t.Context(), instance, newRequest(id, false))
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, response)
				assert.NilError(t, err)
			}
			assert.Equal(t, leavingHeads, c.leaving)
		})
	}
}

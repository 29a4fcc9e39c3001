package acceptor_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/connection/acceptor"
	"bluebelldoor/process/accountant"
)

const connTimeout = 3 * time.Second

// start starts an acceptor and returns its address.
func start(t *testing.T, limits bluebelldoor.CallerLimits, handler acceptor.Handler, options ...acceptor.Option) (*acceptor.Acceptor, string) {
	t.Helper()
	a, stop, err := acceptor.New("127.0.0.1:0", func() bluebelldoor.CallerLimits { return limits }, handler, options...)
	assert.NilError(t, err)
	t.Cleanup(stop)
	return a, a.Address()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(connTimeout)))
	return conn
}

// echo responds with the method, request URI and body of the request.
func echo(_ context.Context, call *acceptor.Call) {
	_ = call.Respond(200, http.Header{}, []byte(call.Request.Method+" "+call.Request.RequestURI+" "+string(call.Body)))
}

func TestRequests(t *testing.T) {
	limits := bluebelldoor.CallerLimits{HeaderBytes: 400, BodyBytes: 100}
	for name, c := range map[string]struct {
		send   string
		status int
		body   string
	}{
		"no body":               {"GET /a?b=c HTTP/1.1\r\nHost: a\r\n\r\n", 200, "GET /a?b=c "},
		"a length":              {"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nxyz", 200, "POST /a xyz"},
		"chunks":                {"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n1\r\nz\r\n0\r\n\r\n", 200, "POST /a xyz"},
		"a large head":          {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("a", 500) + "\r\n\r\n", 431, ""},
		"a large body":          {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n", 413, ""},
		"large chunks":          {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n66\r\n" + strings.Repeat("a", 102) + "\r\n0\r\n\r\n", 413, ""},
		"a smuggled request":    {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n", 400, ""},
		"not HTTP":              {"\x16\x03\x01\r\n\r\n", 400, ""},
		"an invalid chunk size": {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, ""},
	} {
		t.Run(name, func(t *testing.T) {
			_, address := start(t, limits, echo)
			conn := dial(t, address)
			_, err := io.WriteString(conn, c.send)
			assert.NilError(t, err)
			br := bufio.NewReader(conn)
			response, err := http.ReadResponse(br, nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, c.status)
			if c.status == 200 {
				assert.Equal(t, string(body), c.body)
			} else {
				assert.Assert(t, strings.Contains(string(body), "executed: no"), "%s", body)
				_, err = br.ReadByte()
				assert.Assert(t, err != nil, "connection still open after status %d", c.status)
			}
		})
	}
}

// TestKept checks that a connection serves several requests, the last two of
// them pipelined.
func TestKept(t *testing.T) {
	_, address := start(t, bluebelldoor.CallerLimits{}, echo)
	conn := dial(t, address)
	br := bufio.NewReader(conn)
	request := "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
	for _, send := range []string{request, request, request + request, ""} {
		_, err := io.WriteString(conn, send)
		assert.NilError(t, err)
		response, err := http.ReadResponse(br, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
	}
}

// TestEnds checks that a caller can tell a finished from an aborted response,
// with chunked and with close-delimited framing.
func TestEnds(t *testing.T) {
	for name, c := range map[string]struct {
		framed   bool
		end      func(*acceptor.Call)
		complete bool
	}{
		"chunked and finished":         {true, func(c *acceptor.Call) { _ = c.Finish() }, true},
		"chunked and aborted":          {true, func(c *acceptor.Call) { c.Abort() }, false},
		"close-delimited and finished": {false, func(c *acceptor.Call) { _ = c.Finish() }, true},
		"close-delimited and aborted":  {false, func(c *acceptor.Call) { c.Abort() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, address := start(t, bluebelldoor.CallerLimits{}, func(_ context.Context, call *acceptor.Call) {
				_ = call.Begin(200, http.Header{}, c.framed)
				_ = call.Write([]byte("part"))
				time.Sleep(20 * time.Millisecond)
				c.end(call)
			})
			conn := dial(t, address)
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(response.Body)
			assert.Equal(t, string(body), "part")
			assert.Equal(t, err == nil, c.complete, "%v", err)
		})
	}
}

// TestStopTruncates guards against a VM whose end makes a response that has begun look
// complete, above all one that only the close of its connection ends.
func TestStopTruncates(t *testing.T) {
	for name, framed := range map[string]bool{"chunked": true, "close-delimited": false} {
		t.Run(name, func(t *testing.T) {
			begun, ended := make(chan struct{}), make(chan struct{})
			defer close(ended)
			a, stop, err := acceptor.New("127.0.0.1:0", func() bluebelldoor.CallerLimits { return bluebelldoor.CallerLimits{} },
				func(_ context.Context, call *acceptor.Call) {
					_ = call.Begin(200, http.Header{}, framed)
					_ = call.Write([]byte("part"))
					close(begun)
					<-ended
				})
			assert.NilError(t, err)
			conn := dial(t, a.Address())
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			<-begun
			stop()
			_, err = io.ReadAll(response.Body)
			assert.Assert(t, err != nil, "the response looks complete")
		})
	}
}

// TestCallerLeaves checks that the request context is cancelled when the caller
// closes its connection.
func TestCallerLeaves(t *testing.T) {
	cancelled := make(chan struct{})
	_, address := start(t, bluebelldoor.CallerLimits{}, func(ctx context.Context, call *acceptor.Call) {
		<-ctx.Done()
		close(cancelled)
		call.Abort()
	})
	conn := dial(t, address)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	assert.NilError(t, conn.Close())
	select {
	case <-cancelled:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("request context not cancelled within 500 ms of the caller closing the connection")
	}
}

// TestLeave checks that responses carry Connection: close after Drain.
func TestLeave(t *testing.T) {
	a, address := start(t, bluebelldoor.CallerLimits{}, echo)
	conn := dial(t, address)
	br := bufio.NewReader(conn)
	for _, draining := range []bool{false, true} {
		if draining {
			a.Drain()
		}
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
		response, err := http.ReadResponse(br, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.Equal(t, response.Close, draining)
	}
}

// TestIncompleteRequests guards against callers that take a VM's memory by requests that
// they do not complete: nothing at all, a part of a head, a large head, or the length of a body.
func TestIncompleteRequests(t *testing.T) {
	const conns, maxHeap = 800, 112 << 20 / 10
	head := "POST / HTTP/1.1\r\nHost: a\r\n"
	for name, text := range map[string]string{
		"nothing":        "",
		"part of a head": head + "X: " + strings.Repeat("a", 1000),
		"announced body": head + "Content-Length: 4000000\r\n\r\na",
		"large head":     head + "X: " + strings.Repeat("a", 20000),
	} {
		t.Run(name, func(t *testing.T) {
			memory := accountant.New(2 << 20)
			_, address := start(t, bluebelldoor.CallerLimits{HeaderTimeout: time.Minute}, func(_ context.Context, call *acceptor.Call) {
				_ = call.Respond(200, http.Header{}, nil)
			}, acceptor.WithMemory(memory))
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for range conns {
				_, err := io.WriteString(dial(t, address), text)
				assert.NilError(t, err)
			}
			time.Sleep(200 * time.Millisecond)
			runtime.GC()
			runtime.ReadMemStats(&after)
			grown := int64(after.HeapAlloc) - int64(before.HeapAlloc)
			assert.Assert(t, grown < maxHeap, "%d bytes of heap for %d connections", grown, conns)
			conn := dial(t, address)
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, 200)
		})
	}
}

// TestLargeHead checks that a head beyond the read buffer is read, and the requests after it.
func TestLargeHead(t *testing.T) {
	_, address := start(t, bluebelldoor.CallerLimits{}, func(_ context.Context, call *acceptor.Call) {
		_ = call.Respond(200, http.Header{}, append([]byte(call.Request.Header.Get("X")), call.Body...))
	})
	conn := dial(t, address)
	br := bufio.NewReader(conn)
	for _, size := range []int{10, 20000, 5000, 10} {
		value := strings.Repeat("a", size)
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nX: "+value+"\r\nContent-Length: 4\r\n\r\nbody")
		assert.NilError(t, err)
		response, err := http.ReadResponse(br, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), value+"body")
	}
}

// TestHeldBodies checks that a body that would exceed the limit on buffered
// bodies is rejected, and that bodies are accepted again once others are done.
func TestHeldBodies(t *testing.T) {
	const size = 10 << 20
	release, received := make(chan struct{}), make(chan struct{}, 4)
	_, address := start(t, bluebelldoor.CallerLimits{BodyBytes: size}, func(_ context.Context, call *acceptor.Call) {
		received <- struct{}{}
		<-release
		_ = call.Respond(200, http.Header{}, nil)
	})
	send := func() (*http.Response, error) {
		conn := dial(t, address)
		go func() {
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10485760\r\n\r\n")
			_, _ = conn.Write(make([]byte, size))
		}()
		return http.ReadResponse(bufio.NewReader(conn), nil)
	}
	statuses := make(chan int, 3)
	for range 3 {
		go func() {
			response, err := send()
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- response.StatusCode
		}()
		<-received
	}
	response, err := send()
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 503)
	close(release)
	for range 3 {
		assert.Equal(t, <-statuses, 200)
	}
	response, err = send()
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 200)
}

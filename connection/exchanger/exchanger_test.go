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

// target answers each request by a script of bytes; "close" and "reset" end
// the connection.
func target(t *testing.T, script func(n int, id string, conn net.Conn)) (*bluebelldoor.Instance, *atomic.Int64) {
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
					script(int(requests.Add(1)), request.Header.Get("Attempt-Id"), conn)
				}
			}()
		}
	}()
	return &bluebelldoor.Instance{ID: "t", Address: l.Addr().String()}, requests
}

func ok(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func outgoing(id string, fresh bool) *exchanger.Outgoing {
	return &exchanger.Outgoing{
		ID: id, Method: "POST", URI: "/a/", Host: "h", Fresh: fresh, MostIdle: exchanger.MaxIdle,
		Header: http.Header{"Attempt-Id": {id}},
		Permit: func() error { return nil },
	}
}

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// TestAnswers shows what each way to answer comes to.
func TestAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(id string, conn net.Conn)
		body   string
		send   bool // the head is read
		whole  bool
		kept   bool // the connection serves the next request
	}{
		"whole": {func(id string, c net.Conn) { _, _ = io.WriteString(c, ok(id, "abc")) }, "abc", true, true, true},
		"chunks": {func(id string, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
		}, "abc", true, true, true},
		"chunks without an end": {func(id string, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
			c.Close()
		}, "abc", true, false, false},
		"a body that is cut": {func(id string, c net.Conn) {
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
		"bytes after the answer": {func(id string, c net.Conn) { _, _ = io.WriteString(c, ok(id, "abc")+"more") }, "abc", true, true, false},
		"a second answer":        {func(id string, c net.Conn) { _, _ = io.WriteString(c, ok(id, "abc")+ok(id, "abc")) }, "abc", true, true, false},
		"another answer first":   {func(id string, c net.Conn) { _, _ = io.WriteString(c, ok("other", "xyz")+ok(id, "abc")) }, "abc", true, true, false},
		"a success without an ID": {func(_ string, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc")
		}, "", false, false, false},
		"a failure without an ID": {func(_ string, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 500 Oops\r\nContent-Length: 3\r\n\r\nabc")
		}, "abc", true, true, true},
		"an interim answer": {func(id string, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n"+ok(id, "abc"))
		}, "abc", true, true, true},
		"connection ends": {func(id string, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+id+"\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc")
		}, "abc", true, true, false},
		"only other answers": {func(_ string, c net.Conn) {
			_, _ = io.WriteString(c, ok("o1", "x")+ok("o2", "x")+ok("o3", "x"))
		}, "", false, false, false},
		"noise":  {func(_ string, c net.Conn) { _, _ = io.WriteString(c, "noise\r\n\r\n") }, "", false, false, false},
		"closed": {func(_ string, c net.Conn) { c.Close() }, "", false, false, false},
		"reset":  {func(_ string, c net.Conn) { reset(c) }, "", false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			to, _ := target(t, func(n int, id string, conn net.Conn) {
				if n == 1 {
					c.answer(id, conn)
					return
				}
				_, _ = io.WriteString(conn, ok(id, "next"))
			})
			x, stop := exchanger.New(platform.Codec{})
			defer stop()
			answer, err := x.Send(context.Background(), to, outgoing("r1", false))
			assert.Equal(t, err == nil, c.send, "%v", err)
			if err != nil {
				var failed *bluebelldoor.SendError
				assert.Assert(t, errors.As(err, &failed))
				assert.Equal(t, failed.Executed, bluebelldoor.ExecutedUnknown)
			} else {
				body, err := io.ReadAll(answer)
				assert.Equal(t, string(body), c.body)
				assert.Equal(t, err == nil, c.whole, "%v", err)
				answer.Close()
			}
			time.Sleep(10 * time.Millisecond)
			next, err := x.Send(context.Background(), to, outgoing("r2", false))
			assert.NilError(t, err)
			body, err := io.ReadAll(next)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "next")
			assert.Equal(t, x.Opened() == 1, c.kept)
		})
	}
}

// TestNothingLeft tells that no byte left where none can have.
func TestNothingLeft(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	nobody := &bluebelldoor.Instance{ID: "t", Address: l.Addr().String()}
	assert.NilError(t, l.Close())
	x, stop := exchanger.New(platform.Codec{})
	defer stop()
	_, err = x.Send(context.Background(), nobody, outgoing("r1", true))
	var failed *bluebelldoor.SendError
	assert.Assert(t, errors.As(err, &failed))
	assert.Equal(t, failed.Executed, bluebelldoor.ExecutedNo)
}

// TestPermit asks once a connection stands, and sends nothing without leave.
func TestPermit(t *testing.T) {
	to, requests := target(t, func(_ int, id string, conn net.Conn) { _, _ = io.WriteString(conn, ok(id, "")) })
	x, stop := exchanger.New(platform.Codec{})
	defer stop()
	refused := errors.New("no")
	o := outgoing("r1", true)
	o.Permit = func() error { return refused }
	_, err := x.Send(context.Background(), to, o)
	assert.Equal(t, err, refused)
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, requests.Load(), int64(0))
}

// TestStale gives a kept connection up that the target has closed or written
// to meanwhile.
func TestStale(t *testing.T) {
	for name, meanwhile := range map[string]func(net.Conn){
		"closed": func(c net.Conn) { c.Close() },
		"reset":  reset,
		"bytes":  func(c net.Conn) { _, _ = io.WriteString(c, ok("r1", "late")) },
	} {
		t.Run(name, func(t *testing.T) {
			to, requests := target(t, func(n int, id string, conn net.Conn) {
				_, _ = io.WriteString(conn, ok(id, "abc"))
				if n == 1 {
					time.Sleep(20 * time.Millisecond)
					meanwhile(conn)
				}
			})
			x, stop := exchanger.New(platform.Codec{})
			defer stop()
			for _, id := range []string{"r1", "r2"} {
				answer, err := x.Send(context.Background(), to, outgoing(id, false))
				assert.NilError(t, err)
				_, err = io.ReadAll(answer)
				assert.NilError(t, err)
				time.Sleep(60 * time.Millisecond)
			}
			assert.Equal(t, requests.Load(), int64(2))
			assert.Equal(t, x.Opened(), int64(2))
		})
	}
}

// TestEarly reads an answer that comes before a long body is in.
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
	o := outgoing("r1", false)
	o.Body = make([]byte, 32<<20)
	answer, err := x.Send(context.Background(), &bluebelldoor.Instance{ID: "t", Address: l.Addr().String()}, o)
	assert.NilError(t, err)
	assert.Equal(t, answer.Response().StatusCode, 413)
	answer.Close()
}

// TestCancel closes the connection when the caller's context ends.
func TestCancel(t *testing.T) {
	closed := make(chan struct{})
	to, _ := target(t, func(_ int, _ string, conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
	})
	x, stop := exchanger.New(platform.Codec{})
	defer stop()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := x.Send(ctx, to, outgoing("r1", true))
	assert.Assert(t, err != nil)
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the target still has the connection")
	}
}

// full returns an address whose queue of new connections is full, so that the
// first packet of another is dropped.
func full(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	assert.NilError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, unix.Listen(fd, 0))
	name, err := unix.Getsockname(fd)
	assert.NilError(t, err)
	address := fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
	for range 4 {
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	return address
}

// TestNoConnection gives up a target that takes no connection in a part of the
// shortest deadline, one second, so that others can be tried.
func TestNoConnection(t *testing.T) {
	x, stop := exchanger.New(platform.Codec{})
	defer stop()
	began := time.Now()
	_, err := x.Send(context.Background(), &bluebelldoor.Instance{ID: "t", Address: full(t)}, outgoing("r1", true))
	var failed *bluebelldoor.SendError
	assert.Assert(t, errors.As(err, &failed))
	assert.Equal(t, failed.Executed, bluebelldoor.ExecutedNo)
	assert.Assert(t, time.Since(began) < 700*time.Millisecond, "after %s", time.Since(began))
}

// TestMostIdle keeps no more idle connections than a request allows.
func TestMostIdle(t *testing.T) {
	for name, c := range map[string]struct{ most, last, kept int }{
		"none":            {0, 0, 0},
		"two":             {2, 2, 2},
		"too many":        {100, 100, exchanger.MaxIdle},
		"then fewer":      {4, 2, 2},
		"then none":       {4, 0, 0},
		"then more":       {2, 4, 3},
		"then still many": {100, exchanger.MaxIdle, exchanger.MaxIdle},
	} {
		t.Run(name, func(t *testing.T) {
			const requests = exchanger.MaxIdle + 2
			to, _ := target(t, func(_ int, id string, conn net.Conn) { _, _ = io.WriteString(conn, ok(id, "abc")) })
			x, stop := exchanger.New(platform.Codec{})
			defer stop()
			for i := range requests {
				o := outgoing("r1", true)
				o.MostIdle = c.most
				if i == requests-1 {
					o.MostIdle = c.last
				}
				answer, err := x.Send(context.Background(), to, o)
				assert.NilError(t, err)
				_, err = io.ReadAll(answer)
				assert.NilError(t, err)
			}
			// Each kept connection takes one of the requests that follow at once.
			answers := make([]*exchanger.Answer, 0, requests)
			for range requests {
				answer, err := x.Send(context.Background(), to, outgoing("r1", false))
				assert.NilError(t, err)
				answers = append(answers, answer)
			}
			assert.Equal(t, int(x.Opened()), 2*requests-c.kept)
			for _, answer := range answers {
				answer.Close()
			}
		})
	}
}

// TestForget closes the idle connections to a target that has gone.
func TestForget(t *testing.T) {
	closed := make(chan struct{})
	to, _ := target(t, func(_ int, id string, conn net.Conn) {
		_, _ = io.WriteString(conn, ok(id, "abc"))
		go func() {
			// The script's goroutine reads the next request; a write fails once
			// the other side has closed.
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
	answer, err := x.Send(context.Background(), to, outgoing("r1", false))
	assert.NilError(t, err)
	_, err = io.ReadAll(answer)
	assert.NilError(t, err)
	x.Forget(to)
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection is still open")
	}
}

// TestListener is told what a target says in each head: those of answers that are
// skipped and of failures among them.
func TestListener(t *testing.T) {
	const leaving = "Server-Leaving: 1\r\n"
	for name, c := range map[string]struct {
		before, answer string // heads before the answer, and of it
		leaving        int
	}{
		"an answer":               {"", "HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\n" + leaving, 1},
		"a failure":               {"", "HTTP/1.1 500 No\r\nAttempt-Id: 2\r\n" + leaving, 1},
		"a failure without an ID": {"", "HTTP/1.1 502 No\r\n" + leaving, 1},
		"a late answer":           {"HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\n" + leaving + "Content-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\n", 1},
		"another target's word":   {"", "HTTP/1.1 421 No\r\nAttempt-Id: 2\r\n" + leaving, 0},
		"nothing said":            {"", "HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			at, _ := target(t, func(n int, id string, conn net.Conn) {
				if n == 1 {
					_, _ = io.WriteString(conn, ok(id, ""))
					return
				}
				_, _ = io.WriteString(conn, c.before+c.answer+"Content-Length: 0\r\n\r\n")
			})
			heard := 0
			x, stop := exchanger.New(platform.Codec{}, exchanger.WithListener(func(from *bluebelldoor.Instance, head bluebelldoor.AnswerHead) {
				assert.Equal(t, from, at)
				if head.Leaving {
					heard++
				}
			}))
			defer stop()
			for _, id := range []string{"1", "2"} {
				a, err := x.Send(t.Context(), at, outgoing(id, false))
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, a)
				assert.NilError(t, err)
			}
			assert.Equal(t, heard, c.leaving)
		})
	}
}

package exchanger_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/connection/exchanger"
	"bluebelldoor/platform"
)

// An outcome is what may come of a response that ends early.
type outcome int

const (
	failed outcome = iota
	whole
	// wholeOrFailed is that of a target that discards what it has not sent yet.
	wholeOrFailed
)

// earlyEndings are the ways in which a target ends a response without framing before it has read
// the request.
var earlyEndings = map[string]struct {
	end     func(c *net.TCPConn, request io.Reader)
	outcome outcome
}{
	"reset":           {func(c *net.TCPConn, _ io.Reader) { reset(c) }, failed},
	"reset later":     {func(c *net.TCPConn, _ io.Reader) { time.Sleep(2 * time.Millisecond); reset(c) }, failed},
	"closed unread":   {func(c *net.TCPConn, _ io.Reader) { _ = c.Close() }, failed},
	"closed, read on": {func(c *net.TCPConn, request io.Reader) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, request) }, whole},
	"closed, kept":    {func(c *net.TCPConn, _ io.Reader) { _ = c.CloseWrite(); time.Sleep(20 * time.Millisecond) }, whole},
	"closed, reset":   {func(c *net.TCPConn, _ io.Reader) { _ = c.CloseWrite(); reset(c) }, wholeOrFailed},
	"closed, reset later": {func(c *net.TCPConn, _ io.Reader) {
		_ = c.CloseWrite()
		time.Sleep(2 * time.Millisecond)
		reset(c)
	}, wholeOrFailed},
}

// startEarly starts a target that answers with a body before it has read the request, and ends
// the connection in the way that the request's ID begins with.
func startEarly(t *testing.T, body string) *bluebelldoor.Instance {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				id := request.Header.Get("Attempt-Id")
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: "+id+"\r\nConnection: close\r\n\r\n"+body)
				name, _, _ := strings.Cut(id, "/")
				earlyEndings[name].end(conn.(*net.TCPConn), request.Body)
			}()
		}
	}()
	return &bluebelldoor.Instance{ID: "t", Address: l.Addr().String()}
}

// TestEarlyEndings guards against MIXED: a target answered an upload before it had read it, without a
// length, and reset the connection. The write of the upload took the error of the connection, the
// read found its end, and a part of the answer counted as all of it. Answers that end in order stay
// complete.
func TestEarlyEndings(t *testing.T) {
	const rounds = 20
	for _, upload := range []int{100 << 10, 1 << 20, 3 << 20} {
		for _, body := range []string{"", "part", strings.Repeat("x", 100<<10)} {
			t.Run(fmt.Sprintf("%d KB, %d bytes back", upload>>10, len(body)), func(t *testing.T) {
				target := startEarly(t, body)
				x, stop := exchanger.New(platform.Codec{})
				defer stop()
				for i := range rounds {
					for name, c := range earlyEndings {
						request := newRequest(fmt.Sprint(name, "/", i), true)
						request.Body = make([]byte, upload)
						response, err := x.Send(context.Background(), target, request)
						var got []byte
						if err == nil {
							got, err = io.ReadAll(response)
							response.Close()
						}
						switch c.outcome {
						case failed:
							assert.Assert(t, err != nil, "%s: %d bytes count as all", name, len(got))
						case whole:
							assert.NilError(t, err, name)
						}
						assert.Assert(t, err != nil || string(got) == body, "%s: %d bytes count as all", name, len(got))
					}
				}
			})
		}
	}
}

package server_test

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"gotest.tools/v3/assert"

	"bluebelldoor/connection/server"
	"bluebelldoor/standin/allocator"
)

// TestEndlessRequest guards against a caller whose bytes without end a listener keeps.
func TestEndlessRequest(t *testing.T) {
	const conns, maxHeap = 6, 112 << 20 / 10
	for name, c := range map[string]struct{ prefix, part string }{
		"request line":   {"GET /", "a"},
		"header line":    {"GET / HTTP/1.1\r\nHost: a\r\nX: ", "a"},
		"header lines":   {"GET / HTTP/1.1\r\nHost: a\r\n", "X: a\r\n"},
		"body":           {"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000\r\n\r\n", "a"},
		"chunks":         {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
		"large chunk":    {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n", "a"},
		"announced body": {"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			address, err := allocator.Address()
			assert.NilError(t, err)
			s := server.New(address, server.WithoutBodies())
			s.GET("/", func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(200) })
			stop, err := server.Start(s)
			assert.NilError(t, err)
			defer stop()
			chunk := []byte(strings.Repeat(c.part, 4<<10))
			runtime.GC()
			var before, now runtime.MemStats
			runtime.ReadMemStats(&before)
			var wg sync.WaitGroup
			deadline := time.Now().Add(500 * time.Millisecond)
			for range conns {
				wg.Go(func() {
					conn, err := net.Dial("tcp", address)
					assert.Check(t, err == nil, "%v", err)
					defer conn.Close()
					assert.Check(t, conn.SetDeadline(deadline) == nil)
					_, err = io.WriteString(conn, c.prefix)
					for err == nil && len(chunk) > 0 {
						_, err = conn.Write(chunk)
					}
					_, _ = io.Copy(io.Discard, conn)
				})
			}
			peak := int64(0)
			for time.Now().Before(deadline) {
				runtime.ReadMemStats(&now)
				peak = max(peak, int64(now.HeapAlloc)-int64(before.HeapAlloc))
				time.Sleep(5 * time.Millisecond)
			}
			wg.Wait()
			assert.Assert(t, peak < maxHeap, "%d bytes of heap for %d connections", peak, conns)
		})
	}
}

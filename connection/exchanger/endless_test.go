package exchanger_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor/connection/exchanger"
	"bluebelldoor/platform"
)

const (
	// endlessConns is how many connections carry endless bytes at once.
	endlessConns = 6
	// maxEndlessHeap is a tenth of the memory of the smallest VM.
	maxEndlessHeap = 112 << 20 / 10
	// endlessTimeout is the deadline of each request. A reader that has a bound ends well
	// before it.
	endlessTimeout = 3 * time.Second
)

// endless sends prefix and then part again and again until the connection ends.
func endless(conn net.Conn, prefix, part string) {
	chunk := []byte(strings.Repeat(part, max(1, 64<<10/len(part))))
	for _, err := io.WriteString(conn, prefix); err == nil; _, err = conn.Write(chunk) {
	}
}

// TestEndlessResponse guards against a target whose bytes without end are all kept: the VM
// exceeds its memory, and the requests of other callers end with it.
func TestEndlessResponse(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
	for name, c := range map[string]struct {
		prefix, part string
		body         bool // the response's head is sound
	}{
		"status line":     {"HTTP/1.1 200 ", "a", false},
		"no line":         {"", "a", false},
		"header line":     {ok + "X: ", "a", false},
		"header lines":    {ok, "X: a\r\n", false},
		"short lines":     {ok, "X:\n", false},
		"empty names":     {ok, ":\r\n", false},
		"folded line":     {ok + "X: a\r\n", " a\r\n", false},
		"interim":         {"", "HTTP/1.1 103 Early Hints\r\n\r\n", false},
		"late responses":  {"", "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 0\r\n\r\n", false},
		"late body":       {"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 1000000000000\r\n\r\n", "a", false},
		"chunk extension": {ok + "Transfer-Encoding: chunked\r\n\r\n3;", "a", true},
		"chunk size":      {ok + "Transfer-Encoding: chunked\r\n\r\n", "0", true},
		"trailer line":    {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", "a", true},
		"trailer lines":   {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: a\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			instance, _ := startTarget(t, func(_ int, id string, conn net.Conn) {
				endless(conn, strings.ReplaceAll(c.prefix, "%s", id), c.part)
			})
			x, stop := exchanger.New(platform.Codec{})
			defer stop()
			peak := watchHeap(t)
			var wg sync.WaitGroup
			for i := range endlessConns {
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
					defer cancel()
					response, err := x.Send(ctx, instance, newRequest(fmt.Sprintf("r%d", i), true))
					assert.Check(t, (err == nil) == c.body, "%v", err)
					if err == nil {
						_, err = io.Copy(io.Discard, response)
						assert.Check(t, err != nil, "taken as complete")
						response.Close()
					}
					assert.Check(t, ctx.Err() == nil, "not ended before the deadline")
				})
			}
			wg.Wait()
			assert.Assert(t, peak() < maxEndlessHeap, "%d bytes of heap for %d connections", peak(), endlessConns)
		})
	}
}

// watchHeap samples the heap until the test ends, and returns a function that returns by how
// much it has grown at most.
func watchHeap(t *testing.T) func() int64 {
	t.Helper()
	heap := func() int64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	runtime.GC()
	before := heap()
	var mu sync.Mutex
	peak := int64(0)
	sample := func() int64 {
		mu.Lock()
		defer mu.Unlock()
		peak = max(peak, heap()-before)
		return peak
	}
	go func() {
		for t.Context().Err() == nil {
			sample()
			time.Sleep(5 * time.Millisecond)
		}
	}()
	return sample
}

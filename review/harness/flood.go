package harness

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"bluebelldoor/standin/lender"
)

const (
	floodChunk    = 64 << 10
	floodInterval = time.Millisecond
)

// Flooder is a server whose answers are bytes that are no answer and have no end. It sends
// until the caller closes.
type Flooder struct {
	listener net.Listener
	run      *Case
	prefix   string
	mu       sync.Mutex
	floods   int
}

// NewFlooder starts a server that sends prefix and then bytes without a line end, 64 MB a
// second on one connection at most, and registers it.
func NewFlooder(c *Case, store *lender.Store, id, service, zone, prefix string) (*Flooder, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &Flooder{listener: l, run: c, prefix: prefix}
	c.Cleanup(func() { _ = l.Close() }) // the process ends
	go f.accept()
	store.Put("servers/"+id, map[string]any{
		"service": service, "address": l.Addr().String(), "zone": zone, "version": "v1", "slots": 24,
		"state": "ready", "cold_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return f, nil
}

// Floods returns to how many requests the server has sent bytes without end.
func (f *Flooder) Floods() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.floods
}

func (f *Flooder) accept() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.serve(conn)
	}
}

func (f *Flooder) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	f.mu.Lock()
	f.floods++
	f.mu.Unlock()
	sent, began := 0, time.Now()
	defer func() {
		f.run.Record("faulty server: %s got %d bytes in %s, then its connection ended", request.Header.Get("Attempt-Id"), sent, time.Since(began).Round(time.Millisecond))
	}()
	if _, err := conn.Write([]byte(f.prefix)); err != nil {
		return
	}
	chunk := []byte(strings.Repeat("x", floodChunk))
	for {
		n, err := conn.Write(chunk)
		sent += n
		if err != nil {
			return
		}
		time.Sleep(floodInterval)
	}
}

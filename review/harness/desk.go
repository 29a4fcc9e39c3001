package harness

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"bluebelldoor/standin/lender"
)

// workTime is how long a desk server works on a call.
const workTime = 30 * time.Millisecond

// DeskServer is a sound application runner that may drop idle channels without notice:
// whatever is sent next on such a channel is reset, and does not run.
type DeskServer struct {
	ID       string
	listener net.Listener
	run      *Case
	// dropAfter is after what idle time a channel is dropped, 0 for never.
	dropAfter time.Duration

	mu     sync.Mutex
	resets int
	sound  bool
	runs   map[string]int
}

// NewDeskServer starts a desk server and registers it.
func NewDeskServer(c *Case, store *lender.Store, id, zone string, dropAfter time.Duration) (*DeskServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &DeskServer{ID: id, listener: l, run: c, dropAfter: dropAfter, runs: map[string]int{}}
	c.Cleanup(func() { _ = l.Close() }) // the process ends
	go d.accept()
	store.Put("servers/"+id, map[string]any{
		"service": Desk, "address": l.Addr().String(), "zone": zone, "version": "v1", "slots": 6,
		"state": "ready", "cold_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return d, nil
}

// Resets returns how many requests were reset since their channel had been dropped.
func (d *DeskServer) Resets() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.resets
}

// StopDropping makes the server keep idle channels from now on.
func (d *DeskServer) StopDropping() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sound = true
}

// dropped reports whether the server has dropped a channel that was idle since a time, and
// counts the reset.
func (d *DeskServer) dropped(idleSince time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sound || d.dropAfter == 0 || time.Since(idleSince) <= d.dropAfter {
		return false
	}
	d.resets++
	return true
}

// Runs returns how often a request ran.
func (d *DeskServer) Runs(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[id]
}

func (d *DeskServer) accept() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.serve(conn)
	}
}

func (d *DeskServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		idleSince := time.Now()
		if _, err := reader.Peek(1); err != nil {
			return
		}
		if n > 0 && d.dropped(idleSince) {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // makes Close send a reset
			}
			return
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !d.answer(conn, request) {
			return
		}
	}
}

func (d *DeskServer) answer(conn net.Conn, request *http.Request) bool {
	id := request.Header.Get("Attempt-Id")
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != d.ID {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	d.mu.Lock()
	d.runs[id]++
	d.mu.Unlock()
	d.run.Record("server %s runs %s %s", d.ID, id, request.RequestURI)
	time.Sleep(workTime)
	body := strings.Repeat("x", 800)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: stamp-%s\r\nContent-Length: %d\r\n\r\n%s", id, d.ID, len(body), body)
	return err == nil
}

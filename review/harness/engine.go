package harness

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"bluebelldoor/standin/lender"
)

const (
	// eventInterval is the time between two events, and copyTime that of a copy.
	eventInterval = 20 * time.Millisecond
	copyTime      = 60 * time.Millisecond
)

// EngineSet are sound engines whose streams have no length and end with their channel. A
// running generation can be copied from one to another.
type EngineSet struct {
	run   *Case
	store *lender.Store

	mu      sync.Mutex
	copies  map[string]*generation // by Kv-From
	handles int
	moved   map[string]bool // by request
}

// Engine is one of an EngineSet.
type Engine struct {
	ID, zone string
	set      *EngineSet
	server   *httptest.Server
	born     int64

	mu     sync.Mutex
	active map[string]*generation
	leaves bool
}

// generation is a generation that runs, or that was stopped by a copy.
type generation struct {
	id          string
	sent, total int
	stopped     bool
	closed      chan struct{} // closed when its stream is
}

// NewEngineSet returns a set without engines.
func NewEngineSet(c *Case, store *lender.Store) *EngineSet {
	return &EngineSet{run: c, store: store, copies: map[string]*generation{}, moved: map[string]bool{}}
}

// Moved reports whether a generation was stopped by a copy.
func (s *EngineSet) Moved(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.moved[id]
}

// Add starts an engine and registers it.
func (s *EngineSet) Add(id, zone string) *Engine {
	e := &Engine{ID: id, zone: zone, set: s, born: time.Now().UnixMilli(), active: map[string]*generation{}}
	e.server = httptest.NewServer(e)
	s.run.Cleanup(func() {
		e.server.CloseClientConnections()
		e.server.Close()
	})
	e.register("ready")
	return e
}

// Leave reports that the engine is draining. It goes on serving.
func (e *Engine) Leave() {
	e.mu.Lock()
	e.leaves = true
	e.mu.Unlock()
	e.set.run.Record("engine %s reports that it is draining", e.ID)
	e.register("draining")
}

func (e *Engine) address() string { return e.server.Listener.Addr().String() }

func (e *Engine) register(state string) {
	e.set.store.Put("servers/"+e.ID, map[string]any{
		"service": Engines, "address": e.address(), "zone": e.zone, "version": "v1", "slots": 24,
		"state": state, "cold_ms": 0, "sequence": 1, "born": e.born,
	})
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/-/kv-move":
		e.copy(w, r)
	case strings.HasPrefix(r.URL.Path, "/-/kv-handle/"):
		w.WriteHeader(http.StatusOK)
	case r.URL.Path == "/-/report":
		e.report(w)
	default:
		e.generate(w, r)
	}
}

func (e *Engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	body := map[string]any{"stage": "combined", "active": len(e.active), "state": "ready"}
	if e.leaves {
		body["state"] = "draining"
	}
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}

// generate runs a generation, or goes on from a copy.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	g := e.begin(r)
	if g == nil {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	e.stream(g, conn, buffered)
}

// begin returns the generation of a request, nil if it names a copy that does not exist.
func (e *Engine) begin(r *http.Request) *generation {
	_, tokens, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	total, _ := strconv.Atoi(tokens)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	g := &generation{id: r.Header.Get("Attempt-Id"), sent: after, total: total, closed: make(chan struct{})}
	if from := r.Header.Get("Kv-From"); from != "" {
		e.set.mu.Lock()
		held := e.set.copies[from]
		delete(e.set.copies, from)
		e.set.mu.Unlock()
		if held == nil || held.id != g.id {
			return nil
		}
	}
	e.set.run.Record("engine %s runs %s after event %d", e.ID, g.id, after)
	e.mu.Lock()
	e.active[g.id] = g
	e.mu.Unlock()
	return g
}

// stream sends the events of a generation until it ends, is stopped or its caller has gone.
// Its end is that of the channel.
func (e *Engine) stream(g *generation, conn net.Conn, buffered *bufio.ReadWriter) {
	defer close(g.closed)
	defer conn.Close()
	defer func() {
		e.mu.Lock()
		delete(e.active, g.id)
		e.mu.Unlock()
	}()
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " + g.id + "\r\nServer-Stamp: stamp-" + e.ID + "\r\nConnection: close\r\n\r\n"
	if _, err := buffered.WriteString(head); err != nil {
		return
	}
	for {
		e.mu.Lock()
		stopped := g.stopped
		if !stopped {
			g.sent++
		}
		n := g.sent
		e.mu.Unlock()
		if stopped {
			return
		}
		fmt.Fprintf(buffered, "id: %d\ndata: token\n\n", n)
		if buffered.Flush() != nil || n >= g.total {
			return
		}
		time.Sleep(eventInterval)
	}
}

// copy copies a generation. A final copy stops it first, and closes its stream without its
// end.
func (e *Engine) copy(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ID    string `json:"id"`
		Final bool   `json:"final"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	g := e.active[in.ID]
	if g != nil && in.Final {
		g.stopped = true
	}
	e.mu.Unlock()
	if g == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if in.Final {
		<-g.closed
		e.set.run.Record("engine %s stops %s after event %d for a final copy", e.ID, g.id, g.sent)
	}
	time.Sleep(copyTime)
	e.mu.Lock()
	sent := g.sent
	e.mu.Unlock()
	e.set.mu.Lock()
	e.set.handles++
	handle := fmt.Sprintf("h%d", e.set.handles)
	if in.Final {
		e.set.copies[e.address()+"/"+handle] = g
		e.set.moved[g.id] = true
	}
	e.set.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "created": sent}) // the caller may have gone
}

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The engines of the small sites.
const (
	stride         = 4
	kvTokenBytes   = 163_840
	copyRate       = 24e9 / 8 // bytes per second
	copySetup      = 500 * time.Microsecond
	eventInterval  = 60 * time.Millisecond
	tokensPerMilli = 14
)

// engines are the engines of one service, which copy generations to each other.
type engines struct {
	mu        sync.Mutex
	byAddress map[string]*engine
}

// engine is a stand-in for a model runner.
type engine struct {
	rig     *rig
	fleet   *engines
	id      string
	zone    string
	address string
	started time.Time
	coldFor time.Duration

	// link is held while a generation is copied to or from the engine.
	link sync.Mutex

	mu       sync.Mutex
	state    string
	handles  int
	runs     map[string]*generation
	copies   map[string]*generation // by handle, as sources name them
	arrivals []arrival
}

// arrival is a request that reached an engine, other than one for another engine.
type arrival struct {
	at time.Duration
	id string
}

// generation is a running generation, or one that was stopped for a copy.
type generation struct {
	id             string
	prompt, events int
	made           int
	copied         int // tokens at the destination
	copying        bool
	stop           chan struct{}
	stopped        bool
}

func startEngine(r *rig, fleet *engines, id, zone string, coldFor time.Duration) *engine {
	e := &engine{
		rig: r, fleet: fleet, id: id, zone: zone, started: time.Now(), coldFor: coldFor, state: "ready",
		runs: map[string]*generation{}, copies: map[string]*generation{},
	}
	server := httptest.NewServer(http.HandlerFunc(e.serve))
	e.address = server.Listener.Addr().String()
	fleet.mu.Lock()
	fleet.byAddress[e.address] = e
	fleet.mu.Unlock()
	r.addCleanup(func() {
		server.CloseClientConnections()
		_ = server.Listener.Close() // nothing is left to do
	})
	return e
}

// entry returns what the engine writes of itself.
func (e *engine) entry() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"service": "lm", "address": e.address, "zone": e.zone, "version": "v1", "slots": 24, "state": e.state,
		"cold_ms": max(0, e.coldFor-time.Since(e.started)).Milliseconds(), "sequence": 1, "born": e.started.UnixMilli(),
		"stage": "combined", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	}
}

func (e *engine) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = "draining"
}

func (e *engine) serve(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	if e.state == "draining" {
		w.Header().Set("Server-Leaving", "1")
	}
	e.mu.Unlock()
	switch {
	case request.URL.Path == "/health":
		w.Header().Set("Instance-Id", e.id)
	case request.URL.Path == "/-/report":
		e.report(w)
	case request.URL.Path == "/-/kv-move":
		e.move(w, body)
	case strings.HasPrefix(request.URL.Path, "/-/kv-handle/"):
		e.free(strings.TrimPrefix(request.URL.Path, "/-/kv-handle/"))
	default:
		e.generate(w, request)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, map[string]any{
		"stage": "combined", "models": []any{}, "busy": false, "sequence": 1, "queued": 0, "active": len(e.runs), "kv_used": 0,
		"kv_total": 34201, "handles": len(e.copies), "state": e.state, "born": e.started.UnixMilli(),
	})
}

// generate runs a request, from its start or from a copy.
func (e *engine) generate(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Instance-Id", e.id)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id, from := request.Header.Get("Attempt-Id"), request.Header.Get("Kv-From")
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival{e.rig.at(), id})
	e.rig.note("%s reaches %s, copy %q", id, e.id, from)
	g, refused := e.begin(id, from, request.Header)
	e.mu.Unlock()
	if refused != 0 {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(refused)
		return
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runs[id] == g {
			delete(e.runs, id)
		}
	}()
	if from == "" {
		time.Sleep(time.Duration(g.prompt/tokensPerMilli) * time.Millisecond)
	}
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Server-Stamp", e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	e.stream(w, request, g)
}

// begin returns the generation of a request, or the status of its refusal. The caller holds
// e.mu.
func (e *engine) begin(id, from string, header http.Header) (*generation, int) {
	if id == "" {
		return nil, http.StatusBadRequest
	}
	if from == "" {
		prompt, output, _ := strings.Cut(header.Get("Token-Count"), ",")
		promptTokens, promptErr := strconv.Atoi(prompt)
		outputTokens, outputErr := strconv.Atoi(output)
		if promptErr != nil || outputErr != nil {
			return nil, http.StatusBadRequest
		}
		g := &generation{id: id, prompt: promptTokens, events: outputTokens / stride, stop: make(chan struct{})}
		e.runs[id] = g
		return g, 0
	}
	held := e.copies[from]
	if held == nil || held.id != id {
		return nil, http.StatusServiceUnavailable
	}
	delete(e.copies, from)
	after, err := strconv.Atoi(header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	g := &generation{id: id, prompt: held.prompt, events: held.events, made: after, stop: make(chan struct{})}
	e.runs[id] = g
	return g, 0
}

// stream sends the events that are left. A generation that is stopped ends without its end.
func (e *engine) stream(w http.ResponseWriter, request *http.Request, g *generation) {
	flusher := w.(http.Flusher)
	ticker := time.NewTicker(eventInterval)
	defer ticker.Stop()
	for g.made < g.events {
		select {
		case <-g.stop:
			panic(http.ErrAbortHandler)
		case <-request.Context().Done():
			return
		case <-ticker.C:
		}
		e.mu.Lock()
		if g.stopped {
			e.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		g.made++
		made := g.made
		e.mu.Unlock()
		fmt.Fprintf(w, "id: %d\ndata: part %d of %s\n\n", made, made, g.id)
		flusher.Flush()
	}
}

// move copies a generation to another engine, and stops it before the last copy.
func (e *engine) move(w http.ResponseWriter, body []byte) {
	var in struct {
		ID     string `json:"id"`
		Target string `json:"target"`
		Final  bool   `json:"final"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.fleet.mu.Lock()
	to := e.fleet.byAddress[in.Target]
	e.fleet.mu.Unlock()
	e.mu.Lock()
	g := e.runs[in.ID]
	status := 0
	switch {
	case g == nil:
		status = http.StatusNotFound
	case g.copying:
		status = http.StatusConflict
	case to == nil:
		status = http.StatusServiceUnavailable
	}
	if status != 0 {
		e.mu.Unlock()
		w.WriteHeader(status)
		return
	}
	g.copying = true
	if in.Final {
		g.stopped = true
		close(g.stop)
	}
	e.handles++
	handle, tokens, made := strconv.Itoa(e.handles), g.prompt+g.made*stride, g.made
	e.mu.Unlock()
	e.copy(to, tokens-g.copied)
	e.mu.Lock()
	g.copying, g.copied = false, tokens
	e.mu.Unlock()
	to.mu.Lock()
	to.copies[e.address+"/"+handle] = g
	to.mu.Unlock()
	writeJSON(w, map[string]any{"handle": handle, "created": made})
}

// copy takes the time of a copy on both links.
func (e *engine) copy(to *engine, tokens int) {
	first, second := e, to
	if first.address > second.address {
		first, second = second, first
	}
	first.link.Lock()
	defer first.link.Unlock()
	second.link.Lock()
	defer second.link.Unlock()
	took := copySetup + time.Duration(float64(tokens)*kvTokenBytes/copyRate*float64(time.Second))
	if e.zone != to.zone {
		took *= 2
	}
	time.Sleep(took)
}

// free frees the copies of a handle at all engines.
func (e *engine) free(handle string) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	for _, other := range e.fleet.byAddress {
		other.mu.Lock()
		delete(other.copies, e.address+"/"+handle)
		other.mu.Unlock()
	}
}

// running returns how many generations run.
func (e *engine) running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

// busiest returns the most arrivals within a second that began while the engine was cold.
func (e *engine) busiest() (most int, from time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	coldUntil := e.started.Sub(e.rig.began) + e.coldFor
	for i, first := range e.arrivals {
		n := 0
		for _, a := range e.arrivals[i:] {
			if a.at < first.at+time.Second && a.at < coldUntil {
				n++
			}
		}
		if n > most {
			most, from = n, first.at
		}
	}
	return most, from
}

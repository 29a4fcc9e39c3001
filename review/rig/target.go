package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// target is a stand-in for an application runner.
type target struct {
	rig     *rig
	id      string
	service string
	zone    string
	address string
	started time.Time
	work    time.Duration

	mu   sync.Mutex
	runs map[string]execution
}

// execution is when a request reached a target, and when its answer was ready.
type execution struct{ began, ended time.Duration }

func startTarget(r *rig, id, service, zone string, work time.Duration) *target {
	t := &target{rig: r, id: id, service: service, zone: zone, started: time.Now(), work: work, runs: map[string]execution{}}
	server := httptest.NewServer(http.HandlerFunc(t.serve))
	t.address = server.Listener.Addr().String()
	r.addCleanup(func() {
		server.CloseClientConnections()
		_ = server.Listener.Close() // nothing is left to do
	})
	return t
}

// entry returns what the target writes of itself.
func (t *target) entry() map[string]any {
	return map[string]any{
		"service": t.service, "address": t.address, "zone": t.zone, "version": "v1", "slots": 6,
		"state": "ready", "cold_ms": 0, "sequence": 1, "born": t.started.UnixMilli(),
	}
}

func (t *target) serve(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/health" {
		w.Header().Set("Instance-Id", t.id)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != t.id {
		w.Header().Set("Instance-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := request.Header.Get("Attempt-Id")
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	began := t.rig.at()
	t.rig.note("target %s (%s) runs %s", t.id, t.service, id)
	t.mu.Lock()
	t.runs[id] = execution{began: began}
	t.mu.Unlock()
	time.Sleep(t.work)
	t.mu.Lock()
	t.runs[id] = execution{began, t.rig.at()}
	t.mu.Unlock()
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Server-Stamp", t.id+"."+id)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"by": t.service, "read": len(body)})
}

// executions returns what the target has run, by ID.
func (t *target) executions() map[string]execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]execution{}
	for id, e := range t.runs {
		out[id] = e
	}
	return out
}

func (t *target) String() string { return fmt.Sprintf("%s of %s at %s", t.id, t.service, t.address) }

package lender

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// stream sends one event per output token. The second number of Token-Count, the
// maximum of output tokens, is the number of events.
func (t *Target) stream(w http.ResponseWriter, r *http.Request, source *generation, execution string, behaviour Behaviour) {
	_, maxTokens, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	events, _ := strconv.Atoi(maxTokens)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	g := &generation{id: r.Header.Get("Attempt-Id"), execution: execution, events: events, sent: after, stop: make(chan struct{})}
	if source != nil {
		g.execution = source.execution
	}
	t.mu.Lock()
	t.active[g.id] = g
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		delete(t.active, g.id)
		t.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	switch behaviour {
	case Unframed, UnframedCut, UnframedEmpty:
		t.streamUnframed(w, g, behaviour)
		return
	case UnframedPaced:
		t.streamPaced(w, r, g)
		return
	}
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	switch behaviour {
	case Stall:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case Endless:
		flood(w)
		panic(http.ErrAbortHandler)
	case EndAfterHead:
		time.Sleep(eventInterval)
		t.Restart()
		panic(http.ErrAbortHandler)
	case EndLater:
		defer time.AfterFunc(endDelay, t.Restart)
	}
	if after > 0 && after >= events {
		return // the stream was complete
	}
	t.sendEvents(w, r, g, behaviour)
}

// sendEvents sends the events of a generation until it ends or is stopped.
func (t *Target) sendEvents(w http.ResponseWriter, r *http.Request, g *generation, behaviour Behaviour) {
	flusher := w.(http.Flusher)
	for {
		select {
		case <-g.stop:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(eventInterval):
		}
		t.mu.Lock()
		stopped := g.stopped
		if !stopped {
			g.sent++
		}
		n := g.sent
		t.mu.Unlock()
		if stopped {
			panic(http.ErrAbortHandler)
		}
		event := fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, g.execution, strings.Repeat("x", 20))
		if behaviour == Truncate && n == g.events/2 {
			_, _ = io.WriteString(w, event[:len(event)/2])
			flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event)
		flusher.Flush()
		if behaviour == EndAfterEvents && n >= eventsBeforeEnd || behaviour == EndBeforeLast && n >= g.events {
			t.Restart()
			panic(http.ErrAbortHandler)
		}
		if n >= g.events {
			return
		}
	}
}

// streamUnframed sends a stream that ends with its connection.
func (t *Target) streamUnframed(w http.ResponseWriter, g *generation, behaviour Behaviour) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(buffered)
	_, _ = buffered.WriteString("Connection: close\r\n\r\n")
	defer func() { _ = buffered.Flush() }()
	for n := g.sent + 1; n <= g.events && behaviour != UnframedEmpty; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, g.execution, strings.Repeat("x", 20))
		if behaviour == UnframedCut && n == g.sent+2 {
			_, _ = buffered.WriteString(event[:len(event)/2])
			return
		}
		_, _ = buffered.WriteString(event)
	}
}

// streamPaced sends a stream that ends with its connection, and closes it in the same way when
// a final copy stops the generation or the deadline of the request passes.
func (t *Target) streamPaced(w http.ResponseWriter, r *http.Request, g *generation) {
	deadline := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	passed := time.After(deadline)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	var head strings.Builder
	_ = w.Header().Write(&head)
	_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head.String()+"Connection: close\r\n\r\n")
	for err == nil {
		select {
		case <-g.stop:
			return
		case <-passed:
			return
		case <-time.After(eventInterval):
		}
		t.mu.Lock()
		ended := g.stopped || g.sent >= g.events
		if !ended {
			g.sent++
		}
		n := g.sent
		t.mu.Unlock()
		if ended {
			return
		}
		_, err = fmt.Fprintf(conn, "id: %d\ndata: %s %s\n\n", n, g.execution, strings.Repeat("x", 20))
		if n >= g.events {
			return
		}
	}
}

// floodBytes is the length of an event of a target that is Endless.
const floodBytes = 64 << 20

// flood writes one event of floodBytes.
func flood(w io.Writer) {
	line := []byte("data: " + strings.Repeat("x", 32<<10) + "\n")
	for sent := 0; sent < floodBytes; sent += len(line) {
		if _, err := w.Write(line); err != nil {
			return
		}
	}
}

// floodHead sends a response head of floodBytes and closes the connection.
func floodHead(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX: ")
	part := []byte(strings.Repeat("x", 32<<10))
	for sent := 0; sent < floodBytes && err == nil; sent += len(part) {
		_, err = conn.Write(part)
	}
}

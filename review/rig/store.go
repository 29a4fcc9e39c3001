package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// historyFor is how long the store keeps its history (history_s).
	historyFor = 20 * time.Second
	// answerDelay is how long the store takes to answer.
	answerDelay = 4 * time.Millisecond
	// pageItems is how many items a page holds.
	pageItems = 50
)

// chunked makes the store send its answers in chunks, without a length.
var chunked bool

// item is an item of the store, or its removal, as on the wire.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Gone     bool   `json:"is_gone,omitempty"`

	written time.Time
	// text is the item as JSON, encoded once: the store answers within milliseconds.
	text []byte
}

// store is a stand-in for the platform's metadata store. It tells each change as it was
// written, and keeps them for historyFor.
type store struct {
	address  string
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	// dropped is the newest revision that the history no longer holds.
	dropped uint64
	changed chan struct{}
}

func startStore(r *rig) *store {
	s := &store{revision: 1, items: map[string]item{}, changed: make(chan struct{})}
	server := httptest.NewServer(http.HandlerFunc(s.serve))
	s.address = server.Listener.Addr().String()
	r.addCleanup(func() {
		server.CloseClientConnections()
		_ = server.Listener.Close() // nothing is left to do
	})
	return s
}

// put writes a value as JSON. When it returns, the store has acknowledged it.
func (s *store) put(key string, value any) { s.change(item{Key: key, Value: encode(value)}) }

// encode returns a value as the store holds it.
func encode(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // the case passed a value that JSON cannot encode
	}
	return base64.StdEncoding.EncodeToString(text)
}

func (s *store) remove(key string) { s.change(item{Key: key, Gone: true}) }

func (s *store) change(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision, i.written = s.revision, time.Now()
	if held, ok := s.items[i.Key]; ok {
		i.Created = held.Created
	} else {
		i.Created = s.revision
	}
	if i.Gone {
		i.Created = 0
		delete(s.items, i.Key)
	}
	text, err := json.Marshal(i)
	if err != nil {
		panic(err) // an item holds plain values
	}
	if i.text = text; !i.Gone {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// dropHistory drops the changes that are older than historyFor. The caller holds s.mu.
func (s *store) dropHistory() {
	for len(s.history) > 0 && time.Since(s.history[0].written) > historyFor {
		s.dropped, s.history = s.history[0].Revision, s.history[1:]
	}
}

func (s *store) serve(w http.ResponseWriter, request *http.Request) {
	time.Sleep(answerDelay)
	query := request.URL.Query()
	switch request.URL.Path {
	case "/-/kv-range":
		write(w, s.page(query.Get("prefix"), query.Get("after")))
	case "/-/kv-key":
		s.mu.Lock()
		held, ok := s.items[query.Get("key")]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		write(w, held.text)
	case "/-/kv-watch":
		s.watch(w, request)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // the bodies are plain values
	}
	write(w, text)
}

func write(w http.ResponseWriter, text []byte) {
	w.Header().Set("Content-Type", "application/json")
	if !chunked {
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	}
	_, _ = w.Write(text) // fails only if the VM has left
}

func (s *store) page(prefix, after string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []item
	for _, i := range s.items {
		if strings.HasPrefix(i.Key, prefix) && i.Key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > pageItems
	return fmt.Appendf(list("items", items[:min(len(items), pageItems)]), `,"has_more":%t,"at":%d}`, more, s.revision)
}

// list returns the begin of an answer: a field that holds items.
func list(name string, items []item) []byte {
	out := fmt.Appendf(nil, `{"%s":[`, name)
	for i, it := range items {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, it.text...)
	}
	return append(out, ']')
}

func (s *store) watch(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.dropHistory()
		changed, lost, revision := s.changed, after < s.dropped, s.revision
		var events []item
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if lost {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			write(w, fmt.Appendf(list("events", events), `,"at":%d}`, revision))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			write(w, fmt.Appendf(list("events", events), `,"at":%d}`, revision))
			return
		case <-request.Context().Done():
			return
		}
	}
}

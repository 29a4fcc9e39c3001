package lender

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Mode is how the store treats readers.
type Mode string

// The modes of the store.
const (
	Up      Mode = ""
	Busy    Mode = "busy"    // 503
	Many    Mode = "many"    // 429
	Resets  Mode = "resets"  // the connection is reset
	Silent  Mode = "silent"  // no answer
	History Mode = "history" // 410 to watches
)

type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Gone     bool   `json:"is_gone,omitempty"`
}

// Store is the platform's metadata store.
type Store struct {
	server   *httptest.Server
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	mode     Mode
	calls    int
	changed  chan struct{}
}

// NewStore starts a store and returns it with a clean-up function.
func NewStore() (*Store, func()) {
	s := &Store{revision: 1, items: map[string]item{}, changed: make(chan struct{})}
	s.server = httptest.NewServer(s)
	return s, func() {
		s.SetMode(Up)
		s.server.CloseClientConnections()
		s.server.Close()
	}
}

// Address returns the store's IP:port.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Calls returns how many calls there were.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetMode changes how the store treats readers.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.wake()
}

// wake lets waiting calls look again. A mutex is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Revision returns that of the last change.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Put writes an entry: text as it is, anything else as JSON.
func (s *Store) Put(key string, value any) {
	text, isText := value.(string)
	data := []byte(text)
	if !isText {
		var err error
		if data, err = json.Marshal(value); err != nil {
			panic(err) // a test wrote what JSON can't hold
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = item{Key: key, Value: base64.StdEncoding.EncodeToString(data), Revision: s.revision, Created: s.revision}
	s.wake()
}

// Remove removes an entry.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = item{Key: key, Revision: s.revision, Gone: true}
	s.wake()
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	mode := s.mode
	s.calls++
	s.mu.Unlock()
	switch {
	case mode == Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case mode == Many:
		w.WriteHeader(http.StatusTooManyRequests)
	case mode == Resets:
		panic(http.ErrAbortHandler)
	case mode == Silent:
		s.awaitUp(r)
		panic(http.ErrAbortHandler)
	case r.URL.Path == "/-/kv-range":
		s.answer(w, s.page(r.URL.Query().Get("prefix"), r.URL.Query().Get("after")))
	case r.URL.Path == "/-/kv-watch" && mode == History:
		w.WriteHeader(http.StatusGone)
	case r.URL.Path == "/-/kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) awaitUp(r *http.Request) {
	for {
		s.mu.Lock()
		mode, changed := s.mode, s.changed
		s.mu.Unlock()
		if mode != Silent {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// pageSize keeps pages small, so that tests cross them.
const pageSize = 5

func (s *Store) page(prefix, after string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []item
	for _, i := range s.items {
		if !i.Gone && strings.HasPrefix(i.Key, prefix) && i.Key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > pageSize
	return map[string]any{"items": items[:min(len(items), pageSize)], "has_more": more, "at": s.revision}
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed := s.changed
		events := []item{}
		for _, i := range s.items {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		at, mode := s.revision, s.mode
		s.mu.Unlock()
		sort.Slice(events, func(a, b int) bool { return events[a].Revision < events[b].Revision })
		if mode != Up {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			s.answer(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.answer(w, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

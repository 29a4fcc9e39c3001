package lender

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Mode is how the store responds to requests.
type Mode string

// The modes of the store.
const (
	Up              Mode = ""        // responds
	Unavailable     Mode = "busy"    // 503
	TooManyRequests Mode = "many"    // 429
	Aborts          Mode = "resets"  // aborts the connection
	Unresponsive    Mode = "silent"  // no response
	HistoryLost     Mode = "history" // 410 to watches: the revision is no longer in the history
)

// item is a record of the store, as on the wire.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Gone     bool   `json:"is_gone,omitempty"`
}

// Store is a stand-in for the platform's metadata store. It is safe for concurrent
// use.
type Store struct {
	server   *httptest.Server
	mu       sync.Mutex
	era      uint64 // increases when the store returns from a copy; 0 is not named
	revision uint64
	items    map[string]item
	mode     Mode
	upSince  time.Time
	requests int
	changed  chan struct{} // closed when items or the mode change
}

// NewStore starts a store and returns it with a function that stops it.
func NewStore() (*Store, func()) {
	s := &Store{upSince: time.Now(), revision: 1, items: map[string]item{}, changed: make(chan struct{})}
	s.server = httptest.NewServer(s)
	return s, func() {
		s.SetMode(Up)
		s.server.CloseClientConnections()
		s.server.Close()
	}
}

// Address returns the store's IP:port.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Requests returns the number of requests received.
func (s *Store) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// SetMode changes how the store responds to requests.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m == Up && s.mode != Up {
		s.upSince = time.Now()
	}
	s.mode = m
	s.notify()
}

// notify makes waiting requests check again. s.mu must be held.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Has reports whether the store has a record.
func (s *Store) Has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return ok && !i.Gone
}

// UpFor returns for how long the store has responded without a break.
func (s *Store) UpFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != Up {
		return 0
	}
	return time.Since(s.upSince)
}

// Revision returns the revision of the last change.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Put writes a record. A string is stored as it is, any other value as JSON.
func (s *Store) Put(key string, value any) {
	text, isText := value.(string)
	data := []byte(text)
	if !isText {
		var err error
		if data, err = json.Marshal(value); err != nil {
			panic(err) // the test passed a value that JSON cannot encode
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = item{Key: key, Value: base64.StdEncoding.EncodeToString(data), Revision: s.revision, Created: s.revision}
	s.notify()
}

// Remove deletes a record. Watches report the deletion.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = item{Key: key, Revision: s.revision, Gone: true}
	s.notify()
}

// Copy is a copy of a store's records.
type Copy struct {
	revision uint64
	items    map[string]item
}

// Copy returns a copy of the records, to which Restore can return.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.revision, maps.Clone(s.items)}
}

// Restore returns the store to an older copy and begins a new era. Watches that wait are
// cut. The returned function writes again what was lost and has not been written since.
func (s *Store) Restore(c Copy) (rewrite func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.items
	s.era++
	s.revision, s.items = c.revision, maps.Clone(c.items)
	s.notify()
	return func() { s.rewrite(lost, c) }
}

func (s *Store) rewrite(lost map[string]item, c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, was := range lost {
		if s.items[key] != c.items[key] || was == c.items[key] {
			continue
		}
		s.revision++
		was.Revision = s.revision
		s.items[key] = was
	}
	s.notify()
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	mode := s.mode
	s.requests++
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	}
	s.mu.Unlock()
	switch {
	case mode == Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case mode == TooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
	case mode == Aborts:
		panic(http.ErrAbortHandler)
	case mode == Unresponsive:
		s.waitWhileUnresponsive(r)
		panic(http.ErrAbortHandler)
	case r.URL.Path == "/-/kv-range":
		s.writeJSON(w, s.page(r.URL.Query().Get("prefix"), r.URL.Query().Get("after")))
	case r.URL.Path == "/-/kv-watch" && mode == HistoryLost:
		w.WriteHeader(http.StatusGone)
	case r.URL.Path == "/-/kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// waitWhileUnresponsive returns when the mode is no longer Unresponsive or r is
// cancelled.
func (s *Store) waitWhileUnresponsive(r *http.Request) {
	for {
		s.mu.Lock()
		mode, changed := s.mode, s.changed
		s.mu.Unlock()
		if mode != Unresponsive {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// pageSize is small, so that tests read several pages.
const pageSize = 5

// page returns a page of the records under prefix with keys above after.
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

// watch responds with the changes after a revision, as soon as there is one, or
// with none after wait_ms.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		changed := s.changed
		events := []item{}
		for _, i := range s.items {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, mode, restored := s.revision, s.mode, s.era != era
		s.mu.Unlock()
		sort.Slice(events, func(a, b int) bool { return events[a].Revision < events[b].Revision })
		if era > 0 && after > revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		if mode != Up || restored {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			s.writeJSON(w, map[string]any{"events": events, "at": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.writeJSON(w, map[string]any{"events": events, "at": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

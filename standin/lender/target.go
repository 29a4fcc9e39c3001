package lender

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Act is what a target does with a request.
type Act string

// What targets do.
const (
	Serve Act = ""      // answer
	Shed  Act = "shed"  // refuse, not run
	Fail  Act = "fail"  // run and answer 500
	Drop  Act = "drop"  // run and close without an answer
	Hang  Act = "hang"  // run and never answer
	Cut   Act = "cut"   // run and break off in the middle
	Wrong Act = "wrong" // run and answer another request
	Slow  Act = "slow"  // run and answer after a while
	Pause Act = "pause" // refuse, not run, and ask for a pause
)

// Run is one request that a target ran.
type Run struct {
	Target  string
	ID      string
	Method  string
	Path    string
	Body    string
	Header  http.Header
	Resumed string // the event after which it went on
	At      time.Time
}

// Yard is the targets of a test and what they ran.
type Yard struct {
	store   *Store
	mu      sync.Mutex
	targets map[string]*Target
	runs    []Run
	stopped map[string]*generation // by handle
	handles int
}

// NewYard returns a yard whose targets register in store.
func NewYard(store *Store) *Yard {
	return &Yard{store: store, targets: map[string]*Target{}, stopped: map[string]*generation{}}
}

// Runs returns the runs of a request in order.
func (y *Yard) Runs(id string) []Run {
	y.mu.Lock()
	defer y.mu.Unlock()
	var out []Run
	for _, r := range y.runs {
		if r.ID == id {
			out = append(out, r)
		}
	}
	return out
}

// Target is a stand-in of a model runner or of an application runner.
type Target struct {
	ID      string
	Service string
	Zone    string
	yard    *Yard
	server  *httptest.Server
	front   string
	born    int64

	mu       sync.Mutex
	act      func(r *http.Request) Act
	copyFail int // status that the next copies answer
	lastFail int // the same for copies after which a generation has stopped
	live     map[string]*generation
	leaving  bool
	says     http.Header   // fields of all answers
	pause    time.Duration // that it asks for
	// taken are the connections that are open, of at most mostTaken; 0 for no
	// limit.
	taken     map[net.Conn]bool
	mostTaken int
	slots     int // that the entry tells
}

// generation is a stream under way. Its run tells runs of one request apart.
type generation struct {
	id     string
	run    string
	events int
	made   int
	ended  chan struct{} // closed when the source stops it
	done   bool
}

// Settings of the streams.
const (
	// Pace is the time between two events.
	Pace = 10 * time.Millisecond
	// copyTime is how long a copy takes.
	copyTime = 15 * time.Millisecond
	// defaultSlots is how many requests a target runs at once.
	defaultSlots = 24
)

// Add starts a target and registers it. Call Stop at the end.
func (y *Yard) Add(id, service, zone string) *Target {
	return y.AddBehind(id, service, zone, func(address string) string { return address })
}

// AddBehind starts a target and registers it at the address that front returns
// for its own, such as that of a link.
func (y *Yard) AddBehind(id, service, zone string, front func(address string) string) *Target {
	t := &Target{ID: id, Service: service, Zone: zone, yard: y, born: time.Now().UnixMilli(), live: map[string]*generation{}, says: http.Header{}, taken: map[net.Conn]bool{}, slots: defaultSlots}
	t.server = httptest.NewUnstartedServer(t)
	t.server.Config.ConnState = t.count
	t.server.Start()
	t.front = front(t.server.Listener.Addr().String())
	y.mu.Lock()
	y.targets[t.Address()] = t
	y.mu.Unlock()
	t.Register("ready")
	return t
}

// Address returns the IP:port at which the target is registered.
func (t *Target) Address() string { return t.front }

// Register writes the target's entry with a state.
func (t *Target) Register(state string) {
	t.mu.Lock()
	t.leaving = state == "draining"
	slots := t.slots
	t.mu.Unlock()
	t.yard.store.Put("servers/"+t.ID, map[string]any{
		"service": t.Service, "address": t.Address(), "zone": t.Zone, "version": "v1", "slots": slots,
		"state": state, "cold_ms": 0, "sequence": 1, "born": t.born,
	})
}

// RegisterSlots writes the target's entry anew, with so many slots.
func (t *Target) RegisterSlots(slots int) {
	t.mu.Lock()
	t.slots = slots
	t.mu.Unlock()
	t.Register("ready")
}

// Acts sets what the target does with requests.
func (t *Target) Acts(act func(r *http.Request) Act) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.act = act
}

// Says sets a header field of all answers from now on.
func (t *Target) Says(name, value string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.says.Set(name, value)
}

// PauseFor sets the pause that the target asks for where it acts so.
func (t *Target) PauseFor(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pause = d
}

// LimitConnections sets how many connections the target takes; those beyond
// are reset.
func (t *Target) LimitConnections(most int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mostTaken = most
}

// count keeps the open connections, and resets those beyond the limit.
func (t *Target) count(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case state == http.StateClosed || state == http.StateHijacked:
		delete(t.taken, conn)
	case state != http.StateNew:
	case t.mostTaken > 0 && len(t.taken) >= t.mostTaken:
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // so that closing resets it
		}
		_ = conn.Close()
	default:
		t.taken[conn] = true
	}
}

// Connections returns how many connections the target counts as open.
func (t *Target) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.taken)
}

// FailCopies makes copies off the target answer a status, 0 for none.
func (t *Target) FailCopies(status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.copyFail = status
}

// FailLastCopies makes the copies answer a status for which a generation stops, 0 for
// none. The target keeps its memory.
func (t *Target) FailLastCopies(status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastFail = status
}

// Stop ends the target as a crash does: connections break.
func (t *Target) Stop() {
	t.server.CloseClientConnections()
	t.server.Close()
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	maps.Copy(w.Header(), t.says)
	t.mu.Unlock()
	switch {
	case r.URL.Path == "/-/kv-move":
		t.move(w, r)
	case strings.HasPrefix(r.URL.Path, "/-/kv-handle/"):
		w.WriteHeader(http.StatusOK)
	case r.URL.Path == "/-/report":
		t.report(w)
	default:
		t.request(w, r)
	}
}

func (t *Target) report(w http.ResponseWriter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	body := map[string]any{"stage": "combined", "active": len(t.live), "state": "ready"}
	if t.leaving {
		body["state"], body["leaves_ms"] = "draining", 1500.0
	}
	_ = json.NewEncoder(w).Encode(body)
}

func (t *Target) request(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != t.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	act, pause := t.nextAct(r)
	if act == Shed || act == Pause {
		shed(w, pause)
		return
	}
	from := t.takeCopy(r)
	if r.Header.Get("Kv-From") != "" && from == nil {
		shed(w, 0)
		return
	}
	t.yard.mu.Lock()
	t.yard.runs = append(t.yard.runs, Run{
		Target: t.ID, ID: id, Method: r.Method, Path: r.URL.RequestURI(), Body: string(body),
		Header: r.Header.Clone(), Resumed: r.Header.Get("Last-Event-Id"), At: time.Now(),
	})
	run := fmt.Sprintf("run%d", len(t.yard.runs))
	t.yard.mu.Unlock()
	w.Header().Set("Server-Stamp", "stamp-"+t.ID)
	switch act {
	case Drop:
		panic(http.ErrAbortHandler)
	case Hang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case Fail:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case Wrong:
		w.Header().Set("Attempt-Id", "another")
	case Slow:
		time.Sleep(10 * Pace)
	}
	if events := r.Header.Get("Token-Count"); events != "" {
		t.stream(w, r, from, run, act)
		return
	}
	text := "answer to " + id
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if act == Cut {
		text = text[:3]
	}
	_, _ = io.WriteString(w, text)
}

// nextAct returns what the target does with a request, and the pause that it asks
// for with it.
func (t *Target) nextAct(r *http.Request) (Act, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	act := Serve
	if t.act != nil {
		act = t.act(r)
	}
	if act != Pause {
		return act, 0
	}
	return act, t.pause
}

// shed answers that the request was not run, and asks for a pause if there is one.
func shed(w http.ResponseWriter, pause time.Duration) {
	if pause > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// stream sends events. Token-Count holds their number as the most output
// tokens, one an event.
func (t *Target) stream(w http.ResponseWriter, r *http.Request, from *generation, run string, act Act) {
	_, most, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	events, _ := strconv.Atoi(most)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	g := &generation{id: r.Header.Get("Attempt-Id"), run: run, events: events, made: after, ended: make(chan struct{})}
	if from != nil {
		g.run = from.run
	}
	t.mu.Lock()
	t.live[g.id] = g
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		delete(t.live, g.id)
		t.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := w.(http.Flusher)
	flusher.Flush()
	for {
		select {
		case <-g.ended:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(Pace):
		}
		t.mu.Lock()
		stopped := g.done
		if !stopped {
			g.made++
		}
		n := g.made
		t.mu.Unlock()
		if stopped {
			panic(http.ErrAbortHandler)
		}
		event := fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, g.run, strings.Repeat("x", 20))
		if act == Cut && n == events/2 {
			_, _ = io.WriteString(w, event[:len(event)/2])
			flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event)
		flusher.Flush()
		if n >= events {
			return
		}
	}
}

// move answers a copy.
func (t *Target) move(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ID     string `json:"id"`
		Target string `json:"target"`
		Final  bool   `json:"final"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	g, fail := t.live[in.ID], t.copyFail
	if in.Final {
		fail = cmp.Or(fail, t.lastFail)
	}
	t.mu.Unlock()
	if g == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if fail != 0 && fail != http.StatusServiceUnavailable {
		w.WriteHeader(fail)
		return
	}
	time.Sleep(copyTime)
	t.yard.mu.Lock()
	t.yard.handles++
	handle := fmt.Sprintf("h%d", t.yard.handles)
	t.yard.mu.Unlock()
	if in.Final {
		t.mu.Lock()
		g.done = true
		close(g.ended)
		t.mu.Unlock()
		t.yard.mu.Lock()
		t.yard.stopped[t.Address()+"/"+handle] = g
		t.yard.mu.Unlock()
	}
	if fail != 0 {
		w.WriteHeader(fail)
		if !in.Final {
			return
		}
	}
	t.mu.Lock()
	made := g.made
	t.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "created": made})
}

// takeCopy returns the stopped generation that a request goes on from; each
// can be taken once.
func (t *Target) takeCopy(r *http.Request) *generation {
	name := r.Header.Get("Kv-From")
	if name == "" {
		return nil
	}
	t.yard.mu.Lock()
	defer t.yard.mu.Unlock()
	g := t.yard.stopped[name]
	delete(t.yard.stopped, name)
	return g
}

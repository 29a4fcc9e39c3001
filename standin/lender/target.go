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
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Behaviour is how a target responds to a request.
type Behaviour string

// The behaviours. "Execute" means that the request is recorded as an Execution.
const (
	Serve          Behaviour = ""              // execute and respond
	Refuse         Behaviour = "shed"          // refuse with 503 and Not-Executed
	Fail           Behaviour = "fail"          // execute and respond with 500
	Drop           Behaviour = "drop"          // execute and close the connection without a response
	Hang           Behaviour = "hang"          // execute and never respond
	Truncate       Behaviour = "cut"           // execute and close the connection in the middle of the response
	WrongAttemptID Behaviour = "wrong"         // execute and respond with another request's Attempt-Id
	Delay          Behaviour = "slow"          // execute and respond after a delay
	Pause          Behaviour = "pause"         // refuse like Refuse, with a Retry-After
	Unframed       Behaviour = "unframed"      // a stream with neither length nor chunks
	UnframedCut    Behaviour = "unframedCut"   // the same, ended inside its second event
	UnframedEmpty  Behaviour = "unframedEmpty" // the same, ended before its first event
	UnframedPaced  Behaviour = "unframedPaced" // the same, at the pace of other streams; it closes where others break off
	Endless        Behaviour = "endless"       // begin a stream and send one event of floodBytes
	EndlessHead    Behaviour = "endlessHead"   // execute and send a header field of floodBytes
	Stall          Behaviour = "stall"         // begin a stream and send no event
)

// Execution is one request that a target executed.
type Execution struct {
	Target      string
	ID          string
	Method      string
	Path        string
	Body        string
	Header      http.Header
	LastEventID string // Last-Event-Id of the request
	Early       bool   // the target answered before it had read the body, and Body is empty
	At          time.Time
}

// Cluster holds the targets of a test and the requests that they executed.
type Cluster struct {
	store      *Store
	mu         sync.Mutex
	targets    map[string]*Target
	executions []Execution
	stopped    map[string]*generation // after a final copy, by address and handle
	lastHandle int
}

// NewCluster returns a cluster whose targets register in store.
func NewCluster(store *Store) *Cluster {
	return &Cluster{store: store, targets: map[string]*Target{}, stopped: map[string]*generation{}}
}

// Executions returns the executions of a request in order.
func (c *Cluster) Executions(id string) []Execution {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Execution
	for _, e := range c.executions {
		if e.ID == id {
			out = append(out, e)
		}
	}
	return out
}

// AllExecutions returns the executions of all requests in order.
func (c *Cluster) AllExecutions() []Execution {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.executions)
}

// SetBehaviour sets the function that chooses how every target responds to each request.
func (c *Cluster) SetBehaviour(behaviour func(r *http.Request) Behaviour) {
	c.mu.Lock()
	targets := slices.Collect(maps.Values(c.targets))
	c.mu.Unlock()
	for _, t := range targets {
		t.SetBehaviour(behaviour)
	}
}

// Target is a stand-in for a model runner or an application runner. It is safe for
// concurrent use.
type Target struct {
	ID       string
	Service  string
	Zone     string
	cluster  *Cluster
	server   *httptest.Server
	address  string // as registered
	listener *restartListener

	mu        sync.Mutex
	startedMs int64
	stopped   bool // by Stop
	// ends are when the target's process ended. It then stays away for downFor.
	ends      []time.Time
	downFor   time.Duration
	behaviour func(r *http.Request) Behaviour
	// downUntil is until when the target is away.
	downUntil       time.Time
	copyStatus      int                    // error status of all copies, 0 for none
	loseFinalCopies bool                   // final copies stop the generation and get no answer
	finalCopyStatus int                    // error status of final copies, 0 for none
	active          map[string]*generation // by ID
	leaving         bool
	header          http.Header       // of all responses
	retryAfter      time.Duration     // with Pause
	conns           map[net.Conn]bool // open connections, and whether a request is under way
	maxConns        int               // 0 for no limit
	slots           int               // as registered
	coldFor         time.Duration     // as registered
	arrivals        []time.Time       // of callers' requests
}

// generation is an active stream.
type generation struct {
	id        string
	execution string // distinguishes executions of one request; a moved generation keeps it
	events    int
	sent      int           // sequence number of the last event
	stop      chan struct{} // closed by a final copy
	stopped   bool
}

const limitHeader = "Server-Limit"

// Timing and capacity of the targets.
const (
	// eventInterval is the time between two events of a stream.
	eventInterval = 10 * time.Millisecond
	copyDuration  = 15 * time.Millisecond
	// defaultSlots is how many concurrent requests a target registers for.
	defaultSlots = 24
)

// Add starts a target and registers it. The caller must Stop it.
func (c *Cluster) Add(id, service, zone string) *Target {
	return c.AddBehindProxy(id, service, zone, func(address string) string { return address })
}

// AddBehindProxy starts a target and registers it at the address that proxy returns
// for the target's own, that of a proxy in front of it.
func (c *Cluster) AddBehindProxy(id, service, zone string, proxy func(address string) string) *Target {
	t := &Target{ID: id, Service: service, Zone: zone, cluster: c, startedMs: time.Now().UnixMilli(), active: map[string]*generation{}, header: http.Header{}, conns: map[net.Conn]bool{}, slots: defaultSlots, downFor: defaultDownFor}
	t.server = httptest.NewUnstartedServer(t)
	t.listener = newRestartListener(t.server.Listener)
	t.server.Listener = t.listener
	t.server.Config.ConnState = t.trackConn
	t.server.Start()
	t.address = proxy(t.server.Listener.Addr().String())
	c.mu.Lock()
	c.targets[t.Address()] = t
	c.mu.Unlock()
	t.Register("ready")
	return t
}

// Address returns the IP:port at which the target is registered.
func (t *Target) Address() string { return t.address }

// Register writes the target's record to the store, with the given state.
func (t *Target) Register(state string) {
	t.mu.Lock()
	t.leaving = state == "draining"
	slots, coldFor, startedMs := t.slots, t.coldFor, t.startedMs
	t.mu.Unlock()
	t.cluster.store.Put("servers/"+t.ID, map[string]any{
		"service": t.Service, "address": t.Address(), "zone": t.Zone, "version": "v1", "slots": slots,
		"state": state, "cold_ms": coldFor.Milliseconds(), "sequence": 1, "born": startedMs,
	})
}

// RegisterSlots writes the target's record again, with another number of slots.
func (t *Target) RegisterSlots(slots int) {
	t.mu.Lock()
	t.slots = slots
	t.mu.Unlock()
	t.Register("ready")
}

// RegisterCold writes the target's record again, as one that is cold for d.
func (t *Target) RegisterCold(d time.Duration) {
	t.mu.Lock()
	t.coldFor = d
	t.mu.Unlock()
	t.Register("ready")
}

// SetBehaviour sets the function that chooses how the target responds to each request.
func (t *Target) SetBehaviour(behaviour func(r *http.Request) Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour = behaviour
}

// SetHeader sets a header field of all responses.
func (t *Target) SetHeader(name, value string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.header.Set(name, value)
}

// SetRetryAfter sets the Retry-After of requests refused with Pause.
func (t *Target) SetRetryAfter(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retryAfter = d
}

// NameLimit makes all responses name a limit of requests per second.
func (t *Target) NameLimit(perSecond float64) {
	t.SetHeader(limitHeader, strconv.FormatFloat(perSecond, 'f', -1, 64))
}

// EndLimit makes responses name no limit any more.
func (t *Target) EndLimit() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.header.Del(limitHeader)
}

// Arrivals returns when callers' requests reached the target, without misdirected
// ones.
func (t *Target) Arrivals() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.arrivals)
}

// LimitConnections sets the maximum number of open connections, 0 for no limit.
// Connections beyond it are reset.
func (t *Target) LimitConnections(limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxConns = limit
}

// trackConn keeps the set of open connections and resets those beyond the limit.
func (t *Target) trackConn(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case state == http.StateClosed || state == http.StateHijacked:
		delete(t.conns, conn)
	case state != http.StateNew:
		if _, open := t.conns[conn]; open {
			t.conns[conn] = state == http.StateActive
		}
	case t.maxConns > 0 && len(t.conns) >= t.maxConns:
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // makes Close send a reset
		}
		_ = conn.Close()
	default:
		t.conns[conn] = true
	}
}

// Connections returns the number of open connections.
func (t *Target) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// FailCopies makes copies from the target fail with an error status, 0 for none.
func (t *Target) FailCopies(status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.copyStatus = status
}

// FailFinalCopies makes final copies from the target fail with an error status, 0
// for none. With 503 the generation still stops, and the target keeps its memory.
func (t *Target) FailFinalCopies(status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.finalCopyStatus = status
}

// LoseFinalCopies makes final copies from the target stop the generation and get no answer.
func (t *Target) LoseFinalCopies() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loseFinalCopies = true
}

// Stop ends the target as a crash would, closing its connections.
func (t *Target) Stop() {
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	t.server.CloseClientConnections()
	t.server.Close()
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	maps.Copy(w.Header(), t.header)
	t.mu.Unlock()
	switch {
	case r.URL.Path == "/-/kv-move":
		t.handleCopy(w, r)
	case strings.HasPrefix(r.URL.Path, "/-/kv-handle/"):
		w.WriteHeader(http.StatusOK)
	case r.URL.Path == "/-/report":
		t.handleReport(w)
	default:
		t.handleRequest(w, r)
	}
}

func (t *Target) handleReport(w http.ResponseWriter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	body := map[string]any{"stage": "combined", "active": len(t.active), "state": "ready", "born": t.startedMs}
	if t.leaving {
		body["state"], body["leaves_ms"] = "draining", 1500.0
	}
	_ = json.NewEncoder(w).Encode(body)
}

func (t *Target) handleRequest(w http.ResponseWriter, r *http.Request) {
	behaviour, retryAfter := t.nextBehaviour(r)
	if t.answerEarly(w, r, behaviour) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if t.misdirected(w, r) {
		return
	}
	if t.recordArrival() {
		panic(http.ErrAbortHandler)
	}
	if behaviour == Refuse || behaviour == Pause {
		refuse(w, retryAfter)
		return
	}
	source := t.claimCopy(r)
	if r.Header.Get("Kv-From") != "" && source == nil {
		refuse(w, 0)
		return
	}
	execution := t.recordExecution(r, string(body), false)
	w.Header().Set("Server-Stamp", "stamp-"+t.ID)
	t.withholdAnswer(w, r, behaviour)
	if t.respondWithStatus(w, behaviour) {
		return
	}
	switch behaviour {
	case EndlessHead:
		return
	case Fail:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case WrongAttemptID:
		w.Header().Set("Attempt-Id", "another")
	case Delay:
		time.Sleep(10 * eventInterval)
	}
	if events := r.Header.Get("Token-Count"); events != "" {
		t.stream(w, r, source, execution, behaviour)
		return
	}
	t.answer(w, id, behaviour)
}

// withholdAnswer ends the connection if the behaviour is one without an answer.
func (t *Target) withholdAnswer(w http.ResponseWriter, r *http.Request, behaviour Behaviour) {
	switch behaviour {
	case Drop:
		panic(http.ErrAbortHandler)
	case EndUnanswered:
		t.Restart()
		panic(http.ErrAbortHandler)
	case EndlessHead:
		floodHead(w)
	case Hang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// recordExecution records that the target executes a request, and returns the execution's name.
func (t *Target) recordExecution(r *http.Request, body string, early bool) string {
	t.cluster.mu.Lock()
	defer t.cluster.mu.Unlock()
	t.cluster.executions = append(t.cluster.executions, Execution{
		Target: t.ID, ID: r.Header.Get("Attempt-Id"), Method: r.Method, Path: r.URL.RequestURI(), Body: body,
		Header: r.Header.Clone(), LastEventID: r.Header.Get("Last-Event-Id"), Early: early, At: time.Now(),
	})
	return fmt.Sprintf("run%d", len(t.cluster.executions))
}

// answer sends the answer of an application runner.
func (t *Target) answer(w http.ResponseWriter, id string, behaviour Behaviour) {
	t.answerThenEnd(w, behaviour)
	text := "answer to " + id
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if behaviour == Truncate {
		text = text[:3]
	}
	_, _ = io.WriteString(w, text)
}

// misdirected responds to a request that is for another target, and reports whether it is.
func (t *Target) misdirected(w http.ResponseWriter, r *http.Request) bool {
	expected := r.Header.Get("Expect-Instance")
	if expected == "" || expected == t.ID {
		return false
	}
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

// recordArrival records a request, and reports whether the target is down.
func (t *Target) recordArrival() (down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.arrivals = append(t.arrivals, now)
	return now.Before(t.downUntil)
}

// nextBehaviour returns how the target responds to a request, and the Retry-After
// if it refuses with Pause.
func (t *Target) nextBehaviour(r *http.Request) (Behaviour, time.Duration) {
	t.mu.Lock()
	choose, retryAfter := t.behaviour, t.retryAfter
	t.mu.Unlock()
	behaviour := Serve
	if choose != nil {
		behaviour = choose(r)
	}
	if behaviour != Pause {
		return behaviour, 0
	}
	return behaviour, retryAfter
}

// refuse responds that the request was not executed, with a Retry-After if it is
// above 0.
func refuse(w http.ResponseWriter, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// handleCopy handles a request to copy a generation's memory to another target. A
// final copy stops the generation.
func (t *Target) handleCopy(w http.ResponseWriter, r *http.Request) {
	var request struct {
		ID     string `json:"id"`
		Target string `json:"target"`
		Final  bool   `json:"final"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	g, status, lose := t.active[request.ID], t.copyStatus, request.Final && t.loseFinalCopies
	if request.Final {
		status = cmp.Or(status, t.finalCopyStatus)
	}
	t.mu.Unlock()
	if g == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if status != 0 && status != http.StatusServiceUnavailable {
		w.WriteHeader(status)
		return
	}
	time.Sleep(copyDuration)
	t.cluster.mu.Lock()
	t.cluster.lastHandle++
	handle := fmt.Sprintf("h%d", t.cluster.lastHandle)
	t.cluster.mu.Unlock()
	if request.Final {
		t.mu.Lock()
		g.stopped = true
		close(g.stop)
		t.mu.Unlock()
		t.cluster.mu.Lock()
		t.cluster.stopped[t.Address()+"/"+handle] = g
		t.cluster.mu.Unlock()
	}
	if lose {
		panic(http.ErrAbortHandler)
	}
	if status != 0 {
		w.WriteHeader(status)
		if !request.Final {
			return
		}
	}
	t.mu.Lock()
	sent := g.sent
	t.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "created": sent})
}

// claimCopy returns the stopped generation that a request continues, nil if there
// is none. Each can be claimed once.
func (t *Target) claimCopy(r *http.Request) *generation {
	handle := r.Header.Get("Kv-From")
	if handle == "" {
		return nil
	}
	t.cluster.mu.Lock()
	defer t.cluster.mu.Unlock()
	g := t.cluster.stopped[handle]
	delete(t.cluster.stopped, handle)
	return g
}

package generator

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"bluebelldoor"
	"bluebelldoor/standin/batcher"
)

const (
	idlePollInterval = 2 * time.Millisecond
	coldGracePeriod  = 500 * time.Millisecond
	reportInterval   = 50 * time.Millisecond
	defaultMaxTokens = 16
)

// Record describes one generation, for tests to compare.
type Record struct {
	ID        string `json:"id"`
	StartedMs int64  `json:"startedMs"`
	Tokens    int    `json:"tokens"`
	Cancelled bool   `json:"cancelled"`
}

// Stats is what the engine recorded of its work.
type Stats struct {
	MaxCold int `json:"maxCold"`
	// OverCold counts the generations added to a cold engine whose slots were
	// all in use, coldGracePeriod or more after it became cold.
	OverCold    int      `json:"overCold"`
	Preemptions int      `json:"preemptions"`
	Generations []Record `json:"generations"`
	Orders      []Order  `json:"orders"`
}

// Order is one order that the engine accepted.
type Order struct {
	AtMs  int64              `json:"atMs"`
	Order bluebelldoor.Order `json:"order"`
}

// Faults are the faults that tests inject.
type Faults struct {
	// Chill makes the engine cold again when the faults are set.
	Chill bool `json:"chill"`
	// StallMs stops all output for so long, from when the faults are set.
	StallMs int64 `json:"stallMs"`
	// Leaving is set in the load reports.
	Leaving bool `json:"leaving"`
	// CutAfter closes each stream's connection after so many tokens; 0 disables
	// it.
	CutAfter int `json:"cutAfter"`
	// Crossed streams events under the ID of another generation.
	Crossed bool `json:"crossed"`
}

type generation struct {
	sequence  *batcher.Sequence
	record    Record
	changed   chan struct{} // closed and replaced at each token and when cancelled
	cancelled bool
	readers   int
}

// Engine is the stand-in engine. It is safe for concurrent use.
type Engine struct {
	incarnation string
	lag         time.Duration
	fencing     bool

	mu            sync.Mutex
	batcher       *batcher.Batcher
	generations   map[string]*generation
	order         []string // IDs of all generations, in order of arrival
	faults        Faults
	stallUntil    time.Time
	reports       []bluebelldoor.LoadReport
	coldSince     time.Time
	coldSlots     int
	coldOverloads int
	weights       weights

	cacheEvents   []CacheEvent
	cacheSequence int
	memoryTokens  int
}

// Option configures an Engine.
type Option func(*Engine)

// WithLag delays load reports and cache events by d.
func WithLag(d time.Duration) Option { return func(e *Engine) { e.lag = d } }

// WithFencing makes the engine refuse orders with an old fencing number.
func WithFencing(on bool) Option { return func(e *Engine) { e.fencing = on } }

// New starts an engine and returns it with a function that stops it.
func New(config batcher.Config, options ...Option) (*Engine, func()) {
	e := &Engine{
		incarnation:  strconv.FormatInt(time.Now().UnixNano(), 36),
		batcher:      batcher.New(config),
		generations:  map[string]*generation{},
		memoryTokens: config.MemoryTokens,
		coldSince:    time.Now().Add(-coldGracePeriod),
		coldSlots:    config.ColdSlots,
	}
	for _, option := range options {
		option(e)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go e.run(ctx)
	return e, cancel
}

// run steps the simulation in real time until ctx is done.
func (e *Engine) run(ctx context.Context) {
	next := time.Now()
	lastReport := time.Time{}
	for ctx.Err() == nil {
		e.mu.Lock()
		now := time.Now()
		wait := e.stallUntil.Sub(now)
		if wait <= 0 {
			duration, produced := e.batcher.Step()
			wait = duration
			e.notifyReaders(produced)
			e.recordCacheEvents(e.batcher.TakeCacheEvents(), now)
		}
		if now.Sub(lastReport) >= reportInterval {
			e.recordReport(now)
			lastReport = now
		}
		e.mu.Unlock()
		if wait <= 0 {
			wait = idlePollInterval
			next = time.Now()
		}
		next = next.Add(wait)
		time.Sleep(time.Until(next))
	}
}

// notifyReaders wakes the readers of the sequences that got a token. e.mu must be
// held.
func (e *Engine) notifyReaders(produced []*batcher.Sequence) {
	for _, s := range produced {
		g := e.generations[s.ID]
		if g == nil {
			continue
		}
		g.record.Tokens = s.Produced()
		close(g.changed)
		g.changed = make(chan struct{})
	}
}

func (e *Engine) recordReport(now time.Time) {
	e.reports = append(e.reports, bluebelldoor.LoadReport{
		Incarnation:  e.incarnation,
		Warm:         e.batcher.Warm(),
		Leaving:      e.faults.Leaving,
		Running:      e.batcher.Running(),
		Waiting:      e.batcher.Waiting(),
		MemoryUsed:   e.batcher.MemoryUsed(),
		MemoryTokens: e.memoryTokens,
		Finished:     e.batcher.Finished(),
		Preemptions:  e.batcher.Preemptions(),
		Received:     now,
	})
	for len(e.reports) > 1 && now.Sub(e.reports[1].Received) >= e.lag {
		e.reports = e.reports[1:]
	}
}

// Report returns the newest load report that is at least as old as the engine's
// lag, or the oldest one if there is none.
func (e *Engine) Report() bluebelldoor.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.reports) == 0 {
		return bluebelldoor.LoadReport{Incarnation: e.incarnation, MemoryTokens: e.memoryTokens}
	}
	r := e.reports[0]
	r.AgeMs = time.Since(r.Received).Milliseconds()
	return r
}

// Start adds a generation and returns false if its ID is already in use. A
// prompt that contains "len=N" gets N tokens, at most maxTokens; any other gets
// maxTokens.
func (e *Engine) Start(id, prompt string, maxTokens, priority int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generations[id] != nil {
		return false
	}
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	prefix, words := promptPrefix(prompt)
	s := &batcher.Sequence{
		ID:           id,
		PromptTokens: 1 + len(strings.Fields(prompt)),
		OutputTokens: min(maxTokens, requestedTokens(prompt, maxTokens)),
		Priority:     priority,
		Prefix:       prefix,
		PrefixTokens: words,
	}
	e.generations[id] = &generation{
		sequence: s,
		record:   Record{ID: id, StartedMs: time.Now().UnixMilli()},
		changed:  make(chan struct{}),
	}
	e.order = append(e.order, id)
	e.countColdOverload()
	e.batcher.Add(s)
	return true
}

// countColdOverload counts a generation that is about to be added to a cold
// engine with no free slot. Within coldGracePeriod it counts none, since VMs learn
// only from load reports that the engine became cold.
func (e *Engine) countColdOverload() {
	load := e.batcher.Running() + e.batcher.Waiting()
	if !e.batcher.Warm() && time.Since(e.coldSince) >= coldGracePeriod && load >= e.coldSlots {
		e.coldOverloads++
	}
}

func requestedTokens(prompt string, maxTokens int) int {
	_, after, found := strings.Cut(prompt, "len=")
	if !found {
		return maxTokens
	}
	end := strings.IndexFunc(after, func(r rune) bool { return r < '0' || r > '9' })
	if end >= 0 {
		after = after[:end]
	}
	n, err := strconv.Atoi(after)
	if err != nil || n < 1 {
		return maxTokens
	}
	return n
}

// Cancel cancels a generation and reports whether it exists. With ifUnread, a
// generation that has readers continues.
func (e *Engine) Cancel(id string, ifUnread bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.generations[id]
	if g == nil {
		return false
	}
	if ifUnread && g.readers > 0 {
		return true
	}
	if e.batcher.Remove(id) {
		g.cancelled = true
		g.record.Cancelled = true
		close(g.changed)
		g.changed = make(chan struct{})
	}
	return true
}

// addReaders adds delta, which may be negative, to the readers of a generation.
func (e *Engine) addReaders(id string, delta int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g := e.generations[id]; g != nil {
		g.readers += delta
	}
}

// progress is a snapshot of a generation for its readers.
type progress struct {
	produced    int
	done        bool
	cancelled   bool
	preemptions int
	changed     <-chan struct{}
}

func (e *Engine) progress(id string) (progress, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.generations[id]
	if g == nil {
		return progress{}, false
	}
	return progress{
		produced:    g.sequence.Produced(),
		done:        g.sequence.Done(),
		cancelled:   g.cancelled,
		preemptions: g.sequence.Preemptions(),
		changed:     g.changed,
	}, true
}

// Result describes how a generation ended at the engine.
type Result struct {
	Tokens      int
	Preemptions int
	Cancelled   bool
}

// Read calls onToken for each token after sequence as it is generated, until the
// generation ends, onToken fails or ctx is done. It reports whether the
// generation exists.
func (e *Engine) Read(ctx context.Context, id string, sequence int, onToken func(sequence int) error) (Result, bool, error) {
	e.addReaders(id, 1)
	defer e.addReaders(id, -1)
	for {
		p, found := e.progress(id)
		if !found {
			return Result{}, false, nil
		}
		for sequence < p.produced {
			sequence++
			if err := onToken(sequence); err != nil {
				return Result{}, true, err
			}
		}
		if p.done || p.cancelled {
			return Result{Tokens: p.produced, Preemptions: p.preemptions, Cancelled: p.cancelled}, true, nil
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			return Result{}, true, ctx.Err()
		}
	}
}

// TokenText returns the text of a token, which contains the end of the
// generation's ID so that a test can tell tokens of two generations apart.
func TokenText(id string, sequence int) string {
	suffix := id
	if len(suffix) > 6 {
		suffix = suffix[len(suffix)-6:]
	}
	return fmt.Sprintf("%s:%d ", suffix, sequence)
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Chill {
		e.batcher.MakeCold()
		e.coldSince = time.Now()
	}
	if f.StallMs > 0 {
		e.stallUntil = time.Now().Add(time.Duration(f.StallMs) * time.Millisecond)
	}
	e.faults = f
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Stats returns the engine's statistics.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := Stats{MaxCold: e.batcher.MaxColdLoad(), OverCold: e.coldOverloads, Preemptions: e.batcher.Preemptions(), Orders: e.weights.orders}
	for _, id := range e.order {
		s.Generations = append(s.Generations, e.generations[id].record)
	}
	return s
}

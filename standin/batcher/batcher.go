package batcher

import (
	"slices"
	"sort"
	"time"
)

// Config holds the sizes and speeds of an engine.
type Config struct {
	// MemoryTokens is the memory for prompts and outputs, in tokens.
	MemoryTokens int
	// MaxRunning is the maximum batch size.
	MaxRunning int
	// ColdSlots is how many generations the engine can take while cold.
	ColdSlots int
	// WarmAfter is how many generations must finish before the engine is warm.
	WarmAfter int
	// A decode step takes StepBase, plus StepPerRunning for each running
	// sequence.
	StepBase       time.Duration
	StepPerRunning time.Duration
	// PrefillPerToken is the prefill time of one prompt token.
	PrefillPerToken time.Duration
	// CacheTokens is the size of the prefix cache; 0 disables it.
	CacheTokens int
	// ColdFactor multiplies the step time while the engine is cold.
	ColdFactor int
}

// DefaultConfig returns an engine of moderate size: a step of a full batch takes
// 16 ms.
func DefaultConfig() Config {
	return Config{
		MemoryTokens:    16_000,
		MaxRunning:      32,
		ColdSlots:       2,
		WarmAfter:       3,
		StepBase:        8 * time.Millisecond,
		StepPerRunning:  250 * time.Microsecond,
		PrefillPerToken: 20 * time.Microsecond,
		CacheTokens:     4_000,
		ColdFactor:      3,
	}
}

// Sequence is one generation inside the engine.
type Sequence struct {
	ID string
	// PromptTokens and OutputTokens are the sizes of the prompt and the output;
	// the engine does not use OutputTokens to schedule.
	PromptTokens, OutputTokens int
	// Prefix identifies the first PrefixTokens tokens of the prompt, which other
	// prompts share; empty if there are none.
	Prefix       string
	PrefixTokens int
	// Priority orders admission and, in reverse, preemption; lower values are
	// admitted first.
	Priority int
	// Copied reports that the memory was copied from another engine, so that
	// admission needs no prefill.
	Copied bool

	produced    int
	preemptions int
	arrival     int
}

// Produced returns the number of tokens generated so far.
func (s *Sequence) Produced() int { return s.produced }

// Preemptions returns how many times the sequence was preempted.
func (s *Sequence) Preemptions() int { return s.preemptions }

// Done reports whether all tokens have been generated.
func (s *Sequence) Done() bool { return s.produced >= s.OutputTokens }

func (s *Sequence) memory() int { return s.PromptTokens + s.produced }

// Batcher is a simulated engine. It is not safe for concurrent use.
type Batcher struct {
	config       Config
	running      []*Sequence
	waiting      []*Sequence
	arrivals     int
	finished     int
	preemptions  int
	warm         bool
	maxColdLoad  int
	cache        []prefix
	cacheHits    int
	cacheMisses  int
	events       []CacheEvent
	wastedTokens int
}

// prefix is an entry of the prefix cache.
type prefix struct {
	name   string
	tokens int
}

// CacheEvent reports that a prefix was added to the cache or evicted from it.
type CacheEvent struct {
	Prefix  string
	Evicted bool
}

// TakeCacheEvents returns the events since the last call.
func (b *Batcher) TakeCacheEvents() []CacheEvent {
	out := b.events
	b.events = nil
	return out
}

// lookupPrefix returns how many tokens of a sequence's prompt are cached. It adds
// the prefix to the cache as the most recently used one and evicts the least
// recently used ones that no longer fit.
func (b *Batcher) lookupPrefix(s *Sequence) int {
	if s.Prefix == "" || b.config.CacheTokens == 0 {
		return 0
	}
	index := slices.IndexFunc(b.cache, func(p prefix) bool { return p.name == s.Prefix })
	saved := 0
	if index >= 0 {
		saved = b.cache[index].tokens
		b.cache = slices.Delete(b.cache, index, index+1)
		b.cacheHits++
	} else {
		b.cacheMisses++
	}
	if index < 0 {
		b.events = append(b.events, CacheEvent{Prefix: s.Prefix})
	}
	b.cache = append(b.cache, prefix{s.Prefix, s.PrefixTokens})
	used := 0
	for _, p := range b.cache {
		used += p.tokens
	}
	for used > b.config.CacheTokens && len(b.cache) > 0 {
		used -= b.cache[0].tokens
		b.events = append(b.events, CacheEvent{Prefix: b.cache[0].name, Evicted: true})
		b.cache = b.cache[1:]
	}
	return saved
}

// CacheHits returns the number of prefix lookups that hit and missed the cache.
func (b *Batcher) CacheHits() (hits, misses int) { return b.cacheHits, b.cacheMisses }

// New returns an idle engine, cold unless WarmAfter is 0.
func New(config Config) *Batcher {
	return &Batcher{config: config, warm: config.WarmAfter == 0}
}

// Add queues a sequence.
func (b *Batcher) Add(s *Sequence) {
	b.arrivals++
	s.arrival = b.arrivals
	b.waiting = append(b.waiting, s)
	b.updateMaxColdLoad()
}

// updateMaxColdLoad records the highest load seen while cold.
func (b *Batcher) updateMaxColdLoad() {
	if load := len(b.running) + len(b.waiting); !b.warm && load > b.maxColdLoad {
		b.maxColdLoad = load
	}
}

// Remove drops the sequence with this ID, counts its output as wasted, and
// reports whether it was found.
func (b *Batcher) Remove(id string) bool {
	s := b.Detach(id)
	if s == nil {
		return false
	}
	b.wastedTokens += s.produced
	return true
}

// Detach removes and returns the sequence with this ID, which continues on
// another engine; nil if it is not found.
func (b *Batcher) Detach(id string) *Sequence {
	for _, queue := range []*[]*Sequence{&b.running, &b.waiting} {
		for i, s := range *queue {
			if s.ID == id {
				*queue = append((*queue)[:i], (*queue)[i+1:]...)
				return s
			}
		}
	}
	return nil
}

// MakeCold makes the engine cold again without warning. MaxColdLoad takes the
// current load into account only when the next sequence is added.
func (b *Batcher) MakeCold() {
	b.warm = false
	b.finished = 0
}

// Step runs one decode step: it admits the sequences that fit, preempts those
// that no longer do, and adds a token to each running one. It returns the
// duration of the step and the sequences that got a token, or 0 and nil if the
// engine is idle.
func (b *Batcher) Step() (time.Duration, []*Sequence) {
	prefill := b.admit()
	b.preempt()
	if len(b.running) == 0 {
		return 0, nil
	}
	duration := b.config.StepBase + time.Duration(len(b.running))*b.config.StepPerRunning
	duration += time.Duration(prefill) * b.config.PrefillPerToken
	if !b.warm {
		duration *= time.Duration(b.config.ColdFactor)
	}
	produced := append([]*Sequence(nil), b.running...)
	kept := b.running[:0]
	for _, s := range b.running {
		s.produced++
		if s.Done() {
			b.finish()
			continue
		}
		kept = append(kept, s)
	}
	b.running = kept
	return duration, produced
}

func (b *Batcher) finish() {
	b.finished++
	if b.finished >= b.config.WarmAfter {
		b.warm = true
	}
}

// admit starts waiting sequences in order of priority and arrival, and returns
// how many tokens need prefill.
func (b *Batcher) admit() int {
	sort.SliceStable(b.waiting, func(i, j int) bool {
		x, y := b.waiting[i], b.waiting[j]
		if x.Priority != y.Priority {
			return x.Priority < y.Priority
		}
		return x.arrival < y.arrival
	})
	prefill := 0
	used := b.MemoryUsed()
	for len(b.waiting) > 0 && len(b.running) < b.config.MaxRunning {
		s := b.waiting[0]
		if used+s.memory()+1 > b.config.MemoryTokens && len(b.running) > 0 {
			break
		}
		used += s.memory() + 1
		if !s.Copied {
			prefill += s.memory() - b.lookupPrefix(s)
		}
		s.Copied = false
		b.running = append(b.running, s)
		b.waiting = b.waiting[1:]
	}
	return prefill
}

// preempt returns sequences to the queue, lowest priority and latest arrival
// first, until the next step fits in memory.
func (b *Batcher) preempt() {
	for len(b.running) > 1 && b.MemoryUsed()+len(b.running) > b.config.MemoryTokens {
		victim := 0
		for i, s := range b.running {
			w := b.running[victim]
			if s.Priority > w.Priority || s.Priority == w.Priority && s.arrival > w.arrival {
				victim = i
			}
		}
		s := b.running[victim]
		s.preemptions++
		b.preemptions++
		b.running = append(b.running[:victim], b.running[victim+1:]...)
		b.waiting = append(b.waiting, s)
	}
}

// MemoryUsed returns the memory of the running sequences, in tokens.
func (b *Batcher) MemoryUsed() int {
	used := 0
	for _, s := range b.running {
		used += s.memory()
	}
	return used
}

// Running returns the number of running sequences.
func (b *Batcher) Running() int { return len(b.running) }

// Waiting returns the number of waiting sequences.
func (b *Batcher) Waiting() int { return len(b.waiting) }

// Warm reports whether the engine can take its full load.
func (b *Batcher) Warm() bool { return b.warm }

// Finished returns how many generations finished since the last cold start.
func (b *Batcher) Finished() int { return b.finished }

// Preemptions returns the total number of preemptions.
func (b *Batcher) Preemptions() int { return b.preemptions }

// MaxColdLoad returns the highest load, running and waiting, right after a
// sequence was added to the cold engine.
func (b *Batcher) MaxColdLoad() int { return b.maxColdLoad }

// WastedTokens returns the tokens generated for sequences that were removed.
func (b *Batcher) WastedTokens() int { return b.wastedTokens }

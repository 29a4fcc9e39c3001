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
	// MaxRunning is how many generations are batched at once.
	MaxRunning int
	// ColdSlots is how many generations the engine bears while cold.
	ColdSlots int
	// WarmAfter is how many finished generations make the engine warm.
	WarmAfter int
	// StepBase and StepPerRunning give the time of one decode step.
	StepBase       time.Duration
	StepPerRunning time.Duration
	// PrefillPerToken is the time to read one token of a prompt.
	PrefillPerToken time.Duration
	// CacheTokens is the memory for prefixes of prompts that were read before;
	// 0 keeps none.
	CacheTokens int
	// ColdFactor stretches each step while the engine is cold.
	ColdFactor int
}

// DefaultConfig returns an engine of moderate size: 16 ms a step when full.
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
	// ID names the generation.
	ID string
	// Prompt and Length are sizes in tokens; the engine learns Length only by
	// reaching it.
	Prompt, Length int
	// Prefix names the beginning of the prompt that it shares with others, of
	// PrefixTokens tokens; empty if it shares none.
	Prefix       string
	PrefixTokens int
	// Priority orders admission and spares from preemption; low goes first.
	Priority int
	// Copied tells that its memory has been copied here from another engine, so
	// that nothing is read when it starts.
	Copied bool

	produced    int
	preemptions int
	arrival     int
}

// Produced returns the number of tokens generated so far.
func (s *Sequence) Produced() int { return s.produced }

// Preemptions returns how often the sequence was preempted.
func (s *Sequence) Preemptions() int { return s.preemptions }

// Done reports whether the sequence has all its tokens.
func (s *Sequence) Done() bool { return s.produced >= s.Length }

func (s *Sequence) memory() int { return s.Prompt + s.produced }

// Batcher is the engine. It is not safe for concurrent use.
type Batcher struct {
	config      Config
	running     []*Sequence
	waiting     []*Sequence
	arrivals    int
	finished    int
	preemptions int
	warm        bool
	maxCold     int
	cache       []prefix
	cacheHits   int
	cacheMisses int
	events      []CacheEvent
	wasted      int
}

// prefix is the beginning of a prompt in the cache.
type prefix struct {
	name   string
	tokens int
}

// CacheEvent tells that a prefix came into the cache, or left it.
type CacheEvent struct {
	Prefix  string
	Evicted bool
}

// TakeCacheEvents returns the events since it was last called.
func (b *Batcher) TakeCacheEvents() []CacheEvent {
	out := b.events
	b.events = nil
	return out
}

// cached returns how many tokens of a sequence's prompt need not be read, and
// makes its prefix the last one to be evicted.
func (b *Batcher) cached(s *Sequence) int {
	if s.Prefix == "" || b.config.CacheTokens == 0 {
		return 0
	}
	known := slices.IndexFunc(b.cache, func(p prefix) bool { return p.name == s.Prefix })
	saved := 0
	if known >= 0 {
		saved = b.cache[known].tokens
		b.cache = slices.Delete(b.cache, known, known+1)
		b.cacheHits++
	} else {
		b.cacheMisses++
	}
	if known < 0 {
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

// CacheHits returns how many prompts had their prefix in the cache, and how many
// had not.
func (b *Batcher) CacheHits() (hits, misses int) { return b.cacheHits, b.cacheMisses }

// New returns a cold, empty engine.
func New(config Config) *Batcher {
	return &Batcher{config: config, warm: config.WarmAfter == 0}
}

// Add hands a sequence to the engine.
func (b *Batcher) Add(s *Sequence) {
	b.arrivals++
	s.arrival = b.arrivals
	b.waiting = append(b.waiting, s)
	b.noteCold()
}

// noteCold keeps the highest load seen while cold.
func (b *Batcher) noteCold() {
	if load := len(b.running) + len(b.waiting); !b.warm && load > b.maxCold {
		b.maxCold = load
	}
}

// Remove drops the sequence with this ID and reports whether it was there.
func (b *Batcher) Remove(id string) bool {
	s := b.Take(id)
	if s == nil {
		return false
	}
	b.wasted += s.produced
	return true
}

// Take returns the sequence with this ID, which goes on elsewhere, and drops it
// here; nil if it is not there.
func (b *Batcher) Take(id string) *Sequence {
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

// Chill makes the engine cold again without warning. The load that it already
// carries does not count as borne while cold; what is added later does.
func (b *Batcher) Chill() {
	b.warm = false
	b.finished = 0
}

// Step runs one decode step: it admits what fits, preempts what does not, and
// adds a token to each running sequence. It returns the time that the step
// takes, and the sequences that got a token. An idle engine returns 0 and none.
func (b *Batcher) Step() (time.Duration, []*Sequence) {
	read := b.admit()
	b.preempt()
	if len(b.running) == 0 {
		return 0, nil
	}
	took := b.config.StepBase + time.Duration(len(b.running))*b.config.StepPerRunning
	took += time.Duration(read) * b.config.PrefillPerToken
	if !b.warm {
		took *= time.Duration(b.config.ColdFactor)
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
	return took, produced
}

func (b *Batcher) finish() {
	b.finished++
	if b.finished >= b.config.WarmAfter {
		b.warm = true
	}
}

// admit starts waiting sequences in the order of priority and arrival, and
// returns how many tokens must be read for them.
func (b *Batcher) admit() int {
	sort.SliceStable(b.waiting, func(i, j int) bool {
		x, y := b.waiting[i], b.waiting[j]
		if x.Priority != y.Priority {
			return x.Priority < y.Priority
		}
		return x.arrival < y.arrival
	})
	read := 0
	used := b.MemoryUsed()
	for len(b.waiting) > 0 && len(b.running) < b.config.MaxRunning {
		s := b.waiting[0]
		if used+s.memory()+1 > b.config.MemoryTokens && len(b.running) > 0 {
			break
		}
		used += s.memory() + 1
		if !s.Copied {
			read += s.memory() - b.cached(s)
		}
		s.Copied = false
		b.running = append(b.running, s)
		b.waiting = b.waiting[1:]
	}
	return read
}

// preempt sends back the least urgent sequences until the next step fits.
func (b *Batcher) preempt() {
	for len(b.running) > 1 && b.MemoryUsed()+len(b.running) > b.config.MemoryTokens {
		worst := 0
		for i, s := range b.running {
			w := b.running[worst]
			if s.Priority > w.Priority || s.Priority == w.Priority && s.arrival > w.arrival {
				worst = i
			}
		}
		s := b.running[worst]
		s.preemptions++
		b.preemptions++
		b.running = append(b.running[:worst], b.running[worst+1:]...)
		b.waiting = append(b.waiting, s)
	}
}

// MemoryUsed returns the tokens that running sequences hold.
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

// Warm reports whether the engine bears its full load.
func (b *Batcher) Warm() bool { return b.warm }

// Finished returns how many generations finished since the last cold start.
func (b *Batcher) Finished() int { return b.finished }

// Preemptions returns how many preemptions happened in all.
func (b *Batcher) Preemptions() int { return b.preemptions }

// MaxCold returns the highest load that was added while cold.
func (b *Batcher) MaxCold() int { return b.maxCold }

// Wasted returns the tokens generated for sequences that were removed.
func (b *Batcher) Wasted() int { return b.wasted }

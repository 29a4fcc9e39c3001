package generator

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebelldoor/standin/batcher"
)

const (
	// prefixBytes is the length of the prompt prefix that identifies a cache entry.
	prefixBytes = 1024
	// dropInterval makes one in so many cache events get lost.
	dropInterval = 7
	// maxCacheEvents is how many of the latest cache events are retained.
	maxCacheEvents = 1024
)

// CacheEvent is a change of the engine's prefix cache. Lost events leave gaps in
// the sequence numbers.
type CacheEvent struct {
	Sequence int    `json:"sequence"`
	Prefix   string `json:"prefix"`
	Evicted  bool   `json:"evicted"`

	at time.Time
}

// promptPrefix returns the identifier of a prompt's prefix and its size in words,
// "" and 0 for a prompt shorter than prefixBytes.
func promptPrefix(prompt string) (name string, words int) {
	if len(prompt) < prefixBytes {
		return "", 0
	}
	prefix := prompt[:prefixBytes]
	return hexHash(prefix), len(strings.Fields(prefix))
}

func hexHash(text string) string {
	const digits = "0123456789abcdef"
	sum := xxhash.Sum64String(text)
	encoded := make([]byte, 16)
	for i := range encoded {
		encoded[i] = digits[sum>>(60-4*i)&15]
	}
	return string(encoded)
}

// recordCacheEvents numbers and stores new events, and drops every
// dropInterval-th.
func (e *Engine) recordCacheEvents(events []batcher.CacheEvent, now time.Time) {
	for _, c := range events {
		e.cacheSequence++
		if e.cacheSequence%dropInterval == 0 {
			continue
		}
		e.cacheEvents = append(e.cacheEvents, CacheEvent{Sequence: e.cacheSequence, Prefix: c.Prefix, Evicted: c.Evicted, at: now})
	}
	if extra := len(e.cacheEvents) - maxCacheEvents; extra > 0 {
		e.cacheEvents = e.cacheEvents[extra:]
	}
}

// CacheEvents returns the events with sequence numbers above after that are at
// least as old as the engine's lag.
func (e *Engine) CacheEvents(after int) []CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []CacheEvent{}
	for _, c := range e.cacheEvents {
		if c.Sequence > after && time.Since(c.at) >= e.lag {
			out = append(out, c)
		}
	}
	return out
}

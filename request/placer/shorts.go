package placer

import "time"

// shortsFor is how long after a short generation the next is expected. Where
// they come less often, memory kept for them lies idle for the most part.
const shortsFor = time.Second

// Shorts tells whether short generations come, of which rank. The zero value has
// seen none. It is not safe for concurrent use.
type Shorts struct{ last map[int]time.Duration }

// Came notes that a short generation of a rank came at now.
func (s *Shorts) Came(priority int, now time.Duration) {
	if s.last == nil {
		s.last = map[int]time.Duration{}
	}
	s.last[priority] = now
}

// Before reports whether short generations have come of late that go before
// those of a rank.
func (s *Shorts) Before(priority int, now time.Duration) bool {
	for rank, at := range s.last {
		if rank < priority && now-at < shortsFor {
			return true
		}
	}
	return false
}

package placer

import "time"

// shortWindow is how long after a short generation the next is expected. If they
// are rarer, memory reserved for them is idle most of the time.
const shortWindow = time.Second

// ShortArrivals tracks the recent arrivals of short generations by priority. The
// zero value is ready to use. It is not safe for concurrent use.
type ShortArrivals struct{ lastArrival map[int]time.Duration }

// Record records that a short generation of a priority arrived at now.
func (s *ShortArrivals) Record(priority int, now time.Duration) {
	if s.lastArrival == nil {
		s.lastArrival = map[int]time.Duration{}
	}
	s.lastArrival[priority] = now
}

// RecentBefore reports whether short generations that are served before those of a
// priority have arrived recently.
func (s *ShortArrivals) RecentBefore(priority int, now time.Duration) bool {
	for other, at := range s.lastArrival {
		if other < priority && now-at < shortWindow {
			return true
		}
	}
	return false
}

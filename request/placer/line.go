package placer

import (
	"cmp"
	"slices"
	"time"
)

// Waiting is a generation that waits until a target has room for it.
type Waiting[T any] struct {
	Value T
	// Priority 0 is served first.
	Priority int
	// Turn orders generations of one priority, the lowest first. It is the time
	// of arrival, or the deadline where callers set one.
	Turn time.Duration
	// InTime is the latest time at which it can be sent and begin within its
	// objective.
	InTime time.Duration
	// Latest is when it expires: it must be sent by then to be of any use.
	Latest time.Duration
	// Long marks a generation that will hold its memory for seconds.
	Long bool
}

func (w *Waiting[T]) late(now time.Duration) bool { return now > w.InTime }

// Line is the queue of generations that wait on a VM. Those that can still begin
// within their objective are served before those that are late, as a further
// delay matters less to these; then by priority, then by turn. With a first-in
// first-out queue, all would be late for as long as an overload and its backlog
// last. Latest bounds how long a late one can be overtaken. It is not safe for
// concurrent use.
type Line[T any] struct {
	waiting []*Waiting[T]
}

// Add appends a generation.
func (l *Line[T]) Add(w *Waiting[T]) { l.waiting = append(l.waiting, w) }

// Len returns the number of waiting generations.
func (l *Line[T]) Len() int { return len(l.waiting) }

// Remove removes a generation that has a target or whose caller has left. It
// reports whether the generation was in the queue.
func (l *Line[T]) Remove(w *Waiting[T]) bool {
	i := slices.Index(l.waiting, w)
	if i < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return true
}

// Overdue removes and returns the generations that have expired.
func (l *Line[T]) Overdue(now time.Duration) []*Waiting[T] {
	var expired []*Waiting[T]
	l.waiting = slices.DeleteFunc(l.waiting, func(w *Waiting[T]) bool {
		if now <= w.Latest {
			return false
		}
		expired = append(expired, w)
		return true
	})
	return expired
}

// Send calls place for the waiting generations in order, and removes those that
// it has placed. Where no target has memory for a long one, short ones overtake
// it, as they soon free their memory; where no target can read a prompt soon, all
// wait.
func (l *Line[T]) Send(now time.Duration, place func(T) Room) {
	longBlocked := false
	for _, w := range l.Order(now) {
		if longBlocked && w.Long {
			continue
		}
		switch place(w.Value) {
		case HasRoom:
			l.Remove(w)
		case NoMemory:
			longBlocked = longBlocked || w.Long
		case NoReading, NoConnection:
			return
		}
	}
}

// Order returns the waiting generations, the next to be served first.
func (l *Line[T]) Order(now time.Duration) []*Waiting[T] {
	order := slices.Clone(l.waiting)
	slices.SortStableFunc(order, func(a, b *Waiting[T]) int {
		return cmp.Or(compareTrueFirst(!a.late(now), !b.late(now)), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Turn, b.Turn))
	})
	return order
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

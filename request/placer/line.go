package placer

import (
	"cmp"
	"slices"
	"time"
)

// Waiting is a generation that waits until a target has room for it.
type Waiting[T any] struct {
	Value T
	// Priority is its rank; 0 goes first.
	Priority int
	// Turn orders those of one rank; the lowest goes first. It is the arrival, or
	// the deadline where callers set one.
	Turn time.Duration
	// InTime is until when it must be sent to begin within its objective.
	InTime time.Duration
	// Latest is until when it must be sent to be of any use.
	Latest time.Duration
	// Long tells that it will hold its memory for seconds.
	Long bool
}

func (w *Waiting[T]) late(now time.Duration) bool { return now > w.InTime }

// Line orders the generations that wait on a VM: those that can still begin in
// time go before those that are late, for whom a moment more matters less;
// then by priority, then by turn. A first-in first-out queue makes all
// late for as long as an overload and the backlog that it leaves last. Latest
// bounds how long one that is late is passed by. It is not safe for concurrent
// use.
type Line[T any] struct {
	waiting []*Waiting[T]
}

// Add puts a generation in the line.
func (l *Line[T]) Add(w *Waiting[T]) { l.waiting = append(l.waiting, w) }

// Len returns how many wait.
func (l *Line[T]) Len() int { return len(l.waiting) }

// Remove takes one out, that has got a target or whose caller has left, and
// reports whether it was there.
func (l *Line[T]) Remove(w *Waiting[T]) bool {
	i := slices.Index(l.waiting, w)
	if i < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return true
}

// Overdue takes out those that can no longer be served.
func (l *Line[T]) Overdue(now time.Duration) []*Waiting[T] {
	var over []*Waiting[T]
	l.waiting = slices.DeleteFunc(l.waiting, func(w *Waiting[T]) bool {
		if now <= w.Latest {
			return false
		}
		over = append(over, w)
		return true
	})
	return over
}

// Send offers those that wait to place, the first in front, and takes out those
// that it has placed. Where no target has memory for a long one, short ones pass
// it, which make room again soon; where none can read a prompt soon, all wait.
func (l *Line[T]) Send(now time.Duration, place func(T) Room) {
	blocked := false
	for _, w := range l.Order(now) {
		if blocked && w.Long {
			continue
		}
		switch place(w.Value) {
		case HasRoom:
			l.Remove(w)
		case NoMemory:
			blocked = blocked || w.Long
		case NoReading, NoConnection:
			return
		}
	}
}

// Order returns those that wait, the one to be served first in front.
func (l *Line[T]) Order(now time.Duration) []*Waiting[T] {
	order := slices.Clone(l.waiting)
	slices.SortStableFunc(order, func(a, b *Waiting[T]) int {
		return cmp.Or(before(!a.late(now), !b.late(now)), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Turn, b.Turn))
	})
	return order
}

// before orders true before false.
func before(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

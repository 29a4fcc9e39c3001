package placer

import (
	"cmp"
	"slices"
	"time"
)

// QueueItem is a generation that waits until a target has room for it.
type QueueItem[T any] struct {
	Value T
	// Priority 0 is served first.
	Priority int
	// OrderTime orders generations of one priority, the lowest first. It is the
	// time of arrival, or the deadline where callers set one.
	OrderTime time.Duration
	// StartBy is the latest time at which it can be sent and begin within its
	// objective.
	StartBy time.Duration
	// ExpiresAt is when it expires: it must be sent by then to be of any use.
	ExpiresAt time.Duration
	// Long marks a generation that will hold its memory for seconds.
	Long bool
	// Account is the client account, by which the order depends on the queue's Shares.
	Account string
	// Early marks a generation whose caller returned earlier than it was told. It is served
	// after all others.
	Early bool
}

func (w *QueueItem[T]) late(now time.Duration) bool { return now > w.StartBy }

// Queue is the queue of generations that wait on a VM. Those that can still begin
// within their objective are served before those that are late, as a further
// delay matters less to these; then by priority, then by OrderTime. With a
// first-in first-out queue, all would be late for as long as an overload and its
// backlog last. ExpiresAt bounds how long a late one can be overtaken. It is not
// safe for concurrent use.
type Queue[T any] struct {
	items  []*QueueItem[T]
	shares accountOrder[T]
}

// Add appends a generation.
func (q *Queue[T]) Add(w *QueueItem[T]) { q.items = append(q.items, w) }

// Len returns the number of waiting generations.
func (q *Queue[T]) Len() int { return len(q.items) }

// Remove removes a generation that has a target or whose caller has
// disconnected. It reports whether the generation was in the queue.
func (q *Queue[T]) Remove(w *QueueItem[T]) bool {
	i := slices.Index(q.items, w)
	if i < 0 {
		return false
	}
	q.items = slices.Delete(q.items, i, i+1)
	return true
}

// RemoveExpired removes and returns the generations that have expired.
func (q *Queue[T]) RemoveExpired(now time.Duration) []*QueueItem[T] {
	var expired []*QueueItem[T]
	q.items = slices.DeleteFunc(q.items, func(w *QueueItem[T]) bool {
		if now <= w.ExpiresAt {
			return false
		}
		expired = append(expired, w)
		return true
	})
	return expired
}

// Dispatch calls place for the waiting generations in order, and removes those
// that it has placed. Where no target has memory for a long one, short ones
// overtake it, as they soon free their memory; where no target can read a prompt
// soon, all wait.
func (q *Queue[T]) Dispatch(now time.Duration, place func(T) Room) {
	longBlocked := false
	for w, ahead := range q.inOrder(now) {
		if longBlocked && w.Long {
			continue
		}
		switch place(w.Value) {
		case HasRoom:
			q.Remove(w)
			q.recordPlaced(w, ahead, now)
		case NoMemory:
			longBlocked = longBlocked || w.Long && !ahead
		case NoPrefillCapacity, NoConnection:
			return
		}
	}
}

// Order returns the waiting generations, the next to be served first.
func (q *Queue[T]) Order(now time.Duration) []*QueueItem[T] {
	order := slices.Clone(q.items)
	byUse := q.shares.comparison(order, now)
	slices.SortStableFunc(order, func(a, b *QueueItem[T]) int {
		return cmp.Or(compareTrueFirst(!a.Early, !b.Early), compareTrueFirst(!a.late(now), !b.late(now)), cmp.Compare(a.Priority, b.Priority), byUse(a, b), cmp.Compare(a.OrderTime, b.OrderTime))
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

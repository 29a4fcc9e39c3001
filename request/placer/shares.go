package placer

import (
	"cmp"
	"iter"
	"time"
)

// Shares tells what client accounts have used lately, and for how long they have been
// overtaken by others in the queue.
type Shares interface {
	// Use returns what an account has used lately, in tokens.
	Use(account string, now time.Duration) float64
	// MarkOvertaken records that a later request of another account was placed before a
	// waiting one of the account.
	MarkOvertaken(account string, now time.Duration)
	// MarkServed records that a request of the account was placed, and whether it came first
	// because the account had been overtaken for too long.
	MarkServed(account string, ahead bool)
	// Overtaken returns for how long the account has been overtaken, and whether one of its
	// requests comes first for that reason.
	Overtaken(account string, now time.Duration) (time.Duration, bool)
}

// accountOrder orders waiting generations by client account. The zero value doesn't.
type accountOrder[T any] struct {
	shares Shares
	// placed counts the generations that were placed, after each of which the order may have
	// changed.
	placed int
}

// SetShares makes the queue prefer, among generations of one priority, the account that has
// used least lately. Without shares, the account doesn't count.
func (q *Queue[T]) SetShares(s Shares) { q.shares.shares = s }

// comparison returns how two of the items compare by the use of their accounts.
func (o *accountOrder[T]) comparison(items []*QueueItem[T], now time.Duration) func(a, b *QueueItem[T]) int {
	if o.shares == nil {
		return func(_, _ *QueueItem[T]) int { return 0 }
	}
	use := map[string]float64{}
	for _, w := range items {
		if _, known := use[w.Account]; !known {
			use[w.Account] = o.shares.Use(w.Account, now)
		}
	}
	return func(a, b *QueueItem[T]) int { return cmp.Compare(use[a.Account], use[b.Account]) }
}

// inOrder returns the waiting generations in order, and whether a generation comes first
// because its account has been overtaken for too long. With shares, the order of the rest is
// that after the latest placement.
func (q *Queue[T]) inOrder(now time.Duration) iter.Seq2[*QueueItem[T], bool] {
	return func(yield func(*QueueItem[T], bool) bool) {
		if q.shares.shares == nil {
			for _, w := range q.Order(now) {
				if !yield(w, false) {
					return
				}
			}
			return
		}
		offered := map[*QueueItem[T]]bool{}
		if w := q.overtaken(now); w != nil {
			placed := q.shares.placed
			if !yield(w, true) {
				return
			}
			offered[w] = q.shares.placed > placed
		}
		for again := true; again; {
			again = false
			placed := q.shares.placed
			for _, w := range q.Order(now) {
				if offered[w] {
					continue
				}
				offered[w] = true
				if !yield(w, false) {
					return
				}
				if again = q.shares.placed > placed; again {
					break
				}
			}
		}
	}
}

// overtaken returns the earliest generation of the account that has been overtaken for the
// longest time, nil if none has been for too long.
func (q *Queue[T]) overtaken(now time.Duration) *QueueItem[T] {
	var first *QueueItem[T]
	longest := time.Duration(0)
	for _, w := range q.items {
		since, due := q.shares.shares.Overtaken(w.Account, now)
		if !due || w.Early || since < longest || first != nil && since == longest && w.OrderTime >= first.OrderTime {
			continue
		}
		first, longest = w, since
	}
	return first
}

// recordPlaced records that a generation was placed, and which accounts it has overtaken.
func (q *Queue[T]) recordPlaced(w *QueueItem[T], ahead bool, now time.Duration) {
	q.shares.placed++
	if q.shares.shares == nil {
		return
	}
	for _, other := range q.items {
		if other.Account != w.Account && !other.Early && other.OrderTime < w.OrderTime {
			q.shares.shares.MarkOvertaken(other.Account, now)
		}
	}
	q.shares.shares.MarkServed(w.Account, ahead)
}

// Count returns how many of the waiting generations are long, or are not.
func (q *Queue[T]) Count(long bool) int {
	n := 0
	for _, w := range q.items {
		if w.Long == long {
			n++
		}
	}
	return n
}

// Ahead returns how many generations that are long as w is, or not long as w, come before it.
// Short ones overtake long ones where memory is lacking, so that the others tell nothing of
// its wait.
func (q *Queue[T]) Ahead(w *QueueItem[T], now time.Duration) int {
	n := 0
	for _, other := range q.Order(now) {
		if other == w {
			break
		}
		if other.Long == w.Long {
			n++
		}
	}
	return n
}

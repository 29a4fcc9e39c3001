// Package accountant bounds the memory that one process spends on bytes of others that wait
// to be passed on. Each of them has a bound of its own, but as many may wait as there are
// connections; the accountant bounds their sum.
//
// It counts bytes and allocates none. What to do without memory is up to the caller.
package accountant

import "sync/atomic"

// smallBytes is what each allocation may hold without being counted. It is a part of what
// any connection takes.
const smallBytes = 8 << 10

// Accountant counts the bytes of all allocations. It is safe for concurrent use.
type Accountant struct {
	limit   int64
	used    atomic.Int64
	refused atomic.Int64
}

// New returns an accountant whose allocations together hold at most limit bytes, beside a
// small number of bytes each.
func New(limit int64) *Accountant { return &Accountant{limit: limit} }

// Used returns the number of bytes counted.
func (a *Accountant) Used() int64 { return a.used.Load() }

// Refused returns how many times memory was refused since the start.
func (a *Accountant) Refused() int64 { return a.refused.Load() }

// Begin returns an allocation of no bytes. Its End must be called.
func (a *Accountant) Begin() *Allocation { return &Allocation{accountant: a} }

// Allocation is the memory of one response. It is not safe for concurrent use.
type Allocation struct {
	accountant *Accountant
	counted    int64
}

// Resize sets the number of bytes held. It reports false, and changes nothing, if that
// exceeds the limit of the accountant.
func (l *Allocation) Resize(n int) bool {
	counted := max(0, int64(n)-smallBytes)
	added := counted - l.counted
	if used := l.accountant.used.Add(added); added > 0 && used > l.accountant.limit {
		l.accountant.used.Add(-added)
		l.accountant.refused.Add(1)
		return false
	}
	l.counted = counted
	return true
}

// Append adds part to b, whose capacity the allocation holds and which grows to at most
// limit bytes. It reports false, and changes nothing, if there is no memory for that.
func (l *Allocation) Append(b, part []byte, limit int) ([]byte, bool) {
	needed := len(b) + len(part)
	if needed > cap(b) {
		size := max(needed, min(2*cap(b), limit))
		if !l.Resize(size) {
			return b, false
		}
		b = append(make([]byte, 0, size), b...)
	}
	return append(b, part...), true
}

// End returns the bytes held. It may be called more than once.
func (l *Allocation) End() {
	l.accountant.used.Add(-l.counted)
	l.counted = 0
}

package placer

import (
	"slices"
	"time"
)

const (
	// maxReturns bounds the refused requests that are kept.
	maxReturns = 2048
	// returnTolerance is by how much the time of a request's first attempt, and that of its
	// return, may differ from what the VM knows: callers state both in milliseconds, and
	// messages take time.
	returnTolerance = 100 * time.Millisecond
)

// ReturnKey is what the attempts of one request have in common.
type ReturnKey struct {
	Account, Route string
	PromptTokens   int
}

// Returns keeps when the callers of refused requests were told to return. The zero value is
// ready to use. It is not safe for concurrent use.
type Returns struct {
	due   map[ReturnKey][]dueReturn
	count int
}

// dueReturn is when a request that was first sent at firstSent is to return.
type dueReturn struct{ firstSent, due time.Duration }

// Record records that a request, first sent at firstSent, was told to return at due.
func (r *Returns) Record(key ReturnKey, firstSent, due, now time.Duration) {
	if r.due == nil {
		r.due = map[ReturnKey][]dueReturn{}
	}
	r.remove(key, func(d dueReturn) bool { return d.matches(firstSent) })
	if r.count >= maxReturns {
		for other := range r.due {
			r.remove(other, func(d dueReturn) bool { return d.due <= now })
		}
	}
	if r.count >= maxReturns {
		return
	}
	r.due[key] = append(r.due[key], dueReturn{firstSent, due})
	r.count++
}

// Early returns by how much a request returns earlier than it was told, 0 if it doesn't.
func (r *Returns) Early(key ReturnKey, firstSent, now time.Duration) time.Duration {
	for _, d := range r.due[key] {
		if d.matches(firstSent) && d.due-now > returnTolerance {
			return d.due - now
		}
	}
	return 0
}

func (d dueReturn) matches(firstSent time.Duration) bool {
	return max(firstSent-d.firstSent, d.firstSent-firstSent) <= returnTolerance
}

// remove removes the returns of a key that match.
func (r *Returns) remove(key ReturnKey, match func(dueReturn) bool) {
	before := len(r.due[key])
	left := slices.DeleteFunc(r.due[key], match)
	r.count -= before - len(left)
	if len(left) == 0 {
		delete(r.due, key)
		return
	}
	r.due[key] = left
}

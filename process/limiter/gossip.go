package limiter

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebelldoor"
)

const (
	// maxSentLimits bounds the limits in one message.
	maxSentLimits = 64
	// maxPerSecond and maxAge are higher than those of any limit, and bound what a
	// malformed message may say.
	maxPerSecond = 1e6
	maxAge       = 24 * time.Hour
)

// digest returns the limit's part of the digest of all limits, 0 if it has ended. Rates
// count to the nearest power of two: they may change with each response, and requests for
// permits carry the exact ones.
func (known *limit) digest(target bluebelldoor.TargetIncarnation) uint64 {
	if known.ended {
		return 0
	}
	magnitude := int(math.Round(math.Log2(max(minPerSecond, known.perSecond))))
	return xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", target.ID, target.StartedAt, magnitude))
}

// Limits returns the digest of the limits that the VM knows, and the limits to send to a
// peer that has the given digest: none if it knows the same.
func (l *Limiter) Limits(digest uint64) (uint64, []bluebelldoor.TargetLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.prune(now)
	if digest == l.digest {
		return l.digest, nil
	}
	out := make([]bluebelldoor.TargetLimit, 0, len(l.limits))
	for target, known := range l.limits {
		out = append(out, known.message(target, now))
	}
	// Newer observations first: a peer that differs has most likely missed these.
	slices.SortFunc(out, func(a, b bluebelldoor.TargetLimit) int { return int(a.AgeMs - b.AgeMs) })
	return l.digest, out[:min(len(out), maxSentLimits)]
}

func (known *limit) message(target bluebelldoor.TargetIncarnation, now time.Duration) bluebelldoor.TargetLimit {
	return bluebelldoor.TargetLimit{Target: target, PerSecond: known.perSecond, Ended: known.ended, AgeMs: (now - known.observedAt).Milliseconds()}
}

// Merge applies the limits that a peer has sent, if they are newer than the known ones.
func (l *Limiter) Merge(peer string, limits []bluebelldoor.TargetLimit) {
	if len(limits) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, in := range limits {
		l.merge(peer, in)
	}
}

// merge applies one limit. Invalid ones are ignored. The caller holds l.mu.
func (l *Limiter) merge(peer string, in bluebelldoor.TargetLimit) {
	valid := in.PerSecond >= 0 && in.PerSecond <= maxPerSecond && in.AgeMs >= 0 && in.AgeMs <= maxAge.Milliseconds()
	if !valid || !l.fleet.Registered(in.Target) {
		return
	}
	at := l.clock.Now() - time.Duration(in.AgeMs)*time.Millisecond
	known := l.limits[in.Target]
	switch {
	case known == nil:
		if in.Ended {
			return
		}
	case at <= known.observedAt:
		return
	case known.ended == in.Ended && known.perSecond == in.PerSecond && at-known.observedAt < relaxDelay:
		// Likely an observation of this VM: with the delays of messages it would look
		// newer each time that it comes back.
		return
	}
	l.set(in.Target, observation{in.PerSecond, in.Ended, at}, peer)
}

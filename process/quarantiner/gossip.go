package quarantiner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebelldoor"
)

const (
	// maxSentSuspects bounds the parts in one message.
	maxSentSuspects = 24
	// maxNameLength bounds the names that a message may hold.
	maxNameLength = 256
	// maxAge bounds the ages that a message may hold; older crashes are forgotten.
	maxAge = forgetAfter
)

// digest returns the part's contribution to the digest of all parts: which engines crashed
// and whether the part has been cleared, but no ages, as these differ between VMs.
func (s *suspect) digest(k key) uint64 {
	name := k.service + "\x00" + k.part
	out := xxhash.Sum64String(fmt.Sprintf("%s\x00%t", name, s.isCleared()))
	for _, c := range s.crashes {
		out += xxhash.Sum64String(name + "\x00" + c.target)
	}
	return out
}

// updateDigest computes the digest anew. The caller holds q.mu.
func (q *Quarantiner) updateDigest(now time.Duration) {
	q.prune(now)
	q.digest = 0
	for k, s := range q.suspects {
		q.digest ^= s.digest(k)
	}
}

// Suspects returns the digest of the parts that the VM suspects, and the parts to send to a
// peer that has the given digest: none if it knows the same. Those with the newest crash go
// first.
func (q *Quarantiner) Suspects(digest uint64) (uint64, []bluebelldoor.SuspectPart) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.suspects) == 0 {
		return 0, nil
	}
	now := q.clock.Now()
	q.updateDigest(now)
	if digest == q.digest {
		return q.digest, nil
	}
	out := make([]bluebelldoor.SuspectPart, 0, len(q.suspects))
	for k, s := range q.suspects {
		out = append(out, s.message(k, now))
	}
	newest := func(p bluebelldoor.SuspectPart) int64 {
		return slices.MinFunc(p.Crashes, func(a, b bluebelldoor.PartCrash) int { return cmp.Compare(a.AgeMs, b.AgeMs) }).AgeMs
	}
	slices.SortFunc(out, func(a, b bluebelldoor.SuspectPart) int { return cmp.Compare(newest(a), newest(b)) })
	return q.digest, out[:min(len(out), maxSentSuspects)]
}

func (s *suspect) message(k key, now time.Duration) bluebelldoor.SuspectPart {
	out := bluebelldoor.SuspectPart{Service: k.service, Part: k.part, SoundAgeMs: -1}
	if s.soundAt >= 0 {
		out.SoundAgeMs = (now - s.soundAt).Milliseconds()
	}
	for _, c := range s.crashes {
		out.Crashes = append(out.Crashes, bluebelldoor.PartCrash{Target: c.target, Account: c.account, AgeMs: (now - c.at).Milliseconds()})
	}
	return out
}

// Merge applies the parts that a peer suspects, or has seen proven sound.
func (q *Quarantiner) Merge(peer string, parts []bluebelldoor.SuspectPart) {
	if len(parts) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	for _, in := range parts[:min(len(parts), maxSentSuspects)] {
		if len(in.Service) <= maxNameLength && len(in.Part) <= maxNameLength {
			q.merge(peer, in, now)
		}
	}
	q.updateDigest(now)
}

// merge applies one part. The caller holds q.mu.
func (q *Quarantiner) merge(peer string, in bluebelldoor.SuspectPart, now time.Duration) {
	k := key{in.Service, in.Part}
	for _, c := range in.Crashes[:min(len(in.Crashes), maxCrashes)] {
		age, ok := duration(c.AgeMs)
		if !ok || len(c.Target) > maxNameLength || len(c.Account) > maxNameLength {
			continue
		}
		q.addCrash(k, crash{c.Target, c.Account, now - age}, now, peer)
	}
	if age, ok := duration(in.SoundAgeMs); ok && q.suspects[k] != nil {
		q.clear(k, q.suspects[k], now-age, now)
	}
}

// duration returns the age in a message, and false if it is out of range.
func duration(ms int64) (time.Duration, bool) {
	if ms < 0 || ms > maxAge.Milliseconds() {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

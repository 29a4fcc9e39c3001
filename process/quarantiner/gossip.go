package quarantiner

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebelldoor"
)

const (
	// maxSentCrashes bounds the crashes in one message.
	maxSentCrashes = 16
	// maxNameLength bounds the names that a message may hold.
	maxNameLength = 256
)

// digest returns the contribution of a crash to the digest of all. Whether it has been
// cleared counts, ages do not, as they differ between VMs. The caller holds q.mu.
func (q *Quarantiner) digest(c *crash) uint64 {
	text := strings.Join(append([]string{c.service, c.target, c.account}, c.parts...), "\x00")
	for _, part := range c.parts {
		if !q.counts(c, part) {
			text += "\x01" + part
		}
	}
	return xxhash.Sum64String(text)
}

// Crashes returns the digest of the crashes that the VM knows, and the crashes to send to a
// peer that has the given digest, the most important first: none if it knows the same.
func (q *Quarantiner) Crashes(digest uint64) (uint64, []bluebelldoor.PromptCrash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.crashes) == 0 {
		return 0, nil
	}
	now := q.clock.Now()
	q.prune(now)
	if !q.digestValid {
		q.digestOfAll, q.digestValid = 0, true
		for _, c := range q.crashes {
			q.digestOfAll += q.digest(c)
		}
	}
	if digest == q.digestOfAll {
		return digest, nil
	}
	var out []bluebelldoor.PromptCrash
	for _, c := range q.toSend() {
		out = append(out, q.message(c, now))
	}
	return q.digestOfAll, out
}

// toSend returns at most maxSentCrashes crashes: those of parts that several accuse, then
// the newest, then others at random, lest a peer that has started since never learns of
// them. The caller holds q.mu.
func (q *Quarantiner) toSend() []*crash {
	const atRandom = maxSentCrashes / 4
	accusers := map[*crash]int{}
	for _, crashes := range q.byPart {
		for _, c := range crashes {
			accusers[c] = max(accusers[c], min(len(crashes), 2))
		}
	}
	out := slices.Clone(q.crashes)
	slices.SortFunc(out, func(a, b *crash) int { return cmp.Or(accusers[b]-accusers[a], cmp.Compare(b.at, a.at)) })
	if len(out) <= maxSentCrashes {
		return out
	}
	rest := out[maxSentCrashes-atRandom:]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return out[:maxSentCrashes]
}

func (q *Quarantiner) message(c *crash, now time.Duration) bluebelldoor.PromptCrash {
	out := bluebelldoor.PromptCrash{Service: c.service, Target: c.target, Account: c.account, AgeMs: (now - c.at).Milliseconds()}
	for _, part := range c.parts {
		age := int64(-1)
		if at, ok := q.soundAt[key{c.service, part}]; ok {
			age = (now - at).Milliseconds()
		}
		out.Parts = append(out.Parts, bluebelldoor.PromptPart{ID: part, SoundAgeMs: age})
	}
	return out
}

// Merge applies the crashes that a peer knows, and when their parts were proven sound.
// Malformed ones are ignored.
func (q *Quarantiner) Merge(peer string, crashes []bluebelldoor.PromptCrash) {
	if len(crashes) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	for _, in := range crashes[:min(len(crashes), maxSentCrashes)] {
		if isValid(in) {
			q.merge(peer, in, now)
		}
	}
}

func isValid(in bluebelldoor.PromptCrash) bool {
	valid := len(in.Service) <= maxNameLength && len(in.Target) <= maxNameLength && len(in.Account) <= maxNameLength &&
		in.AgeMs >= 0 && in.AgeMs <= forgetAfter.Milliseconds() && len(in.Parts) > 0 && len(in.Parts) <= maxParts
	for _, part := range in.Parts {
		valid = valid && len(part.ID) <= maxNameLength
	}
	return valid
}

// merge applies one crash. The caller holds q.mu.
func (q *Quarantiner) merge(peer string, in bluebelldoor.PromptCrash, now time.Duration) {
	c := &crash{service: in.Service, target: in.Target, account: in.Account, at: now - time.Duration(in.AgeMs)*time.Millisecond}
	for _, part := range in.Parts {
		c.parts = append(c.parts, part.ID)
	}
	q.addCrash(c, now, peer)
	for _, part := range in.Parts {
		if part.SoundAgeMs >= 0 && part.SoundAgeMs <= forgetAfter.Milliseconds() {
			q.clear(key{in.Service, part.ID}, now-time.Duration(part.SoundAgeMs)*time.Millisecond)
		}
	}
}

package quarantiner

import (
	"strconv"
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
	// maxComparedProofs is up to how many proofs of a part VMs compare what they know.
	maxComparedProofs = 8
)

// digest returns the contribution of a crash to the digest of all. How many answers speak for
// its parts counts, ages do not, as they differ between VMs. The caller holds q.mu.
func (q *Quarantiner) digest(c *crash) uint64 {
	text := strings.Join(append([]string{c.service, c.target, c.account}, c.parts...), "\x00")
	if c.ended {
		text += "\x02"
	}
	if c.undated {
		text += "\x03"
	}
	for _, part := range c.parts {
		text += "\x01" + strconv.Itoa(min(q.answersSince(key{c.service, part}, c.at), maxComparedProofs))
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
	sent := map[key]bool{}
	for _, c := range q.toSend() {
		out = append(out, q.message(c, now, sent))
	}
	return q.digestOfAll, out
}

// message returns a crash as it is sent to peers. The proofs of parts in sent are left out.
// The caller holds q.mu.
func (q *Quarantiner) message(c *crash, now time.Duration, sent map[key]bool) bluebelldoor.PromptCrash {
	out := bluebelldoor.PromptCrash{
		Service: c.service, Target: c.target, Account: c.account,
		AgeMs: (now - c.at).Milliseconds(), SpanMs: (c.at - c.since).Milliseconds(), Undated: c.undated, Ended: c.ended,
	}
	for _, id := range c.parts {
		k := key{c.service, id}
		part := bluebelldoor.PromptPart{ID: id}
		if s := q.sound[k]; s != nil && !sent[k] {
			for _, p := range s.proofs {
				part.Proofs = append(part.Proofs, bluebelldoor.PartProof{ID: p.id, AgeMs: (now - p.at).Milliseconds()})
			}
		}
		sent[k] = true
		out.Parts = append(out.Parts, part)
	}
	return out
}

// Merge applies the crashes that a peer knows, and the proofs of their parts. Malformed ones
// are ignored.
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
	q.logChanges(now)
}

func isValid(in bluebelldoor.PromptCrash) bool {
	isAge := func(ms int64) bool { return ms >= 0 && ms <= forgetAfter.Milliseconds() }
	valid := len(in.Service) <= maxNameLength && len(in.Target) <= maxNameLength && len(in.Account) <= maxNameLength &&
		isAge(in.AgeMs) && isAge(in.SpanMs) && len(in.Parts) > 0 && len(in.Parts) <= maxParts
	for _, part := range in.Parts {
		valid = valid && len(part.ID) <= maxNameLength && len(part.Proofs) <= maxPartProofs
		for _, p := range part.Proofs {
			valid = valid && isAge(p.AgeMs)
		}
	}
	return valid
}

// merge applies one crash. The caller holds q.mu.
func (q *Quarantiner) merge(peer string, in bluebelldoor.PromptCrash, now time.Duration) {
	at := now - time.Duration(in.AgeMs)*time.Millisecond
	report := &event{service: in.Service, target: in.Target, since: at - time.Duration(in.SpanMs)*time.Millisecond, at: at, undated: in.Undated, ended: in.Ended}
	c := &crash{event: q.eventOf(report), account: in.Account}
	for _, part := range in.Parts {
		c.parts = append(c.parts, part.ID)
	}
	q.addCrash(c, now, peer)
	for _, part := range in.Parts {
		k := key{in.Service, part.ID}
		if len(q.byPart[k]) == 0 {
			continue // the crash has not been kept
		}
		for _, p := range part.Proofs {
			if q.soundness(k).add(proof{p.ID, now - time.Duration(p.AgeMs)*time.Millisecond}, 0) {
				q.digestValid, q.setsValid = false, false
			}
		}
	}
}

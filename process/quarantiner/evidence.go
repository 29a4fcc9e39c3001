package quarantiner

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// minCrashes is how many crashes quarantine a part of which no answer was complete.
	minCrashes = 3
	// simultaneousWithin is within what time targets that end may have a common cause, as when
	// a data centre loses power. Of their ends maxSimultaneous count.
	simultaneousWithin = 30 * time.Millisecond
	maxSimultaneous    = 2
	// minCoverage is the share of all crashes from the first to the last with a part that a part
	// must be in to be quarantined: sound parts are in a few of the crashes that another part causes.
	// It does not matter from certainCrashes crashes on without any complete answer.
	minCoverage    = 1.0 / 3
	certainCrashes = 5
	// settleTime is in what time VMs tell each other of answers. Where a part has had some, only
	// crashes that are older count.
	settleTime = 300 * time.Millisecond
	// maxGuiltySets bounds the sets that are told apart in one service.
	maxGuiltySets = 16
)

// crashWeight and answerWeight are the logarithms of how much likelier a crash, and how much
// less likely a complete answer, is with a part that ends its target every other time than with
// a sound one that is on a target that ends one time in ten, times a constant.
const (
	crashWeight  = 8
	answerWeight = 3
)

// evidenceOf returns what n crashes and some complete answers say against a part.
func evidenceOf(n, answers int) int { return crashWeight*n - answerWeight*answers }

// guiltySet is a set of parts of which any may be the cause of crashes: each of them was in
// every request that ended.
type guiltySet struct {
	service string
	parts   []string
	name    string
	// account is the account of all these requests, if several is not set. They then count for
	// that account only, lest it has the parts of others refused.
	account string
	several bool
	// crashes is the number of crashes from the time from on that accuse the set, the latest at
	// last, and answers that of complete answers.
	crashes    int
	answers    int
	from, last time.Duration
}

func (g *guiltySet) accuses(account string) bool { return g.several || g.account == account }

// firstOf returns the first of a request's parts that is in the set.
func (g *guiltySet) firstOf(parts []string) string {
	i := slices.IndexFunc(parts, func(part string) bool { return slices.Contains(g.parts, part) })
	return parts[i]
}

// isExplained reports whether a request of a crash had all parts of a guilty set.
func isExplained(c *crash, guilty []*guiltySet) bool {
	return slices.ContainsFunc(guilty, func(g *guiltySet) bool { return g.service == c.service && c.has(g.parts) })
}

// guilty returns the sets that are guilty by what is known. The caller holds q.mu.
func (q *Quarantiner) guilty() []*guiltySet {
	now := q.clock.Now()
	if !q.setsValid || now >= q.setsUntil {
		q.sets, q.setsValid, q.setsUntil = q.findGuilty(now), true, math.MaxInt64
		for _, c := range q.crashes {
			if settled := c.at + settleTime; settled > now {
				q.setsUntil = min(q.setsUntil, settled)
			}
		}
	}
	return q.sets
}

// findGuilty finds the guilty sets of all services. The caller holds q.mu.
func (q *Quarantiner) findGuilty(now time.Duration) []*guiltySet {
	byService := map[string][]*crash{}
	for _, c := range q.crashes {
		byService[c.service] = append(byService[c.service], c)
	}
	var out []*guiltySet
	for service, crashes := range byService {
		out = append(out, q.findIn(service, crashes, now)...)
	}
	slices.SortFunc(out, func(a, b *guiltySet) int { return strings.Compare(a.name, b.name) })
	return out
}

// findIn finds the guilty sets of a service, the one that most crashes accuse first. The
// events that it explains accuse nothing else. The caller holds q.mu.
func (q *Quarantiner) findIn(service string, crashes []*crash, now time.Duration) []*guiltySet {
	explained := map[*event]bool{}
	var out []*guiltySet
	for len(out) < maxGuiltySets {
		best := q.mostAccused(service, crashes, explained, now)
		if best == nil {
			break
		}
		out = append(out, best)
		for _, c := range crashes {
			if c.has(best.parts) {
				explained[c.event] = true
			}
		}
	}
	return out
}

// mostAccused returns the set that most of the unexplained events accuse, nil if none accuse
// any enough. The caller holds q.mu.
func (q *Quarantiner) mostAccused(service string, crashes []*crash, explained map[*event]bool, now time.Duration) *guiltySet {
	against := map[string][]*crash{}
	var unexplained []*crash
	for _, c := range crashes {
		if explained[c.event] {
			continue
		}
		unexplained = append(unexplained, c)
		for _, part := range c.parts {
			against[part] = append(against[part], c)
		}
	}
	slices.SortStableFunc(unexplained, compareAge)
	all := eventsOf(unexplained)
	var found []*guiltySet
	for part, accusing := range against {
		if g := q.judge(key{service, part}, accusing, all, now); g != nil && !g.isGeneral(unexplained) {
			found = append(found, g)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return slices.MaxFunc(found, compareSets)
}

// isGeneral reports whether all requests that ended had the set, and several with each target:
// then the set does not tell those that end targets from the others.
func (g *guiltySet) isGeneral(crashes []*crash) bool {
	n := 0
	for _, c := range crashes {
		if c.at < g.from {
			continue
		}
		if !c.has(g.parts) {
			return false
		}
		n++
	}
	return n > 2*g.crashes
}

// compareSets orders sets by how much speaks against them, and larger ones after smaller.
func compareSets(a, b *guiltySet) int {
	return cmp.Or(evidenceOf(a.crashes, a.answers)-evidenceOf(b.crashes, b.answers), len(a.parts)-len(b.parts), strings.Compare(b.name, a.name))
}

// compareAge orders crashes, the oldest first.
func compareAge(a, b *crash) int { return cmp.Compare(a.at, b.at) }

// judge returns the guilty set of a part by the crashes that accuse it, nil if they are too
// few for the answers that were complete. It asks from each of the events on: a part may
// have been sound before. all are the events that nothing explains yet. The caller holds q.mu.
func (q *Quarantiner) judge(k key, accusing []*crash, all []*event, now time.Duration) *guiltySet {
	if len(accusing) < minCrashes {
		return nil
	}
	accusing = slices.Clone(accusing)
	slices.SortStableFunc(accusing, compareAge)
	events := eventsOf(accusing)
	for i, first := range events {
		n := len(events) - i
		if n < minCrashes {
			break
		}
		from := first.at
		answers := q.answersSince(k, from)
		counted := events[i:]
		if answers > 0 {
			counted = counted[:countBetween(counted, from, now-settleTime)]
		}
		covers := n >= certainCrashes && answers == 0 || float64(n) > minCoverage*float64(countBetween(all, from, events[len(events)-1].at))
		if covers && answers < maxPartProofs && evidenceOf(countIndependent(counted), answers) >= evidenceOf(minCrashes, 0) {
			return q.newGuiltySet(k, accusing, from, n, answers)
		}
	}
	return nil
}

// countBetween returns how many of the sorted events are between two times, inclusive.
func countBetween(events []*event, from, to time.Duration) int {
	compare := func(e *event, at time.Duration) int { return cmp.Compare(e.at, at) }
	first, _ := slices.BinarySearchFunc(events, from, compare)
	after, _ := slices.BinarySearchFunc(events, to+1, compare)
	return max(0, after-first)
}

// countIndependent returns how many of the events, sorted by time, count if targets that end at
// once may have a common cause. Events that a VM may have noticed late are taken to be at
// once with an earlier one if they may have been.
func countIndependent(events []*event) int {
	n := 0
	rest := slices.Clone(events)
	for len(rest) > 0 {
		first, simultaneous := rest[0].at, 0
		rest = slices.DeleteFunc(rest, func(e *event) bool {
			if e.since-first >= simultaneousWithin {
				return false
			}
			simultaneous++
			return true
		})
		n += min(simultaneous, maxSimultaneous)
	}
	return n
}

// newGuiltySet returns the set of the parts that were in all requests of the crashes since a
// time, the oldest first, and that answers do not clear. The caller holds q.mu.
func (q *Quarantiner) newGuiltySet(k key, accusing []*crash, from time.Duration, n, answers int) *guiltySet {
	g := &guiltySet{service: k.service, crashes: n, answers: answers, from: from}
	first, _ := slices.BinarySearchFunc(accusing, from, func(c *crash, at time.Duration) int { return cmp.Compare(c.at, at) })
	accusing = accusing[first:]
	g.parts, g.account, g.last = slices.Clone(accusing[0].parts), accusing[0].account, accusing[len(accusing)-1].at
	for _, c := range accusing {
		g.several = g.several || c.account != g.account
		g.parts = slices.DeleteFunc(g.parts, func(part string) bool { return !slices.Contains(c.parts, part) })
	}
	g.parts = slices.DeleteFunc(g.parts, func(part string) bool {
		return part != k.part && evidenceOf(n, q.answersSince(key{k.service, part}, from)) < evidenceOf(minCrashes, 0)
	})
	slices.Sort(g.parts)
	g.parts = slices.Compact(g.parts)
	g.name = g.service + "/" + strings.Join(g.parts, ",")
	return g
}

// byRank returns the crashes by what they say: first those that a guilty set explains, then
// those with parts that several crashes accuse, unless most do and answers speak for them,
// then the others; the newest first. The caller holds q.mu.
func (q *Quarantiner) byRank() []*crash {
	guilty := q.guilty()
	rank := map[*crash]int{}
	for _, c := range q.crashes {
		switch {
		case isExplained(c, guilty):
			rank[c] = 2
		case slices.ContainsFunc(c.parts, func(part string) bool {
			n := len(q.byPart[key{c.service, part}])
			return n > 1 && (n <= len(q.crashes)/2 || !q.isProven(c, part))
		}):
			rank[c] = 1
		}
	}
	out := slices.Clone(q.crashes)
	slices.SortStableFunc(out, func(a, b *crash) int { return cmp.Or(rank[b]-rank[a], cmp.Compare(b.at, a.at)) })
	return out
}

// toSend returns at most maxSentCrashes crashes: those that say most, with as many parts that
// several crashes accuse as fit, and others at random, lest a peer that has started since
// never learns of them. The caller holds q.mu.
func (q *Quarantiner) toSend() []*crash {
	const atRandom = maxSentCrashes / 4
	ranked := q.byRank()
	if len(ranked) <= maxSentCrashes {
		return ranked
	}
	covered := map[key]bool{}
	var out, rest []*crash
	for _, c := range ranked {
		isNew := false
		for _, part := range c.parts {
			k := key{c.service, part}
			isNew = isNew || len(q.byPart[k]) > 1 && !covered[k]
			covered[k] = true
		}
		if isNew {
			out = append(out, c)
		} else {
			rest = append(rest, c)
		}
	}
	out = append(out, rest...)
	others := out[maxSentCrashes-atRandom:]
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return out[:maxSentCrashes]
}

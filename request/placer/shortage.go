package placer

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// maxShortages bounds the targets that a Shortage names.
const maxShortages = 3

// Shortage is what a target lacked for a generation.
type Shortage struct {
	Target string
	Lacks  Room
	// FreeTokens is the memory that was free there, and PrefillTokens the number of prompt
	// tokens that waited to be read.
	FreeTokens, PrefillTokens int
}

// String returns s for log lines.
func (s Shortage) String() string {
	return fmt.Sprintf("%s lacks %s: %d tokens free, %d prompt tokens to read", s.Target, s.Lacks, s.FreeTokens, s.PrefillTokens)
}

// Shortages returns what the targets with the most free memory lack for a generation, those
// with room left out.
func (l *Ledger) Shortages(candidates []Candidate, d Demand, now time.Duration) []Shortage {
	if d.Engine == nil {
		return nil
	}
	l.updateTotals(now)
	pauses := l.newPauseModel(candidates, d)
	headroom := l.newHeadroomCheck(candidates, d)
	out := make([]Shortage, 0, len(candidates))
	for i, c := range candidates {
		total := l.loadFor(c.Instance.ID, d)
		lacks := l.lacks(c, total, d, pauses)
		if lacks == HasRoom && !headroom.allows(i, total, d) {
			lacks = NoMemory
		}
		if lacks == HasRoom {
			continue
		}
		out = append(out, Shortage{c.Instance.ID, lacks, d.Engine.MemoryTokens - total.held, total.prefill})
	}
	slices.SortFunc(out, func(a, b Shortage) int {
		return cmp.Or(cmp.Compare(b.FreeTokens, a.FreeTokens), cmp.Compare(a.Target, b.Target))
	})
	return out[:min(len(out), maxShortages)]
}

// JoinShortages returns shortages for a log line.
func JoinShortages(shortages []Shortage) string {
	parts := make([]string, len(shortages))
	for i, s := range shortages {
		parts[i] = s.String()
	}
	return strings.Join(parts, "; ")
}

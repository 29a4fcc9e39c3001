package rater

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// stallThreshold is the gap between tokens beyond which time counts as stalled.
const stallThreshold = 250 * time.Millisecond

// result is what the caller of one request received.
type result struct {
	counted     bool // lies within the measured part of the run
	refused     bool
	completed   bool
	tokens      int
	preemptions int
	firstToken  time.Duration
	stall       time.Duration
	gaps        []time.Duration
}

func (r *result) addToken(gap, sinceArrival time.Duration) {
	r.tokens++
	if r.tokens == 1 {
		r.firstToken = sinceArrival
		return
	}
	r.gaps = append(r.gaps, gap)
	r.stall += max(gap-stallThreshold, 0)
}

// Table aggregates the results of one or more runs.
type Table struct {
	requests, refused, generations int
	preemptions, wastedTokens      int
	cacheHits, cacheMisses         int
	firstTokens, stalls, gaps      []time.Duration
	completed, total, interrupted  map[string]int // by class
	goodput                        int            // in tokens
}

// add adds a request that has ended. Goodput includes every generation completed
// after the warm-up; all else includes only requests that arrived after the
// warm-up and whose deadline lies within the run.
func (t *Table) add(j *job, now time.Duration) {
	if j.result.completed && now > warmUpTime {
		t.goodput += j.result.tokens
	}
	if !j.result.counted {
		return
	}
	if t.completed == nil {
		t.completed, t.total = map[string]int{}, map[string]int{}
	}
	t.requests++
	t.total[j.kind.Class]++
	if j.result.refused {
		t.refused++
	}
	if j.result.tokens > 0 {
		t.generations++
		t.firstTokens = append(t.firstTokens, j.result.firstToken)
		t.stalls = append(t.stalls, j.result.stall)
		t.gaps = append(t.gaps, j.result.gaps...)
	}
	if j.result.completed {
		t.completed[j.kind.Class]++
	}
}

// Join adds the results of other runs.
func (t *Table) Join(o Table) {
	t.requests += o.requests
	t.refused += o.refused
	t.generations += o.generations
	t.preemptions += o.preemptions
	t.wastedTokens += o.wastedTokens
	t.cacheHits += o.cacheHits
	t.cacheMisses += o.cacheMisses
	t.goodput += o.goodput
	t.firstTokens = append(t.firstTokens, o.firstTokens...)
	t.stalls = append(t.stalls, o.stalls...)
	t.gaps = append(t.gaps, o.gaps...)
	if t.completed == nil {
		t.completed, t.total = map[string]int{}, map[string]int{}
	}
	for class, n := range o.total {
		t.total[class] += n
		t.completed[class] += o.completed[class]
	}
	for class, n := range o.interrupted {
		t.addInterrupted(class, n)
	}
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(int(q*float64(len(d))), len(d)-1)]
}

// StallP99 returns the 99th percentile of the stall time of a generation.
func (t *Table) StallP99() time.Duration { return quantile(t.stalls, 0.99) }

// GapP95 returns the 95th percentile of the time between tokens.
func (t *Table) GapP95() time.Duration { return quantile(t.gaps, 0.95) }

// GapP99 returns the 99th percentile of the time between tokens.
func (t *Table) GapP99() time.Duration { return quantile(t.gaps, 0.99) }

// FirstTokenP95 returns the 95th percentile of the time to the first token.
func (t *Table) FirstTokenP95() time.Duration { return quantile(t.firstTokens, 0.95) }

// Preemptions returns the preemptions per 1,000 generations.
func (t *Table) Preemptions() float64 {
	return 1000 * float64(t.preemptions) / float64(max(t.generations, 1))
}

func (t *Table) addInterrupted(class string, n int) {
	if t.interrupted == nil {
		t.interrupted = map[string]int{}
	}
	t.interrupted[class] += n
}

// InterruptedShare returns the share of requests of a class that failed with
// their engine and were not retried.
func (t *Table) InterruptedShare(class string) float64 {
	return float64(t.interrupted[class]) / float64(max(t.total[class], 1))
}

// Hits returns the hit rate of the engines' prefix caches.
func (t *Table) Hits() float64 {
	return float64(t.cacheHits) / float64(max(t.cacheHits+t.cacheMisses, 1))
}

// CompletedShare returns the share of requests of a class that were answered
// completely and in time.
func (t *Table) CompletedShare(class string) float64 {
	return float64(t.completed[class]) / float64(max(t.total[class], 1))
}

// Goodput returns the number of tokens of generations completed in time.
func (t *Table) Goodput() int { return t.goodput }

// Head returns the Markdown table header for Row.
func Head(classes []Kind) string {
	names := make([]string, len(classes))
	for i, k := range classes {
		names[i] = k.Class
	}
	return "| policy | stall p50 | stall p99 | preempt/1000 | gap p95 | gap p99 | first p95 | whole " + strings.Join(names, "/") +
		" | refused | cut | goodput | wasted |\n|---|---|---|---|---|---|---|---|---|---|---|---|"
}

// Row returns the results as a row of a Markdown table.
func (t *Table) Row(name string, classes []Kind) string {
	completed, interrupted := make([]string, len(classes)), make([]string, len(classes))
	for i, k := range classes {
		completed[i] = fmt.Sprintf("%.1f", 100*t.CompletedShare(k.Class))
		interrupted[i] = fmt.Sprintf("%.1f", 100*t.InterruptedShare(k.Class))
	}
	return fmt.Sprintf("| %s | %d ms | %d ms | %.1f | %d ms | %d ms | %d ms | %s %% | %.1f %% | %s %% | %d | %d |", name,
		quantile(t.stalls, 0.5).Milliseconds(), t.StallP99().Milliseconds(), t.Preemptions(), t.GapP95().Milliseconds(),
		t.GapP99().Milliseconds(), t.FirstTokenP95().Milliseconds(), strings.Join(completed, "/"),
		100*float64(t.refused)/float64(max(t.requests, 1)), strings.Join(interrupted, "/"), t.goodput, t.wastedTokens)
}

// Package estimator predicts the lengths of outputs from the outputs that have
// ended, for each model and class.
//
// It predicts lengths in tokens, not times, and is independent of targets.
package estimator

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxTokens         = 1 << 17
	significantDigits = 2
	refreshEvery      = 32 // observations
	defaultRemaining  = 256
	minSamples        = 16
)

// Key identifies a group of outputs whose lengths are predicted together.
type Key struct {
	Model string
	Class string
}

type histogram struct {
	counts *hdrhistogram.Histogram
	// bars are the bars of counts that were not empty at the last refresh.
	bars []hdrhistogram.Bar
	// sinceRefresh is the number of observations that bars lacks.
	sinceRefresh int
}

// Estimator predicts output lengths. It is not safe for concurrent use.
type Estimator struct {
	histograms map[Key]*histogram
}

// New returns an estimator without observations.
func New() *Estimator {
	return &Estimator{histograms: map[Key]*histogram{}}
}

// Observe records the length of an output that has ended.
func (e *Estimator) Observe(k Key, tokens int) {
	h := e.histograms[k]
	if h == nil {
		h = &histogram{counts: hdrhistogram.New(1, maxTokens, significantDigits)}
		e.histograms[k] = h
	}
	_ = h.counts.RecordValue(int64(min(max(tokens, 1), maxTokens)))
	h.sinceRefresh++
	if h.sinceRefresh >= refreshEvery || h.counts.TotalCount() <= 2*minSamples {
		h.refresh()
	}
}

// refresh caches the bars that are not empty.
func (h *histogram) refresh() {
	h.sinceRefresh = 0
	h.bars = h.bars[:0]
	for _, b := range h.counts.Distribution() {
		if b.Count > 0 {
			h.bars = append(h.bars, b)
		}
	}
}

// Remaining predicts how many more tokens an output will have that has produced
// some already and ends at limit at the latest. It is the mean over the ended
// outputs that were longer. With too few samples it predicts as many tokens as
// the output has produced, 256 at least.
func (e *Estimator) Remaining(k Key, produced, limit int) int {
	maxRemaining := max(limit-produced, 0)
	h := e.histograms[k]
	if h == nil {
		return min(maxRemaining, max(defaultRemaining, produced))
	}
	var count, sum int64
	for _, b := range h.bars {
		if b.To > int64(produced) {
			count += b.Count
			sum += b.Count * (min(b.To, int64(limit)) - int64(produced))
		}
	}
	if count == 0 || h.counts.TotalCount() < minSamples {
		return min(maxRemaining, max(defaultRemaining, produced))
	}
	return min(maxRemaining, int(sum/count))
}

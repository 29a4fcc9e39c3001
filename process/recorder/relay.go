package recorder

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bluebelldoor"
)

// RelayMetrics are the counters and histograms of relayed requests. Labels are
// bounded by priorities and codes.
type RelayMetrics struct {
	registry  *prometheus.Registry
	seconds   *prometheus.HistogramVec
	firstByte *prometheus.HistogramVec
	outcomes  *prometheus.CounterVec
	moves     *prometheus.CounterVec
}

// NewRelayMetrics returns metrics in a registry of their own.
func NewRelayMetrics() *RelayMetrics {
	m := &RelayMetrics{
		registry:  prometheus.NewRegistry(),
		seconds:   relayHistogram("request_seconds", "Time from a request's arrival to its final answer."),
		firstByte: relayHistogram("first_event_seconds", "Time from a request's arrival to its first event."),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "answers_total", Help: "Final answers by result code.",
		}, []string{"code"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "moves_total", Help: "Steps of generations that moved, by outcome.",
		}, []string{"outcome"}),
	}
	m.registry.MustRegister(m.seconds, m.firstByte, m.outcomes, m.moves)
	return m
}

func relayHistogram(name, help string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets,
	}, []string{"priority"})
}

// Registry returns the registry, for the metrics page.
func (m *RelayMetrics) Registry() *prometheus.Registry { return m.registry }

// Outcome counts a final answer.
func (m *RelayMetrics) Outcome(priority int, code bluebelldoor.Code, took time.Duration) {
	m.outcomes.WithLabelValues(code.String()).Inc()
	m.seconds.WithLabelValues(strconv.Itoa(priority)).Observe(took.Seconds())
}

// FirstByte notes the time to the first event of a stream.
func (m *RelayMetrics) FirstByte(priority int, took time.Duration) {
	m.firstByte.WithLabelValues(strconv.Itoa(priority)).Observe(took.Seconds())
}

// Moved counts a step of a generation that moves.
func (m *RelayMetrics) Moved(outcome string) { m.moves.WithLabelValues(outcome).Inc() }

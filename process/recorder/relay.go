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
	waits     *prometheus.HistogramVec
	outcomes  *prometheus.CounterVec
	moves     *prometheus.CounterVec
}

// NewRelayMetrics returns metrics in a registry of their own.
func NewRelayMetrics() *RelayMetrics {
	m := &RelayMetrics{
		registry:  prometheus.NewRegistry(),
		seconds:   relayHistogram("request_seconds", "Time from a request's arrival to its final answer."),
		firstByte: relayHistogram("first_event_seconds", "Time from a request's arrival to its first event."),
		waits:     relayHistogram("room_wait_seconds", "Time that a generation waited until an engine had room, if none had at once."),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "answers_total", Help: "Final answers by result code.",
		}, []string{"code"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "moves_total", Help: "Steps of generations that moved, by outcome.",
		}, []string{"outcome"}),
	}
	m.registry.MustRegister(m.seconds, m.firstByte, m.waits, m.outcomes, m.moves)
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

// Waited notes how long a generation waited until an engine had room.
func (m *RelayMetrics) Waited(priority int, took time.Duration) {
	m.waits.WithLabelValues(strconv.Itoa(priority)).Observe(took.Seconds())
}

// Moved counts a step of a generation that moves.
func (m *RelayMetrics) Moved(outcome string) { m.moves.WithLabelValues(outcome).Inc() }

// Gauges are what a VM believes and does at the moment.
type Gauges struct {
	RoutingVersion  float64
	EvidenceSeconds float64
	Members         float64
	Hubs            float64
	Requests        float64
	// Waiting counts generations for which no engine has room.
	Waiting float64
}

// Watch shows gauges, read when the metrics are, and the log lines that were
// dropped.
func (m *RelayMetrics) Watch(read func() Gauges, dropped func() int64) {
	for name, g := range map[string]struct {
		help string
		of   func(Gauges) float64
	}{
		"routing_version":      {"Version of the routing in force.", func(g Gauges) float64 { return g.RoutingVersion }},
		"evidence_age_seconds": {"Age of the proof that what the VM holds was the newest, below 0 if there is none.", func(g Gauges) float64 { return g.EvidenceSeconds }},
		"members":              {"VMs that are alive.", func(g Gauges) float64 { return g.Members }},
		"hubs":                 {"VMs that serve callers.", func(g Gauges) float64 { return g.Hubs }},
		"requests":             {"Requests under way on this VM.", func(g Gauges) float64 { return g.Requests }},
		"waiting":              {"Generations that wait for an engine with room.", func(g Gauges) float64 { return g.Waiting }},
	} {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: g.help}, func() float64 { return g.of(read()) }))
	}
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "log_lines_dropped_total", Help: "Log lines that the output did not take in time.",
	}, func() float64 { return float64(dropped()) }))
}

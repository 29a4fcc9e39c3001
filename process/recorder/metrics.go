package recorder

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bluebelldoor"
)

const namespace = "bluebelldoor"

// Metrics are the counters and histograms of one VM.
type Metrics struct {
	registry          *prometheus.Registry
	firstToken        *prometheus.HistogramVec
	betweenTokens     *prometheus.HistogramVec
	stallTime         *prometheus.HistogramVec
	queueTime         *prometheus.HistogramVec
	refusals          *prometheus.CounterVec
	retries           prometheus.Counter
	resumes           prometheus.Counter
	preemptions       prometheus.Counter
	documentsRejected prometheus.Counter
	streams           prometheus.Gauge
	revision          prometheus.Gauge
	documentAge       prometheus.Gauge
}

var latencyBucketsSeconds = []float64{.005, .01, .02, .04, .078, .15, .34, .6, 1, 2, 5, 10, 30, 60}

// NewMetrics returns metrics with their own registry.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry:      prometheus.NewRegistry(),
		firstToken:    classHistogram("first_token_seconds", "Time from a request's arrival to its first token."),
		betweenTokens: classHistogram("between_tokens_seconds", "Time between two tokens of a generation."),
		stallTime:     classHistogram("stall_seconds", "Time in a generation beyond 250 ms between two tokens, added up."),
		queueTime:     classHistogram("queue_seconds", "Time that a request waited on this VM before it was sent."),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "refusals_total", Help: "Final answers that were not whole, by result code.",
		}, []string{"code"}),
		retries:           counter("retries_total", "Requests sent to a further target."),
		resumes:           counter("resumes_total", "Streams read on after a break."),
		preemptions:       counter("preemptions_seen_total", "Preemptions that engines told of."),
		documentsRejected: counter("documents_rejected_total", "Documents that were refused whole."),
		streams:           gauge("streams", "Generations that this VM is serving."),
		revision:          gauge("document_revision", "Revision of the document in force."),
		documentAge:       gauge("view_age_seconds", "Time since the document in force was confirmed."),
	}
	m.registry.MustRegister(m.firstToken, m.betweenTokens, m.stallTime, m.queueTime, m.refusals, m.retries,
		m.resumes, m.preemptions, m.documentsRejected, m.streams, m.revision, m.documentAge)
	return m
}

func classHistogram(name, help string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: latencyBucketsSeconds,
	}, []string{"class"})
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

// Registry returns the registry to expose.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// ObserveFirstToken records the time to first token.
func (m *Metrics) ObserveFirstToken(class string, d time.Duration) {
	m.firstToken.WithLabelValues(class).Observe(d.Seconds())
}

// ObserveInterTokenLatency records the time between two tokens.
func (m *Metrics) ObserveInterTokenLatency(class string, d time.Duration) {
	m.betweenTokens.WithLabelValues(class).Observe(d.Seconds())
}

// ObserveStallTime records the total stall time of a generation.
func (m *Metrics) ObserveStallTime(class string, d time.Duration) {
	m.stallTime.WithLabelValues(class).Observe(d.Seconds())
}

// ObserveQueueTime records how long a request waited before it was sent.
func (m *Metrics) ObserveQueueTime(class string, d time.Duration) {
	m.queueTime.WithLabelValues(class).Observe(d.Seconds())
}

// Refused counts a final response that was not complete, by result code.
func (m *Metrics) Refused(code bluebelldoor.Code) {
	m.refusals.WithLabelValues(code.String()).Inc()
}

// Retried counts a request that is sent to another target.
func (m *Metrics) Retried() { m.retries.Inc() }

// Resumed counts a stream that is resumed after an interruption.
func (m *Metrics) Resumed() { m.resumes.Inc() }

// Preempted adds n preemptions reported by an engine.
func (m *Metrics) Preempted(n int) { m.preemptions.Add(float64(n)) }

// DocumentRejected counts a document that was rejected.
func (m *Metrics) DocumentRejected() { m.documentsRejected.Inc() }

// StreamStarted increments the number of generations being served.
func (m *Metrics) StreamStarted() { m.streams.Inc() }

// StreamEnded decrements the number of generations being served.
func (m *Metrics) StreamEnded() { m.streams.Dec() }

// SetActiveDocument sets the revision of the active document and the time since it was
// last confirmed.
func (m *Metrics) SetActiveDocument(revision uint64, age time.Duration) {
	m.revision.Set(float64(revision))
	m.documentAge.Set(age.Seconds())
}

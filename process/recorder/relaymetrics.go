package recorder

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bluebelldoor"
)

// RelayMetrics are the counters and histograms of relayed requests. Label
// values are limited to priorities, result codes, outcomes and steps.
// values are limited to priorities, result codes, move outcomes and reasons of refusals.
type RelayMetrics struct {
	registry     *prometheus.Registry
	requestTime  *prometheus.HistogramVec
	firstEvent   *prometheus.HistogramVec
	capacityWait *prometheus.HistogramVec
	answers      *prometheus.CounterVec
	moves        *prometheus.CounterVec
	permits      *prometheus.CounterVec
	protected    *prometheus.CounterVec
	slowStart    *prometheus.CounterVec
	crowded      *prometheus.CounterVec
	broken       *prometheus.CounterVec
	reservations prometheus.Counter
}

// NewRelayMetrics returns metrics with their own registry.
func NewRelayMetrics() *RelayMetrics {
	m := &RelayMetrics{
		registry:     prometheus.NewRegistry(),
		requestTime:  priorityHistogram("request_seconds", "Time from a request's arrival to its final answer."),
		firstEvent:   priorityHistogram("first_event_seconds", "Time from a request's arrival to its first event."),
		capacityWait: priorityHistogram("room_wait_seconds", "Time that a generation waited until an engine had room, if none had at once."),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "answers_total", Help: "Final answers by result code.",
		}, []string{"code"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "moves_total", Help: "Steps of generations that moved, by outcome.",
		}, []string{"outcome"}),
		permits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "permits_total", Help: "Requests for permits to send to limited targets, by outcome.",
		}, []string{"outcome"}),
		protected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "protected_streams_total", Help: "Targets chosen for protected streams at their start or for a move, by whether they are safe.",
		}, []string{"step", "target"}),
		slowStart: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "slow_start_total", Help: "Targets that entered or left slow start, answers by what they say of their target, and requests beyond a window, by event.",
		}, []string{"event"}),
		reservations: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "reservations_total", Help: "Generations for which memory on an engine was reserved while they waited.",
		}),
	}
	m.crowded = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "crowded_total", Help: "Refusals for lack of room, by reason.",
	}, []string{"reason"})
	m.broken = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "broken_exchanges_total", Help: "Exchanges whose target ended the connection before the response was complete, by point.",
	}, []string{"point"})
	m.registry.MustRegister(m.broken, m.requestTime, m.firstEvent, m.capacityWait, m.answers, m.moves, m.permits, m.protected, m.slowStart, m.crowded, m.reservations)
	return m
}

func priorityHistogram(name, help string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: latencyBucketsSeconds,
	}, []string{"priority"})
}

// Registry returns the registry to expose.
func (m *RelayMetrics) Registry() *prometheus.Registry { return m.registry }

// ObserveAnswer counts a final response and records the time until it.
func (m *RelayMetrics) ObserveAnswer(priority int, code bluebelldoor.Code, took time.Duration) {
	m.answers.WithLabelValues(code.String()).Inc()
	m.requestTime.WithLabelValues(strconv.Itoa(priority)).Observe(took.Seconds())
}

// ObserveFirstEvent records the time to the first event of a stream.
func (m *RelayMetrics) ObserveFirstEvent(priority int, took time.Duration) {
	m.firstEvent.WithLabelValues(strconv.Itoa(priority)).Observe(took.Seconds())
}

// ObserveRoomWait records how long a generation waited for an engine with free capacity.
func (m *RelayMetrics) ObserveRoomWait(priority int, took time.Duration) {
	m.capacityWait.WithLabelValues(strconv.Itoa(priority)).Observe(took.Seconds())
}

// CountMoveStep counts a step of moving a generation to another engine.
func (m *RelayMetrics) CountMoveStep(outcome string) { m.moves.WithLabelValues(outcome).Inc() }

// CountBroken counts an exchange that its target has ended before the response was complete.
func (m *RelayMetrics) CountBroken(point string) { m.broken.WithLabelValues(point).Inc() }

// CountPermit counts a request for a permit.
func (m *RelayMetrics) CountPermit(outcome string) { m.permits.WithLabelValues(outcome).Inc() }

// CountProtected counts a target that was chosen for a protected stream, at its start or for a
// move.
func (m *RelayMetrics) CountProtected(step string, safe bool) {
	target := "unsafe"
	if safe {
		target = "safe"
	}
	m.protected.WithLabelValues(step, target).Inc()
}

// CountSlowStart counts an event of the slow start of targets.
func (m *RelayMetrics) CountSlowStart(event string) { m.slowStart.WithLabelValues(event).Inc() }

// CountCrowded counts a refusal for lack of room.
func (m *RelayMetrics) CountCrowded(reason string) { m.crowded.WithLabelValues(reason).Inc() }

// CountReservation counts a generation for which memory was reserved.
func (m *RelayMetrics) CountReservation() { m.reservations.Inc() }

// Gauges are current values of a VM's state.
type Gauges struct {
	RoutingVersion float64
	// OpenAccess is 1 if the routing in force has no list of client accounts.
	OpenAccess float64
	// APIKeys counts the API keys that client accounts hold.
	APIKeys float64
	// PlatformEra increases when the platform's store returns from an older copy.
	PlatformEra float64
	// EvidenceAgeSeconds is the age of the evidence that the VM's view was current, or
	// negative if there is none.
	EvidenceAgeSeconds float64
	Members            float64
	Hubs               float64
	Requests           float64
	// Waiting counts generations that wait for an engine with free capacity.
	Waiting float64
	// LimitedTargets counts targets that have named a limit.
	LimitedTargets float64
	// SlowStarts counts targets in slow start on this VM.
	SlowStarts float64
	// QuarantinedParts counts parts of prompts that are kept away from engines.
	QuarantinedParts float64
	// Behind is 1 if a newer routing is known than the one in force, else 0.
	Behind float64
	// FailedExchanges counts messages to peers that were not answered in time.
	FailedExchanges float64
	// LateMessages counts messages of peers that had waited for long when they were read.
	LateMessages float64
	// Outages counts how often the VM has taken the platform to have been away.
	Outages float64
	// ValueBytesSent and ValueBytesReceived count the bytes of large values between VMs.
	ValueBytesSent, ValueBytesReceived float64
	// BufferedBytes are the bytes of bodies and events that wait until they are complete.
	BufferedBytes float64
	// MemoryRefused counts bodies and events for which there was no memory.
	MemoryRefused float64
	// Accounts counts client accounts with recent use where room is shared by account, and
	// LargestAccountShare is the share of that use that the largest has.
	Accounts, LargestAccountShare float64
	// OvertakenServed counts generations that came first because their account had been
	// overtaken for too long.
	OvertakenServed float64
	// HeadroomTokens is the size of an urgent generation for which deferrable ones leave
	// memory, HeadroomTargets the number of targets on which. ReservedTokens is the memory that
	// the VM has reserved for queued urgent generations.
	HeadroomTokens, HeadroomTargets, ReservedTokens float64
}

// RegisterGauges registers the gauges and the counter of dropped log lines; read and
// dropped are called whenever the metrics are collected.
func (m *RelayMetrics) RegisterGauges(read func() Gauges, dropped func() int64) {
	for name, g := range map[string]struct {
		help  string
		value func(Gauges) float64
	}{
		"platform_era":         {"Era of the platform's store that the VM holds; it increases when the store returns from an older copy.", func(g Gauges) float64 { return g.PlatformEra }},
		"routing_version":      {"Version of the routing in force.", func(g Gauges) float64 { return g.RoutingVersion }},
		"open_access":          {"1 if the routing in force has no list of client accounts, so that callers need no API key.", func(g Gauges) float64 { return g.OpenAccess }},
		"api_keys":             {"API keys that client accounts hold under the routing in force.", func(g Gauges) float64 { return g.APIKeys }},
		"evidence_age_seconds": {"Age of the proof that what the VM holds was the newest, below 0 if there is none.", func(g Gauges) float64 { return g.EvidenceAgeSeconds }},
		"members":              {"VMs that are alive.", func(g Gauges) float64 { return g.Members }},
		"hubs":                 {"VMs that serve callers.", func(g Gauges) float64 { return g.Hubs }},
		"requests":             {"Requests under way on this VM.", func(g Gauges) float64 { return g.Requests }},
		"waiting":              {"Generations that wait for an engine with room.", func(g Gauges) float64 { return g.Waiting }},
		"limited_targets":      {"Targets that have named a limit of requests per second.", func(g Gauges) float64 { return g.LimitedTargets }},
		"slow_start_targets":   {"Targets in slow start on this VM.", func(g Gauges) float64 { return g.SlowStarts }},
		"quarantined_parts":    {"Parts of prompts that are kept away from engines.", func(g Gauges) float64 { return g.QuarantinedParts }},
		"behind":               {"1 if a newer routing is known than the one in force.", func(g Gauges) float64 { return g.Behind }},
		"failed_exchanges":     {"Messages to other VMs that were not answered in time, since the start.", func(g Gauges) float64 { return g.FailedExchanges }},
		"late_messages":        {"Messages of other VMs that had waited for over 0.5 s when they were read, since the start.", func(g Gauges) float64 { return g.LateMessages }},
		"platform_outages":     {"Times that the platform's store counted as having been away, so that targets whose records were missing stayed in use for a while, since the start.", func(g Gauges) float64 { return g.Outages }},
		"value_bytes_sent":     {"Bytes of large values sent to other VMs, since the start.", func(g Gauges) float64 { return g.ValueBytesSent }},
		"value_bytes_received": {"Bytes of large values received from other VMs, since the start.", func(g Gauges) float64 { return g.ValueBytesReceived }},
		"buffered_bytes":       {"Bytes of bodies and events that wait until they are complete.", func(g Gauges) float64 { return g.BufferedBytes }},
		"headroom_tokens":      {"Size in tokens of an urgent generation for which deferrable ones leave memory, 0 without urgent ones.", func(g Gauges) float64 { return g.HeadroomTokens }},
		"headroom_targets":     {"Targets on which deferrable generations are to leave memory for urgent ones, before the bound by the number of targets.", func(g Gauges) float64 { return g.HeadroomTargets }},
		"reserved_tokens":      {"Memory on targets, in tokens, that this VM has reserved for urgent generations that wait.", func(g Gauges) float64 { return g.ReservedTokens }},
		"memory_refused":       {"Bodies and events for which there was no memory, since the start.", func(g Gauges) float64 { return g.MemoryRefused }},
		"accounts":             {"Client accounts with recent use, where room is shared by account.", func(g Gauges) float64 { return g.Accounts }},
		"account_use_largest":  {"Share of that use that the largest client account has.", func(g Gauges) float64 { return g.LargestAccountShare }},
		"overtaken_served":     {"Generations that came first because their account had been overtaken for too long, since the start.", func(g Gauges) float64 { return g.OvertakenServed }},
	} {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: g.help}, func() float64 { return g.value(read()) }))
	}
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "log_lines_dropped_total", Help: "Log lines that the output did not take in time.",
	}, func() float64 { return float64(dropped()) }))
}

package runner

import "bluebelldoor/process/recorder"

// RelayStatus is the state of a relaying VM as reported to operators.
type RelayStatus struct {
	VM         string `json:"vm"`
	DataCentre string `json:"dataCentre"`
	Phase      Phase  `json:"life"`
	// Serves is true if the VM is a hub, false if it is a standby.
	Serves bool `json:"serves"`
	// RoutingVersion is the version of the routing in force, 0 before the first.
	RoutingVersion uint64 `json:"routingVersion"`
	// NeedsAPIKey is set if callers of routes that are not public need one of the APIKeys keys.
	NeedsAPIKey bool `json:"needsKey"`
	APIKeys     int  `json:"keys"`
	// Era and Revision are the position of the platform's records that the VM holds.
	Era      uint64 `json:"era"`
	Revision uint64 `json:"revision"`
	// EvidenceAgeMs is the age of the evidence that the records were the
	// platform's newest, -1 if there is none.
	EvidenceAgeMs int64 `json:"evidenceAgeMs"`
	// Behind is set if a newer routing is known than the one in force.
	Behind   bool     `json:"behind"`
	Members  []string `json:"members"`
	Hubs     []string `json:"hubs"`
	Requests int      `json:"requests"`
	// Waiting is the number of generations for which no engine has room yet.
	Waiting int `json:"waiting"`
	// LimitedTargets is the number of targets that have named a limit.
	LimitedTargets int `json:"limitedTargets"`
	// QuarantinedParts is the number of parts of prompts that are kept away from engines.
	QuarantinedParts int `json:"quarantinedParts"`
}

// Status returns the VM's state.
func (r *Relay) Status() RelayStatus {
	position := r.registrar.Position()
	s := RelayStatus{
		VM: r.settings.Name, DataCentre: r.settings.DataCentre, Phase: r.lifecycle.MustState().(Phase),
		Serves: r.gossiper.IsHub(), Era: position.Era, Revision: position.Revision, EvidenceAgeMs: -1, Requests: r.acceptor.ActiveRequests(),
		Waiting: r.relayer.QueueLength(), LimitedTargets: r.limiter.Count(), QuarantinedParts: r.parts.Count(),
		Behind: r.registrar.IsBehind(),
	}
	if routing := r.registrar.View().Routing(); routing != nil {
		s.RoutingVersion, s.NeedsAPIKey, s.APIKeys = routing.Version(), routing.NeedsAPIKey(), routing.APIKeys()
	}
	if age, ok := r.registrar.EvidenceAge(); ok {
		s.EvidenceAgeMs = age.Milliseconds()
	}
	for _, m := range r.gossiper.Alive() {
		s.Members = append(s.Members, m.Name)
	}
	for _, m := range r.gossiper.Hubs() {
		s.Hubs = append(s.Hubs, m.Name)
	}
	return s
}

// gauges returns the values of the metrics' gauges.
func (r *Relay) gauges() recorder.Gauges {
	s := r.Status()
	headroom := r.relayer.Headroom()
	behind := 0.0
	if s.Behind {
		behind = 1
	}
	openAccess := 0.0
	if s.RoutingVersion > 0 && !s.NeedsAPIKey {
		openAccess = 1
	}
	shares := r.relayer.AccountShares()
	return recorder.Gauges{
		Accounts: float64(shares.Accounts), LargestAccountShare: shares.LargestShare, OvertakenServed: float64(shares.OvertakenServed),
		Behind: behind, FailedExchanges: float64(r.gossiper.FailedExchanges()), LateMessages: float64(r.gossiper.LateMessages()),
		Outages:        float64(r.registrar.Outages()),
		ValueBytesSent: float64(r.values.Sent()), ValueBytesReceived: float64(r.values.Received()),
		OpenAccess: openAccess, APIKeys: float64(s.APIKeys),
		RoutingVersion: float64(s.RoutingVersion), PlatformEra: float64(s.Era), EvidenceAgeSeconds: float64(s.EvidenceAgeMs) / 1000,
		Members: float64(len(s.Members)), Hubs: float64(len(s.Hubs)), Requests: float64(s.Requests),
		HeadroomTokens: float64(headroom.Tokens), HeadroomTargets: float64(headroom.Targets), ReservedTokens: float64(headroom.Reserved),
		BufferedBytes: float64(r.memory.Used()), MemoryRefused: float64(r.memory.Refused()),
		SlowStarts: float64(r.relayer.SlowStarts()),
		Waiting:    float64(s.Waiting), LimitedTargets: float64(s.LimitedTargets), QuarantinedParts: float64(s.QuarantinedParts),
	}
}

package runner

import "bluebelldoor/process/recorder"

// RelayStatus is what a VM that relays tells operators of itself.
type RelayStatus struct {
	VM         string `json:"vm"`
	DataCentre string `json:"dataCentre"`
	Life       Life   `json:"life"`
	// Serves tells that the VM serves callers; else it stands by.
	Serves bool `json:"serves"`
	// RoutingVersion is that of the routing in force, 0 before the first.
	RoutingVersion uint64 `json:"routingVersion"`
	// Revision is that of the platform's entries that the VM holds.
	Revision uint64 `json:"revision"`
	// EvidenceAgeMs is how old the proof is that they were the newest, below 0
	// if there is none.
	EvidenceAgeMs int64    `json:"evidenceAgeMs"`
	Members       []string `json:"members"`
	Hubs          []string `json:"hubs"`
	Requests      int      `json:"requests"`
	// Waiting counts generations for which no engine has room yet.
	Waiting int `json:"waiting"`
}

// Status returns the VM's state.
func (r *Relay) Status() RelayStatus {
	s := RelayStatus{
		VM: r.settings.Name, DataCentre: r.settings.DataCentre, Life: r.life.MustState().(Life),
		Serves: r.gossiper.IsHub(), Revision: r.registrar.Revision(), EvidenceAgeMs: -1, Requests: r.acceptor.Busy(),
		Waiting: r.relayer.Waiting(),
	}
	if routing := r.registrar.View().Routing(); routing != nil {
		s.RoutingVersion = routing.Version()
	}
	if age, proved := r.registrar.Evidence(); proved {
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

// gauges returns what the metrics show of the VM's beliefs.
func (r *Relay) gauges() recorder.Gauges {
	s := r.Status()
	return recorder.Gauges{
		RoutingVersion: float64(s.RoutingVersion), EvidenceSeconds: float64(s.EvidenceAgeMs) / 1000,
		Members: float64(len(s.Members)), Hubs: float64(len(s.Hubs)), Requests: float64(s.Requests),
		Waiting: float64(s.Waiting),
	}
}

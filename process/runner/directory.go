package runner

import (
	"time"

	"bluebelldoor"
)

const (
	// maxResponseTTL is how long callers may use a response of the directory. The
	// settings can shorten it.
	maxResponseTTL = 2 * time.Second
	// minLocalVMs is the number of VMs in the caller's data centre from which
	// on the directory names no VMs of other data centres.
	minLocalVMs = 2
)

func (r *Relay) callerLimits() bluebelldoor.CallerLimits {
	if routing := r.registrar.View().Routing(); routing != nil {
		return routing.Limits()
	}
	return bluebelldoor.CallerLimits{}
}

// serving reports whether new callers should be sent to the VM.
func (r *Relay) serving() bool {
	return r.lifecycle.MustState() == Serving && r.registrar.View().Routing() != nil && !r.refusesAll()
}

// refusesAll reports whether the VM refuses requests because a newer routing was published
// too long ago and has not arrived.
func (r *Relay) refusesAll() bool {
	age, _ := r.registrar.RoutingEvidenceAge()
	return r.registrar.IsBehind() && age > relayerSettings(r.settings).MaxViewAge
}

// ready is the result of the platform's readiness check. A VM that can't read
// the platform still serves requests that need no evidence, and stays ready.
func (r *Relay) ready() bool { return r.serving() }

// updateMemberState updates the state that the VM sends to its peers.
func (r *Relay) updateMemberState(s *bluebelldoor.MemberState) {
	s.Ready = r.serving()
	s.Leaving = r.lifecycle.MustState() != Serving
	position := r.registrar.Position()
	s.Era, s.Revision = position.Era, position.Revision
	s.Fetches = true
	s.PlatformLost = r.registrar.PlatformLost()
	s.UsedCores = r.assessor.Update(r.relayer.Traffic(), r.adapters.Clock.Now())
}

// turnGrantors returns the VMs that grant turns to copy generations off an
// engine: the hubs, which all VMs know, or all alive VMs if there is no hub.
func (r *Relay) turnGrantors() []bluebelldoor.MemberState {
	if hubs := r.gossiper.Hubs(); len(hubs) > 0 {
		return hubs
	}
	return r.gossiper.Alive()
}

// resolve returns the addresses that a caller may use, and for how long. If at
// least minLocalVMs hubs are in the caller's data centre, it returns only those,
// which avoids traffic between data centres. Otherwise it returns all hubs, or all
// ready VMs if there is no hub.
func (r *Relay) resolve(dataCentre string) ([]string, time.Duration) {
	hubs := r.gossiper.Hubs()
	var local []bluebelldoor.MemberState
	for _, m := range hubs {
		if m.DataCentre == dataCentre {
			local = append(local, m)
		}
	}
	out := r.addresses(local)
	if len(out) < minLocalVMs {
		out = r.addresses(hubs)
	}
	if len(out) == 0 {
		out = r.addresses(r.gossiper.Alive())
	}
	return out, min(maxResponseTTL, r.settings.AddressValidFor)
}

// addresses returns the caller addresses of the ready members.
func (r *Relay) addresses(members []bluebelldoor.MemberState) []string {
	var out []string
	for _, m := range members {
		ready := m.Ready && !m.Leaving
		if m.Name == r.settings.Name {
			ready = r.serving()
		}
		if ready {
			out = append(out, m.CallerAddress)
		}
	}
	return out
}

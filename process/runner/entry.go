package runner

import (
	"maps"
	"slices"
	"time"

	"bluebelldoor"
	"bluebelldoor/process/ranker"
)

const (
	// entryValidFor is how long callers keep an answer of the directory, if
	// the settings allow as much.
	entryValidFor = 2 * time.Second
	// fewestNear is how many VMs of a caller's own data centre are enough to
	// name no others.
	fewestNear = 2
	// readers is how many VMs read the platform for all. Each call is paid for;
	// should the one fall silent, the others read when their evidence is old.
	readers = 1
)

func (r *Relay) limits() bluebelldoor.CallerLimits {
	if routing := r.registrar.View().Routing(); routing != nil {
		return routing.Limits()
	}
	return bluebelldoor.CallerLimits{}
}

// serving reports whether the VM should get new callers.
func (r *Relay) serving() bool {
	return r.life.MustState() == Serving && r.registrar.View().Routing() != nil
}

// ready tells the platform whether the VM is ready. One that can't read the
// platform goes on serving what needs no proof, and stays ready.
func (r *Relay) ready() bool { return r.serving() }

// describe brings what the VM says of itself up to date.
func (r *Relay) describe(s *bluebelldoor.MemberState) {
	s.Ready = r.serving()
	s.Leaving = r.life.MustState() != Serving
	s.Revision = r.registrar.Revision()
	s.Use = r.assessor.Use(r.relayer.Traffic(), r.adapters.Clock.Now())
}

// reads reports whether this VM reads the platform on behalf of its peers: the
// first ones by rendezvous hashing, in different data centres.
func (r *Relay) reads() bool {
	byDataCentre := map[string][]string{}
	for _, m := range r.gossiper.Hubs() {
		if !m.Leaving {
			byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m.Name)
		}
	}
	dataCentres := ranker.Top("readers", slices.Collect(maps.Keys(byDataCentre)), readers)
	return slices.Contains(dataCentres, r.settings.DataCentre) &&
		ranker.First("reader", byDataCentre[r.settings.DataCentre]) == r.settings.Name
}

// turnKeepers returns the VMs that keep engines' turns: those that serve, which
// all VMs know, or else all that are alive.
func (r *Relay) turnKeepers() []bluebelldoor.MemberState {
	if hubs := r.gossiper.Hubs(); len(hubs) > 0 {
		return hubs
	}
	return r.gossiper.Alive()
}

// entry names the VMs that a caller may use: those that serve in its own data
// centre, if there are two at least, so that its requests cross no link between
// data centres; else all that serve, or else all that are ready.
func (r *Relay) entry(dataCentre string) ([]string, time.Duration) {
	hubs := r.gossiper.Hubs()
	var near []bluebelldoor.MemberState
	for _, m := range hubs {
		if m.DataCentre == dataCentre {
			near = append(near, m)
		}
	}
	out := r.addresses(near)
	if len(out) < fewestNear {
		out = r.addresses(hubs)
	}
	if len(out) == 0 {
		out = r.addresses(r.gossiper.Alive())
	}
	return out, min(entryValidFor, r.settings.AddressValidFor)
}

// addresses returns the caller addresses of the members that are ready.
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

package gossiper

import (
	"maps"
	"slices"

	"bluebelldoor"
	"bluebelldoor/process/ranker"
)

const (
	// hubsPerDataCentre is how many VMs of a data centre serve callers, if
	// there are as many: the loss of one leaves two.
	hubsPerDataCentre = 3
	// large is how many times a VM's own capacity another has that counts as
	// larger, and fewestLarge how many larger ones are enough.
	large       = 2
	fewestLarge = 2
	// headroom is how many times what callers' traffic takes the VMs that serve
	// have together; above plenty times, some step back.
	headroom = 4
	plenty   = 8
)

// serves reports whether a member says that it serves callers and can.
func serves(m bluebelldoor.MemberState) bool { return m.Hub && m.Ready && !m.Leaving }

// Needed reports whether a VM is needed among the others that serve callers.
// Those few tell each other of every placement, which all could not; the rest
// stand by, and serve whoever comes to them. Each VM decides for itself: it is
// needed unless enough that go before it, larger ones first, do serve.
func Needed(self bluebelldoor.MemberState, hubs []bluebelldoor.MemberState) bool {
	near, larger, capacity, use := 0, 0, 0.0, self.Use
	for _, m := range hubs {
		use += m.Use
		if !before(m, self) {
			continue
		}
		capacity += m.Capacity
		if m.DataCentre != self.DataCentre {
			continue
		}
		near++
		if m.Capacity > large*self.Capacity {
			larger++
		}
	}
	if near < hubsPerDataCentre && larger < fewestLarge {
		return true
	}
	if self.Hub {
		return capacity < plenty*use
	}
	return capacity < headroom*use
}

// first returns the members of each data centre that are the first to serve, of those
// that are able to, ready or not yet. All VMs know them before any serves.
func first(able []bluebelldoor.MemberState) []bluebelldoor.MemberState {
	byDataCentre := map[string][]bluebelldoor.MemberState{}
	for _, m := range able {
		if m.Leaving {
			continue
		}
		earliest := byDataCentre[m.DataCentre]
		at := 0
		for at < len(earliest) && before(earliest[at], m) {
			at++
		}
		if at < hubsPerDataCentre {
			earliest = slices.Insert(earliest, at, m)
			byDataCentre[m.DataCentre] = earliest[:min(len(earliest), hubsPerDataCentre)]
		}
	}
	return slices.Concat(slices.Collect(maps.Values(byDataCentre))...)
}

// has reports whether a member of that name is among members.
func has(members []bluebelldoor.MemberState, name string) bool {
	return slices.ContainsFunc(members, func(m bluebelldoor.MemberState) bool { return m.Name == name })
}

// before reports whether a goes before b: by capacity, then by rendezvous
// hashing.
func before(a, b bluebelldoor.MemberState) bool {
	if a.Capacity != b.Capacity {
		return a.Capacity > b.Capacity
	}
	return ranker.Score("hub", a.Name) > ranker.Score("hub", b.Name)
}

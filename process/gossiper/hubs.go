package gossiper

import (
	"maps"
	"slices"

	"bluebelldoor"
	"bluebelldoor/process/ranker"
)

const (
	// hubsPerDataCentre is how many VMs of a data centre are hubs, if there are as
	// many: the loss of one leaves two.
	hubsPerDataCentre = 3
	// largeFactor is the ratio of capacities above which another VM counts as larger,
	// and enoughLarge how many larger hubs suffice in a data centre.
	largeFactor = 2
	enoughLarge = 2
	// minCapacityFactor is the ratio of the higher-ranked hubs' capacity to the use by
	// callers' traffic below which a standby becomes a hub; from maxCapacityFactor on,
	// a hub steps down.
	minCapacityFactor = 4
	maxCapacityFactor = 8
)

// serves reports whether a member is a hub that can serve callers.
func serves(m bluebelldoor.MemberState) bool { return m.Hub && m.Ready && !m.Leaving }

// Needed reports whether a VM is needed as a hub beside the given ones. Hubs are few
// because they send each other every placement, which a whole fleet could not; the
// standbys still serve callers that come to them. Each VM decides for itself: it is
// needed unless enough higher-ranked VMs, larger ones first, are hubs.
func Needed(self bluebelldoor.MemberState, hubs []bluebelldoor.MemberState) bool {
	near, larger, capacity, use := 0, 0, 0.0, self.UsedCores
	for _, m := range hubs {
		use += m.UsedCores
		if !outranks(m, self) {
			continue
		}
		capacity += m.CapacityCores
		if m.DataCentre != self.DataCentre {
			continue
		}
		near++
		if m.CapacityCores > largeFactor*self.CapacityCores {
			larger++
		}
	}
	if near < hubsPerDataCentre && larger < enoughLarge {
		return true
	}
	if self.Hub {
		return capacity < maxCapacityFactor*use
	}
	return capacity < minCapacityFactor*use
}

// preferredHubs returns the highest-ranked eligible members of each data centre, ready
// or not. All VMs can derive them before any VM is a hub.
func preferredHubs(eligible []bluebelldoor.MemberState) []bluebelldoor.MemberState {
	byDataCentre := map[string][]bluebelldoor.MemberState{}
	for _, m := range eligible {
		if m.Leaving {
			continue
		}
		preferred := byDataCentre[m.DataCentre]
		i := 0
		for i < len(preferred) && outranks(preferred[i], m) {
			i++
		}
		if i < hubsPerDataCentre {
			preferred = slices.Insert(preferred, i, m)
			byDataCentre[m.DataCentre] = preferred[:min(len(preferred), hubsPerDataCentre)]
		}
	}
	return slices.Concat(slices.Collect(maps.Values(byDataCentre))...)
}

// containsName reports whether members contains one of that name.
func containsName(members []bluebelldoor.MemberState, name string) bool {
	return slices.ContainsFunc(members, func(m bluebelldoor.MemberState) bool { return m.Name == name })
}

// outranks reports whether a ranks above b: by capacity, then by rendezvous hashing.
func outranks(a, b bluebelldoor.MemberState) bool {
	if a.CapacityCores != b.CapacityCores {
		return a.CapacityCores > b.CapacityCores
	}
	return ranker.Score("hub", a.Name) > ranker.Score("hub", b.Name)
}

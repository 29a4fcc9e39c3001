package gossiper

import (
	"slices"

	"bluebelldoor"
	"bluebelldoor/process/ranker"
)

const (
	// hubsPerDataCentre is how many VMs of a data centre serve callers at
	// least, if there are as many: the loss of one leaves two.
	hubsPerDataCentre = 3
	// smallest is the share of the largest VM's capacity below which a VM
	// serves callers only where there are fewer than two larger ones.
	smallest = 0.5
	// fewestLarge is how many larger VMs are enough.
	fewestLarge = 2
	// headroom is how many times the processor time in use the VMs that serve
	// callers have together.
	headroom = 4
)

// Hubs returns the members that serve callers. They tell each other of every
// placement, which more VMs could not; all others stand by, and serve whoever
// comes to them. All members that see the same states choose the same.
func Hubs(members []bluebelldoor.MemberState) []bluebelldoor.MemberState {
	byDataCentre := map[string][]bluebelldoor.MemberState{}
	use := 0.0
	for _, m := range members {
		use += m.Use
		if m.Ready && !m.Leaving {
			byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
		}
	}
	var hubs, rest []bluebelldoor.MemberState
	capacity := 0.0
	for _, local := range byDataCentre {
		rank(local)
		n := enough(local)
		for _, m := range local[:n] {
			capacity += m.Capacity
		}
		hubs = append(hubs, local[:n]...)
		rest = append(rest, local[n:]...)
	}
	rank(rest)
	for _, m := range rest {
		if capacity >= headroom*use {
			break
		}
		capacity += m.Capacity
		hubs = append(hubs, m)
	}
	return hubs
}

// rank sorts members by falling capacity, then by rendezvous hashing.
func rank(members []bluebelldoor.MemberState) {
	slices.SortFunc(members, func(a, b bluebelldoor.MemberState) int {
		switch {
		case a.Capacity > b.Capacity:
			return -1
		case a.Capacity < b.Capacity:
			return 1
		case ranker.Score("hub", a.Name) > ranker.Score("hub", b.Name):
			return -1
		}
		return 1
	})
}

// enough returns how many of the ranked members of a data centre serve
// callers.
func enough(local []bluebelldoor.MemberState) int {
	n := min(hubsPerDataCentre, len(local))
	for n > fewestLarge && local[n-1].Capacity < smallest*local[0].Capacity {
		n--
	}
	return n
}

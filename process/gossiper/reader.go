package gossiper

import (
	"maps"
	"slices"

	"bluebelldoor"
	"bluebelldoor/process/ranker"
)

// platformReaders is how many VMs read the platform on behalf of all. Each call to the
// platform has a cost. If the reader fails, the other VMs read the platform themselves once
// their evidence is too old.
const platformReaders = 1

// ReadsPlatform reports whether this VM reads the platform on behalf of its peers.
func (g *Gossiper) ReadsPlatform() bool { return g.view.Load().readsPlatform }

// readsPlatform reports whether a VM reads the platform on behalf of its peers. Rendezvous
// hashing selects the data centres, and one VM in each, among the hubs whose reads succeed.
// If none do, it selects among all hubs.
func readsPlatform(self bluebelldoor.MemberState, hubs []bluebelldoor.MemberState) bool {
	candidates := slices.DeleteFunc(slices.Clone(hubs), func(m bluebelldoor.MemberState) bool { return m.Leaving })
	if reading := slices.DeleteFunc(slices.Clone(candidates), func(m bluebelldoor.MemberState) bool { return m.PlatformLost }); len(reading) > 0 {
		candidates = reading
	}
	byDataCentre := map[string][]string{}
	for _, m := range candidates {
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m.Name)
	}
	dataCentres := ranker.Top("readers", slices.Collect(maps.Keys(byDataCentre)), platformReaders)
	return slices.Contains(dataCentres, self.DataCentre) && ranker.First("reader", byDataCentre[self.DataCentre]) == self.Name
}

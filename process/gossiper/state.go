package gossiper

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bluebelldoor"
)

// view is a snapshot of the fleet for the rest of the process. It is immutable.
type view struct {
	alive []bluebelldoor.MemberState
	hubs  []bluebelldoor.MemberState
	isHub bool
	// readsPlatform is set if the VM reads the platform on behalf of its peers.
	readsPlatform bool
	known         int
	// fleetSize is at least how many members the fleet has, known or not.
	fleetSize int
	// recentHubs is the number of members that were hubs within recentHubsWindow.
	recentHubs int
}

// recentHubsWindow is how long hubs that are no longer seen count in the shares: as a
// partition begins, each side may choose new hubs before it knows which members it lost.
const recentHubsWindow = standbyTimeout + 2*time.Second

// Alive returns the members that are alive, the VM itself included. Callers
// must not change the slice.
func (g *Gossiper) Alive() []bluebelldoor.MemberState { return g.view.Load().alive }

// Hubs returns the members that are hubs. Callers must not change the slice.
func (g *Gossiper) Hubs() []bluebelldoor.MemberState { return g.view.Load().hubs }

// IsHub reports whether the VM itself is a hub.
func (g *Gossiper) IsHub() bool { return g.view.Load().isHub }

// Share returns this VM's fraction of the fleet-wide send limits.
func (g *Gossiper) Share() float64 {
	v := g.view.Load()
	if g.seedMembers > 1 && g.clock.Now()-g.started < fleetKnownAfter {
		// The VM may know its seeds alone.
		return 0
	}
	hubs := len(v.hubs)
	switch rest := v.fleetSize - hubs; {
	case rest <= 0 || hubs == 0:
		return 1 / float64(max(1, v.fleetSize))
	case v.isHub:
		// Hubs that this VM does not see may use the limits too.
		return hubShare / float64(v.recentHubs) * g.Coverage()
	default:
		return (1 - hubShare) / float64(rest)
	}
}

// Coverage returns the fraction of the fleet that this VM sees alive.
func (g *Gossiper) Coverage() float64 {
	v := g.view.Load()
	return min(1, float64(len(v.alive))/float64(max(1, v.fleetSize)))
}

// decideRole reports whether the VM itself is to be a hub. A VM that is needed but is no
// preferred hub waits for takeoverDelay, lest all standbys become hubs at once. The
// caller holds g.mu, except in New.
func (g *Gossiper) decideRole(hubs []bluebelldoor.MemberState) bool {
	self, now := g.table.Self(), g.clock.Now()
	switch needed := self.Ready && !self.Leaving && Needed(self, hubs); {
	case !needed:
		g.neededSince = 0
		return false
	case self.Hub || containsName(preferredHubs(g.table.Eligible(now)), self.Name):
		return true
	case g.neededSince == 0:
		g.neededSince = now
		g.takeoverDelay = minTakeoverDelay + time.Duration(rand.Int64N(int64(maxTakeoverDelay-minTakeoverDelay)))
	}
	return now-g.neededSince >= g.takeoverDelay
}

// publish decides the VM's role and stores a new view. The caller holds g.mu, except in
// New.
func (g *Gossiper) publish() {
	alive := g.table.Alive(g.clock.Now())
	self := g.table.Self()
	v := &view{alive: alive, known: max(g.table.Known(), g.maxReported)}
	v.fleetSize = max(v.known, g.seedMembers)
	for _, m := range alive {
		if m.Name != self.Name && serves(m) {
			v.hubs = append(v.hubs, m)
		}
	}
	v.isHub = g.decideRole(v.hubs)
	if g.table.self.Hub && !v.isHub {
		g.steppedDown = g.table.self.Heartbeat
	}
	g.table.self.Hub = v.isHub
	if v.isHub {
		v.hubs = append(v.hubs, g.table.Self())
	}
	v.readsPlatform = readsPlatform(g.table.Self(), v.hubs)
	v.recentHubs = g.countRecentHubs(v.hubs)
	g.view.Store(v)
	g.observe(v)
}

// countRecentHubs records the hubs and returns how many members were hubs within
// recentHubsWindow. The caller holds g.mu, except in New.
func (g *Gossiper) countRecentHubs(hubs []bluebelldoor.MemberState) int {
	now := g.clock.Now()
	for _, m := range hubs {
		g.hubSeenAt[m.Name] = now
	}
	maps.DeleteFunc(g.hubSeenAt, func(_ string, at time.Duration) bool { return now-at > recentHubsWindow })
	return len(g.hubSeenAt)
}

// countSeedMembers returns how many members the seeds and the VM itself are.
func countSeedMembers(self string, seeds []string) int {
	members := map[string]bool{self: true}
	for _, seed := range seeds {
		members[seed] = true
	}
	return len(members)
}

// maxLoggedNames bounds the members that a log line names; the line also has their
// count.
const maxLoggedNames = 5

// observe logs the members that appeared and those that fell silent, one line each a
// round, and records the round of the last change. Standbys do not get each other's
// states, so they observe only hubs. The caller holds g.mu, except in New.
func (g *Gossiper) observe(v *view) {
	heartbeat := g.table.Self().Heartbeat
	current, alive := map[string]bool{}, map[string]bool{}
	var appeared, silent []string
	for _, m := range v.alive {
		alive[m.Name] = true
		if !v.isHub && !serves(m) {
			continue
		}
		current[m.Name] = serves(m)
		served, observed := g.observed[m.Name]
		if !observed {
			appeared = append(appeared, m.Name)
		}
		if !observed || served != current[m.Name] {
			g.lastChange = heartbeat
		}
	}
	for name := range g.observed {
		if _, present := current[name]; present {
			continue
		}
		g.lastChange = heartbeat
		if !alive[name] {
			silent = append(silent, name)
		}
	}
	g.observed = current
	if len(appeared) > 0 {
		g.log.Info("members alive", "count", len(appeared), "vms", loggedNames(appeared), "known", v.known, "serving", len(v.hubs))
	}
	if len(silent) > 0 {
		g.log.Warn("members silent", "count", len(silent), "vms", loggedNames(silent), "known", v.known, "serving", len(v.hubs))
	}
}

// loggedNames returns the names for a log line, sorted and at most maxLoggedNames.
func loggedNames(members []string) []string {
	slices.Sort(members)
	return members[:min(len(members), maxLoggedNames)]
}

package gossiper

import (
	"math/rand/v2"
	"slices"
	"time"

	"bluebelldoor"
)

// state is what the rest of the process sees of the fleet. It is immutable.
type state struct {
	alive []bluebelldoor.MemberState
	hubs  []bluebelldoor.MemberState
	isHub bool
	known int
}

// Alive returns the members that are alive, the VM itself included. Callers
// must not change the slice.
func (g *Gossiper) Alive() []bluebelldoor.MemberState { return g.state.Load().alive }

// Hubs returns the members that serve callers. Callers must not change the
// slice.
func (g *Gossiper) Hubs() []bluebelldoor.MemberState { return g.state.Load().hubs }

// IsHub reports whether the VM itself serves callers.
func (g *Gossiper) IsHub() bool { return g.state.Load().isHub }

// Share returns the part of what all VMs together may send that this VM may.
func (g *Gossiper) Share() float64 {
	s := g.state.Load()
	hubs := len(s.hubs)
	switch rest := s.known - hubs; {
	case rest <= 0 || hubs == 0:
		return 1 / float64(max(1, s.known))
	case s.isHub:
		return hubShare / float64(hubs)
	default:
		return (1 - hubShare) / float64(rest)
	}
}

// stand decides whether the VM itself serves. One that is missing and not among the
// first of those that could serve waits a while, lest all that stand by step in at
// once. A mutex is held but for New.
func (g *Gossiper) stand(hubs []bluebelldoor.MemberState) bool {
	self, now := g.table.Self(), g.clock.Now()
	switch needed := self.Ready && !self.Leaving && Needed(self, hubs); {
	case !needed:
		g.neededSince = 0
		return false
	case self.Hub || has(first(g.table.Able(now)), self.Name):
		return true
	case g.neededSince == 0:
		g.neededSince = now
		g.takeoverDelay = soonestTakeover + time.Duration(rand.Int64N(int64(longestTakeover-soonestTakeover)))
	}
	return now-g.neededSince >= g.takeoverDelay
}

// publish makes the fleet visible. A mutex is held but for New.
func (g *Gossiper) publish() {
	alive := g.table.Alive(g.clock.Now())
	self := g.table.Self()
	s := &state{alive: alive, known: max(g.table.Known(), g.told)}
	for _, m := range alive {
		if m.Name != self.Name && serves(m) {
			s.hubs = append(s.hubs, m)
		}
	}
	s.isHub = g.stand(s.hubs)
	if g.table.self.Hub && !s.isHub {
		g.steppedBack = g.table.self.Heartbeat
	}
	g.table.self.Hub = s.isHub
	if s.isHub {
		s.hubs = append(s.hubs, g.table.Self())
	}
	g.state.Store(s)
	g.note(s)
}

// namedInLog bounds the members that a log line names; it counts the others.
const namedInLog = 5

// note logs who came and who fell silent, one line each a round, and notes when
// that last changed. VMs that stand by are not told of each other, and watch only
// those that serve. A mutex is held but for New.
func (g *Gossiper) note(s *state) {
	beat := g.table.Self().Heartbeat
	now, alive := map[string]bool{}, map[string]bool{}
	var came, silent []string
	for _, m := range s.alive {
		alive[m.Name] = true
		if !s.isHub && !serves(m) {
			continue
		}
		now[m.Name] = serves(m)
		before, noted := g.noted[m.Name]
		if !noted {
			came = append(came, m.Name)
		}
		if !noted || before != now[m.Name] {
			g.changed = beat
		}
	}
	for name := range g.noted {
		if _, still := now[name]; still {
			continue
		}
		g.changed = beat
		if !alive[name] {
			silent = append(silent, name)
		}
	}
	g.noted = now
	if len(came) > 0 {
		g.log.Info("members alive", "count", len(came), "vms", named(came), "known", s.known, "serving", len(s.hubs))
	}
	if len(silent) > 0 {
		g.log.Warn("members silent", "count", len(silent), "vms", named(silent), "known", s.known, "serving", len(s.hubs))
	}
}

// named returns the members that a log line names, in order.
func named(members []string) []string {
	slices.Sort(members)
	return members[:min(len(members), namedInLog)]
}

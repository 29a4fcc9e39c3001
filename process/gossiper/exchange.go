package gossiper

import (
	"context"
	"time"

	"bluebelldoor"
	"bluebelldoor/process/dater"
)

// exchange sends a peer messages until the replies hold all its changes.
func (g *Gossiper) exchange(ctx context.Context, to recipient) {
	for range maxPages {
		if !g.exchangeOnce(ctx, to) {
			break
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.inFlight, to.address)
}

// exchangeOnce sends a peer one message, and reports whether the reply left out changes.
func (g *Gossiper) exchangeOnce(ctx context.Context, to recipient) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	g.mu.Lock()
	message := g.buildMessage(to.name, to.members)
	g.mu.Unlock()
	message.Delta = g.hooks.Delta(ctx, to.position, to.fetches, nil)
	sentAt := g.clock.Now()
	reply, err := g.peers.Exchange(ctx, to.address, message)
	if err != nil {
		g.failed.Add(1)
		g.log.Debug("peer did not answer", "peer", to.address, "error", err)
		return false
	}
	g.addWait(reply, sentAt)
	g.merge(reply)
	g.hooks.ApplyLimits(reply.From, reply.Limits)
	g.hooks.ApplyCrashes(reply.From, reply.Crashes)
	g.hooks.ApplyUse(reply.From, reply.AccountUse)
	g.hooks.ApplyDelta(ctx, reply.Delta, sentAt, true)
	return reply.Delta.More
}

// addWait makes the ages in a message that has just been read those at its reading. If it is a
// reply, requestedAt is when the request was sent, else 0.
func (g *Gossiper) addWait(in *bluebelldoor.ExchangeMessage, requestedAt time.Duration) {
	m := dater.Message{From: in.From, RequestedAt: requestedAt}
	if in.SentAtMs > 0 && in.SentAtMs <= maxClock.Milliseconds() {
		m.SentAt = time.Duration(in.SentAtMs) * time.Millisecond
	}
	if len(in.Members) > 0 && in.Members[0].Name == in.From {
		m.Incarnation = in.Members[0].Incarnation
	}
	wait, known := g.dater.Wait(m)
	if wait >= lateAfter {
		g.late.Add(1)
		g.log.Info("message of a peer has waited", "peer", in.From, "waitedMs", wait.Milliseconds(), "reply", requestedAt > 0)
	}
	in.AddAge(wait)
	if in.SentAtMs > 0 && !known {
		for i := range in.Crashes {
			in.Crashes[i].Undated = true
		}
	}
}

// LateMessages returns how many messages of peers had waited for long when they were read.
func (g *Gossiper) LateMessages() int64 { return g.late.Load() }

// FailedExchanges returns how many messages to peers were not answered in time.
func (g *Gossiper) FailedExchanges() int64 { return g.failed.Load() }

// buildMessage returns a message with the states of members, the VM itself first,
// and the loads and limits that the peer lacks. The caller holds g.mu.
func (g *Gossiper) buildMessage(peer string, members []bluebelldoor.MemberState) *bluebelldoor.ExchangeMessage {
	self, now := g.table.Self(), g.clock.Now()
	received, incarnation := g.table.LoadsReceived(peer)
	out := &bluebelldoor.ExchangeMessage{
		From:            self.Name,
		SentAtMs:        now.Milliseconds(),
		Members:         append([]bluebelldoor.MemberState{self}, g.table.age(members[1:], now)...),
		KnownMembers:    g.view.Load().known,
		HeldHeartbeat:   received,
		HeldIncarnation: incarnation,
	}
	out.LimitDigest, out.Limits = g.hooks.Limits(g.table.LimitDigest(peer))
	out.CrashDigest, out.Crashes = g.hooks.Crashes(g.table.CrashDigest(peer))
	if m := g.table.members[peer]; m == nil || serves(m.state) || !self.Hub {
		// Standbys place next to nothing, so they need no loads.
		delta := g.loads.since(g.table.LoadsAcked(peer))
		out.Loads = &delta
		if peer != "" {
			out.AccountUse = g.hooks.AccountUse(peer)
		}
	}
	return out
}

// merge applies the member states and loads of a peer's message. Loads are applied
// under the mutex, so that deltas keep their order.
func (g *Gossiper) merge(in *bluebelldoor.ExchangeMessage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.table.Merge(in.From, in.Members, g.clock.Now()) && in.Loads != nil {
		g.table.MergeLoads(in.From, *in.Loads, g.hooks.ApplyPeerLoads)
	}
	g.maxReported = max(g.maxReported, in.KnownMembers)
	if in.HeldIncarnation != g.table.Self().Incarnation {
		in.HeldHeartbeat = 0
	}
	g.table.Acknowledge(in.From, in.HeldHeartbeat, in.KnownMembers)
	g.table.SetLimitDigest(in.From, in.LimitDigest)
	g.table.SetCrashDigest(in.From, in.CrashDigest)
}

// replyMembers returns the members whose states a reply carries. The caller holds
// g.mu.
func (g *Gossiper) replyMembers(peer string, known bool) []bluebelldoor.MemberState {
	v := g.view.Load()
	settling := g.table.Self().Heartbeat-g.lastChange < settleRounds
	switch {
	case !known, settling && g.table.MemberCount(peer) < v.known:
		return g.allAlive()
	case containsName(v.hubs, peer) && !settling:
		return []bluebelldoor.MemberState{g.table.Self()}
	}
	return g.hubsAndRoleChanges(v, g.clock.Now())
}

// Exchange replies to a peer's message. A hub gets the state of this VM, a standby
// those of all hubs, and an unknown peer those of all members. For settleRounds after a
// membership change, a hub gets those of all hubs, and a peer that knows fewer members
// than this VM those of all members.
func (g *Gossiper) Exchange(ctx context.Context, in *bluebelldoor.ExchangeMessage) *bluebelldoor.ExchangeMessage {
	g.addWait(in, 0)
	g.mu.Lock()
	known := g.table.members[in.From] != nil
	g.lastMessage[in.From] = g.clock.Now()
	g.mu.Unlock()
	g.merge(in)
	g.hooks.ApplyLimits(in.From, in.Limits)
	g.hooks.ApplyCrashes(in.From, in.Crashes)
	g.hooks.ApplyUse(in.From, in.AccountUse)
	g.hooks.ApplyDelta(ctx, in.Delta, 0, false)
	g.mu.Lock()
	out := g.buildMessage(in.From, g.replyMembers(in.From, known))
	g.mu.Unlock()
	out.Delta = g.hooks.Delta(ctx, in.Delta.Position(), in.Delta.References, &in.Delta)
	return out
}

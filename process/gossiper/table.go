package gossiper

import (
	"slices"
	"strings"
	"time"

	"bluebelldoor"
)

const (
	// hubTimeout is how long a hub counts as alive after its newest heartbeat: several
	// rounds, and well under the time after which the directory must not name a dead
	// VM.
	hubTimeout = 2500 * time.Millisecond
	// standbyTimeout is the same for a standby, whose heartbeats reach most VMs only
	// when hubs exchange the states of all members. No caller is sent to a standby
	// while there are hubs.
	standbyTimeout = 6 * time.Second
	// directWindow is how long a member counts as in direct contact: a standby contacts
	// the hubs of its data centre in turn.
	directWindow = 3 * time.Second
	// roleChangeWindow is how long the state of a member that stepped down is passed
	// on: else others would take it for silent after hubTimeout.
	roleChangeWindow = 3 * time.Second
	// forgetAfter is how long a dead member is kept: an old state must not bring it
	// back, and a partitioned VM must not take over the others' shares of the
	// fleet-wide send limits.
	forgetAfter = 10 * time.Minute
)

// member is what is known of a VM.
type member struct {
	state bluebelldoor.MemberState
	// lastSeen is the latest time at which the member is known to have sent a state.
	lastSeen time.Duration
	// lastDirect is when its own message last brought a newer state, below 0 if none did.
	lastDirect time.Duration
	// loadsReceived is the heartbeat of its loads that this VM has, and loadsAcked that
	// of this VM's loads that it has, 0 for none.
	loadsReceived, loadsAcked uint64
	// roleChangedAt is when it was last seen to become a hub or to step down.
	roleChangedAt time.Duration
	// memberCount is how many members it has reported to know.
	memberCount int
	// limitDigest identifies the limited targets that it has reported to know.
	limitDigest uint64
	// crashDigest identifies the crashes that accuse parts of prompts that it has reported to know.
	crashDigest uint64
}

func (m *member) alive(now time.Duration) bool { return now-m.lastSeen <= m.timeout() }

// aged returns the state with its age, for passing it on.
func (m *member) aged(now time.Duration) bluebelldoor.MemberState {
	s := m.state
	s.AgeMs = (now - m.lastSeen).Milliseconds()
	return s
}

// age returns the states of members with their ages at now.
func (t *Table) age(states []bluebelldoor.MemberState, now time.Duration) []bluebelldoor.MemberState {
	out := make([]bluebelldoor.MemberState, len(states))
	for i, s := range states {
		out[i] = s
		if m := t.members[s.Name]; m != nil {
			out[i].AgeMs = (now - m.lastSeen).Milliseconds()
		}
	}
	return out
}

func (m *member) timeout() time.Duration {
	if m.state.Hub {
		return hubTimeout
	}
	return standbyTimeout
}

// Table holds the members that one VM knows. It is not safe for concurrent
// use.
type Table struct {
	self    bluebelldoor.MemberState
	members map[string]*member
}

// NewTable returns a table that holds only the VM itself.
func NewTable(self bluebelldoor.MemberState) *Table {
	return &Table{self: self, members: map[string]*member{}}
}

// Self returns the VM's own state.
func (t *Table) Self() bluebelldoor.MemberState { return t.self }

// Advance increments the VM's heartbeat and updates its own state.
func (t *Table) Advance(update func(*bluebelldoor.MemberState)) {
	t.self.Heartbeat++
	update(&t.self)
}

// Merge applies states, received at now from the member named from. It reports whether
// that member's own state was newer than the known one.
func (t *Table) Merge(from string, states []bluebelldoor.MemberState, now time.Duration) bool {
	direct := false
	for _, s := range states {
		if s.Name == t.self.Name {
			t.refute(s)
			continue
		}
		if t.merge(s, s.Name == from, now) && s.Name == from {
			direct = true
		}
	}
	return direct
}

// MergeLoads applies the loads that a member sent with its newest state, unless changes
// before them are missing. apply reports whether it could apply them.
func (t *Table) MergeLoads(name string, delta bluebelldoor.LoadDelta, apply func(string, bluebelldoor.LoadDelta) bool) {
	switch m := t.members[name]; {
	case m == nil || delta.After > m.loadsReceived:
	case apply(name, delta):
		m.loadsReceived = m.state.Heartbeat
	default:
		m.loadsReceived = 0
	}
}

// LoadsReceived returns the heartbeat and the incarnation of a member's loads that the
// VM has, 0 for none.
func (t *Table) LoadsReceived(name string) (uint64, int64) {
	m := t.members[name]
	if m == nil || m.loadsReceived == 0 {
		return 0, 0
	}
	return m.loadsReceived, m.state.Incarnation
}

// refute raises the VM's incarnation above that of its earlier process.
func (t *Table) refute(s bluebelldoor.MemberState) {
	if s.Incarnation > t.self.Incarnation {
		t.self.Incarnation = s.Incarnation + 1
	}
}

// Acknowledge records up to which heartbeat a member has this VM's loads, 0 for none,
// and how many members it knows.
func (t *Table) Acknowledge(name string, heartbeat uint64, memberCount int) {
	if m := t.members[name]; m != nil {
		m.loadsAcked, m.memberCount = heartbeat, memberCount
	}
}

// SetLimitDigest records which limited targets a member knows.
func (t *Table) SetLimitDigest(name string, digest uint64) {
	if m := t.members[name]; m != nil {
		m.limitDigest = digest
	}
}

// LimitDigest returns the digest of the limited targets that a member knows.
func (t *Table) LimitDigest(name string) uint64 {
	if m := t.members[name]; m != nil {
		return m.limitDigest
	}
	return 0
}

// SetCrashDigest records which crashes a member knows.
func (t *Table) SetCrashDigest(name string, digest uint64) {
	if m := t.members[name]; m != nil {
		m.crashDigest = digest
	}
}

// CrashDigest returns the digest of the crashes that a member knows.
func (t *Table) CrashDigest(name string) uint64 {
	if m := t.members[name]; m != nil {
		return m.crashDigest
	}
	return 0
}

// MemberCount returns how many members a member has reported to know.
func (t *Table) MemberCount(name string) int {
	if m := t.members[name]; m != nil {
		return m.memberCount
	}
	return 0
}

// LoadsAcked returns up to which heartbeat a member has this VM's loads, 0 for none.
func (t *Table) LoadsAcked(name string) uint64 {
	if m := t.members[name]; m != nil {
		return m.loadsAcked
	}
	return 0
}

// merge applies a member's state and reports whether it was newer than the known one.
func (t *Table) merge(s bluebelldoor.MemberState, direct bool, now time.Duration) bool {
	known := t.members[s.Name]
	switch {
	case known == nil:
		known = &member{lastDirect: -directWindow, lastSeen: -forgetAfter}
		t.members[s.Name] = known
	case s.Incarnation > known.state.Incarnation:
		known.loadsReceived, known.loadsAcked, known.memberCount = 0, 0, 0
		known.limitDigest, known.crashDigest = 0, 0
	case s.Incarnation < known.state.Incarnation || s.Heartbeat <= known.state.Heartbeat:
		return false
	case serves(s) != serves(known.state):
		known.roleChangedAt = now
	}
	// An old state must not make a member look alive for longer.
	at := now - time.Duration(s.AgeMs)*time.Millisecond
	known.lastSeen = max(known.lastSeen, at)
	known.state = s
	if direct {
		known.lastDirect = max(known.lastDirect, at)
	}
	return true
}

// Silent returns the members that are known and not alive.
func (t *Table) Silent(now time.Duration) []bluebelldoor.MemberState {
	var out []bluebelldoor.MemberState
	for name, m := range t.members {
		switch silent := now - m.lastSeen; {
		case silent > forgetAfter:
			delete(t.members, name)
		case !m.alive(now):
			out = append(out, m.state)
		}
	}
	return out
}

// Known returns how many members are known, alive or silent, the VM itself
// included.
func (t *Table) Known() int { return len(t.members) + 1 }

// HeardDirectly returns the members that sent a newer state of their own within
// directWindow.
func (t *Table) HeardDirectly(now time.Duration) []bluebelldoor.MemberState {
	var out []bluebelldoor.MemberState
	for _, m := range t.members {
		if now-m.lastDirect <= directWindow {
			out = append(out, m.aged(now))
		}
	}
	return out
}

// RoleChanged returns the members that became hubs or stepped down within
// roleChangeWindow.
func (t *Table) RoleChanged(now time.Duration) []bluebelldoor.MemberState {
	var out []bluebelldoor.MemberState
	for _, m := range t.members {
		if m.roleChangedAt > 0 && now-m.roleChangedAt <= roleChangeWindow {
			out = append(out, m.aged(now))
		}
	}
	return out
}

// Eligible returns the members that may be able to serve as hubs, the VM itself
// included: those that are alive and, if it is a standby, also the other standbys.
// Standbys do not get each other's heartbeats, so their silence means nothing.
func (t *Table) Eligible(now time.Duration) []bluebelldoor.MemberState {
	out := []bluebelldoor.MemberState{t.self}
	for _, m := range t.members {
		if m.alive(now) || !t.self.Hub && !m.state.Hub && !m.state.Leaving {
			out = append(out, m.state)
		}
	}
	return out
}

// Alive returns the members that are alive, the VM itself included, sorted by name.
func (t *Table) Alive(now time.Duration) []bluebelldoor.MemberState {
	out := []bluebelldoor.MemberState{t.self}
	for _, m := range t.members {
		if m.alive(now) {
			out = append(out, m.aged(now))
		}
	}
	slices.SortFunc(out, func(a, b bluebelldoor.MemberState) int { return strings.Compare(a.Name, b.Name) })
	return out
}

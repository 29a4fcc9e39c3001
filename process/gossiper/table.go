package gossiper

import (
	"slices"
	"strings"
	"time"

	"bluebelldoor"
)

const (
	// aliveFor is how long a member counts as alive after its last heartbeat
	// that was news: several rounds, and well under the time after which the
	// directory must not name the dead.
	aliveFor = 2500 * time.Millisecond
	// standbyFor is the same for a member that stands by, of which most hear
	// only when the VMs that serve tell each other of those that ask them. No
	// caller is sent to it while others serve.
	standbyFor = 6 * time.Second
	// directFor is how long a member counts as heard from itself: a VM that stands
	// by asks each of the VMs of its data centre that serve in turn.
	directFor = 3 * time.Second
	// turnedFor is how long others are told of a member that stepped back: one that
	// serves and is not heard of for aliveFor is taken for silent.
	turnedFor = 3 * time.Second
	// forgetAfter is how long a dead member is kept: old news of it must not
	// bring it back, and a VM that is cut off must not take the others' part
	// of what all may send.
	forgetAfter = 10 * time.Minute
)

// member is what is known of a VM.
type member struct {
	state bluebelldoor.MemberState
	heard time.Duration
	// direct is when it last told of itself, below 0 if it never did.
	direct time.Duration
	// held is the heartbeat of its loads that this VM holds, and holds that of this
	// VM's loads that it holds, 0 for none.
	held, holds uint64
	// turned is when it was heard to serve or to step back, after the other.
	turned time.Duration
	// knows is of how many members it has said that it knows.
	knows int
}

func (m *member) alive(now time.Duration) bool { return now-m.heard <= m.silentAfter() }

// told returns the state as others are told of it.
func (m *member) told(now time.Duration) bluebelldoor.MemberState {
	s := m.state
	s.AgeMs = (now - m.heard).Milliseconds()
	return s
}

func (m *member) silentAfter() time.Duration {
	if m.state.Hub {
		return aliveFor
	}
	return standbyFor
}

// Table holds the members that one VM knows. It is not safe for concurrent
// use.
type Table struct {
	self    bluebelldoor.MemberState
	members map[string]*member
}

// NewTable returns a table with the VM itself.
func NewTable(self bluebelldoor.MemberState) *Table {
	return &Table{self: self, members: map[string]*member{}}
}

// Self returns what the VM says of itself.
func (t *Table) Self() bluebelldoor.MemberState { return t.self }

// Beat starts a new round with what the VM now says of itself.
func (t *Table) Beat(update func(*bluebelldoor.MemberState)) {
	t.self.Heartbeat++
	update(&t.self)
}

// Merge takes news, heard at now from the member named from. It reports whether
// that one told news of itself.
func (t *Table) Merge(from string, news []bluebelldoor.MemberState, now time.Duration) bool {
	direct := false
	for _, s := range news {
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

// HearLoads takes the loads that a member has told with its newest state, unless
// changes are missing before them. take reports whether it could take them.
func (t *Table) HearLoads(name string, news bluebelldoor.LoadDelta, take func(string, bluebelldoor.LoadDelta) bool) {
	switch m := t.members[name]; {
	case m == nil || news.After > m.held:
	case take(name, news):
		m.held = m.state.Heartbeat
	default:
		m.held = 0
	}
}

// Held returns the heartbeat and the incarnation of a member's loads that the VM
// holds, 0 for none.
func (t *Table) Held(name string) (uint64, int64) {
	m := t.members[name]
	if m == nil || m.held == 0 {
		return 0, 0
	}
	return m.held, m.state.Incarnation
}

// refute outdoes news of an earlier process of this VM.
func (t *Table) refute(s bluebelldoor.MemberState) {
	if s.Incarnation > t.self.Incarnation {
		t.self.Incarnation = s.Incarnation + 1
	}
}

// Hold notes up to which heartbeat a member holds this VM's loads, 0 for none, and of
// how many members it knows.
func (t *Table) Hold(name string, beat uint64, knows int) {
	if m := t.members[name]; m != nil {
		m.holds, m.knows = beat, knows
	}
}

// Knows returns of how many members a member has said that it knows.
func (t *Table) Knows(name string) int {
	if m := t.members[name]; m != nil {
		return m.knows
	}
	return 0
}

// Holds returns up to which heartbeat a member holds this VM's loads, 0 for none.
func (t *Table) Holds(name string) uint64 {
	if m := t.members[name]; m != nil {
		return m.holds
	}
	return 0
}

// merge takes a member's state and reports whether that was news.
func (t *Table) merge(s bluebelldoor.MemberState, direct bool, now time.Duration) bool {
	known := t.members[s.Name]
	switch {
	case known == nil:
		known = &member{direct: -directFor, heard: -forgetAfter}
		t.members[s.Name] = known
	case s.Incarnation > known.state.Incarnation:
		known.held, known.holds, known.knows = 0, 0, 0
	case s.Incarnation < known.state.Incarnation || s.Heartbeat <= known.state.Heartbeat:
		return false
	case serves(s) != serves(known.state):
		known.turned = now
	}
	// Old news must not make a member look alive for longer.
	known.heard = max(known.heard, now-time.Duration(s.AgeMs)*time.Millisecond)
	known.state = s
	if direct {
		known.direct = now
	}
	return true
}

// Silent returns the members that are known and not alive.
func (t *Table) Silent(now time.Duration) []bluebelldoor.MemberState {
	var out []bluebelldoor.MemberState
	for name, m := range t.members {
		switch silent := now - m.heard; {
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

// Direct returns the members that told of themselves of late.
func (t *Table) Direct(now time.Duration) []bluebelldoor.MemberState {
	var out []bluebelldoor.MemberState
	for _, m := range t.members {
		if now-m.direct <= directFor {
			out = append(out, m.told(now))
		}
	}
	return out
}

// Turned returns the members that began to serve or stepped back of late.
func (t *Table) Turned(now time.Duration) []bluebelldoor.MemberState {
	var out []bluebelldoor.MemberState
	for _, m := range t.members {
		if m.turned > 0 && now-m.turned <= turnedFor {
			out = append(out, m.told(now))
		}
	}
	return out
}

// Able returns the members that may be able to serve, the VM itself included: those
// that are alive, and, where it stands by, those that stand by too. Of these it does
// not hear, and their silence tells nothing.
func (t *Table) Able(now time.Duration) []bluebelldoor.MemberState {
	out := []bluebelldoor.MemberState{t.self}
	for _, m := range t.members {
		if m.alive(now) || !t.self.Hub && !m.state.Hub && !m.state.Leaving {
			out = append(out, m.state)
		}
	}
	return out
}

// Alive returns the members that are alive, the VM itself included, by name.
func (t *Table) Alive(now time.Duration) []bluebelldoor.MemberState {
	out := []bluebelldoor.MemberState{t.self}
	for _, m := range t.members {
		if m.alive(now) {
			out = append(out, m.told(now))
		}
	}
	slices.SortFunc(out, func(a, b bluebelldoor.MemberState) int { return strings.Compare(a.Name, b.Name) })
	return out
}

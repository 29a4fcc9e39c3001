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
}

func (m *member) alive(now time.Duration) bool { return now-m.heard <= m.silentAfter() }

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

// Merge takes news, heard at now from the member named from. It returns the
// members with news that they told themselves.
func (t *Table) Merge(from string, news []bluebelldoor.MemberState, now time.Duration) []bluebelldoor.MemberState {
	var direct []bluebelldoor.MemberState
	for _, s := range news {
		if s.Name == t.self.Name {
			t.refute(s)
			continue
		}
		if t.merge(s, s.Name == from, now) && s.Name == from {
			direct = append(direct, s)
		}
	}
	return direct
}

// refute outdoes news of an earlier process of this VM.
func (t *Table) refute(s bluebelldoor.MemberState) {
	if s.Incarnation > t.self.Incarnation {
		t.self.Incarnation = s.Incarnation + 1
	}
}

func (t *Table) merge(s bluebelldoor.MemberState, direct bool, now time.Duration) bool {
	known := t.members[s.Name]
	if known == nil {
		if !direct {
			// Loads are told by their owner only.
			s.Loads = nil
		}
		t.members[s.Name] = &member{state: s, heard: now, direct: -directFor}
		known = t.members[s.Name]
		if direct {
			known.direct = now
		}
		return true
	}
	newer := s.Incarnation > known.state.Incarnation ||
		s.Incarnation == known.state.Incarnation && s.Heartbeat > known.state.Heartbeat
	if !newer {
		return false
	}
	if !direct {
		s.Loads = known.state.Loads
	}
	known.state, known.heard = s, now
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
			out = append(out, m.state)
		}
	}
	slices.SortFunc(out, func(a, b bluebelldoor.MemberState) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Package slotter limits how many VMs use a resource at the same time, such as
// the capacity of a cold target. Each resource has a few slots; rendezvous
// hashing assigns each slot to one VM, and only that VM may use it.
//
// It is a state machine that reads no clock. The caller decides whether a target
// is cold and whether the view is fresh.
package slotter

import (
	"strconv"
	"time"

	"bluebelldoor"
	"bluebelldoor/process/ranker"
)

// Slot is the state of a slot that this VM holds.
type Slot struct {
	// UsableAt is the time by which the lease of any earlier holder has expired.
	UsableAt time.Time
	// Drained is true once a load report has shown that no work of an earlier
	// holder is left on the target.
	Drained bool
}

// Usable reports whether the slot may be used at the given time.
func (s Slot) Usable(now time.Time) bool {
	return s.Drained && !now.Before(s.UsableAt)
}

// Slotter tracks the slots that one VM holds. It is not safe for concurrent use.
type Slotter struct {
	self         string
	slots        map[string]map[int]*Slot // by resource and slot number
	incarnations map[string]string        // last reported, by target
}

// New returns a slotter that holds no slots for the VM named self.
func New(self string) *Slotter {
	return &Slotter{self: self, slots: map[string]map[int]*Slot{}, incarnations: map[string]string{}}
}

// Lease returns how long a former holder may still use a slot: until the
// platform's VM list shows the change and the holder's own view is stale.
func Lease(limits bluebelldoor.Limits) time.Duration {
	return limits.VMListLag + limits.FreshFor
}

// Resource is a resource whose use is limited by slots.
type Resource struct {
	Name  string
	Slots int
}

// EngineResources returns a resource for each engine of a document, with its cold slots.
func EngineResources(d *bluebelldoor.Document) []Resource {
	var out []Resource
	for _, t := range d.Targets() {
		if t.Kind() == bluebelldoor.KindEngine {
			out = append(out, Resource{Name: t.Name(), Slots: t.ColdSlots()})
		}
	}
	return out
}

// Assign recomputes which slots this VM holds under the list. A slot that it
// already held keeps its state; a new one becomes usable when the lease of its
// former holder has expired.
func (s *Slotter) Assign(resources []Resource, lease time.Duration, l *bluebelldoor.VMList, now time.Time) {
	names := activeVMs(l)
	next := make(map[string]map[int]*Slot, len(s.slots))
	for _, r := range resources {
		for i := range r.Slots {
			if holder(r.Name, i, names) != s.self {
				continue
			}
			if next[r.Name] == nil {
				next[r.Name] = map[int]*Slot{}
			}
			next[r.Name][i] = s.slotOrNew(r.Name, i, now.Add(lease))
		}
	}
	s.slots = next
}

// Holders returns, by slot number, the VM that holds each slot of a target under
// a list.
func Holders(t *bluebelldoor.Target, l *bluebelldoor.VMList) []string {
	names := activeVMs(l)
	out := make([]string, t.ColdSlots())
	for i := range out {
		out[i] = holder(t.Name(), i, names)
	}
	return out
}

func holder(resource string, slot int, names []string) string {
	return ranker.First(resource+"/"+strconv.Itoa(slot), names)
}

func activeVMs(l *bluebelldoor.VMList) []string {
	var names []string
	for _, vm := range l.VMs() {
		if !vm.Leaving() {
			names = append(names, vm.Name())
		}
	}
	return names
}

func (s *Slotter) slotOrNew(resource string, i int, usableAt time.Time) *Slot {
	if held := s.slots[resource][i]; held != nil {
		return held
	}
	return &Slot{UsableAt: usableAt}
}

// Report processes a load report. A report made after the lease expired proves
// that no work of an earlier holder is left if it shows an idle target or a new
// incarnation of the target.
func (s *Slotter) Report(target string, r bluebelldoor.LoadReport) {
	known, seen := s.incarnations[target]
	s.incarnations[target] = r.Incarnation
	for _, slot := range s.slots[target] {
		empty := r.Running+r.Waiting == 0
		restarted := seen && known != r.Incarnation
		if (empty || restarted) && r.Received.After(slot.UsableAt) {
			slot.Drained = true
		}
	}
}

// Held returns copies of the slots of a resource that this VM holds, by slot
// number.
func (s *Slotter) Held(resource string) map[int]Slot {
	out := make(map[int]Slot, len(s.slots[resource]))
	for i, slot := range s.slots[resource] {
		out[i] = *slot
	}
	return out
}

// Slots returns copies of the slots of a target that this VM holds.
func (s *Slotter) Slots(target string) []Slot {
	held := s.slots[target]
	out := make([]Slot, 0, len(held))
	for _, slot := range held {
		out = append(out, *slot)
	}
	return out
}

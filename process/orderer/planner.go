// Package orderer sends engines the orders that bring them to the state the
// document specifies: weights to load and unload, and a role.
//
// The desired state depends on the document alone, so that two issuers agree on
// it. The load rate of the weight store is divided into slots that VMs hold under
// a lease. Operators decide which weights are loaded where.
package orderer

import (
	"slices"
	"strconv"
	"time"

	"bluebelldoor"
	"bluebelldoor/process/ranker"
	"bluebelldoor/process/slotter"
)

const (
	// maxIssuers is the maximum number of VMs that issue orders.
	maxIssuers = 4
	// fenceBits is the number of low bits of a fencing number that count the
	// orders under one revision.
	fenceBits = 20
)

// Planner decides which orders one VM issues. It is not safe for concurrent use.
type Planner struct {
	slots        *slotter.Slotter
	resource     slotter.Resource
	loadInterval time.Duration     // minimum time between two loads of a slot
	nextLoadAt   map[int]time.Time // by slot number
	revision     uint64
}

// NewPlanner returns a planner for the VM named self. It issues no orders before
// Assign is called.
func NewPlanner(self string) *Planner {
	return &Planner{slots: slotter.New(self), nextLoadAt: map[int]time.Time{}}
}

// Assign computes which slots this VM holds under the list and document. A new
// holder waits until the former holder's lease has expired, and then until that
// VM's last load no longer counts against the weight store's rate.
func (p *Planner) Assign(d *bluebelldoor.Document, l *bluebelldoor.VMList, now time.Time) {
	perMinute := d.Limits().LoadsPerMinute
	issuers := min(maxIssuers, perMinute)
	p.loadInterval = time.Minute * time.Duration(issuers) / time.Duration(perMinute)
	// The name contains the rate, so that a changed rate makes every slot new.
	p.resource = slotter.Resource{Name: "weights/" + strconv.Itoa(perMinute), Slots: issuers}
	p.revision = d.Revision()
	p.slots.Assign([]slotter.Resource{p.resource}, slotter.Lease(d.Limits())+p.loadInterval, l, now)
}

// Revision returns the document revision under which orders are planned.
func (p *Planner) Revision() uint64 { return p.revision }

// IsIssuer reports whether this VM issues the target's orders at the given time.
func (p *Planner) IsIssuer(t *bluebelldoor.Target, now time.Time) bool {
	_, ok := p.slot(t, now)
	return ok
}

func (p *Planner) slot(t *bluebelldoor.Target, now time.Time) (int, bool) {
	number := int(ranker.Score("orders", t.Name()) % uint64(max(p.resource.Slots, 1)))
	slot, held := p.slots.Held(p.resource.Name)[number]
	return number, held && !now.Before(slot.UsableAt)
}

// Next returns the next order for a target in the given state, or false if there
// is none to send now. A returned load counts against the slot's rate whether or
// not it reaches the engine.
func (p *Planner) Next(t *bluebelldoor.Target, s bluebelldoor.EngineState, now time.Time) (bluebelldoor.Order, bool) {
	number, ok := p.slot(t, now)
	if !ok || s.Fence>>fenceBits > p.revision {
		return bluebelldoor.Order{}, false // another VM issues orders under a newer document
	}
	o := bluebelldoor.Order{Fence: max(p.revision<<fenceBits, s.Fence) + 1}
	if t.Role() != "" && t.Role() != s.Role {
		o.Kind, o.Role = bluebelldoor.OrderRole, t.Role()
		return o, true
	}
	if t.Weights() == nil {
		return o, false
	}
	for _, w := range s.Loaded {
		if !slices.Contains(t.Weights(), w) {
			o.Kind, o.Weights = bluebelldoor.OrderUnload, w
			return o, true
		}
	}
	for _, w := range t.Weights() {
		if slices.Contains(s.Loaded, w) || slices.Contains(s.Loading, w) {
			continue
		}
		if now.Before(p.nextLoadAt[number]) {
			return o, false
		}
		p.nextLoadAt[number] = now.Add(p.loadInterval)
		o.Kind, o.Weights = bluebelldoor.OrderLoad, w
		return o, true
	}
	return o, false
}

package registrar

import (
	"time"

	"bluebelldoor"
)

// Target is a registered start of a target as one VM sees it.
type Target struct {
	*bluebelldoor.Instance
	// ColdUntil is when the target stops being cold, by the VM's clock.
	ColdUntil time.Duration
	// Lapsed tells that the entry has gone in an outage of the platform and
	// may come back.
	Lapsed bool
	// LeavingSince is the earliest time, by the VM's clock, at which others may have
	// known that the target leaves.
	LeavingSince time.Duration
}

// View is what is in force on one VM. It is immutable.
type View struct {
	routing  *bluebelldoor.Routing
	services map[string][]*Target
	targets  map[string]*Target
	out      map[string]bool
}

// Routing returns the routing in force, nil before the first.
func (v *View) Routing() *bluebelldoor.Routing { return v.routing }

// Serving returns the targets of a service, leaving ones included. Callers
// must not change the slice.
func (v *View) Serving(service string) []*Target { return v.services[service] }

// Target returns the target with this ID, nil if there is none.
func (v *View) Target(id string) *Target { return v.targets[id] }

// OutOfService reports whether operators have taken a data centre out.
func (v *View) OutOfService(dataCentre string) bool { return v.out[dataCentre] }

// Open reports whether the start of a target that t names may get new work.
func (v *View) Open(t *bluebelldoor.Instance) bool {
	now := v.targets[t.ID]
	return now != nil && now.Born == t.Born && now.Address == t.Address && !now.Leaving && !v.out[now.DataCentre]
}

// Finishes reports whether the start of a target that t names may still get the rest
// of what it has begun, or holds a copy of: it is open, or has been leaving for less
// than within at now.
func (v *View) Finishes(t *bluebelldoor.Instance, now, within time.Duration) bool {
	held := v.targets[t.ID]
	if held == nil || held.Born != t.Born || held.Address != t.Address || v.out[held.DataCentre] {
		return false
	}
	return !held.Leaving || now-held.LeavingSince < within
}

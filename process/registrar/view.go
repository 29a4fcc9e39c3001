package registrar

import (
	"time"

	"bluebelldoor"
)

// Target is an incarnation of a registered target as one VM sees it.
type Target struct {
	*bluebelldoor.Instance
	// ColdUntil is when the target stops being cold, by the VM's clock.
	ColdUntil time.Duration
	// Lapsed is set if the record has disappeared in an outage of the platform
	// and may be renewed.
	Lapsed bool
	// LeavingSince is the earliest time, by the VM's clock, at which other VMs may
	// have known that the target is leaving.
	LeavingSince time.Duration
}

// View is a snapshot of the state in force on one VM. It is immutable.
type View struct {
	routing      *bluebelldoor.Routing
	services     map[string][]*Target
	targets      map[string]*Target
	outOfService map[string]bool
}

// Routing returns the routing in force, nil if none has been received.
func (v *View) Routing() *bluebelldoor.Routing { return v.routing }

// ServiceTargets returns the targets of a service, including those that are leaving.
// Callers must not change the slice.
func (v *View) ServiceTargets(service string) []*Target { return v.services[service] }

// Target returns the target with this ID, nil if there is none.
func (v *View) Target(id string) *Target { return v.targets[id] }

// OutOfService reports whether operators have taken a data centre out of service.
func (v *View) OutOfService(dataCentre string) bool { return v.outOfService[dataCentre] }

// AcceptsNewWork reports whether t may be sent new work: it is the current incarnation
// of its target, is not leaving, and its data centre is in service.
func (v *View) AcceptsNewWork(t *bluebelldoor.Instance) bool {
	current := v.targets[t.ID]
	return current != nil && current.StartedAt == t.StartedAt && current.Address == t.Address && !current.Leaving && !v.outOfService[current.DataCentre]
}

// AcceptsContinuation reports whether t may still be sent requests that continue work
// that it has begun or holds a copy of: it accepts new work, or has been leaving for
// less than within at now.
func (v *View) AcceptsContinuation(t *bluebelldoor.Instance, now, within time.Duration) bool {
	current := v.targets[t.ID]
	if current == nil || current.StartedAt != t.StartedAt || current.Address != t.Address || v.outOfService[current.DataCentre] {
		return false
	}
	return !current.Leaving || now-current.LeavingSince < within
}

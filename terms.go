package bluebelldoor

import (
	"cmp"
	"slices"
	"time"
)

// minTermsRatio is the ratio of time limits or objectives from which two routes of a
// service count as asking for different treatment.
const minTermsRatio = 2

// ServiceTerms are what the generating routes of a service ask of placement, taken
// together. The zero value asks for nothing.
type ServiceTerms struct {
	// protected, deferrable and urgent are sets of route names.
	protected, deferrable, urgent map[string]bool
}

// newServiceTerms derives the terms of a service from its generating routes.
func newServiceTerms(routes []*RouteSpec) ServiceTerms {
	t := ServiceTerms{protected: map[string]bool{}, deferrable: map[string]bool{}, urgent: map[string]bool{}}
	byPriority := slices.SortedStableFunc(slices.Values(routes), func(a, b *RouteSpec) int { return cmp.Compare(a.Priority, b.Priority) })
	t.addProtected(byPriority)
	t.addDeferrable(byPriority)
	t.addUrgent(routes)
	return t
}

// addProtected adds the stream routes that have precedence over all others and allow a much
// longer time than one of these.
func (t ServiceTerms) addProtected(byPriority []*RouteSpec) {
	first := slices.IndexFunc(byPriority, func(r *RouteSpec) bool { return r.MaxEventGap > 0 })
	if first < 0 {
		return
	}
	var shortest time.Duration // time limit of a route that ranks below
	for _, r := range byPriority[first:] {
		if r.Priority > byPriority[first].Priority && r.Timeout > 0 && (shortest == 0 || r.Timeout < shortest) {
			shortest = r.Timeout
		}
	}
	for _, r := range byPriority[first:] {
		if r.Priority > byPriority[first].Priority || shortest == 0 {
			return
		}
		if r.MaxEventGap > 0 && (r.Timeout == 0 || r.Timeout >= minTermsRatio*shortest) {
			t.protected[r.Name] = true
		}
	}
}

// addDeferrable adds the routes whose objective is much longer than that of a route that has
// precedence.
func (t ServiceTerms) addDeferrable(byPriority []*RouteSpec) {
	var shortest, inGroup time.Duration // objectives of the routes above r, and also beside it
	for i, r := range byPriority {
		if i > 0 && r.Priority > byPriority[i-1].Priority {
			shortest = inGroup
		}
		if shortest > 0 && r.LatencyObjective >= minTermsRatio*shortest {
			t.deferrable[r.Name] = true
		}
		if r.LatencyObjective > 0 && (inGroup == 0 || r.LatencyObjective < inGroup) {
			inGroup = r.LatencyObjective
		}
	}
}

// addUrgent adds the routes because of which others are deferrable.
func (t ServiceTerms) addUrgent(routes []*RouteSpec) {
	for _, r := range routes {
		for _, other := range routes {
			if t.deferrable[other.Name] && r.Priority < other.Priority && r.LatencyObjective > 0 && other.LatencyObjective >= minTermsRatio*r.LatencyObjective {
				t.urgent[r.Name] = true
			}
		}
	}
}

// ProtectsStreams reports whether the service has protected routes.
func (t ServiceTerms) ProtectsStreams() bool { return len(t.protected) > 0 }

// Protects reports whether the streams of a route are protected: they have precedence over
// all others and may run for much longer, so that a pause in one is likely and is caused by
// requests that rank below it.
func (t ServiceTerms) Protects(route *RouteSpec) bool { return t.protected[route.Name] }

// HasDeferrable reports whether the service has deferrable routes.
func (t ServiceTerms) HasDeferrable() bool { return len(t.deferrable) > 0 }

// Defers reports whether the requests of a route are deferrable: they rank below others and
// have much more time to begin.
func (t ServiceTerms) Defers(route *RouteSpec) bool { return t.deferrable[route.Name] }

// IsUrgent reports whether the requests of a route are urgent: others that are deferrable rank
// below them. A route may be neither.
func (t ServiceTerms) IsUrgent(route *RouteSpec) bool { return t.urgent[route.Name] }

// Adaptive reports whether the service has terms that need placement to adapt to the targets.
func (t ServiceTerms) Adaptive() bool { return t.ProtectsStreams() || t.HasDeferrable() }

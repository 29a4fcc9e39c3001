package generator

import (
	"slices"
	"time"

	"bluebelldoor"
)

// loadDuration is how long loading weights takes.
const loadDuration = 2 * time.Second

type pendingLoad struct {
	weights     bluebelldoor.Weights
	completesAt time.Time
}

// weights is what an engine has loaded or is loading, and the orders that it has
// accepted.
type weights struct {
	loaded  []bluebelldoor.Weights
	loading []pendingLoad
	role    string
	fence   uint64
	orders  []Order
}

// completeLoads moves the loads that are complete by now to loaded.
func (w *weights) completeLoads(now time.Time) {
	w.loading = slices.DeleteFunc(w.loading, func(l pendingLoad) bool {
		if now.Before(l.completesAt) {
			return false
		}
		w.loaded = append(w.loaded, l.weights)
		return true
	})
}

// State returns the engine's weights, role and fencing number.
func (e *Engine) State() bluebelldoor.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.weights.completeLoads(time.Now())
	s := bluebelldoor.EngineState{
		Loaded: append([]bluebelldoor.Weights(nil), e.weights.loaded...),
		Role:   e.weights.role,
		Fence:  e.weights.fence,
	}
	for _, l := range e.weights.loading {
		s.Loading = append(s.Loading, l.weights)
	}
	return s
}

// Order carries out an order and reports whether it was accepted.
func (e *Engine) Order(o bluebelldoor.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	w := &e.weights
	w.completeLoads(now)
	if e.fencing && o.Fence < w.fence {
		return false
	}
	w.fence = max(w.fence, o.Fence)
	w.orders = append(w.orders, Order{AtMs: now.UnixMilli(), Order: o})
	switch o.Kind {
	case bluebelldoor.OrderLoad:
		w.loading = append(w.loading, pendingLoad{weights: o.Weights, completesAt: now.Add(loadDuration)})
	case bluebelldoor.OrderUnload:
		w.loaded = slices.DeleteFunc(w.loaded, func(x bluebelldoor.Weights) bool { return x == o.Weights })
	case bluebelldoor.OrderRole:
		w.role = o.Role
	}
	return true
}

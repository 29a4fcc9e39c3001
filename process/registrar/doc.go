// Package registrar keeps what the platform publishes: the routing in force,
// the targets that have registered themselves, and data centres that are out
// of service. One goroutine owns that state and publishes immutable views.
//
// It does not choose targets and knows no requests.
package registrar

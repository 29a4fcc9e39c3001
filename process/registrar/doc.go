// Package registrar keeps what the platform publishes: the routing in force,
// the registered targets, and the data centres that are out of service. One
// goroutine owns that state and publishes immutable views.
//
// It does not choose targets and does not handle requests.
package registrar

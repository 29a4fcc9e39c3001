// Package controller maintains the control state of one VM. One goroutine owns
// the state, applies events to it, and publishes an immutable State through an
// atomic pointer. Other goroutines poll the platform, the peers and the targets,
// and post the responses as events.
//
// It handles no requests of callers.
package controller

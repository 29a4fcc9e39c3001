// Package admitter decides when and at which target a request starts, or that
// it is refused. It applies the limits of client accounts, keeps the queues of
// waiting requests (package placer orders them), and asks a router.Chooser for
// targets.
//
// It is a plain state machine: the time and random numbers are passed in, and
// decisions are returned. It does no I/O and starts no goroutine.
package admitter

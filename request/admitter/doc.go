// Package admitter decides when a request starts and at which target, or that
// it is refused: limits of client accounts, the line of those that wait (its
// order is the placer's), and the choice of a chooser.
//
// It is a plain state machine: the time and random numbers are passed in, and
// decisions come out. It does no I/O and starts no goroutine.
package admitter

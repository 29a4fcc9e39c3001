// Package placer chooses the target of a request, from what this VM and its
// peers have on each target, and orders the generations that wait for room on
// one. It does no I/O and reads no clock, so that loads can be tried against it
// without a network.
//
// It does not know what the platform publishes: the caller passes the targets
// that may be used.
package placer

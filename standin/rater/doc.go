// Package rater measures decisions: it drives the real admitter and router, or
// the real placer, of several VMs on engine stand-ins in virtual time, and counts
// what callers and engines would have seen. Engines may be lost, turn cold, or
// be taken away all the while after a notice in which generations move.
//
// It has no network and no control loop: reports lag and links fail nowhere
// else. Failures of those are for the focused tests.
package rater

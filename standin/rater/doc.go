// Package rater benchmarks scheduling decisions: it runs the real admitter and
// router, or the real placer, of several VMs against simulated engines in virtual
// time, and measures what callers and engines would have seen. Engines may fail,
// become cold, or be reclaimed repeatedly after a notice period, during which
// their generations move.
//
// It simulates neither a network nor a control loop: load reports and load
// broadcasts are delayed, but none is lost. Other tests cover such failures.
package rater

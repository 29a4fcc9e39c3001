// Package placer chooses the target of a request, from the load that this VM
// and its peers have on each target, and queues the generations for which no
// target has room. It does no I/O and reads no clock, so that tests can simulate
// loads without a network.
//
// It doesn't know what the platform publishes: the caller passes the eligible
// targets.
package placer

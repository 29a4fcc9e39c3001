// Package limiter keeps the limits that targets in need name: the requests per second
// that a target accepts from all VMs together.
//
// One VM, chosen by rendezvous hashing, grants the sends to a limited target. VMs that
// divided the limit among themselves could not use the parts of those without traffic,
// and with many VMs even one request of each would exceed it. Where VMs do not agree on
// who grants, each grantor grants only the fraction of the limit that corresponds to the
// VMs that it sees. A VM whose grantor does not answer sends its own share.
package limiter

// Package gossiper keeps the fleet's membership without a shared store: VMs
// find each other through seeds, exchange what they know of all, and tell by
// heartbeats who is alive. Members' own loads travel along.
//
// It is no agreement: two VMs may see different members for some seconds.
package gossiper

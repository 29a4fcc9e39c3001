// Package gossiper keeps the fleet's membership without a shared store: VMs
// find each other through seeds, exchange what they know of all, and tell by
// heartbeats who is alive. What has changed of members' own loads travels along.
//
// Of each data centre the first few in an order that all VMs know serve callers, the
// others stand by. What is told of a member at second hand carries its age.
//
// It is no agreement: two VMs may see different members for some seconds.
package gossiper

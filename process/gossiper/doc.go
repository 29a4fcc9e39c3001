// Package gossiper maintains fleet membership without a shared store. VMs discover
// each other through seeds, gossip the states of members, and detect failed members
// by missing heartbeats. Changes of a member's own loads travel in the same messages.
//
// In each data centre the few highest-ranked VMs are hubs, which serve callers; the
// others are standbys. A state that another VM passes on carries its age.
//
// Membership is not consensus: the views of two VMs may differ for some seconds.
package gossiper

package router

import (
	"time"

	"bluebelldoor"
	"bluebelldoor/request/placer"
)

// MostPeers is up to how many other VMs tell each other what they have: the
// messages grow with the square of the VMs. In larger fleets targets' reports are
// what there is.
const MostPeers = 16

// PeerLoads is what the other VMs have on the targets, as they told it. It is not
// safe for concurrent use.
type PeerLoads struct {
	epoch time.Time
	loads *placer.PeerLoads
}

// NewPeerLoads returns the loads of no peers.
func NewPeerLoads() *PeerLoads { return &PeerLoads{loads: placer.NewPeerLoads()} }

// Hear takes a peer's loads, told at now.
func (p *PeerLoads) Hear(name string, loads []bluebelldoor.TargetLoad, now time.Time) {
	p.loads.Hear(name, loads, p.since(now))
}

// all reports whether each of the VMs has told its loads of late.
func (p *PeerLoads) all(vms []string, now time.Time) bool {
	if p == nil || len(vms) > MostPeers {
		return false
	}
	at := p.since(now)
	for _, vm := range vms {
		if !p.loads.Told(vm, at) {
			return false
		}
	}
	return true
}

// On returns what the peers that told their loads have on a target.
func (p *PeerLoads) On(target string, now time.Time) bluebelldoor.TargetLoad {
	if p == nil {
		return bluebelldoor.TargetLoad{}
	}
	return p.loads.On(target, p.since(now))
}

func (p *PeerLoads) since(now time.Time) time.Duration {
	if p.epoch.IsZero() {
		p.epoch = now
	}
	return now.Sub(p.epoch)
}

package router

import (
	"time"

	"bluebelldoor"
	"bluebelldoor/request/placer"
)

// MaxPeers is the largest number of peers with which a VM exchanges loads: the
// number of messages grows with the square of the number of VMs. Larger fleets
// rely on the targets' reports.
const MaxPeers = 16

// PeerLoads is the load that the other VMs report to have on the targets. It is
// not safe for concurrent use.
type PeerLoads struct {
	epoch time.Time
	loads *placer.PeerLoads
}

// NewPeerLoads returns the loads of no peers.
func NewPeerLoads() *PeerLoads { return &PeerLoads{loads: placer.NewPeerLoads()} }

// Replace replaces a peer's loads with those received at now.
func (p *PeerLoads) Replace(name string, loads []bluebelldoor.TargetLoad, now time.Time) {
	p.loads.Replace(name, loads, p.sinceEpoch(now))
}

// allReported reports whether each of the VMs has sent its loads recently.
func (p *PeerLoads) allReported(vms []string, now time.Time) bool {
	if p == nil || len(vms) > MaxPeers {
		return false
	}
	at := p.sinceEpoch(now)
	for _, vm := range vms {
		if !p.loads.HasLoads(vm, at) {
			return false
		}
	}
	return true
}

// OnTarget returns the load on a target of the peers that have sent theirs.
func (p *PeerLoads) OnTarget(target string, now time.Time) bluebelldoor.TargetLoad {
	if p == nil {
		return bluebelldoor.TargetLoad{}
	}
	return p.loads.TargetLoad(target, p.sinceEpoch(now))
}

// sinceEpoch converts a time to the duration since the first one it was given.
func (p *PeerLoads) sinceEpoch(now time.Time) time.Duration {
	if p.epoch.IsZero() {
		p.epoch = now
	}
	return now.Sub(p.epoch)
}

package placer

import (
	"time"

	"bluebelldoor"
)

// peerStale is the age at which a peer's loads no longer count; they come
// several times a second.
const peerStale = 3 * time.Second

// PeerLoads keeps what the other VMs have on the targets, as they told it. It is not
// safe for concurrent use.
type PeerLoads struct {
	told map[string]heard
	sums map[string]load
	// stale is when the next of them may have been silent for too long.
	stale time.Duration
	dirty bool
}

type heard struct {
	at    time.Duration
	loads map[string]load
}

// NewPeerLoads returns the loads of no peers.
func NewPeerLoads() *PeerLoads {
	return &PeerLoads{told: map[string]heard{}, sums: map[string]load{}}
}

func loadOf(t bluebelldoor.TargetLoad) load {
	return load{requests: t.Requests, tokens: t.Tokens, held: t.Held, prefill: t.Prefill, pace: time.Duration(t.PaceMs) * time.Millisecond}
}

// Hear takes a peer's loads, told at now. They replace what it told before.
func (p *PeerLoads) Hear(name string, loads []bluebelldoor.TargetLoad, now time.Duration) {
	told := heard{at: now, loads: make(map[string]load, len(loads))}
	for _, t := range loads {
		told.loads[t.Target] = loadOf(t)
	}
	p.told[name] = told
	p.dirty = true
}

// Change takes the loads of a peer that have changed since it last told, without
// requests where nothing is left. It reports whether the others are held.
func (p *PeerLoads) Change(name string, loads []bluebelldoor.TargetLoad, now time.Duration) bool {
	p.forget(now)
	told, held := p.told[name]
	if !held {
		return false
	}
	for _, t := range loads {
		if t.Requests == 0 {
			delete(told.loads, t.Target)
			continue
		}
		told.loads[t.Target] = loadOf(t)
	}
	told.at = now
	p.told[name] = told
	p.dirty = p.dirty || len(loads) > 0
	return true
}

// Told reports whether a peer has told its loads of late, and forgets those that
// have not.
func (p *PeerLoads) Told(name string, now time.Duration) bool {
	p.forget(now)
	_, told := p.told[name]
	return told
}

// On returns what the peers that told of late have on a target together.
func (p *PeerLoads) On(target string, now time.Duration) bluebelldoor.TargetLoad {
	p.forget(now)
	p.add()
	sum := p.sums[target]
	return bluebelldoor.TargetLoad{Target: target, Requests: sum.requests, Tokens: sum.tokens, Held: sum.held, Prefill: sum.prefill}
}

func (p *PeerLoads) forget(now time.Duration) {
	if now < p.stale {
		return
	}
	p.stale = now + peerStale
	for name, heard := range p.told {
		if now-heard.at > peerStale {
			delete(p.told, name)
			p.dirty = true
			continue
		}
		p.stale = min(p.stale, heard.at+peerStale)
	}
}

// add brings the sums up to date, and reports whether they had changed.
func (p *PeerLoads) add() bool {
	if !p.dirty {
		return false
	}
	p.dirty = false
	clear(p.sums)
	for _, heard := range p.told {
		for target, l := range heard.loads {
			p.sums[target] = p.sums[target].plus(l)
		}
	}
	return true
}

package placer

import (
	"time"

	"bluebelldoor"
)

// peerLoadTTL is the age at which a peer's loads expire. Peers send them several
// times a second.
const peerLoadTTL = 3 * time.Second

// PeerLoads keeps the loads that the other VMs report on the targets. It is not
// safe for concurrent use.
type PeerLoads struct {
	reports map[string]peerReport
	totals  map[string]load
	// nextExpiry is the earliest time at which a report may expire.
	nextExpiry time.Duration
	dirty      bool
}

// peerReport is the load of a peer, as of its last report.
type peerReport struct {
	at    time.Duration
	loads map[string]load
}

// NewPeerLoads returns an empty PeerLoads.
func NewPeerLoads() *PeerLoads {
	return &PeerLoads{reports: map[string]peerReport{}, totals: map[string]load{}}
}

func loadOf(t bluebelldoor.TargetLoad) load {
	return load{
		requests: t.Requests,
		tokens:   t.Tokens,
		held:     t.HeldTokens,
		prefill:  t.PrefillTokens,
		streams:  t.Streams,
		reserved: t.Reserved,
		credit:   t.Credit,
		interval: time.Duration(t.EventIntervalMs) * time.Millisecond,
	}
}

// Replace replaces a peer's loads with those of a report received at now.
func (p *PeerLoads) Replace(name string, loads []bluebelldoor.TargetLoad, now time.Duration) {
	report := peerReport{at: now, loads: make(map[string]load, len(loads))}
	for _, t := range loads {
		report.loads[t.Target] = loadOf(t)
	}
	p.reports[name] = report
	p.dirty = true
}

// Update applies the loads of a peer that have changed since its last report; one
// without any load is removed. It returns false if the last report has expired.
func (p *PeerLoads) Update(name string, loads []bluebelldoor.TargetLoad, now time.Duration) bool {
	p.removeExpired(now)
	report, held := p.reports[name]
	if !held {
		return false
	}
	for _, t := range loads {
		if loadOf(t) == (load{}) {
			delete(report.loads, t.Target)
			continue
		}
		report.loads[t.Target] = loadOf(t)
	}
	report.at = now
	p.reports[name] = report
	p.dirty = p.dirty || len(loads) > 0
	return true
}

// HasLoads reports whether a peer's loads are known and have not expired.
func (p *PeerLoads) HasLoads(name string, now time.Duration) bool {
	p.removeExpired(now)
	_, found := p.reports[name]
	return found
}

// TargetLoad returns the total load of the peers on a target, without expired
// reports.
func (p *PeerLoads) TargetLoad(target string, now time.Duration) bluebelldoor.TargetLoad {
	p.removeExpired(now)
	p.updateTotals()
	total := p.totals[target]
	return bluebelldoor.TargetLoad{Target: target, Requests: total.requests, Tokens: total.tokens, HeldTokens: total.held, PrefillTokens: total.prefill}
}

func (p *PeerLoads) removeExpired(now time.Duration) {
	if now < p.nextExpiry {
		return
	}
	p.nextExpiry = now + peerLoadTTL
	for name, report := range p.reports {
		if now-report.at > peerLoadTTL {
			delete(p.reports, name)
			p.dirty = true
			continue
		}
		p.nextExpiry = min(p.nextExpiry, report.at+peerLoadTTL)
	}
}

// updateTotals recalculates the totals if a report has changed, and reports
// whether one had.
func (p *PeerLoads) updateTotals() bool {
	if !p.dirty {
		return false
	}
	p.dirty = false
	clear(p.totals)
	for _, report := range p.reports {
		for target, l := range report.loads {
			p.totals[target] = p.totals[target].plus(l)
		}
	}
	return true
}

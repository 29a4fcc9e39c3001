package quarantiner

import "time"

// proofs remembers when parts were last proven sound, for at least the newest half of its
// capacity.
type proofs struct {
	capacity          int
	current, previous map[key]time.Duration
}

func newProofs(capacity int) *proofs {
	return &proofs{capacity: capacity, current: map[key]time.Duration{}}
}

func (p *proofs) add(k key, at time.Duration) {
	if len(p.current) >= p.capacity/2 {
		p.previous, p.current = p.current, map[key]time.Duration{}
	}
	p.current[k] = at
}

func (p *proofs) last(k key) (time.Duration, bool) {
	if at, ok := p.current[k]; ok {
		return at, true
	}
	at, ok := p.previous[k]
	return at, ok
}

package quarantiner

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxPartProofs bounds the complete answers that are remembered of an accused part.
	maxPartProofs = 32
	// minProofGap is the least time between two answers on one VM that count, lest a popular
	// part costs work at each answer.
	minProofGap = 50 * time.Millisecond
	// proofHolds is how long an answer also speaks against later crashes: VMs learn of
	// crashes and of answers in any order, and crashes of several targets at once would
	// otherwise find no answer in between.
	proofHolds = 2 * time.Second
)

// proof is a complete answer. Its ID is the same for all parts of the request and on all VMs.
type proof struct {
	id uint32
	at time.Duration
}

func newProof(at time.Duration) proof { return proof{1 + rand.Uint32N(math.MaxUint32), at} }

// soundness holds the newest proofs of a part, the oldest first.
type soundness struct{ proofs []proof }

// add adds a proof, and reports whether it was not known and not within gap of another, or was
// known as a later one: what VMs tell of a proof is never earlier than it was.
func (s *soundness) add(p proof, gap time.Duration) bool {
	if i := slices.IndexFunc(s.proofs, func(known proof) bool { return known.id == p.id }); i >= 0 {
		if p.at >= s.proofs[i].at {
			return false
		}
		s.proofs[i].at = p.at
		slices.SortStableFunc(s.proofs, func(a, b proof) int { return cmp.Compare(a.at, b.at) })
		return true
	}
	for _, known := range s.proofs {
		if known.at == p.at || (known.at-p.at).Abs() < gap {
			return false
		}
	}
	if len(s.proofs) == maxPartProofs {
		if p.at < s.proofs[0].at {
			return false
		}
		s.proofs = s.proofs[1:]
	}
	i, _ := slices.BinarySearchFunc(s.proofs, p, func(a, b proof) int { return cmp.Compare(a.at, b.at) })
	s.proofs = slices.Insert(s.proofs, i, p)
	return true
}

// since returns the number of proofs after a time. maxPartProofs stands for that many or more.
func (s *soundness) since(at time.Duration) int {
	if s == nil {
		return 0
	}
	n := 0
	for _, p := range s.proofs {
		if p.at > at {
			n++
		}
	}
	return n
}

// proofs remembers when parts were last proven sound, for at least the newest half of its
// capacity.
type proofs struct {
	capacity          int
	current, previous map[key]proof
}

func newProofs(capacity int) *proofs {
	return &proofs{capacity: capacity, current: map[key]proof{}}
}

func (p *proofs) add(k key, newest proof) {
	if len(p.current) >= p.capacity/2 {
		p.previous, p.current = p.current, map[key]proof{}
	}
	p.current[k] = newest
}

func (p *proofs) last(k key) (proof, bool) {
	if newest, ok := p.current[k]; ok {
		return newest, true
	}
	newest, ok := p.previous[k]
	return newest, ok
}

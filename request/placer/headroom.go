package placer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// urgentWindow is for how long the sizes of urgent generations count.
	urgentWindow = 10 * time.Second
	// maxUrgentSizes bounds the sizes that are kept.
	maxUrgentSizes = 512
	// urgentQuantile is the quantile of the sizes for which there is to be room.
	urgentQuantile = 0.98
	// urgentUtilization is the share of the time for which the targets with headroom may be
	// reading urgent prompts. With more, urgent generations wait for each other.
	urgentUtilization = 0.5
	// minHeadroomTargets and maxHeadroomShare bound the number of targets with headroom.
	// maxHeadroomShare also bounds the share of the memory of all targets that is kept free.
	minHeadroomTargets = 2
	maxHeadroomShare   = 0.25
	// minExtrapolatedSizes is the number of sizes from which a VM extrapolates its demand to
	// that of all VMs. A VM with a small share would take a single one for a high demand.
	minExtrapolatedSizes = 3
)

// Headroom is the memory that deferrable generations leave free for urgent ones.
type Headroom struct {
	// Tokens is the size of an urgent generation for which there is to be room.
	Tokens int
	// Targets is on how many targets there is to be such room.
	Targets int
}

// UrgentDemand tracks the recent urgent generations of one service on a VM. The zero value is
// ready to use. It is not safe for concurrent use.
type UrgentDemand struct {
	recent []urgentSize
	// truncated reports that recent lacks sizes within urgentWindow.
	truncated bool
	// headroom is the result for cachedShare while recent stays as it is.
	headroom    Headroom
	cachedShare float64
	cached      bool
}

type urgentSize struct {
	at     time.Duration
	tokens int
}

// Record records that an urgent generation with a prompt of this many tokens arrived at now.
func (u *UrgentDemand) Record(tokens int, now time.Duration) {
	u.recent = append(u.recent, urgentSize{now, tokens})
	u.cached = false
	u.removeOld(now)
}

func (u *UrgentDemand) removeOld(now time.Duration) {
	first := max(0, len(u.recent)-maxUrgentSizes)
	u.truncated = first > 0 || u.truncated && len(u.recent) == maxUrgentSizes
	for first < len(u.recent) && now-u.recent[first].at > urgentWindow {
		first++
		u.truncated = false
	}
	if first > 0 {
		u.recent = slices.Delete(u.recent, 0, first)
		u.cached = false
	}
}

// Headroom returns the headroom that the urgent demand needs, for a VM that has this share of
// the requests of all VMs, 0 if that is unknown.
func (u *UrgentDemand) Headroom(vmShare float64, now time.Duration) Headroom {
	u.removeOld(now)
	if len(u.recent) == 0 {
		return Headroom{}
	}
	if u.cached && u.cachedShare == vmShare {
		return u.headroom
	}
	sizes, sum := make([]int, 0, len(u.recent)), 0
	for _, s := range u.recent {
		sizes = append(sizes, s.tokens)
		sum += s.tokens
	}
	slices.Sort(sizes)
	u.headroom = Headroom{Tokens: sizes[int(urgentQuantile*float64(len(sizes)-1)+0.5)], Targets: minHeadroomTargets}
	if vmShare > 0 && len(sizes) >= minExtrapolatedSizes {
		perSecond := float64(sum) / u.period().Seconds() / max(vmShare, minVMShare)
		u.headroom.Targets = max(minHeadroomTargets, int(math.Ceil(perSecond/(prefillTokensPerSecond*urgentUtilization))))
	}
	u.cached, u.cachedShare = true, vmShare
	return u.headroom
}

// period returns the time over which the sizes have arrived.
func (u *UrgentDemand) period() time.Duration {
	if !u.truncated {
		return urgentWindow
	}
	return max(u.recent[len(u.recent)-1].at-u.recent[0].at, time.Second)
}

// minVMShare bounds the extrapolation from one VM to all.
const minVMShare = 1.0 / 500

// headroomCheck tells on which targets a deferrable generation leaves the headroom. The zero
// value allows all.
type headroomCheck struct {
	// tokens is the headroom, usable the memory that may be in use, in tokens.
	tokens, usable int
	// keeps holds for each candidate whether it is one of those with headroom, nil if none is.
	keeps []bool
	// alone is set if no other target could get a generation that leaves no headroom.
	alone bool
}

// newHeadroomCheck selects the targets with the most free memory as those that keep the
// headroom. They are not fixed: all VMs see much the same loads.
func (l *Ledger) newHeadroomCheck(candidates []Candidate, d Demand) headroomCheck {
	if d.Limits == nil || d.Engine == nil || d.Engine.MemoryTokens <= 0 || d.Limits.Headroom.Targets <= 0 {
		return headroomCheck{}
	}
	keepers := l.headroomKeepers(candidates, d)
	if keepers.count == 0 {
		return headroomCheck{}
	}
	usable := maxHeldShare * float64(d.Engine.MemoryTokens)
	tokens := min(float64(d.Limits.Headroom.Tokens), usable, maxHeadroomShare*float64(keepers.of)/float64(keepers.count)*usable)
	return headroomCheck{tokens: int(tokens), usable: int(usable), keeps: keepers.keeps, alone: len(candidates) == 1}
}

// headroomKeepers are the targets that keep the headroom, for one list of candidates and one
// state of the loads.
type headroomKeepers struct {
	version    uint64
	candidates []Candidate
	targets    int
	keeps      []bool
	// eligible and sorted are buffers.
	eligible []eligibleTarget
	sorted   []int
	// count is the number of targets that keep the headroom, of the number from which they
	// were selected.
	count, of int
}

// headroomKeepers returns the targets that keep the headroom. The result is valid until the next
// call. It is kept between changes of the loads, as many waiting generations are offered to the
// same targets.
func (l *Ledger) headroomKeepers(candidates []Candidate, d Demand) *headroomKeepers {
	k := &l.keepers
	if k.version == l.version && k.targets == d.Limits.Headroom.Targets && slices.Equal(k.candidates, candidates) {
		return k
	}
	k.version, k.targets = l.version, d.Limits.Headroom.Targets
	k.candidates = append(k.candidates[:0], candidates...)
	k.keeps = append(k.keeps[:0], make([]bool, len(candidates))...)
	l.selectEligible(candidates, d)
	k.of = len(k.eligible)
	k.count = min(k.targets, max(1, int(maxHeadroomShare*float64(k.of))), k.of)
	if k.count > 0 {
		k.selectKeepers()
	}
	return k
}

// selectKeepers selects the targets with the least memory in use, and of equal ones those with
// the lowest ID, so that all VMs with the same loads select the same.
func (k *headroomKeepers) selectKeepers() {
	k.sorted = k.sorted[:0]
	for _, e := range k.eligible {
		k.sorted = append(k.sorted, e.memory)
	}
	slices.Sort(k.sorted)
	highest, below := k.sorted[k.count-1], 0
	var equal []eligibleTarget
	for _, e := range k.eligible {
		switch {
		case e.memory < highest:
			k.keeps[e.index] = true
			below++
		case e.memory == highest:
			equal = append(equal, e)
		}
	}
	slices.SortFunc(equal, func(a, b eligibleTarget) int { return cmp.Compare(a.id, b.id) })
	for _, e := range equal[:k.count-below] {
		k.keeps[e.index] = true
	}
}

// eligibleTarget is a target that may keep headroom.
type eligibleTarget struct {
	index  int
	memory int // in use or reserved
	id     string
}

// selectEligible sets the targets whose free memory urgent generations can use: those that are
// warm, confirmed and have a free slot. If none is, cold ones count.
func (l *Ledger) selectEligible(candidates []Candidate, d Demand) {
	k := &l.keepers
	k.eligible = k.eligible[:0]
	for _, withCold := range []bool{false, true} {
		for i, c := range candidates {
			if c.Lapsed || c.Cold != withCold {
				continue
			}
			total := l.totals[c.Instance.ID]
			if slots := slotLimit(c, d); slots > 0 && total.requests >= slots {
				continue
			}
			k.eligible = append(k.eligible, eligibleTarget{i, total.held + total.reserved, c.Instance.ID})
		}
		if len(k.eligible) > 0 {
			return
		}
	}
}

// allows reports whether the candidate at an index, which has a load, may get the generation.
func (h *headroomCheck) allows(index int, total load, d Demand) bool {
	if h.keeps == nil || !h.keeps[index] || h.alone && total.requests == 0 {
		return true
	}
	return total.held+d.HeldTokens+h.tokens <= h.usable
}

package placer

import (
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
	minHeadroomTargets = 2
	maxHeadroomShare   = 0.25
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
type UrgentDemand struct{ recent []urgentSize }

type urgentSize struct {
	at     time.Duration
	tokens int
}

// Record records that an urgent generation with a prompt of this many tokens arrived at now.
func (u *UrgentDemand) Record(tokens int, now time.Duration) {
	u.recent = append(u.recent, urgentSize{now, tokens})
	u.removeOld(now)
}

func (u *UrgentDemand) removeOld(now time.Duration) {
	first := max(0, len(u.recent)-maxUrgentSizes)
	for first < len(u.recent) && now-u.recent[first].at > urgentWindow {
		first++
	}
	u.recent = slices.Delete(u.recent, 0, first)
}

// Headroom returns the headroom that the urgent demand needs, for a VM that has this share of
// the requests of all VMs.
func (u *UrgentDemand) Headroom(vmShare float64, now time.Duration) Headroom {
	u.removeOld(now)
	if len(u.recent) == 0 {
		return Headroom{}
	}
	sizes, sum := make([]int, 0, len(u.recent)), 0
	for _, s := range u.recent {
		sizes = append(sizes, s.tokens)
		sum += s.tokens
	}
	slices.Sort(sizes)
	perSecond := float64(sum) / urgentWindow.Seconds() / max(vmShare, minVMShare)
	return Headroom{
		Tokens:  sizes[int(urgentQuantile*float64(len(sizes)-1)+0.5)],
		Targets: max(minHeadroomTargets, int(math.Ceil(perSecond/(prefillTokensPerSecond*urgentUtilization)))),
	}
}

// minVMShare bounds the extrapolation from one VM to all.
const minVMShare = 1.0 / 500

// headroomCheck tells on which targets a deferrable generation leaves the headroom. The zero
// value allows all.
type headroomCheck struct {
	headroom Headroom
	// threshold is the memory in use up to which a target is one of those with headroom.
	threshold int
}

// newHeadroomCheck selects the targets with the most free memory as those that keep the
// headroom. They are not fixed: all VMs see much the same loads.
func (l *Ledger) newHeadroomCheck(candidates []Candidate, d Demand) headroomCheck {
	if d.Limits == nil || d.Engine == nil || d.Limits.Headroom.Targets == 0 {
		return headroomCheck{}
	}
	held := make([]int, 0, len(candidates))
	for _, c := range candidates {
		if !c.Lapsed {
			held = append(held, l.totals[c.Instance.ID].held)
		}
	}
	n := min(d.Limits.Headroom.Targets, int(maxHeadroomShare*float64(len(held))))
	if n == 0 {
		return headroomCheck{}
	}
	slices.Sort(held)
	return headroomCheck{headroom: d.Limits.Headroom, threshold: held[n-1]}
}

// allows reports whether a target with a load may get the generation.
func (h *headroomCheck) allows(total load, d Demand) bool {
	if h.headroom.Targets == 0 || total.held > h.threshold {
		return true
	}
	return float64(total.held+d.HeldTokens+h.headroom.Tokens) <= maxHeldShare*float64(d.Engine.MemoryTokens)
}

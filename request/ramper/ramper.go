package ramper

import (
	"math"
	"time"

	"bluebelldoor"
)

const (
	// defaultBaseShare is the share of a target's slots that is its base. With 24 slots,
	// two of the largest prompts are read within the objective of a short generation.
	defaultBaseShare = 1.0 / 12
	// minBase lets a target answer one request while the next is on its way.
	minBase = 2
	// defaultSettlingTime is how long after a VM met the first targets of a service it may
	// meet others that have run for long, as its view arrives in parts.
	defaultSettlingTime = 5 * time.Second
	// retainedPart is the credit of a target that is not in slow start, as a multiple of
	// this VM's part of its slots, above which good answers add none. With more, the target
	// would have to fail many times before its window shrinks.
	retainedPart = 2
	// reportPeriod is for how long a VM reports its credit after its slow start of a target
	// has ended: peers end theirs only if they still hear of it.
	reportPeriod = 3 * time.Second
)

// Target is an incarnation of a target as the VM sees it.
type Target struct {
	bluebelldoor.TargetIncarnation
	Slots int
	// Cold is set if the target has started a moment ago.
	Cold bool
}

// Fleet is what a VM knows of the other VMs for one target.
type Fleet struct {
	// HearsPeers is set if reports of peers are current.
	HearsPeers bool
	// Credit is the sum of the credits that peers report for the target.
	Credit int
	// Share is this VM's share of the requests of all VMs.
	Share float64
}

// Change is a target that has entered or left slow start on this VM.
type Change struct {
	Target  string
	Entered bool
	// Reason is why it has entered: "new" or the kind of trouble.
	Reason                string
	Credit, Window, Slots int
}

// Ramper tracks the targets of one VM. It is not safe for concurrent use.
type Ramper struct {
	baseShare    float64
	settlingTime time.Duration
	services     map[string]*service
	targets      map[string]*target // by ID
	changes      []Change
	// observations counts the calls of Observe.
	observations uint64
}

type service struct {
	// metAt is when the VM met the first targets.
	metAt   time.Duration
	answers answerTimes
}

type target struct {
	Target
	service *service
	credit  int
	// ramping is set while the target is in slow start.
	ramping bool
	endedAt time.Duration // of the slow start
	// steppedBackAt is the time of the latest trouble that reduced the credit, negative
	// for none.
	steppedBackAt time.Duration
	// observation is the latest one that showed the target.
	observation uint64
}

// Option configures a Ramper.
type Option func(*Ramper)

// WithBaseShare sets the share of a target's slots that is its base.
func WithBaseShare(share float64) Option { return func(r *Ramper) { r.baseShare = share } }

// WithSettlingTime sets how long after a VM met the first targets of a service it takes
// others for targets that have run for long.
func WithSettlingTime(d time.Duration) Option { return func(r *Ramper) { r.settlingTime = d } }

// New returns a Ramper without targets.
func New(options ...Option) *Ramper {
	r := &Ramper{baseShare: defaultBaseShare, settlingTime: defaultSettlingTime, services: map[string]*service{}, targets: map[string]*target{}}
	for _, o := range options {
		o(r)
	}
	return r
}

// Observe sets the targets of all services to which slow start applies, and forgets all
// others. A VM that has just started takes only cold targets for new: it can't know how
// long the others have run, and limits none of them without cause.
func (r *Ramper) Observe(services map[string][]Target, share float64, now time.Duration) {
	r.observations++
	for name, targets := range services {
		if len(targets) == 0 {
			continue
		}
		s := r.services[name]
		if s == nil {
			s = &service{metAt: now}
			r.services[name] = s
		}
		for _, t := range targets {
			known := r.targets[t.ID]
			if known == nil || known.TargetIncarnation != t.TargetIncarnation {
				known = r.meet(s, t, share, now)
			}
			known.observation = r.observations
		}
	}
	for id, t := range r.targets {
		if t.observation != r.observations {
			delete(r.targets, id)
		}
	}
	for name := range r.services {
		if _, found := services[name]; !found {
			delete(r.services, name)
		}
	}
}

// meet adds an incarnation that the VM didn't know.
func (r *Ramper) meet(s *service, met Target, share float64, now time.Duration) *target {
	t := &target{Target: met, service: s, steppedBackAt: -1}
	r.targets[met.ID] = t
	switch {
	case met.Slots <= 0:
	case met.Cold || now-s.metAt > r.settlingTime:
		r.begin(t, "new", r.base(t))
	default:
		t.credit = int(share * float64(met.Slots))
	}
	return t
}

func (r *Ramper) begin(t *target, reason string, window int) {
	t.ramping = true
	r.changes = append(r.changes, Change{Target: t.ID, Entered: true, Reason: reason, Credit: t.credit, Window: window, Slots: t.Slots})
}

// base returns the base of a target over all VMs.
func (r *Ramper) base(t *target) int {
	return max(minBase, int(r.baseShare*float64(t.Slots)))
}

// window returns the window of a target. Without peers, it is this VM's part.
func (r *Ramper) window(t *target, fleet Fleet) int {
	if !fleet.HearsPeers {
		return r.part(t, fleet)
	}
	return r.base(t) + t.credit + fleet.Credit
}

// part returns how many requests at once of this VM alone a target may have. It bounds what
// VMs send together before they hear of each other's requests.
func (r *Ramper) part(t *target, fleet Fleet) int {
	return max(1, int(float64(r.base(t))*fleet.Share)) + t.credit
}

// Limits are how many requests at once a target in slow start may have: Window from all
// VMs, Own from this one.
type Limits struct{ Window, Own int }

// Limits returns the limits of a target and whether it is in slow start; if not, there are
// none. It ends a slow start whose window has reached the slots.
func (r *Ramper) Limits(id string, fleet Fleet, now time.Duration) (Limits, bool) {
	t := r.targets[id]
	if t == nil || !t.ramping {
		return Limits{}, false
	}
	window := r.window(t, fleet)
	if window < t.Slots {
		return Limits{Window: window, Own: r.part(t, fleet)}, true
	}
	t.ramping, t.endedAt = false, now
	r.changes = append(r.changes, Change{Target: t.ID, Credit: t.credit, Window: window, Slots: t.Slots})
	return Limits{}, false
}

// Credit returns the credit of a target.
func (r *Ramper) Credit(id string) int {
	if t := r.targets[id]; t != nil {
		return t.credit
	}
	return 0
}

// Reported returns the targets whose credit peers need even if this VM has no requests
// there.
func (r *Ramper) Reported(now time.Duration) []string {
	var out []string
	for id, t := range r.targets {
		if t.credit > 0 && (t.ramping || t.endedAt > 0 && now-t.endedAt < reportPeriod) {
			out = append(out, id)
		}
	}
	return out
}

// Count returns how many targets are in slow start.
func (r *Ramper) Count() int {
	n := 0
	for _, t := range r.targets {
		if t.ramping {
			n++
		}
	}
	return n
}

// TakeChanges returns the changes since the last call.
func (r *Ramper) TakeChanges() []Change {
	out := r.changes
	r.changes = nil
	return out
}

// addCredit adds the credit of a good answer.
func (t *target) addCredit(share float64) {
	limit := t.Slots
	if !t.ramping {
		limit = min(t.Slots, max(1, int(math.Ceil(retainedPart*share*float64(t.Slots)))))
	}
	if t.credit < limit {
		t.credit++
	}
}

// stepBack halves the credit of a target for trouble with a request that was sent at
// sentAt. Requests that were on their way at the last step back are part of the same
// trouble.
func (r *Ramper) stepBack(t *target, sentAt time.Duration, reason string, fleet Fleet, now time.Duration) {
	if t.Slots <= 0 || sentAt <= t.steppedBackAt {
		return
	}
	t.steppedBackAt = now
	t.credit /= 2
	if window := r.window(t, fleet); !t.ramping && window < t.Slots {
		r.begin(t, reason, window)
	}
}

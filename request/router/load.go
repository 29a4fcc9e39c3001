package router

import (
	"time"

	"bluebelldoor"
)

// Load is the load that this VM has put on one target. It lives as long as the
// process, and is not safe for concurrent use.
type Load struct {
	active   map[string]*running
	finished []finished
	// expectedTokens is the memory that the active generations are expected to
	// need by their end, heldTokens what they hold now.
	expectedTokens int
	heldTokens     int
	coldAt         time.Time
	failures       int
	failedAt       time.Time
}

// running is one generation of this VM on a target, with sizes in tokens.
type running struct {
	sent      time.Time
	prompt    int
	produced  int
	remaining int
}

// finished is a generation that has ended; reports may still count it.
type finished struct {
	sent, at time.Time
	held     int
}

// finishedRetention is the age beyond which no usable report counts a finished
// generation.
const finishedRetention = 2 * reportMaxAge

// NewLoad returns an empty load.
func NewLoad() *Load { return &Load{active: map[string]*running{}} }

// Start records that a generation was sent to the target.
func (l *Load) Start(id string, d Demand, now time.Time) {
	l.active[id] = &running{sent: now, prompt: d.PromptTokens, remaining: d.OutputTokens}
	l.heldTokens += d.PromptTokens
	l.expectedTokens += d.PromptTokens + d.OutputTokens
}

// Progress records the number of tokens that a generation has produced and how
// many more are expected.
func (l *Load) Progress(id string, produced, remaining int) {
	r := l.active[id]
	if r == nil {
		return
	}
	l.heldTokens += produced - r.produced
	l.expectedTokens += produced + remaining - r.produced - r.remaining
	r.produced, r.remaining = produced, remaining
}

// Finish records that a generation has ended.
func (l *Load) Finish(id string, now time.Time) {
	r := l.active[id]
	if r == nil {
		return
	}
	for len(l.finished) > 0 && now.Sub(l.finished[0].at) > finishedRetention {
		l.finished = l.finished[1:]
	}
	l.finished = append(l.finished, finished{sent: r.sent, at: now, held: r.prompt + r.produced})
	l.heldTokens -= r.prompt + r.produced
	l.expectedTokens -= r.prompt + r.produced + r.remaining
	delete(l.active, id)
}

// Summary returns the load in the form that is sent to peers.
func (l *Load) Summary(target string) bluebelldoor.TargetLoad {
	return bluebelldoor.TargetLoad{Target: target, Requests: len(l.active), Tokens: l.expectedTokens, HeldTokens: l.heldTokens}
}

// Inflight returns how many generations this VM has on the target.
func (l *Load) Inflight() int { return len(l.active) }

// MarkCold makes the target count as cold until a report made after now says
// otherwise.
func (l *Load) MarkCold(now time.Time) { l.coldAt = now }

// RecordFailure records that the target could not be reached or broke a stream.
func (l *Load) RecordFailure(now time.Time) {
	l.failures++
	l.failedAt = now
	l.MarkCold(now)
}

// RecordSuccess records that the target completed a request.
func (l *Load) RecordSuccess() { l.failures = 0 }

// reported returns how many generations of this VM, and about how many of their
// tokens, are included in a report made at t.
func (l *Load) reported(t time.Time) (count, held int) {
	for _, r := range l.active {
		if !r.sent.After(t) {
			count++
			held += r.prompt + r.produced
		}
	}
	for _, f := range l.finished {
		if !f.sent.After(t) && f.at.After(t) {
			count++
			held += f.held
		}
	}
	return count, held
}

// finishedAfter returns how many generations of this VM ended after t.
func (l *Load) finishedAfter(t time.Time) int {
	count := 0
	for _, f := range l.finished {
		if f.at.After(t) {
			count++
		}
	}
	return count
}

// sentAfter returns how many active generations this VM sent after t.
func (l *Load) sentAfter(t time.Time) int {
	count := 0
	for _, r := range l.active {
		if r.sent.After(t) {
			count++
		}
	}
	return count
}

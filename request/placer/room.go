package placer

import (
	"math"
	"time"
)

const (
	// prefillTokensPerSecond is how many prompt tokens an engine reads in a second
	// beside its running generations. The users' engines read 14,000 alone.
	prefillTokensPerSecond = 10_000
	// maxPrefillBacklog is how long an engine may need for the prompts that it has
	// yet to read when it gets another: long enough to keep it busy until the next
	// load reports of peers, short enough that the queue here decides the order.
	maxPrefillBacklog = 800 * time.Millisecond
	// maxHeldShare is the share of an engine's memory that may be in use when it
	// gets a generation. Above it, the next tokens make the engine preempt one.
	maxHeldShare = 0.9
	// maxLongHeldShare is maxHeldShare for a long generation where short ones are
	// served first: the rest is left to these, which need it only briefly.
	maxLongHeldShare = 0.8
	// maxNeededShare is the share of the memory that long generations together may
	// come to need. They end at different times, so not all of it is needed at
	// once.
	maxNeededShare = 1.5
	// MinLongTokens is the expected length from which a generation holds its memory
	// for seconds; shorter ones free it soon.
	MinLongTokens = 150
)

// Room states whether a target has room for a generation, or what it lacks.
type Room int

// Values of Room.
const (
	// HasRoom allows the generation to begin.
	HasRoom Room = iota
	// NoConnection means that the target's connection limit is reached.
	NoConnection
	// NoPrefillCapacity means that the target has enough prompts to read, or no
	// free slot.
	NoPrefillCapacity
	// NoMemory means that the target could read the prompt, but its generations
	// need the memory.
	NoMemory
)

// String returns the name of r for log lines.
func (r Room) String() string { return [...]string{"room", "connections", "prompts", "memory"}[r] }

// Limits bound the load of a target that gets a generation.
type Limits struct {
	// PrefillTokens is the number of prompt tokens that may wait to be read.
	PrefillTokens float64
	// HeldShare is the share of the memory that may be in use, NeededShare the
	// share that may come to be needed; a NeededShare of 0 means no limit.
	HeldShare, NeededShare float64
	// Headroom is left free for urgent generations.
	Headroom Headroom
}

// NewLimits returns the limits for a new generation. A short one needs the memory
// that it comes to need only briefly. A long one leaves memory to short ones if
// shortsFirst reports that some are to be served before it.
func NewLimits(short, shortsFirst bool) *Limits {
	limits := &Limits{PrefillTokens: prefillTokensPerSecond * maxPrefillBacklog.Seconds(), HeldShare: maxHeldShare, NeededShare: maxNeededShare}
	switch {
	case short:
		limits.NeededShare = 0
	case shortsFirst:
		limits.HeldShare = maxLongHeldShare
	}
	return limits
}

// NewDeferrableLimits returns the limits for a deferrable generation, which leaves headroom to
// urgent ones. One that is late takes no memory that one in time would get.
func NewDeferrableLimits(headroom Headroom, late bool) *Limits {
	limits := NewLimits(false, late)
	limits.Headroom = headroom
	return limits
}

// CopyLimits are the limits for the copy of a running generation.
var CopyLimits = &Limits{PrefillTokens: math.Inf(1), HeldShare: 1}

// lacks returns what a target lacks for a generation. An idle one has room for
// any, unless others have reserved its memory.
func (l *Ledger) lacks(c Candidate, total load, d Demand, pauses pauseModel) Room {
	if d.Limits == nil || d.Engine == nil || total.requests == 0 && total.reserved == 0 {
		return HasRoom
	}
	memory := float64(d.Engine.MemoryTokens)
	slots := slotLimit(c, d)
	switch {
	case float64(total.prefill)*pauses.prefillFactor(l.usualInterval(c.Instance.ID)) > d.Limits.PrefillTokens || slots > 0 && total.requests >= slots:
		return NoPrefillCapacity
	case float64(total.held+d.HeldTokens) > d.Limits.HeldShare*memory,
		d.Limits.NeededShare > 0 && float64(total.tokens+d.Tokens) > d.Limits.NeededShare*memory:
		return NoMemory
	default:
		return HasRoom
	}
}

// PrefillTime estimates how long an engine takes to read a prompt.
func PrefillTime(prompt int) time.Duration {
	return time.Duration(prompt) * time.Second / prefillTokensPerSecond
}

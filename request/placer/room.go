package placer

import (
	"math"
	"time"
)

const (
	// ReadRate is how many tokens of prompts an engine reads in a second, beside
	// the generations that run. The users' engines read 14,000 alone.
	ReadRate = 10_000
	// queueTime is how long the prompts may take that an engine has yet to
	// read when it gets another: enough to keep it busy until the next word
	// from peers, little enough that the order is made here.
	queueTime = 800 * time.Millisecond
	// heldShare is the part of an engine's memory that may be in use when it
	// gets a generation. Above it the next tokens push one out.
	heldShare = 0.9
	// longHeldShare is the same for a long generation where short ones go before
	// it: the rest is for them, who need it for a moment only.
	longHeldShare = 0.8
	// neededShare is the part that long generations together may come to need.
	// They end at different times, so not all of it is needed at once.
	neededShare = 1.5
	// LongTokens is how many expected tokens make a generation that holds its
	// memory for seconds; shorter ones make room again soon.
	LongTokens = 150
)

// Room tells whether a target has room for a generation.
type Room int

// What a target may lack.
const (
	// HasRoom lets the generation begin.
	HasRoom Room = iota
	// NoConnection is a target that has the connections that it takes.
	NoConnection
	// NoReading is a target that has prompts enough to read, or no place.
	NoReading
	// NoMemory is a target that could read the prompt, but whose memory the
	// generations there will need.
	NoMemory
)

// String names the room, for log lines.
func (r Room) String() string { return [...]string{"room", "connections", "prompts", "memory"}[r] }

// Limits bound what a target may have when it gets a generation.
type Limits struct {
	// Prompts are the tokens that may wait to be read.
	Prompts float64
	// Held is the part of the memory that may be in use, Needed the part that
	// may come to be needed; 0 for no limit.
	Held, Needed float64
}

// NewLimits returns those of a new generation. What a short one will come to
// need it needs for a moment only. A long one leaves memory to short ones if such
// come that go before it.
func NewLimits(short, shortsBefore bool) *Limits {
	limits := &Limits{Prompts: ReadRate * queueTime.Seconds(), Held: heldShare, Needed: neededShare}
	switch {
	case short:
		limits.Needed = 0
	case shortsBefore:
		limits.Held = longHeldShare
	}
	return limits
}

// CopyLimits are those of a generation that is copied.
var CopyLimits = &Limits{Prompts: math.Inf(1), Held: 1}

// lacks returns what a target lacks for a generation. One that does nothing
// has room for any.
func (l *Ledger) lacks(c Candidate, d Demand) Room {
	sum := l.sums[c.Instance.ID]
	if d.Limits == nil || d.Engine == nil || sum.requests == 0 {
		return HasRoom
	}
	memory := float64(d.Engine.MemoryTokens)
	slots := places(c, d)
	switch {
	case float64(sum.prefill) > d.Limits.Prompts || slots > 0 && sum.requests >= slots:
		return NoReading
	case float64(sum.held+d.Held) > d.Limits.Held*memory,
		d.Limits.Needed > 0 && float64(sum.tokens+d.Tokens) > d.Limits.Needed*memory:
		return NoMemory
	default:
		return HasRoom
	}
}

// ReadTime returns how long an engine reads a prompt.
func ReadTime(prompt int) time.Duration {
	return time.Duration(prompt) * time.Second / ReadRate
}

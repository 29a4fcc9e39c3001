package placer_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/request/placer"
)

// TestRoom checks that with more long generations than the engines can hold, one that
// would make an engine preempt others, or would not begin in time, gets no target.
func TestRoom(t *testing.T) {
	kind := &bluebelldoor.EngineKind{MemoryTokens: memoryTokens}
	long := placer.Demand{Tokens: 4000, HeldTokens: 3000, Engine: kind, MaxColdPerSecond: -1}
	short := placer.Demand{Tokens: 2015, HeldTokens: 2000, Engine: kind, MaxColdPerSecond: -1}
	for name, c := range map[string]struct {
		tokens, held, prefill int
		slots, connections    int
		// longAlone is for a long one with no short ones to be served before it.
		long, longAlone, short, copied placer.Room
	}{
		"idle":                     {0, 0, 0, 24, 0, placer.HasRoom, placer.HasRoom, placer.HasRoom, placer.HasRoom},
		"half full":                {17000, 15000, 0, 24, 0, placer.HasRoom, placer.HasRoom, placer.HasRoom, placer.HasRoom},
		"prompts of half a second": {5000, 5000, 5000, 24, 0, placer.HasRoom, placer.HasRoom, placer.HasRoom, placer.HasRoom},
		"prompts of two seconds":   {20000, 20000, 20000, 24, 0, placer.NoPrefillCapacity, placer.NoPrefillCapacity, placer.NoPrefillCapacity, placer.HasRoom},
		"overcommitted":            {48000, 20000, 0, 24, 0, placer.NoMemory, placer.NoMemory, placer.HasRoom, placer.HasRoom},
		"nearly full":              {32000, 28000, 0, 24, 0, placer.NoMemory, placer.NoMemory, placer.HasRoom, placer.HasRoom},
		"reserved for short ones":  {26000, 25000, 0, 24, 0, placer.NoMemory, placer.HasRoom, placer.HasRoom, placer.HasRoom},
		"full":                     {36000, 33000, 0, 24, 0, placer.NoMemory, placer.NoMemory, placer.NoMemory, placer.NoMemory},
		"no free slot":             {3000, 3000, 0, 1, 0, placer.NoPrefillCapacity, placer.NoPrefillCapacity, placer.NoPrefillCapacity, placer.NoPrefillCapacity},
		"no free connection":       {3000, 3000, 0, 24, 1, placer.NoConnection, placer.NoConnection, placer.NoConnection, placer.NoConnection},
		"connections only":         {3000, 3000, 0, 0, 1, placer.NoConnection, placer.NoConnection, placer.NoConnection, placer.NoConnection},
		"one of three connections": {3000, 3000, 0, 24, 3, placer.HasRoom, placer.HasRoom, placer.HasRoom, placer.HasRoom},
	} {
		t.Run(name, func(t *testing.T) {
			l := placer.NewLedger()
			if c.tokens > 0 {
				s := l.Start("a", 0, c.prefill)
				s.UpdateMemory(c.tokens, c.held)
			}
			target := instance("a", "x")
			target.Slots = c.slots
			room := func(d placer.Demand, limits *placer.Limits) placer.Room {
				d.Limits, d.ConnectionLimit = limits, c.connections
				got := l.Pick([]placer.Candidate{{Instance: target}}, d, 0, rand.Float64)
				assert.Equal(t, got.Index < 0, got.Missing != placer.HasRoom)
				return got.Missing
			}
			assert.Equal(t, room(long, placer.NewLimits(false, true)), c.long)
			assert.Equal(t, room(long, placer.NewLimits(false, false)), c.longAlone)
			assert.Equal(t, room(short, placer.NewLimits(true, false)), c.short)
			copied := long
			copied.IsCopy = true
			assert.Equal(t, room(copied, placer.CopyLimits), c.copied)
		})
	}
}

// TestRoomElsewhere checks that an engine that has room is chosen over one of lower
// cost that has none.
func TestRoomElsewhere(t *testing.T) {
	l := placer.NewLedger()
	l.Start("local", 20000, 20000)
	remote := l.Start("remote", 0, 0)
	remote.UpdateMemory(30000, 20000)
	d := placer.Demand{Tokens: 4000, HeldTokens: 3000, Engine: &bluebelldoor.EngineKind{MemoryTokens: memoryTokens}, DataCentre: "x", MaxColdPerSecond: -1, Limits: placer.NewLimits(false, true)}
	got := l.Pick([]placer.Candidate{{Instance: instance("local", "x")}, {Instance: instance("remote", "y")}}, d, 0, rand.Float64)
	assert.Equal(t, got.Index, 1)
}

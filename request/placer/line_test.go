package placer_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor/request/placer"
)

// newItem returns the queue item of a generation that arrived at a time and must
// be sent by startBy to begin within its objective.
func newItem(name string, priority int, arrived, startBy time.Duration) *placer.QueueItem[string] {
	return &placer.QueueItem[string]{Value: name, Priority: priority, OrderTime: arrived, StartBy: startBy, ExpiresAt: time.Hour}
}

func names(order []*placer.QueueItem[string]) []string {
	var out []string
	for _, w := range order {
		out = append(out, w.Value)
	}
	return out
}

// TestLineOrder checks the order of the queue at 5 s.
func TestLineOrder(t *testing.T) {
	const now = 5 * time.Second
	for name, c := range map[string]struct {
		waiting []*placer.QueueItem[string]
		want    []string
	}{
		"empty":   {nil, nil},
		"arrival": {[]*placer.QueueItem[string]{newItem("b", 0, 2, now), newItem("a", 0, 1, now)}, []string{"a", "b"}},
		"priority": {
			[]*placer.QueueItem[string]{newItem("report", 1, 1, now), newItem("check", 0, 2, now)},
			[]string{"check", "report"},
		},
		"in time before late": {
			[]*placer.QueueItem[string]{newItem("late", 0, 1, now-1), newItem("inTime", 1, 2, now)},
			[]string{"inTime", "late"},
		},
		"late by priority, then by arrival": {
			[]*placer.QueueItem[string]{newItem("c", 1, 1, 0), newItem("b", 0, 3, 0), newItem("a", 0, 2, 0)},
			[]string{"a", "b", "c"},
		},
		"same moment": {[]*placer.QueueItem[string]{newItem("a", 0, 1, now), newItem("b", 0, 1, now)}, []string{"a", "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			var queue placer.Queue[string]
			for _, w := range c.waiting {
				queue.Add(w)
			}
			assert.DeepEqual(t, names(queue.Order(now)), c.want)
		})
	}
}

// TestLineLeave checks the removal of generations whose callers have disconnected
// and of those that have expired.
func TestLineLeave(t *testing.T) {
	var queue placer.Queue[string]
	abandoned, expired, kept := newItem("abandoned", 0, 1, 9), newItem("expired", 0, 1, 9), newItem("kept", 0, 1, 9)
	expired.ExpiresAt = 2 * time.Second
	queue.Add(abandoned)
	queue.Add(expired)
	queue.Add(kept)
	assert.Assert(t, queue.Remove(abandoned))
	assert.Assert(t, !queue.Remove(abandoned))
	assert.Equal(t, len(queue.RemoveExpired(2*time.Second)), 0)
	assert.DeepEqual(t, names(queue.RemoveExpired(2*time.Second+1)), []string{"expired"})
	assert.Assert(t, !queue.Remove(expired))
	assert.DeepEqual(t, names(queue.Order(0)), []string{"kept"})
	assert.Equal(t, queue.Len(), 1)
}

// TestLineSend checks which generations overtake others where targets lack memory
// or have too many prompts to read.
func TestLineSend(t *testing.T) {
	const long = true
	type generation struct {
		name string
		long bool
		room placer.Room
	}
	for name, c := range map[string]struct {
		waiting []generation
		offered []string
		kept    []string
	}{
		"room for all": {[]generation{{"a", long, placer.HasRoom}, {"b", !long, placer.HasRoom}}, []string{"a", "b"}, nil},
		"short ones overtake a long one": {
			[]generation{{"a", long, placer.NoMemory}, {"b", !long, placer.HasRoom}, {"c", long, placer.HasRoom}},
			[]string{"a", "b"},
			[]string{"a", "c"},
		},
		"long ones overtake a short one": {
			[]generation{{"a", !long, placer.NoMemory}, {"b", long, placer.HasRoom}},
			[]string{"a", "b"},
			[]string{"a"},
		},
		"no target can read a prompt": {
			[]generation{{"a", long, placer.HasRoom}, {"b", !long, placer.NoPrefillCapacity}, {"c", !long, placer.HasRoom}},
			[]string{"a", "b"},
			[]string{"b", "c"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var queue placer.Queue[generation]
			for i, g := range c.waiting {
				queue.Add(&placer.QueueItem[generation]{Value: g, OrderTime: time.Duration(i), StartBy: time.Hour, ExpiresAt: time.Hour, Long: g.long})
			}
			var offered, kept []string
			queue.Dispatch(0, func(g generation) placer.Room {
				offered = append(offered, g.name)
				return g.room
			})
			for _, w := range queue.Order(0) {
				kept = append(kept, w.Value.name)
			}
			assert.DeepEqual(t, offered, c.offered)
			assert.DeepEqual(t, kept, c.kept)
		})
	}
}

// FuzzLine checks that no sequence of operations loses a generation or returns it
// twice.
func FuzzLine(f *testing.F) {
	f.Add(uint64(1), 40)
	f.Add(uint64(2), 300)
	f.Fuzz(func(t *testing.T, seed uint64, steps int) {
		random := rand.New(rand.NewPCG(seed, 3))
		var queue placer.Queue[int]
		var queued []int
		removed := func(id int) {
			i := slices.Index(queued, id)
			assert.Assert(t, i >= 0, "%d was removed twice", id)
			queued = slices.Delete(queued, i, i+1)
		}
		for id := range min(max(steps, 0), 500) {
			now := time.Duration(id)
			switch random.IntN(4) {
			case 0, 1:
				queue.Add(&placer.QueueItem[int]{
					Value: id, Priority: random.IntN(3), OrderTime: now,
					StartBy: now + time.Duration(random.IntN(50)), ExpiresAt: now + time.Duration(random.IntN(200)),
				})
				queued = append(queued, id)
			case 2:
				if order := queue.Order(now); len(order) > 0 {
					assert.Assert(t, queue.Remove(order[0]))
					removed(order[0].Value)
				}
			default:
				for _, w := range queue.RemoveExpired(now) {
					removed(w.Value)
				}
			}
			assert.Equal(t, len(queue.Order(now)), len(queued))
			assert.Equal(t, queue.Len(), len(queued))
		}
	})
}

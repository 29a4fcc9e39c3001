package placer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/request/placer"
)

// fakeShares are given uses by account; those of placed generations are added.
type fakeShares struct {
	use       map[string]float64
	overtaken map[string]time.Duration
	marked    []string
}

func (f *fakeShares) Use(account string, _ time.Duration) float64 { return f.use[account] }

func (f *fakeShares) MarkOvertaken(account string, _ time.Duration) {
	f.marked = append(f.marked, account)
}

func (f *fakeShares) MarkServed(account string, _ bool) { delete(f.overtaken, account) }

func (f *fakeShares) Overtaken(account string, _ time.Duration) (time.Duration, bool) {
	since, due := f.overtaken[account]
	return since, due
}

func accountItem(account string, priority int, arrived, startBy time.Duration) *placer.QueueItem[string] {
	w := newItem(account, priority, arrived, startBy)
	w.Account = account
	return w
}

// TestAccountOrder checks the order of the queue by account, that lateness and priority come
// before it, and that it doesn't count without shares.
func TestAccountOrder(t *testing.T) {
	const now = 5 * time.Second
	early := accountItem("none", 0, 0, now)
	early.Early = true
	for name, c := range map[string]struct {
		waiting       []*placer.QueueItem[string]
		with, without []string
	}{
		"least use":                    {[]*placer.QueueItem[string]{accountItem("much", 0, 1, now), accountItem("little", 0, 2, now)}, []string{"little", "much"}, []string{"much", "little"}},
		"same use":                     {[]*placer.QueueItem[string]{accountItem("none", 0, 2, now), accountItem("other", 0, 1, now)}, []string{"other", "none"}, []string{"other", "none"}},
		"priority first":               {[]*placer.QueueItem[string]{accountItem("little", 1, 1, now), accountItem("much", 0, 2, now)}, []string{"much", "little"}, []string{"much", "little"}},
		"in time first":                {[]*placer.QueueItem[string]{accountItem("little", 0, 1, now-1), accountItem("much", 1, 2, now)}, []string{"much", "little"}, []string{"much", "little"}},
		"returned early, after others": {[]*placer.QueueItem[string]{early, accountItem("much", 1, 2, now-1)}, []string{"much", "none"}, []string{"much", "none"}},
		"late, by use within priority": {[]*placer.QueueItem[string]{accountItem("much", 0, 1, 0), accountItem("little", 0, 2, 0)}, []string{"little", "much"}, []string{"much", "little"}},
	} {
		t.Run(name, func(t *testing.T) {
			var queue, plain placer.Queue[string]
			queue.SetShares(&fakeShares{use: map[string]float64{"much": 10, "little": 1}})
			for _, w := range c.waiting {
				queue.Add(w)
				plain.Add(w)
			}
			assert.DeepEqual(t, names(queue.Order(now)), c.with)
			assert.DeepEqual(t, names(plain.Order(now)), c.without)
		})
	}
}

// TestAccountDispatch guards against an account whose waiting requests are all placed at once,
// as the order was made before the first, and checks which accounts count as overtaken.
func TestAccountDispatch(t *testing.T) {
	shares := &fakeShares{use: map[string]float64{"b": 5}}
	var queue placer.Queue[string]
	queue.SetShares(shares)
	for i, account := range []string{"b", "a", "a", "b"} {
		queue.Add(accountItem(account, 0, time.Duration(i), time.Hour))
	}
	var placed []string
	queue.Dispatch(1, func(account string) placer.Room {
		placed = append(placed, account)
		shares.use[account] += 10
		return placer.HasRoom
	})
	assert.DeepEqual(t, placed, []string{"a", "b", "a", "b"})
	assert.DeepEqual(t, shares.marked, []string{"b"})
	assert.Equal(t, queue.Len(), 0)
}

// TestAhead checks that a request of an account that was overtaken for too long is offered
// first, and doesn't keep the others waiting if it has no room.
func TestAhead(t *testing.T) {
	for name, c := range map[string]struct {
		room placer.Room
		want []string
	}{
		"room":    {placer.HasRoom, []string{"overtaken", "x", "y"}},
		"no room": {placer.NoMemory, []string{"overtaken", "x", "y", "overtaken"}},
	} {
		t.Run(name, func(t *testing.T) {
			var queue placer.Queue[string]
			queue.SetShares(&fakeShares{use: map[string]float64{"overtaken": 10}, overtaken: map[string]time.Duration{"overtaken": time.Minute}})
			for i, account := range []string{"overtaken", "x", "y"} {
				w := accountItem(account, i, time.Duration(i), time.Hour)
				w.Priority, w.Long = 3-i, true
				if account != "overtaken" {
					w.Priority = 0
				}
				queue.Add(w)
			}
			var offered []string
			queue.Dispatch(1, func(account string) placer.Room {
				offered = append(offered, account)
				if account == "overtaken" {
					return c.room
				}
				return placer.HasRoom
			})
			assert.DeepEqual(t, offered, c.want)
		})
	}
}

// TestAheadCount checks that only generations of the same kind count as ahead of another.
func TestAheadCount(t *testing.T) {
	var queue placer.Queue[string]
	for i := range 4 {
		w := newItem("x", 0, time.Duration(i), time.Hour)
		w.Long = i%2 == 0
		queue.Add(w)
	}
	short, long := newItem("short", 0, 10, time.Hour), newItem("long", 1, 10, time.Hour)
	long.Long = true
	queue.Add(short)
	queue.Add(long)
	assert.Equal(t, queue.Ahead(short, 0), 2)
	assert.Equal(t, queue.Ahead(long, 0), 2)
	assert.Equal(t, queue.Count(true), 3)
	assert.Equal(t, queue.Count(false), 3)
}

// TestShortages checks that a refusal names the targets with the most free memory, and what
// each lacks.
func TestShortages(t *testing.T) {
	l := placer.NewLedger()
	l.Start("a", 9500, 9500).PromptRead()
	l.Start("b", 9000, 9000)
	l.Start("c", 9900, 9900)
	l.Start("d", 9950, 9950)
	demand := placer.Demand{Tokens: 1000, HeldTokens: 1000, Engine: &bluebelldoor.EngineKind{MemoryTokens: 10_000}, Limits: placer.NewLimits(true, false)}
	candidates := []placer.Candidate{{Instance: instance("a", "x")}, {Instance: instance("b", "x")}, {Instance: instance("c", "x")}, {Instance: instance("d", "x")}}
	assert.Equal(t, placer.JoinShortages(l.Shortages(candidates, demand, 0)), "b lacks prompts: 1000 tokens free, 9000 prompt tokens to read; "+
		"a lacks memory: 500 tokens free, 0 prompt tokens to read; c lacks prompts: 100 tokens free, 9900 prompt tokens to read")
	candidates[0].Instance = instance("idle", "x")
	assert.Equal(t, len(l.Shortages(candidates[:1], demand, 0)), 0)
}

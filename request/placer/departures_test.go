package placer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor/request/placer"
)

// busy returns departures from a queue in which some have waited for a time, at a rate.
func busy(perSecond float64, over time.Duration) (*placer.Departures, time.Duration) {
	d := &placer.Departures{}
	next := time.Duration(0)
	for now := time.Duration(0); now <= over; now += 10 * time.Millisecond {
		if perSecond > 0 && now >= next {
			d.RecordPlaced(now)
			next += time.Duration(float64(time.Second) / perSecond)
		}
		d.RecordWaiting(now)
	}
	return d, over
}

// TestMinWait checks that the wait is estimated only from a queue that has not been empty, and
// never longer than that of a steady queue.
func TestMinWait(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond   float64
		over        time.Duration
		ahead       int
		least, most time.Duration
	}{
		"none ahead":                   {0, time.Minute, 0, 0, 0},
		"waiting since a moment ago":   {0, 500 * time.Millisecond, 100, 0, 0},
		"none leaves":                  {0, 10 * time.Second, 10, 10 * time.Second, time.Minute},
		"many leave":                   {20, 10 * time.Second, 10, 300 * time.Millisecond, 500 * time.Millisecond},
		"few leave":                    {1, 10 * time.Second, 10, 3 * time.Second, 10 * time.Second},
		"few leave, for a second only": {1, time.Second, 2, 0, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			d, now := busy(c.perSecond, c.over)
			got := d.MinWait(c.ahead, now)
			assert.Assert(t, got >= c.least && got <= c.most, "%s", got)
		})
	}
}

// TestMinWaitAtRandom guards against refusing at once many of those that would get room in
// their time, at random departures.
func TestMinWaitAtRandom(t *testing.T) {
	const perSecond, ahead, limit, runs, maxWrong = 2.5, 4, 1450 * time.Millisecond, 2000, 0.05
	random := rand.New(rand.NewPCG(1, 2))
	served, wrong := 0, 0
	for range runs {
		d := &placer.Departures{}
		d.RecordWaiting(0)
		step := func() time.Duration {
			return time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		}
		const now = 6 * time.Second
		at := step()
		for ; at < now; at += step() {
			d.RecordPlaced(at)
		}
		for range ahead {
			at += step()
		}
		if at-now > limit {
			continue
		}
		served++
		if d.MinWait(ahead, now) > limit {
			wrong++
		}
	}
	assert.Assert(t, served > runs/20, "%d", served)
	assert.Check(t, float64(wrong) <= maxWrong*float64(served), "%d of %d that would be served are refused", wrong, served)
}

// TestRoomAgain guards against an estimate that outlasts the lack of room: a generation that is
// placed when none waits ends it, while refusals that empty the queue don't.
func TestRoomAgain(t *testing.T) {
	d, now := busy(0, 10*time.Second)
	d.RecordEmpty(false, now)
	now += time.Hour
	d.RecordWaiting(now)
	assert.Assert(t, d.MinWait(10, now) > 10*time.Second, "%s", d.MinWait(10, now))
	d.RecordEmpty(false, now)
	d.RecordPlaced(now)
	d.RecordWaiting(now)
	assert.Equal(t, d.MinWait(10, now), time.Duration(0))
	d, now = busy(0, 10*time.Second)
	d.RecordPlaced(now)
	d.RecordEmpty(true, now)
	d.RecordWaiting(now)
	assert.Equal(t, d.MinWait(10, now), time.Duration(0))
}

// TestRetryTime checks that callers are told to return when those before them are likely to
// have room, and not later than before.
func TestRetryTime(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond            float64
		over                 time.Duration
		waiting              int
		remaining, objective time.Duration
		least, most          time.Duration
	}{
		"nothing known":       {5, 500 * time.Millisecond, 10, time.Minute, time.Second, 8 * time.Second, 13 * time.Second},
		"room soon":           {5, 10 * time.Second, 9, 38 * time.Second, 4 * time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond},
		"room at once":        {20, 10 * time.Second, 0, 38 * time.Second, 4 * time.Second, 500 * time.Millisecond, 500 * time.Millisecond},
		"no room in sight":    {0, 10 * time.Second, 9, 38 * time.Second, 4 * time.Second, 8 * time.Second, 38 * time.Second / 3},
		"a third of the time": {0, 10 * time.Second, 9, 6 * time.Second, 1500 * time.Millisecond, 1600 * time.Millisecond, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				d, now := busy(c.perSecond, c.over)
				got := d.RetryDelay(c.waiting, c.remaining, c.objective, now, rand.Float64)
				assert.Assert(t, got >= c.least && got <= c.most, "%s", got)
			}
		})
	}
}

// TestReturnsSpread guards against callers that are refused together and told to return
// together, more of them at a time than there is room for.
func TestReturnsSpread(t *testing.T) {
	const callers, perSecond = 40, 5.0
	d, now := busy(perSecond, 10*time.Second)
	perInterval := map[time.Duration]int{}
	for range callers {
		at := d.RetryDelay(3, 38*time.Second, 4*time.Second, now, rand.Float64)
		perInterval[at.Truncate(2*time.Second)]++
	}
	for from, n := range perInterval {
		// The last ones return within the 5 s in which callers return that find no room.
		assert.Check(t, n <= 2*2*perSecond, "%d callers return from %s on, within 2 s", n, from)
	}
}

// TestEarly checks which returns count as early: those of the same request before the time that
// it was told.
func TestEarly(t *testing.T) {
	key := placer.ReturnKey{Account: "a", Route: "r", PromptTokens: 3000}
	var r placer.Returns
	r.Record(key, time.Second, 10*time.Second, 2*time.Second)
	r.Record(key, 3*time.Second, 12*time.Second, 4*time.Second)
	other := key
	other.Account = "b"
	for name, c := range map[string]struct {
		key       placer.ReturnKey
		firstSent time.Duration
		now, want time.Duration
	}{
		"early":          {key, time.Second, 4 * time.Second, 6 * time.Second},
		"rounded":        {key, 1050 * time.Millisecond, 4 * time.Second, 6 * time.Second},
		"another":        {key, 2 * time.Second, 4 * time.Second, 0},
		"the second":     {key, 3 * time.Second, 11 * time.Second, time.Second},
		"as told":        {key, time.Second, 10 * time.Second, 0},
		"nearly as told": {key, time.Second, 9950 * time.Millisecond, 0},
		"other account":  {other, time.Second, 4 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, r.Early(c.key, c.firstSent, c.now), c.want) })
	}
}

// TestReturnsBounded guards against memory without bound for callers that don't return.
func TestReturnsBounded(t *testing.T) {
	var r placer.Returns
	key := func(i int) placer.ReturnKey { return placer.ReturnKey{Account: "a", PromptTokens: i} }
	const kept = 2048
	for i := range 3 * kept {
		r.Record(key(i), 0, time.Minute, 0)
	}
	known := 0
	for i := range 3 * kept {
		if r.Early(key(i), 0, 0) > 0 {
			known++
		}
	}
	assert.Equal(t, known, kept)
	// Those that are due make room.
	r.Record(key(-1), 0, time.Hour, 2*time.Minute)
	assert.Assert(t, r.Early(key(-1), 0, 2*time.Minute) > 0)
}

package noticer_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor/process/noticer"
)

// testClock is the clock of the test's bubble, ahead by the time in which the VM was suspended.
type testClock struct {
	start     time.Time
	suspended *atomic.Int64
}

func (c testClock) Now() time.Duration {
	return time.Since(c.start) + time.Duration(c.suspended.Load())
}

// TestEarliest guards against a time of notice that is taken for the time of the event though
// the VM stood still in between.
func TestEarliest(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		suspensions []time.Duration // one after the other, with 200 ms in between
		after       time.Duration   // when it is asked, after the last one
		want        time.Duration   // how much earlier the event may have been
	}{
		"never suspended":             {nil, 0, 0},
		"just woken":                  {[]time.Duration{3 * time.Second}, 0, 3 * time.Second},
		"catching up":                 {[]time.Duration{3 * time.Second}, 450 * ms, 3*time.Second + 450*ms},
		"has caught up":               {[]time.Duration{3 * time.Second}, 700 * ms, 0},
		"for a short time":            {[]time.Duration{100 * ms}, 0, 0},
		"again before it caught up":   {[]time.Duration{3 * time.Second, 2 * time.Second}, 0, 5*time.Second + 200*ms},
		"three times, one after long": {[]time.Duration{time.Second, time.Second, time.Second}, 0, 3*time.Second + 400*ms},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var suspended atomic.Int64
				clock := testClock{time.Now(), &suspended}
				n, stop := noticer.New(clock)
				defer stop()
				time.Sleep(time.Second + 50*ms)
				synctest.Wait()
				for i, s := range c.suspensions {
					if i > 0 {
						time.Sleep(200 * ms)
						synctest.Wait()
					}
					suspended.Add(int64(s))
				}
				time.Sleep(c.after)
				synctest.Wait()
				late := clock.Now() - n.Earliest()
				// A suspension begins at some time between two ticks.
				assert.Assert(t, late >= c.want && late <= c.want+100*ms, "%s late, want %s", late, c.want)
			})
		})
	}
}

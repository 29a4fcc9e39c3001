package placer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor/request/placer"
)

// TestComeBack checks that refused callers are told to retry while another attempt
// can still succeed.
func TestComeBack(t *testing.T) {
	for name, c := range map[string]struct {
		remaining, objective time.Duration
		least, most          time.Duration
	}{
		"much time":              {time.Minute, time.Second, 8 * time.Second, 13 * time.Second},
		"a third of the time":    {21 * time.Second, time.Second, 7 * time.Second, 7 * time.Second},
		"a short one":            {6 * time.Second, 1500 * time.Millisecond, 2 * time.Second, 2 * time.Second},
		"no time for another":    {2 * time.Second, 1500 * time.Millisecond, 8 * time.Second, 13 * time.Second},
		"no time at all":         {-time.Second, 1500 * time.Millisecond, 8 * time.Second, 13 * time.Second},
		"no objective, no limit": {time.Hour, 0, 8 * time.Second, 13 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				got := placer.RetryDelay(c.remaining, c.objective, rand.Float64)
				assert.Assert(t, got >= c.least && got <= c.most, "%s", got)
			}
		})
	}
}

// TestWaitTime checks that a generation waits only while it can begin in time.
func TestWaitTime(t *testing.T) {
	for name, c := range map[string]struct {
		objective time.Duration
		prompt    int
		wait      time.Duration
	}{
		"a long prompt":         {1800 * time.Millisecond, 3000, 350 * time.Millisecond},
		"a short prompt":        {1500 * time.Millisecond, 0, 350 * time.Millisecond},
		"no time to wait":       {800 * time.Millisecond, 1000, 0},
		"an objective of a day": {24 * time.Hour, 0, 12*time.Hour - 400*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, placer.MaxQueueTime(c.objective, c.prompt), c.wait) })
	}
}

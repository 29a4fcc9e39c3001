package pacer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor/process/pacer"
)

// TestRun checks that rounds are periodic, come at once on request, and are never closer
// than the minimum interval.
func TestRun(t *testing.T) {
	const interval, minInterval = 100 * time.Millisecond, 10 * time.Millisecond
	for name, c := range map[string]struct {
		requests []time.Duration // times of Trigger in ms
		want     []time.Duration // times of the rounds in ms
	}{
		"no request":          {nil, []time.Duration{0, 100, 200}},
		"one request":         {[]time.Duration{50}, []time.Duration{0, 50, 150, 250}},
		"several requests":    {[]time.Duration{50, 51, 52}, []time.Duration{0, 50, 60, 160}},
		"request after first": {[]time.Duration{1}, []time.Duration{0, 10, 110, 210}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 255*time.Millisecond)
				defer cancel()
				p := pacer.New(interval, minInterval)
				start := time.Now()
				for _, at := range c.requests {
					time.AfterFunc(at*time.Millisecond, p.Trigger)
				}
				var got []time.Duration
				p.Run(ctx, func(bool) { got = append(got, time.Since(start)/time.Millisecond) })
				assert.DeepEqual(t, got[:len(c.want)], c.want)
			})
		})
	}
}

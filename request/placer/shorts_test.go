package placer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor/request/placer"
)

// TestShorts checks whether short generations with precedence over a priority have
// arrived recently.
func TestShorts(t *testing.T) {
	for name, c := range map[string]struct {
		arrived, queried int // priorities
		after            time.Duration
		recent           bool
	}{
		"higher priority":    {0, 1, 500 * time.Millisecond, true},
		"same priority":      {1, 1, 500 * time.Millisecond, false},
		"lower priority":     {2, 1, 500 * time.Millisecond, false},
		"outside the window": {0, 1, 2 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			var s placer.ShortArrivals
			assert.Assert(t, !s.RecentBefore(c.queried, 0), "none has arrived")
			s.Record(c.arrived, time.Hour)
			assert.Equal(t, s.RecentBefore(c.queried, time.Hour+c.after), c.recent)
		})
	}
}

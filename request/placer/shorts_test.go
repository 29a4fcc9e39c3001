package placer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor/request/placer"
)

// TestShorts tells whether short generations come that go before those of a
// rank.
func TestShorts(t *testing.T) {
	for name, c := range map[string]struct {
		came, asked int // ranks
		after       time.Duration
		before      bool
	}{
		"one of a better rank":         {0, 1, 500 * time.Millisecond, true},
		"one of the same rank":         {1, 1, 500 * time.Millisecond, false},
		"one of a worse rank":          {2, 1, 500 * time.Millisecond, false},
		"one that came a while before": {0, 1, 2 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			var s placer.Shorts
			assert.Assert(t, !s.Before(c.asked, 0), "none has come")
			s.Came(c.came, time.Hour)
			assert.Equal(t, s.Before(c.asked, time.Hour+c.after), c.before)
		})
	}
}

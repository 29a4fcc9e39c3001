package pauser_test

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/pauser"
)

// clock is set by hand, as one that jumps over a suspension.
type clock struct{ now time.Duration }

func (c *clock) Now() time.Duration { return c.now }

func TestPause(t *testing.T) {
	one := &bluebelldoor.Instance{ID: "t", Born: 1}
	restarted := &bluebelldoor.Instance{ID: "t", Born: 2}
	for name, c := range map[string]struct {
		pauses []time.Duration // of one
		after  time.Duration
		asked  *bluebelldoor.Instance
		left   time.Duration
	}{
		"none":                    {nil, 0, one, 0},
		"a pause":                 {[]time.Duration{2 * time.Second}, time.Second, one, time.Second},
		"over":                    {[]time.Duration{2 * time.Second}, 2 * time.Second, one, 0},
		"over after a suspension": {[]time.Duration{2 * time.Second}, time.Hour, one, 0},
		"of nothing":              {[]time.Duration{0, -time.Second}, 0, one, 0},
		"a shorter one after it":  {[]time.Duration{4 * time.Second, time.Second}, time.Second, one, 3 * time.Second},
		"a longer one after it":   {[]time.Duration{time.Second, 4 * time.Second}, time.Second, one, 3 * time.Second},
		"of an earlier start":     {[]time.Duration{4 * time.Second}, time.Second, restarted, 0},
		"without an end":          {[]time.Duration{1000 * time.Hour}, 0, one, 10 * time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			now := &clock{}
			p := pauser.New(now, hclog.NewNullLogger(), pauser.WithRandom(func() float64 { return 0 }))
			for _, d := range c.pauses {
				p.Pause(one, d)
			}
			now.now = c.after
			assert.Equal(t, p.Left(c.asked), c.left)
		})
	}
}

// TestPausesEndApart holds many VMs that are told at the same moment to different
// ends, none before the pause is over.
func TestPausesEndApart(t *testing.T) {
	const vms = 100
	const pause = 2 * time.Second
	target := &bluebelldoor.Instance{ID: "t", Born: 1}
	in := map[time.Duration]int{} // ends in each tenth of a second
	for range vms {
		p := pauser.New(&clock{}, hclog.NewNullLogger())
		p.Pause(target, pause)
		left := p.Left(target)
		assert.Assert(t, left >= pause && left <= pause+pause/5, left)
		in[left.Truncate(100*time.Millisecond)]++
	}
	for at, ends := range in {
		assert.Assert(t, ends < vms/2, "%d of %d pauses end within a tenth of a second at %v", ends, vms, at)
	}
}

package pauser_test

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/pauser"
)

// clock is set manually, so that it can jump as after a suspension of the VM.
type clock struct{ now time.Duration }

func (c *clock) Now() time.Duration { return c.now }

func TestPause(t *testing.T) {
	one := &bluebelldoor.Instance{ID: "t", StartedAt: 1}
	restarted := &bluebelldoor.Instance{ID: "t", StartedAt: 2}
	for name, c := range map[string]struct {
		pauses []time.Duration // of one
		after  time.Duration
		target *bluebelldoor.Instance
		want   time.Duration
	}{
		"none":                    {nil, 0, one, 0},
		"a pause":                 {[]time.Duration{2 * time.Second}, time.Second, one, time.Second},
		"expired":                 {[]time.Duration{2 * time.Second}, 2 * time.Second, one, 0},
		"expired in a suspension": {[]time.Duration{2 * time.Second}, time.Hour, one, 0},
		"not positive":            {[]time.Duration{0, -time.Second}, 0, one, 0},
		"then a shorter pause":    {[]time.Duration{4 * time.Second, time.Second}, time.Second, one, 3 * time.Second},
		"then a longer pause":     {[]time.Duration{time.Second, 4 * time.Second}, time.Second, one, 3 * time.Second},
		"earlier incarnation":     {[]time.Duration{4 * time.Second}, time.Second, restarted, 0},
		"above the maximum":       {[]time.Duration{1000 * time.Hour}, 0, one, 10 * time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			clk := &clock{}
			p := pauser.New(clk, hclog.NewNullLogger(), pauser.WithRandom(func() float64 { return 0 }))
			for _, d := range c.pauses {
				p.Pause(one, d)
			}
			clk.now = c.after
			assert.Equal(t, p.Remaining(c.target), c.want)
		})
	}
}

// TestPausesEndApart guards against VMs that were paused at the same moment
// resuming together, and against pauses that end early.
func TestPausesEndApart(t *testing.T) {
	const vms = 100
	const pause = 2 * time.Second
	target := &bluebelldoor.Instance{ID: "t", StartedAt: 1}
	endsPerInterval := map[time.Duration]int{} // by tenth of a second
	for range vms {
		p := pauser.New(&clock{}, hclog.NewNullLogger())
		p.Pause(target, pause)
		remaining := p.Remaining(target)
		assert.Assert(t, remaining >= pause && remaining <= pause+pause/5, remaining)
		endsPerInterval[remaining.Truncate(100*time.Millisecond)]++
	}
	for at, ends := range endsPerInterval {
		assert.Assert(t, ends < vms/2, "%d of %d pauses end within a tenth of a second at %v", ends, vms, at)
	}
}

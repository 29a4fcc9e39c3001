package limiter_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/limiter"
)

type clock struct{ start time.Time }

func (c clock) Now() time.Duration { return time.Since(c.start) }

func named(perSecond float64) bluebelldoor.RateLimit {
	return bluebelldoor.RateLimit{Named: true, PerSecond: perSecond}
}

// TestObserve checks which limit applies after a series of responses.
func TestObserve(t *testing.T) {
	none, unknown := bluebelldoor.RateLimit{}, bluebelldoor.RateLimit{Unknown: true}
	type response struct {
		after time.Duration
		said  bluebelldoor.RateLimit
	}
	for name, c := range map[string]struct {
		responses []response
		want      float64
		limited   bool
	}{
		"none":                     {[]response{{0, none}}, 0, false},
		"named":                    {[]response{{0, named(3)}}, 3, true},
		"zero":                     {[]response{{0, named(0)}}, 0, true},
		"ended":                    {[]response{{0, named(3)}, {time.Second, none}}, 0, false},
		"overtaken end":            {[]response{{0, named(3)}, {10 * time.Millisecond, none}}, 3, true},
		"lowered":                  {[]response{{0, named(3)}, {time.Millisecond, named(2)}}, 2, true},
		"raised":                   {[]response{{0, named(3)}, {time.Second, named(5)}}, 5, true},
		"overtaken rise":           {[]response{{0, named(3)}, {time.Millisecond, named(5)}}, 3, true},
		"named again":              {[]response{{0, named(3)}, {time.Second, named(3)}, {10 * time.Millisecond, none}}, 3, true},
		"silent for long":          {[]response{{0, named(3)}, {time.Hour, unknown}}, 3, true},
		"unknown before any":       {[]response{{0, unknown}}, 0, false},
		"named after it has ended": {[]response{{0, named(3)}, {time.Second, none}, {time.Second, named(4)}}, 4, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				registered := true
				l := limiter.New(limiter.Fleet{
					Registered: func(bluebelldoor.TargetIncarnation) bool { return registered }, Changed: func() {},
				}, clock{time.Now()}, hclog.NewNullLogger())
				target := &bluebelldoor.Instance{ID: "a", StartedAt: 1}
				for _, r := range c.responses {
					time.Sleep(r.after)
					l.Observe(target, r.said)
				}
				got, limited := l.Limit(target)
				assert.Equal(t, got, c.want)
				assert.Equal(t, limited, c.limited)
				_, restartedLimited := l.Limit(&bluebelldoor.Instance{ID: "a", StartedAt: 2})
				assert.Assert(t, !restartedLimited, "the limit applies to another start of the target")
				registered = false
				time.Sleep(5 * time.Minute)
				l.Limits(0)
				assert.Equal(t, l.Count(), 0)
			})
		})
	}
}

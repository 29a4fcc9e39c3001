package assessor_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/assessor"
)

// TestUse checks the use computed from traffic that is counted four times a second.
func TestUse(t *testing.T) {
	const round, cores, link = 250 * time.Millisecond, 0.4, 10e6
	perSecond := func(requests, events, bytes uint64) bluebelldoor.Traffic {
		return bluebelldoor.Traffic{Requests: requests, Events: events, Bytes: bytes}
	}
	for name, c := range map[string]struct {
		seconds []bluebelldoor.Traffic
		want    float64
	}{
		"none":                     {[]bluebelldoor.Traffic{{}, {}}, 0},
		"calls":                    {tenTimes(perSecond(20, 0, 0)), 0.02},
		"events":                   {tenTimes(perSecond(0, 400, 0)), 0.04},
		"both":                     {tenTimes(perSecond(20, 400, 0)), 0.06},
		"a quarter of the link":    {tenTimes(perSecond(20, 0, 312_500)), 0.1},
		"little of the link":       {tenTimes(perSecond(20, 0, 3_000)), 0.02},
		"a second after the last":  {append(tenTimes(perSecond(20, 0, 0)), bluebelldoor.Traffic{}), 0.01},
		"a second after the first": {append(tenTimes(perSecond(0, 0, 0)), perSecond(20, 0, 0)), 0.01},
	} {
		t.Run(name, func(t *testing.T) {
			a := assessor.New(cores, link)
			now, sum := time.Hour, bluebelldoor.Traffic{}
			got := a.Update(sum, now)
			for _, s := range c.seconds {
				for range time.Second / round {
					now += round
					sum.Requests += s.Requests / 4
					sum.Events += s.Events / 4
					sum.Bytes += s.Bytes / 4
					got = a.Update(sum, now)
				}
			}
			assert.Assert(t, math.Abs(got-c.want) < 0.0005, "%.4f", got)
		})
	}
}

func tenTimes(t bluebelldoor.Traffic) []bluebelldoor.Traffic {
	out := make([]bluebelldoor.Traffic, 10)
	for i := range out {
		out[i] = t
	}
	return out
}

// TestShort checks that a count soon after the last leaves the average as it is: a
// single request between two rounds in quick succession must not look like a burst.
func TestShort(t *testing.T) {
	a := assessor.New(0.4, 0)
	a.Update(bluebelldoor.Traffic{}, time.Hour)
	assert.Equal(t, a.Update(bluebelldoor.Traffic{Requests: 1}, time.Hour+time.Millisecond), 0.0)
}

package dater_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor/process/dater"
)

type testClock struct{ now time.Duration }

func (c *testClock) Now() time.Duration { return c.now }

// arrival is a message of one peer that is read some time after the message before.
type arrival struct {
	after, waited time.Duration // waited is the true wait
	roundTrip     time.Duration // 0 if it is no reply
	restart       bool          // of the peer, whose clock begins anew
	jump          time.Duration // of the peer's clock, before the message is written
	want          time.Duration
	unknown       bool // whether that may be too short
}

// TestWait guards against an age that is taken as of the reading of a message that waited, and
// against a wait that is seen where there was none, in which live VMs would look silent.
func TestWait(t *testing.T) {
	const ms, s = time.Millisecond, time.Second
	for name, arrivals := range map[string][]arrival{
		"first message":            {{waited: 2 * s, want: 0, unknown: true}},
		"waited":                   {{unknown: true}, {after: s}, {after: s, waited: 2 * s, want: 2 * s}},
		"several that waited":      {{unknown: true}, {after: s}, {after: 3 * s, waited: 2500 * ms, want: 2500 * ms}, {waited: 1400 * ms, want: 1400 * ms}, {waited: 5 * ms, want: 5 * ms}},
		"first one waited":         {{waited: 3 * s, want: 0, unknown: true}, {waited: 2 * s, want: 0, unknown: true}, {after: s, unknown: true}, {after: s}, {after: s, waited: 2 * s, want: 2 * s}},
		"a reply":                  {{unknown: true}, {after: s, waited: 2 * s, roundTrip: 2*s + 10*ms, want: 2 * s}},
		"first is a late reply":    {{waited: 2 * s, roundTrip: 2 * s, want: 0, unknown: true}, {after: s, want: 0, unknown: true}, {after: s}, {after: s, waited: s, want: s}},
		"first is a fast reply":    {{roundTrip: 4 * ms, want: 0}, {waited: s, want: s}},
		"a burst that waited":      {{waited: 3 * s, unknown: true}, {waited: 2 * s, unknown: true}, {waited: s, unknown: true}, {waited: 10 * ms, unknown: true}, {after: s}},
		"restart":                  {{unknown: true}, {after: s}, {after: s, restart: true, waited: s, want: 0, unknown: true}, {after: s, want: 0, unknown: true}, {after: s}},
		"clock back, reply":        {{unknown: true}, {after: s, jump: -3 * s, roundTrip: 4 * ms, want: 4 * ms}, {after: s, want: 4 * ms}},
		"clock back, then a wait":  {{unknown: true}, {after: s, jump: -3 * s, roundTrip: 4 * ms, want: 4 * ms}, {after: s, waited: 2 * s, want: 2*s + 4*ms}},
		"clock forward":            {{unknown: true}, {after: s}, {after: s, jump: 3 * s, want: 0, unknown: true}, {after: s}, {after: s, waited: s, want: s}},
		"an hour, with some drift": {{unknown: true}, {after: time.Hour, jump: -300 * ms, want: 0}},
	} {
		t.Run(name, func(t *testing.T) {
			const latency = 2 * ms
			clock, peerLead, incarnation := &testClock{time.Hour}, 5*time.Minute, int64(1)
			d := dater.New(clock)
			for i, a := range arrivals {
				clock.now += a.after
				peerLead += a.jump
				if a.restart {
					incarnation, peerLead = 2, -10*time.Minute
				}
				m := dater.Message{From: "vm", Incarnation: incarnation, SentAt: clock.now - latency - a.waited + peerLead}
				if a.roundTrip > 0 {
					m.RequestedAt = clock.now - a.roundTrip
				}
				got, known := d.Wait(m)
				assert.Assert(t, (got-a.want).Abs() <= ms/2, "message %d: %s, want %s", i, got, a.want)
				assert.Equal(t, known, !a.unknown, "message %d", i)
			}
			wait, known := d.Wait(dater.Message{From: "vm", Incarnation: incarnation})
			assert.Assert(t, wait == 0 && !known, "a message without a time")
		})
	}
}

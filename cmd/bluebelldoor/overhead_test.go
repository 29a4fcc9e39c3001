package main_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/connection/dialer"
	"bluebelldoor/standin/caller"
)

// TestOverhead compares the time to first token and between tokens through the
// system with a direct connection to the same stand-in. The time between tokens may
// be at most 1.1 times the direct one; this is not checked under the race detector,
// which slows the VM.
func TestOverhead(t *testing.T) {
	f := newFleet(t, 1, 1, 0)
	f.warmUp()
	const rounds, tokens = 10, 60
	direct, through := &latencyMeter{}, &latencyMeter{}
	target := bluebelldoor.NewTarget(bluebelldoor.TargetSpec{Address: f.links["engine-0"].Address()})
	for i := range rounds {
		direct.start()
		_, err := dialer.New().Generate(context.Background(), target, bluebelldoor.Generation{
			ID: "direct-" + string(rune('a'+i)), Prompt: "len=60", MaxTokens: tokens,
		}, func(bluebelldoor.Token) error {
			direct.token()
			return nil
		})
		assert.NilError(t, err)
		through.start()
		r, err := f.caller(0).Stream(context.Background(), f.vms[0].spec.CallerAddress, "gait", "len=60", tokens, func(caller.Event) { through.token() })
		assert.NilError(t, err)
		assert.Assert(t, r.Complete)
	}
	ratio := float64(through.betweenTokens) / float64(direct.betweenTokens)
	t.Logf("between tokens: direct %s, through %s, ratio %.3f; first token: direct %s, through %s",
		direct.betweenTokens/(rounds*(tokens-1)), through.betweenTokens/(rounds*(tokens-1)), ratio, direct.toFirst/rounds, through.toFirst/rounds)
	if len(raceFlags) == 0 {
		assert.Assert(t, ratio <= 1.1)
	}
}

// latencyMeter adds up times to first token and between tokens.
type latencyMeter struct {
	last                   time.Time // start of the request, or the last token
	firstSeen              bool
	toFirst, betweenTokens time.Duration
}

func (m *latencyMeter) start() { m.last, m.firstSeen = time.Now(), false }

func (m *latencyMeter) token() {
	now := time.Now()
	if m.firstSeen {
		m.betweenTokens += now.Sub(m.last)
	} else {
		m.toFirst += now.Sub(m.last)
	}
	m.last, m.firstSeen = now, true
}

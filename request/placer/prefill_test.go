package placer_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor/request/placer"
)

// targetLoad is a target with an event interval, 0 if it is unknown, and its load.
type targetLoad struct {
	interval      time.Duration
	streams, held int
	prefill       int
}

// pacedLedger returns a ledger of targets, and the candidates in their order: a, b and so on.
func pacedLedger(targets ...targetLoad) (*placer.Ledger, []placer.Candidate) {
	l := placer.NewLedger()
	var candidates []placer.Candidate
	for i, target := range targets {
		id := string(rune('a' + i))
		candidates = append(candidates, placer.Candidate{Instance: instance(id, "x")})
		if target.interval > 0 {
			l.RecordStreamIntervals(candidates[i].Instance.Service, id, slices.Repeat([]time.Duration{target.interval}, 4))
		}
		for range target.streams {
			l.Start(id, 0, 0).Protect()
		}
		if target.prefill > 0 || target.held > 0 {
			l.Start(id, 0, target.prefill).UpdateMemory(target.held, target.held)
		}
	}
	return l, candidates
}

// TestPrefillFactor guards against a backlog of prompts that counts the same on targets that read
// at different speeds, and against a factor without bounds or in other services.
func TestPrefillFactor(t *testing.T) {
	// The limit for a new stream is 8,000 tokens at the assumed speed.
	for name, c := range map[string]struct {
		interval  time.Duration
		mixes     bool
		maxTokens int // the largest backlog with which the target gets a stream
	}{
		"assumed":                {28 * ms, true, 8000},
		"fast":                   {20 * ms, true, 11_200},
		"slow":                   {40 * ms, true, 5600},
		"very fast":              {5 * ms, true, 16_000},
		"very slow":              {200 * ms, true, 3200},
		"unknown":                {0, true, 8000},
		"no protected streams":   {200 * ms, false, 8000},
		"unprotected, very fast": {5 * ms, false, 8000},
	} {
		t.Run(name, func(t *testing.T) {
			hasRoom := func(backlog int) bool {
				l, candidates := pacedLedger(targetLoad{interval: c.interval, prefill: backlog, held: backlog})
				d := protectedDemand()
				d.Limits, d.MixesStreams, d.Protected = placer.NewLimits(true, false), c.mixes, c.mixes
				return l.Pick(candidates, d, 0, zero).Index >= 0
			}
			assert.Assert(t, hasRoom(c.maxTokens))
			assert.Assert(t, !hasRoom(c.maxTokens+1))
		})
	}
	t.Run("short requests avoid a slow target with the same backlog", func(t *testing.T) {
		l, candidates := pacedLedger(targetLoad{interval: 40 * ms, prefill: 5000, held: 5000}, targetLoad{interval: 20 * ms, prefill: 5500, held: 5500})
		d := protectedDemand()
		d.Protected = false
		assert.Equal(t, l.Pick(candidates, d, 0, zero).Index, 1)
	})
}

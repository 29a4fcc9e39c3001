package budgeter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor/process/budgeter"
)

const window = 10 * time.Second

// TestWindows spends all that the budgets of a fleet allow, under random traffic with
// bursts and pauses, and checks that no sliding window exceeds the limit. With restarts it
// guards against processes that forget what earlier ones have repeated.
func TestWindows(t *testing.T) {
	for name, restartEvery := range map[string]time.Duration{"no restarts": 0, "restarts in turn": 400 * time.Millisecond, "rare restarts": 6 * time.Second} {
		t.Run(name, func(t *testing.T) { testWindows(t, restartEvery) })
	}
}

func testWindows(t *testing.T, restartEvery time.Duration) {
	t.Helper()
	for seed := range uint64(20) {
		nextRestart := restartEvery
		random := rand.New(rand.NewPCG(seed, 1))
		vms := 1 + random.IntN(12)
		fleet := make([]*budgeter.Budgeter, vms)
		for i := range fleet {
			fleet[i] = budgeter.New(budgeter.Settings{Window: window, Ratio: 0.2, Allowance: 52})
		}
		var requests, repeats []time.Duration
		for now := time.Duration(0); now < time.Minute; now += time.Duration(1+random.IntN(40)) * time.Millisecond {
			if restartEvery > 0 && now >= nextRestart {
				fleet[random.IntN(vms)] = budgeter.New(budgeter.Settings{Window: window, Ratio: 0.2, Allowance: 52}, budgeter.WithEarlierProcess(now))
				nextRestart += restartEvery
			}
			b := fleet[random.IntN(vms)]
			if random.IntN(3) > 0 && int(now/(7*time.Second))%2 == 0 {
				b.CountRequest("s", now)
				requests = append(requests, now)
			}
			if b.TryRepeat("s", 1/float64(vms), 1, now) {
				repeats = append(repeats, now)
			}
		}
		for i, from := range repeats {
			repeatsInWindow := 0
			for _, at := range repeats[i:] {
				if at < from+window {
					repeatsInWindow++
				}
			}
			// Requests of this window and of the one before count.
			requestsCounted := 0
			for _, at := range requests {
				if at >= from-window && at < from+window {
					requestsCounted++
				}
			}
			assert.Assert(t, float64(repeatsInWindow) <= 0.2*float64(requestsCounted)+52, "seed %d: %d repeats for %d requests from %s", seed, repeatsInWindow, requestsCounted, from)
		}
	}
}

func TestKinds(t *testing.T) {
	b := budgeter.New(budgeter.Settings{Window: window, Ratio: 0, Allowance: 10})
	sent := 0
	for b.TryRepeat("s", 1, 0.5, 0) {
		sent++
	}
	assert.Equal(t, sent, 4)
	for b.TryRepeat("s", 1, 1, 0) {
		sent++
	}
	assert.Equal(t, sent, 8)
	assert.Assert(t, b.TryRepeat("other", 1, 1, 0))
	assert.Assert(t, !b.TryRepeat("s", 1, 1, window-time.Millisecond))
	assert.Assert(t, b.TryRepeat("s", 1, 1, window+2*time.Second))
}

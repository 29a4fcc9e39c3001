package keeper_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/request/keeper"
)

var (
	secret = []byte("secret")
	key    = keeper.Key{
		Home: "vm-1", HomeIncarnation: "a", Witness: "vm-2", WitnessIncarnation: "b", Account: "clinic", Nonce: "n",
		ExpiresMs: 1000, WitnessUntilMs: 2000,
	}
)

func TestKeyText(t *testing.T) {
	text := key.Sign(secret)
	k, err := keeper.ParseKey(secret, text)
	assert.NilError(t, err)
	assert.Equal(t, k, key)
	for name, bad := range map[string]string{
		"empty": "", "not minted": "my-own-key", "truncated": text[:len(text)-1], "changed": text[:10] + "x" + text[11:], "no signature": text[:20],
	} {
		t.Run(name, func(t *testing.T) {
			_, err := keeper.ParseKey(secret, bad)
			assert.Assert(t, err != nil)
		})
	}
	_, err = keeper.ParseKey([]byte("another"), text)
	assert.Assert(t, err != nil)
}

func FuzzParseKey(f *testing.F) {
	f.Add(key.Sign(secret))
	f.Fuzz(func(t *testing.T, text string) {
		if k, err := keeper.ParseKey(secret, text); err == nil {
			assert.Equal(t, k.Sign(secret) != "", true)
		}
	})
}

func TestHomeSendsOnce(t *testing.T) {
	h := keeper.NewHome("vm-1", "a")
	step, _, done := h.Begin(key, "f", 0)
	assert.Equal(t, step, keeper.Announce)
	step, _, _ = h.Begin(key, "f", 0)
	assert.Equal(t, step, keeper.Wait)
	step, _ = h.RecordConfirmation(key, true)
	assert.Equal(t, step, keeper.Send)
	step, _ = h.RecordConfirmation(key, true)
	assert.Equal(t, step, keeper.Reply, "a second confirmation must not send again")
	h.Finish(key, keeper.Outcome{Answer: bluebelldoor.Answer{Status: 200}})
	<-done
	step, out, _ := h.Begin(key, "f", 0)
	assert.Equal(t, step, keeper.Reply)
	assert.Equal(t, out.Answer.Status, 200)
	step, out, _ = h.Begin(key, "another request", 0)
	assert.Equal(t, step, keeper.Reply)
	assert.Equal(t, out.Refusal.Code(), bluebelldoor.KeyReused)
}

func TestDeadStaysDead(t *testing.T) {
	h := keeper.NewHome("vm-1", "a")
	h.Begin(key, "f", 0)
	step, out := h.RecordConfirmation(key, false)
	assert.Equal(t, step, keeper.Reply)
	assert.Equal(t, out.Refusal.Executed(), bluebelldoor.ExecutedNo)
	for range 3 {
		step, out, _ = h.Begin(key, "f", 0)
		assert.Equal(t, step, keeper.Reply)
		assert.Equal(t, out.Refusal.Code(), bluebelldoor.NoWitness)
	}
	assert.Equal(t, h.State(key), keeper.Dead)
}

// TestForgotten checks that a key whose record may have been removed is never
// reported as not run.
func TestForgotten(t *testing.T) {
	h := keeper.NewHome("vm-1", "a")
	h.Begin(key, "f", 0)
	h.RecordConfirmation(key, true)
	h.Finish(key, keeper.Outcome{})
	h.Expire(time.Second)
	_, out, _ := h.Begin(key, "f", time.Second)
	assert.Equal(t, out.Refusal.Code(), bluebelldoor.KeyExpired)
	assert.Equal(t, out.Refusal.Executed(), bluebelldoor.ExecutedUnknown)

	w := keeper.NewWitness("vm-2", "b")
	assert.Assert(t, w.Announce(key, 0))
	w.Expire(2 * time.Second)
	assert.Equal(t, w.Query(key, 2*time.Second), keeper.MayHaveRun)
	assert.Assert(t, !w.Announce(key, 2*time.Second))
}

func TestWitness(t *testing.T) {
	for name, c := range map[string]struct {
		first     func(*keeper.Witness)
		confirmed bool
		verdict   keeper.Verdict
	}{
		"queried first":   {func(w *keeper.Witness) { w.Query(key, 0) }, false, keeper.NotRun},
		"announced first": {func(w *keeper.Witness) { w.Announce(key, 0) }, true, keeper.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			w := keeper.NewWitness("vm-2", "b")
			c.first(w)
			assert.Equal(t, w.Announce(key, 1), c.confirmed)
			assert.Equal(t, w.Query(key, 1), c.verdict)
		})
	}
	restarted := keeper.NewWitness("vm-2", "c")
	assert.Assert(t, !restarted.Announce(key, 0))
	assert.Equal(t, restarted.Query(key, 0), keeper.NotWitness)
}

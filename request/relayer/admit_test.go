package relayer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/connection/acceptor"
	"bluebelldoor/process/pauser"
	"bluebelldoor/process/registrar"
)

// TestUnknown says that something does not exist only on fresh evidence.
func TestUnknown(t *testing.T) {
	r := &Relayer{}
	r.Reload(Settings{News: time.Second})
	j := &job{Relayer: r}
	for name, c := range map[string]struct {
		age  time.Duration
		code bluebelldoor.Code
		want bluebelldoor.Code
	}{
		"route, fresh":        {0, bluebelldoor.UnknownRoute, bluebelldoor.UnknownRoute},
		"route, at the bound": {time.Second, bluebelldoor.UnknownRoute, bluebelldoor.UnknownRoute},
		"route, old":          {time.Second + 1, bluebelldoor.UnknownRoute, bluebelldoor.ViewStale},
		"key, fresh":          {0, bluebelldoor.Unauthorized, bluebelldoor.Unauthorized},
		"key, old":            {time.Minute, bluebelldoor.Unauthorized, bluebelldoor.ViewStale},
	} {
		t.Run(name, func(t *testing.T) {
			refusal := j.unknown(c.age, c.code, "not there")
			assert.Equal(t, refusal.Code(), c.want)
			assert.Equal(t, refusal.RetryAfter() > 0, c.want == bluebelldoor.ViewStale)
		})
	}
}

// TestPermitClosed lets no byte leave for a target that has been closed since
// it was chosen.
func TestPermitClosed(t *testing.T) {
	r := &Relayer{sources: Sources{View: func() *registrar.View { return &registrar.View{} }}, clock: steady{time.Now()}}
	r.Reload(Settings{Leaving: time.Minute})
	target := &registrar.Target{Instance: &bluebelldoor.Instance{ID: "gone", Born: 1}}
	j := &job{Relayer: r, call: &acceptor.Call{}}
	assert.Equal(t, j.permit(target), errClosed)
	assert.Equal(t, j.permitCopy(target), errClosed)
}

// published serves the entries of a catalogue as they were at the start.
func published(t *testing.T, names string, clock bluebelldoor.Clock) *registrar.Registrar {
	held := registrar.New(catalogue{names}, clock, registrar.Role{
		Reads: func() bool { return true }, Served: func() bool { return false }, Changed: func() {},
	}, hclog.NewNullLogger())
	t.Cleanup(held.Start())
	synctest.Wait()
	return held
}

// TestPermitPaused lets no byte leave for a target that has asked for a pause since
// it was chosen, until the pause is over.
func TestPermitPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := steady{time.Now()}
		held := published(t, "x", clock)
		r := New(Settings{}, Sources{View: held.View, Evidence: held.Evidence}, Parts{Pauses: pauser.New(clock, hclog.NewNullLogger())}, clock, hclog.NewNullLogger())
		target := held.View().Target("x")
		j := &job{Relayer: r, call: &acceptor.Call{}}
		assert.NilError(t, j.permitCopy(target))
		r.Heard(target.Instance, bluebelldoor.AnswerHead{PauseFor: time.Second})
		assert.Equal(t, j.permit(target), errPaused)
		assert.Equal(t, j.permitCopy(target), errPaused)
		time.Sleep(1200 * time.Millisecond)
		assert.NilError(t, j.permitCopy(target))
	})
}

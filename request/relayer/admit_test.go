package relayer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/connection/acceptor"
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
	r := &Relayer{sources: Sources{View: func() *registrar.View { return &registrar.View{} }}}
	target := &registrar.Target{Instance: &bluebelldoor.Instance{ID: "gone", Born: 1}}
	j := &job{Relayer: r, call: &acceptor.Call{}}
	assert.Equal(t, j.permit(target), errClosed)
	assert.Equal(t, j.permitCopy(target), errClosed)
}

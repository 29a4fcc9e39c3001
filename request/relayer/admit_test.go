package relayer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/connection/acceptor"
	"bluebelldoor/process/limiter"
	"bluebelldoor/process/pauser"
	"bluebelldoor/process/registrar"
)

// TestUnknown checks that a route or key is reported as unknown only on a fresh
// view.
func TestUnknown(t *testing.T) {
	r := &Relayer{}
	r.Reload(Settings{MaxViewAge: time.Second})
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
			refusal := j.refusalUnknown(c.age, c.code, "not there")
			assert.Equal(t, refusal.Code(), c.want)
			assert.Equal(t, refusal.RetryAfter() > 0, c.want == bluebelldoor.ViewStale)
		})
	}
}

// TestPermitClosed checks that no byte is sent to a target that was closed after
// it had been chosen.
func TestPermitClosed(t *testing.T) {
	r := &Relayer{sources: Sources{View: func() *registrar.View { return &registrar.View{} }}, clock: testClock{time.Now()}}
	r.Reload(Settings{LeavingGrace: time.Minute})
	target := &registrar.Target{Instance: &bluebelldoor.Instance{ID: "gone", StartedAt: 1}}
	j := &job{Relayer: r, call: &acceptor.Call{}}
	assert.Equal(t, j.permit(target), errNotPermitted)
	assert.Equal(t, j.permitCopy(target), errNotPermitted)
}

// startRegistrar returns a registrar that has read a catalogue of these targets.
func startRegistrar(t *testing.T, names string, clock bluebelldoor.Clock) *registrar.Registrar {
	reg := registrar.New(fakeCatalogue{names}, clock, registrar.Role{
		ReadsForPeers: func() bool { return true }, Standby: func() bool { return false }, Changed: func() {},
	}, hclog.NewNullLogger())
	t.Cleanup(reg.Start())
	synctest.Wait()
	return reg
}

// TestPermitPaused checks that no byte is sent to a target that asked for a pause
// after it had been chosen, until the pause is over.
func TestPermitPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := testClock{time.Now()}
		reg := startRegistrar(t, "x", clock)
		r := New(Settings{}, Sources{View: reg.View, EvidenceAge: reg.EvidenceAge}, Dependencies{Pauses: pauser.New(clock, hclog.NewNullLogger()), Limits: limiter.New(limiter.Fleet{}, clock, hclog.NewNullLogger())}, clock, hclog.NewNullLogger())
		target := reg.View().Target("x")
		j := &job{Relayer: r, call: &acceptor.Call{}}
		assert.NilError(t, j.permitCopy(target))
		r.HandleResponseHead(target.Instance, bluebelldoor.ResponseHead{PauseFor: time.Second})
		assert.Equal(t, j.permit(target), errPaused)
		assert.Equal(t, j.permitCopy(target), errPaused)
		time.Sleep(1200 * time.Millisecond)
		assert.NilError(t, j.permitCopy(target))
	})
}

// TestPermitLimited checks that no byte is sent to a target that named a limit after it
// had been chosen, unless the request has a permit that is still valid.
func TestPermitLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := testClock{time.Now()}
		reg := startRegistrar(t, "x", clock)
		self := bluebelldoor.MemberState{Name: "vm"}
		limits := limiter.New(limiter.Fleet{
			Self: "vm", Hubs: func() []bluebelldoor.MemberState { return []bluebelldoor.MemberState{self} },
			Coverage: func() float64 { return 1 }, Registered: func(bluebelldoor.TargetIncarnation) bool { return true },
			Changed: func() {}, Counted: func(string) {},
		}, clock, hclog.NewNullLogger())
		r := New(Settings{}, Sources{View: reg.View, EvidenceAge: reg.EvidenceAge}, Dependencies{Pauses: pauser.New(clock, hclog.NewNullLogger()), Limits: limits}, clock, hclog.NewNullLogger())
		target := reg.View().Target("x")
		j := &job{Relayer: r, ctx: t.Context(), call: &acceptor.Call{}, request: &bluebelldoor.RelayRequest{}}
		assert.NilError(t, j.permitCopy(target))
		r.HandleResponseHead(target.Instance, bluebelldoor.ResponseHead{Limit: bluebelldoor.RateLimit{Named: true, PerSecond: 2}})
		assert.Equal(t, j.permit(target), errNoPermit)
		assert.Equal(t, j.permitCopy(target), errNoPermit)
		// The grantor's bucket starts empty and has a permit after half a second.
		assert.Assert(t, j.awaitPermit(target, time.Second))
		assert.NilError(t, j.permitCopy(target))
		time.Sleep(time.Second)
		assert.Equal(t, j.permit(target), errNoPermit)
		assert.Equal(t, j.permitCopy(target), errNoPermit)
	})
}

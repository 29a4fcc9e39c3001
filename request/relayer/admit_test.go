package relayer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
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

// TestBehind guards against a VM that goes on serving under a routing although it knows that
// a newer one was published longer ago than a change may take.
func TestBehind(t *testing.T) {
	routing := bluebelldoor.RoutingSpec{Version: 4, Routes: []bluebelldoor.RouteSpec{{Name: "r", Host: "h", Prefix: "/", Shares: []bluebelldoor.ServiceShare{{Service: "s", Weight: 1}}}}, OpenAccess: true}
	for name, c := range map[string]struct {
		behind bool
		age    time.Duration
		host   string
		want   bluebelldoor.Code
	}{
		"in force":                {false, time.Minute, "h", bluebelldoor.OK},
		"behind for a short time": {true, time.Second, "h", bluebelldoor.OK},
		"behind for too long":     {true, time.Second + 1, "h", bluebelldoor.ViewStale},
		"unknown route":           {false, time.Second, "x", bluebelldoor.UnknownRoute},
		"unknown route, behind":   {true, 0, "x", bluebelldoor.ViewStale},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := testClock{time.Now()}
				reg := registrar.New(routingCatalogue{fakeCatalogue{"x"}, routing}, clock, registrar.Role{
					ReadsForPeers: func() bool { return true }, Standby: func() bool { return false }, Changed: func() {},
				}, hclog.NewNullLogger())
				t.Cleanup(reg.Start())
				synctest.Wait()
				r := New(Settings{MaxViewAge: time.Second}, Sources{
					View: reg.View, EvidenceAge: func() (time.Duration, bool) { return c.age, true }, IsBehind: func() bool { return c.behind },
				}, Dependencies{}, clock, hclog.NewNullLogger())
				j := &job{Relayer: r, request: &bluebelldoor.RelayRequest{Host: c.host, Path: "/a"}}
				refusal := j.admit()
				if c.want == bluebelldoor.OK {
					assert.Assert(t, refusal == nil, "%v", refusal)
					return
				}
				assert.Assert(t, refusal != nil)
				assert.Equal(t, refusal.Code(), c.want)
				assert.Equal(t, refusal.RetryAfter() > 0, c.want == bluebelldoor.ViewStale)
			})
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

// routingCatalogue publishes a target x and a routing.
type routingCatalogue struct {
	fakeCatalogue
	routing bluebelldoor.RoutingSpec
}

func (c routingCatalogue) Read(ctx context.Context) (bluebelldoor.CatalogueReply, error) {
	out, err := c.fakeCatalogue.Read(ctx)
	out.Records = append(out.Records, bluebelldoor.Record{Key: "routing", Revision: 1})
	return out, err
}

func (c routingCatalogue) Decode(r bluebelldoor.Record) bluebelldoor.Change {
	if r.Key == "routing" {
		return bluebelldoor.Change{Routing: bluebelldoor.NewRouting(c.routing)}
	}
	return c.fakeCatalogue.Decode(r)
}

// TestPermitOldView guards against CONFIG: a request that was admitted under one view and
// waited, for a permit or for room, was sent under that view.
func TestPermitOldView(t *testing.T) {
	route := bluebelldoor.RouteSpec{Name: "r", Host: "h", Prefix: "/", Shares: []bluebelldoor.ServiceShare{{Service: "s", Weight: 1}}}
	public, moved := route, route
	public.Public = true
	moved.Shares = []bluebelldoor.ServiceShare{{Service: "other", Weight: 1}}
	accounts := []bluebelldoor.AccountKeys{{Account: "a", Keys: []string{"k"}}}
	rekeyed := []bluebelldoor.AccountKeys{{Account: "b", Keys: []string{"k"}}}
	spec := func(accounts []bluebelldoor.AccountKeys, routes ...bluebelldoor.RouteSpec) bluebelldoor.RoutingSpec {
		return bluebelldoor.RoutingSpec{Version: 1, Routes: routes, Accounts: accounts, OpenAccess: accounts == nil}
	}
	for name, c := range map[string]struct {
		before, after bluebelldoor.RoutingSpec
		key           string
		want          error
	}{
		"same":                 {spec(accounts, route), spec(accounts, route), "k", nil},
		"route removed":        {spec(accounts, route), spec(accounts), "k", errNotPermitted},
		"route moved":          {spec(accounts, route), spec(accounts, moved), "k", errNotPermitted},
		"key withdrawn":        {spec(accounts, route), spec(rekeyed[:0], route), "k", errNotPermitted},
		"no keys, then none":   {spec(nil, route), spec(rekeyed[:0], route), "", errNotPermitted},
		"key of another":       {spec(accounts, route), spec(rekeyed, route), "k", errNotPermitted},
		"public, still":        {spec(accounts, public), spec(accounts, public), "", nil},
		"public, then not":     {spec(accounts, public), spec(accounts, route), "", errNotPermitted},
		"no keys, then needed": {spec(nil, route), spec(accounts, route), "", errNotPermitted},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := testClock{time.Now()}
				view := startView(t, c.before, clock)
				sources := Sources{View: func() *registrar.View { return view }, EvidenceAge: func() (time.Duration, bool) { return 0, true }}
				r := New(Settings{MaxKeyEvidenceAge: time.Second, MaxViewAge: time.Second}, sources, Dependencies{
					Pauses: pauser.New(clock, hclog.NewNullLogger()), Limits: limiter.New(limiter.Fleet{}, clock, hclog.NewNullLogger()),
				}, clock, hclog.NewNullLogger())
				j := &job{Relayer: r, ctx: t.Context(), call: &acceptor.Call{}, request: &bluebelldoor.RelayRequest{Host: "h", Path: "/p", APIKey: c.key}}
				assert.Assert(t, j.admit() == nil)
				view = startView(t, c.after, clock)
				assert.Equal(t, j.permit(view.Target("x")), c.want)
			})
		})
	}
}

// startView returns the view of a registrar that has read a routing.
func startView(t *testing.T, routing bluebelldoor.RoutingSpec, clock bluebelldoor.Clock) *registrar.View {
	reg := registrar.New(routingCatalogue{fakeCatalogue{"x"}, routing}, clock, registrar.Role{
		ReadsForPeers: func() bool { return true }, Standby: func() bool { return false }, Changed: func() {},
	}, hclog.NewNullLogger())
	t.Cleanup(reg.Start())
	synctest.Wait()
	return reg.View()
}

// TestRequestSuspect checks which requests count as the same, and that the digest depends on
// the secret and on the caller's key.
func TestRequestSuspect(t *testing.T) {
	suspect := func(change func(j *job, s *Settings)) string {
		body := []byte("body")
		j := &job{Relayer: &Relayer{}, account: "a", request: &bluebelldoor.RelayRequest{
			Host: "h", APIKey: "key", Prompt: "p", Body: body, HTTP: httptest.NewRequest(http.MethodPost, "/a?b=c", nil), ID: "1",
		}}
		s := Settings{Secret: "secret"}
		change(j, &s)
		j.Reload(s)
		return j.requestSuspect()
	}
	same := suspect(func(*job, *Settings) {})
	assert.Equal(t, same, suspect(func(j *job, _ *Settings) { j.request.ID = "2" }))
	for name, change := range map[string]func(*job, *Settings){
		"method":  func(j *job, _ *Settings) { j.request.HTTP.Method = http.MethodPut },
		"host":    func(j *job, _ *Settings) { j.request.Host = "other" },
		"query":   func(j *job, _ *Settings) { j.request.HTTP.URL.RawQuery = "b=d" },
		"prompt":  func(j *job, _ *Settings) { j.request.Prompt = "q" },
		"body":    func(j *job, _ *Settings) { j.request.Body = []byte("other") },
		"account": func(j *job, _ *Settings) { j.account = "b" },
		"key":     func(j *job, _ *Settings) { j.request.APIKey = "other" },
		"secret":  func(_ *job, s *Settings) { s.Secret = "other" },
		"fields that join alike": func(j *job, _ *Settings) {
			j.request.Prompt, j.request.Body = "pb", []byte("ody")
		},
	} {
		t.Run(name, func(t *testing.T) { assert.Assert(t, suspect(change) != same) })
	}
}

// BenchmarkRequestSuspect measures the cost of telling requests apart, by the size of the body.
func BenchmarkRequestSuspect(b *testing.B) {
	for _, size := range []int{600, 3000, 1 << 20} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			r := &Relayer{}
			r.Reload(Settings{})
			request := &bluebelldoor.RelayRequest{Body: make([]byte, size), HTTP: httptest.NewRequest(http.MethodPost, "/a", nil)}
			for b.Loop() {
				(&job{Relayer: r, request: request}).requestSuspect()
			}
		})
	}
}

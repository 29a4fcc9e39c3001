package bluebelldoor_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
)

// TestServiceTerms guards against terms that apply to deployments whose routing does not ask
// for them.
func TestServiceTerms(t *testing.T) {
	const gap = 180 * time.Millisecond
	route := func(name string, priority int, objective, timeout time.Duration) bluebelldoor.RouteSpec {
		return bluebelldoor.RouteSpec{
			Name: name, Host: "h", Prefix: "/" + name + "/", Priority: priority, LatencyObjective: objective, Timeout: timeout,
			Streamed: true, Generates: true, MaxEventGap: gap, Shares: []bluebelldoor.ServiceShare{{Service: "engines", Weight: 1}},
		}
	}
	long := func(priority int, objective time.Duration) bluebelldoor.RouteSpec {
		return route("long", priority, objective, 39*time.Second)
	}
	short := func(priority int) bluebelldoor.RouteSpec {
		return route("short", priority, 1500*time.Millisecond, 6*time.Second)
	}
	plain := bluebelldoor.RouteSpec{Name: "plain", Host: "h", Prefix: "/plain/", Timeout: time.Second, Shares: []bluebelldoor.ServiceShare{{Service: "engines", Weight: 1}}}
	unweighted := long(0, 1800*time.Millisecond)
	unweighted.Shares = []bluebelldoor.ServiceShare{{Service: "engines"}, {Service: "other", Weight: 1}}
	gapless := long(0, 1800*time.Millisecond)
	gapless.MaxEventGap = 0
	for name, c := range map[string]struct {
		routes                []bluebelldoor.RouteSpec
		protected, deferrable bool // the route called long
	}{
		"none":                       {nil, false, false},
		"short ones first":           {[]bluebelldoor.RouteSpec{long(1, 1800*time.Millisecond), short(0)}, false, false},
		"long ones first":            {[]bluebelldoor.RouteSpec{long(0, 1800*time.Millisecond), short(1)}, true, false},
		"long ones can wait":         {[]bluebelldoor.RouteSpec{long(2, 4*time.Second), short(0)}, false, true},
		"first, with much time":      {[]bluebelldoor.RouteSpec{long(0, 4*time.Second), short(1)}, true, false},
		"same priority":              {[]bluebelldoor.RouteSpec{long(1, 4*time.Second), short(1)}, false, false},
		"alone":                      {[]bluebelldoor.RouteSpec{long(0, 4*time.Second), plain}, false, false},
		"no share of the service":    {[]bluebelldoor.RouteSpec{unweighted, short(1)}, false, false},
		"pauses of no concern":       {[]bluebelldoor.RouteSpec{gapless, short(1)}, false, false},
		"objectives just not double": {[]bluebelldoor.RouteSpec{long(2, 2999*time.Millisecond), short(0)}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			terms := bluebelldoor.NewRouting(bluebelldoor.RoutingSpec{Routes: c.routes}).Terms("engines")
			assert.Equal(t, terms.Protects(&bluebelldoor.RouteSpec{Name: "long"}), c.protected)
			assert.Equal(t, terms.ProtectsStreams(), c.protected)
			assert.Equal(t, terms.Defers(&bluebelldoor.RouteSpec{Name: "long"}), c.deferrable)
			assert.Equal(t, terms.HasDeferrable(), c.deferrable)
			assert.Equal(t, terms.IsUrgent(&bluebelldoor.RouteSpec{Name: "short"}), c.deferrable)
			assert.Assert(t, !terms.IsUrgent(&bluebelldoor.RouteSpec{Name: "long"}))
			assert.Equal(t, terms.Adaptive(), c.protected || c.deferrable)
			assert.Assert(t, !terms.Protects(&bluebelldoor.RouteSpec{Name: "short"}) && !terms.Defers(&bluebelldoor.RouteSpec{Name: "short"}))
		})
	}
}

// TestServiceTermsNeither guards against routes that are served as urgent ones because another
// route of their service is deferrable: they rank beside that one.
func TestServiceTermsNeither(t *testing.T) {
	shares := []bluebelldoor.ServiceShare{{Service: "engines", Weight: 1}}
	route := func(name string, priority int, objective time.Duration) bluebelldoor.RouteSpec {
		return bluebelldoor.RouteSpec{Name: name, Host: "h", Prefix: "/" + name + "/", Priority: priority, LatencyObjective: objective, Generates: true, Shares: shares}
	}
	terms := bluebelldoor.NewRouting(bluebelldoor.RoutingSpec{Routes: []bluebelldoor.RouteSpec{
		route("urgent", 0, 1800*time.Millisecond), route("deferrable", 1, 10*time.Second),
		route("beside", 1, 1800*time.Millisecond), route("none", 0, 0), route("between", 0, 6*time.Second),
	}}).Terms("engines")
	for name, want := range map[string][2]bool{ // urgent, deferrable
		"urgent": {true, false}, "deferrable": {false, true}, "beside": {false, false}, "none": {false, false}, "between": {false, false},
	} {
		r := &bluebelldoor.RouteSpec{Name: name}
		assert.Equal(t, [2]bool{terms.IsUrgent(r), terms.Defers(r)}, want, name)
	}
}

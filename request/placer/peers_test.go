package placer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/request/placer"
)

// TestPeerChanges checks reports of changed loads only: they add to the peer's
// earlier reports, and are rejected without them.
func TestPeerChanges(t *testing.T) {
	type report struct {
		at       time.Duration
		delta    bool
		loads    []bluebelldoor.TargetLoad
		accepted bool
	}
	both := []bluebelldoor.TargetLoad{{Target: "e1", Requests: 1, Tokens: 10, HeldTokens: 4, PrefillTokens: 2}, {Target: "e2", Requests: 9}}
	more := []bluebelldoor.TargetLoad{{Target: "e1", Requests: 2, Tokens: 30, HeldTokens: 5}}
	other := []bluebelldoor.TargetLoad{{Target: "e2", Requests: 3}}
	none := []bluebelldoor.TargetLoad{{Target: "e1"}}
	for name, c := range map[string]struct {
		reports []report
		want    bluebelldoor.TargetLoad // on e1, at the last report
	}{
		"more on the target": {[]report{{0, false, both, true}, {1, true, more, true}}, more[0]},
		"on another target":  {[]report{{0, false, both, true}, {1, true, other, true}}, both[0]},
		"none left":          {[]report{{0, false, both, true}, {1, true, none, true}}, none[0]},
		"no change":          {[]report{{0, false, both, true}, {1, true, nil, true}}, both[0]},
		"after the expiry":   {[]report{{0, false, both, true}, {4, true, more, false}}, none[0]},
		"renewed by changes": {[]report{{0, false, both, true}, {2, true, other, true}, {4, true, other, true}}, both[0]},
		"no earlier report":  {[]report{{0, true, more, false}}, none[0]},
		"all after a change": {[]report{{0, false, both, true}, {1, true, more, true}, {2, false, both, true}}, both[0]},
	} {
		t.Run(name, func(t *testing.T) {
			p := placer.NewPeerLoads()
			now := time.Duration(0)
			for _, r := range c.reports {
				now = r.at * time.Second
				accepted := true
				if r.delta {
					accepted = p.Update("a", r.loads, now)
				} else {
					p.Replace("a", r.loads, now)
				}
				assert.Equal(t, accepted, r.accepted)
			}
			assert.Equal(t, p.TargetLoad("e1", now), c.want)
		})
	}
}

// TestPeerLoads checks that the loads that peers report on a target are added up
// until they expire.
func TestPeerLoads(t *testing.T) {
	type report struct {
		at    time.Duration
		from  string
		loads []bluebelldoor.TargetLoad
	}
	one := []bluebelldoor.TargetLoad{{Target: "e1", Requests: 1, Tokens: 10, HeldTokens: 4, PrefillTokens: 2}}
	two := []bluebelldoor.TargetLoad{{Target: "e1", Requests: 2, Tokens: 30, HeldTokens: 5}, {Target: "e2", Requests: 9}}
	for name, c := range map[string]struct {
		reports []report
		at      time.Duration
		want    bluebelldoor.TargetLoad
		known   []string
	}{
		"no report":           {nil, 0, bluebelldoor.TargetLoad{}, nil},
		"one":                 {[]report{{0, "a", one}}, time.Second, bluebelldoor.TargetLoad{Requests: 1, Tokens: 10, HeldTokens: 4, PrefillTokens: 2}, []string{"a"}},
		"two":                 {[]report{{0, "a", one}, {0, "b", two}}, time.Second, bluebelldoor.TargetLoad{Requests: 3, Tokens: 40, HeldTokens: 9, PrefillTokens: 2}, []string{"a", "b"}},
		"the newest replaces": {[]report{{0, "a", two}, {time.Second, "a", one}}, time.Second, bluebelldoor.TargetLoad{Requests: 1, Tokens: 10, HeldTokens: 4, PrefillTokens: 2}, []string{"a"}},
		"no load any more":    {[]report{{0, "a", one}, {time.Second, "a", nil}}, time.Second, bluebelldoor.TargetLoad{}, []string{"a"}},
		"one expired":         {[]report{{0, "a", two}, {2 * time.Second, "b", one}}, 4 * time.Second, bluebelldoor.TargetLoad{Requests: 1, Tokens: 10, HeldTokens: 4, PrefillTokens: 2}, []string{"b"}},
		"all expired":         {[]report{{0, "a", two}, {2 * time.Second, "b", one}}, time.Minute, bluebelldoor.TargetLoad{}, nil},
		"again after expiry":  {[]report{{0, "a", two}, {time.Minute, "a", one}}, time.Minute, bluebelldoor.TargetLoad{Requests: 1, Tokens: 10, HeldTokens: 4, PrefillTokens: 2}, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			p := placer.NewPeerLoads()
			for _, r := range c.reports {
				p.HasLoads("a", r.at)
				p.Replace(r.from, r.loads, r.at)
			}
			var known []string
			for _, name := range []string{"a", "b"} {
				if p.HasLoads(name, c.at) {
					known = append(known, name)
				}
			}
			c.want.Target = "e1"
			assert.Equal(t, p.TargetLoad("e1", c.at), c.want)
			assert.DeepEqual(t, known, c.known)
		})
	}
}

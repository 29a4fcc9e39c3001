package placer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/request/placer"
)

// TestPeerChanges lets a peer tell what has changed only: the sums are those of all
// that it has told. Without what it told before, its changes are of no use.
func TestPeerChanges(t *testing.T) {
	type telling struct {
		at      time.Duration
		changes bool
		loads   []bluebelldoor.TargetLoad
		taken   bool
	}
	both := []bluebelldoor.TargetLoad{{Target: "e1", Requests: 1, Tokens: 10, Held: 4, Prefill: 2}, {Target: "e2", Requests: 9}}
	more := []bluebelldoor.TargetLoad{{Target: "e1", Requests: 2, Tokens: 30, Held: 5}}
	elsewhere := []bluebelldoor.TargetLoad{{Target: "e2", Requests: 3}}
	nothing := []bluebelldoor.TargetLoad{{Target: "e1"}}
	for name, c := range map[string]struct {
		tellings []telling
		want     bluebelldoor.TargetLoad // on e1, at the last telling
	}{
		"more":                   {[]telling{{0, false, both, true}, {1, true, more, true}}, more[0]},
		"elsewhere":              {[]telling{{0, false, both, true}, {1, true, elsewhere, true}}, both[0]},
		"nothing left":           {[]telling{{0, false, both, true}, {1, true, nothing, true}}, nothing[0]},
		"no change":              {[]telling{{0, false, both, true}, {1, true, nil, true}}, both[0]},
		"after a silence":        {[]telling{{0, false, both, true}, {4, true, more, false}}, nothing[0]},
		"kept alive by changes":  {[]telling{{0, false, both, true}, {2, true, elsewhere, true}, {4, true, elsewhere, true}}, both[0]},
		"nothing before":         {[]telling{{0, true, more, false}}, nothing[0]},
		"all again after change": {[]telling{{0, false, both, true}, {1, true, more, true}, {2, false, both, true}}, both[0]},
	} {
		t.Run(name, func(t *testing.T) {
			p := placer.NewPeerLoads()
			now := time.Duration(0)
			for _, telling := range c.tellings {
				now = telling.at * time.Second
				taken := true
				if telling.changes {
					taken = p.Change("a", telling.loads, now)
				} else {
					p.Hear("a", telling.loads, now)
				}
				assert.Equal(t, taken, telling.taken)
			}
			assert.Equal(t, p.On("e1", now), c.want)
		})
	}
}

// TestPeers adds up what peers tell of a target, until they have been silent for
// too long.
func TestPeerLoads(t *testing.T) {
	type telling struct {
		at    time.Duration
		from  string
		loads []bluebelldoor.TargetLoad
	}
	one := []bluebelldoor.TargetLoad{{Target: "e1", Requests: 1, Tokens: 10, Held: 4, Prefill: 2}}
	two := []bluebelldoor.TargetLoad{{Target: "e1", Requests: 2, Tokens: 30, Held: 5}, {Target: "e2", Requests: 9}}
	for name, c := range map[string]struct {
		tellings []telling
		at       time.Duration
		want     bluebelldoor.TargetLoad
		told     []string
	}{
		"nobody":               {nil, 0, bluebelldoor.TargetLoad{}, nil},
		"one":                  {[]telling{{0, "a", one}}, time.Second, bluebelldoor.TargetLoad{Requests: 1, Tokens: 10, Held: 4, Prefill: 2}, []string{"a"}},
		"two":                  {[]telling{{0, "a", one}, {0, "b", two}}, time.Second, bluebelldoor.TargetLoad{Requests: 3, Tokens: 40, Held: 9, Prefill: 2}, []string{"a", "b"}},
		"the newest replaces":  {[]telling{{0, "a", two}, {time.Second, "a", one}}, time.Second, bluebelldoor.TargetLoad{Requests: 1, Tokens: 10, Held: 4, Prefill: 2}, []string{"a"}},
		"nothing any more":     {[]telling{{0, "a", one}, {time.Second, "a", nil}}, time.Second, bluebelldoor.TargetLoad{}, []string{"a"}},
		"silent for too long":  {[]telling{{0, "a", two}, {2 * time.Second, "b", one}}, 4 * time.Second, bluebelldoor.TargetLoad{Requests: 1, Tokens: 10, Held: 4, Prefill: 2}, []string{"b"}},
		"all silent":           {[]telling{{0, "a", two}, {2 * time.Second, "b", one}}, time.Minute, bluebelldoor.TargetLoad{}, nil},
		"back after a silence": {[]telling{{0, "a", two}, {time.Minute, "a", one}}, time.Minute, bluebelldoor.TargetLoad{Requests: 1, Tokens: 10, Held: 4, Prefill: 2}, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			p := placer.NewPeerLoads()
			for _, telling := range c.tellings {
				p.Told("a", telling.at)
				p.Hear(telling.from, telling.loads, telling.at)
			}
			var told []string
			for _, name := range []string{"a", "b"} {
				if p.Told(name, c.at) {
					told = append(told, name)
				}
			}
			c.want.Target = "e1"
			assert.Equal(t, p.On("e1", c.at), c.want)
			assert.DeepEqual(t, told, c.told)
		})
	}
}

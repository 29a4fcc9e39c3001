package ramper_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/request/ramper"
)

const (
	slots    = 24
	base     = 2
	expected = 200 * time.Millisecond
)

// vm is a VM with a Ramper in virtual time. It hears one peer, which reports peerCredit.
type vm struct {
	*ramper.Ramper
	now        time.Duration
	started    int64 // of the target
	peerCredit int
	isolated   bool
}

func (v *vm) fleet() ramper.Fleet {
	return ramper.Fleet{HearsPeers: !v.isolated, Credit: v.peerCredit, Share: 0.5}
}

// observe shows the VM the target "t" and ten others.
func (v *vm) observe(cold bool) {
	targets := []ramper.Target{{TargetIncarnation: v.target(), Slots: slots, Cold: cold}}
	for i := range 10 {
		targets = append(targets, ramper.Target{TargetIncarnation: bluebelldoor.TargetIncarnation{ID: fmt.Sprint(i)}, Slots: slots})
	}
	v.Observe(map[string][]ramper.Target{"s": targets}, 0.5, v.now)
}

func (v *vm) target() bluebelldoor.TargetIncarnation {
	return bluebelldoor.TargetIncarnation{ID: "t", StartedAt: v.started}
}

// answers records n answers one after the other that each take this long.
func (v *vm) answers(n int, took time.Duration) {
	for range n {
		a := ramper.Attempt{Target: v.target(), SentAt: v.now, Expected: expected}
		v.now += took
		v.RecordAnswer(a, v.fleet(), v.now)
	}
}

// errors records n errors one after the other.
func (v *vm) errors(n int) {
	for range n {
		a := ramper.Attempt{Target: v.target(), SentAt: v.now, Expected: expected}
		v.now += time.Millisecond
		v.RecordTrouble(a, "status", v.fleet(), v.now)
	}
}

// othersAnswer makes the norm of the service's other targets.
func (v *vm) othersAnswer(took time.Duration) {
	for i := range 10 {
		a := ramper.Attempt{Target: bluebelldoor.TargetIncarnation{ID: fmt.Sprint(i)}, SentAt: v.now, Expected: expected}
		v.RecordAnswer(a, v.fleet(), v.now+took)
	}
}

func (v *vm) renew() { v.now, v.started = v.now+time.Minute, v.started+1 }

// TestWindow guards against windows that grow without answers, that don't shrink at
// trouble, or shrink for what isn't trouble. The target has just started.
func TestWindow(t *testing.T) {
	for name, c := range map[string]struct {
		events func(v *vm)
		window int // 0 if the target is not in slow start
		own    int
	}{
		"no answers, for an hour":          {func(v *vm) { v.now += time.Hour }, base, 1},
		"good answers":                     {func(v *vm) { v.answers(5, expected) }, base + 5, 1 + 5},
		"credits of peers":                 {func(v *vm) { v.peerCredit = 7 }, base + 7, 1},
		"no peers":                         {func(v *vm) { v.isolated = true; v.answers(2, expected) }, 1 + 2, 1 + 2},
		"as many as slots":                 {func(v *vm) { v.answers(slots-base, expected) }, 0, 0},
		"as many as slots, with peers":     {func(v *vm) { v.peerCredit = 18; v.answers(4, expected) }, 0, 0},
		"one error":                        {func(v *vm) { v.answers(8, expected); v.errors(1) }, base + 4, 1 + 4},
		"fast errors":                      {func(v *vm) { v.answers(20, expected); v.errors(10) }, base, 1},
		"errors after the end":             {func(v *vm) { v.answers(slots, expected); v.errors(1) }, base + slots/2, 1 + slots/2},
		"fails again after it recovered":   {func(v *vm) { v.answers(30, expected); v.errors(9); v.answers(30, expected); v.errors(9) }, base, 1},
		"recovers":                         {func(v *vm) { v.answers(30, expected); v.errors(9); v.answers(30, expected) }, 0, 0},
		"trouble of this VM alone":         {func(v *vm) { v.answers(30, expected); v.peerCredit = 30; v.errors(9) }, 0, 0},
		"half speed":                       {func(v *vm) { v.othersAnswer(expected); v.answers(5, 2*expected) }, base + 5, 1 + 5},
		"much slower than others":          {func(v *vm) { v.othersAnswer(expected); v.answers(8, expected); v.answers(1, 10*expected) }, base + 4, 1 + 4},
		"slower than others":               {func(v *vm) { v.othersAnswer(expected); v.answers(8, expected); v.answers(2, 4*expected) }, base + 8, 1 + 8},
		"as slow as all":                   {func(v *vm) { v.othersAnswer(10 * expected); v.answers(8, 10*expected) }, base + 8, 1 + 8},
		"slow, nothing to compare with":    {func(v *vm) { v.answers(8, expected); v.answers(5, 10*expected) }, base + 8, 1 + 8},
		"answer of an earlier incarnation": {func(v *vm) { v.answers(8, expected); v.renew(); v.observe(false); v.started--; v.answers(8, expected) }, base, 1},
		"one fault resets many requests": {func(v *vm) {
			v.answers(8, expected)
			for range 8 {
				v.RecordTrouble(ramper.Attempt{Target: v.target(), SentAt: v.now - time.Millisecond}, "connection", v.fleet(), v.now)
			}
		}, base + 4, 1 + 4},
		"time-out": {func(v *vm) {
			v.answers(8, expected)
			v.RecordUnanswered(ramper.Attempt{Target: v.target(), SentAt: v.now, Expected: expected}, true, v.fleet(), v.now+10*expected)
		}, base + 4, 1 + 4},
		"callers leave soon": {func(v *vm) {
			v.othersAnswer(expected)
			v.answers(8, expected)
			v.RecordUnanswered(ramper.Attempt{Target: v.target(), SentAt: v.now, Expected: expected}, false, v.fleet(), v.now+expected)
		}, base + 8, 1 + 8},
		"removed": {func(v *vm) { v.Observe(map[string][]ramper.Target{"s": nil}, 0.5, v.now) }, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			v := &vm{Ramper: ramper.New()}
			v.observe(true)
			c.events(v)
			got, inSlowStart := v.Limits("t", v.fleet(), v.now)
			assert.Equal(t, inSlowStart, c.window > 0)
			assert.Equal(t, got, ramper.Limits{Window: c.window, Own: c.own})
		})
	}
}

// TestNew guards against a VM that takes all targets for new because it has just started
// itself, and against one that takes none for new.
func TestNew(t *testing.T) {
	for name, c := range map[string]struct {
		events  func(v *vm)
		want    bool
		changes int
	}{
		"the VM starts":                 {func(v *vm) { v.observe(false) }, false, 0},
		"the VM starts, the target too": {func(v *vm) { v.observe(true) }, true, 1},
		"the view arrives in parts": {func(v *vm) {
			v.Observe(map[string][]ramper.Target{"s": {{Slots: 1}}}, 1, 0)
			v.now = time.Second
			v.observe(false)
		}, false, 0},
		"the target starts later": {func(v *vm) {
			v.Observe(map[string][]ramper.Target{"s": {{Slots: 1}}}, 1, 0)
			v.now = time.Minute
			v.observe(false)
		}, true, 11},
		"the target starts anew":     {func(v *vm) { v.observe(false); v.renew(); v.observe(false) }, true, 1},
		"the VM goes on":             {func(v *vm) { v.observe(false); v.now = time.Minute; v.observe(false) }, false, 0},
		"service no longer adaptive": {func(v *vm) { v.observe(true); v.Observe(nil, 1, v.now) }, false, 1},
		"starts anew, has no slots any more": {func(v *vm) {
			v.observe(true)
			v.Observe(map[string][]ramper.Target{"s": {{TargetIncarnation: bluebelldoor.TargetIncarnation{ID: "t", StartedAt: 9}, Cold: true}}}, 1, 0)
		}, false, 1},
		"removed, and back as it was": {func(v *vm) {
			v.observe(false)
			v.Observe(map[string][]ramper.Target{"s": nil}, 1, 0)
			v.now = time.Minute
			v.observe(false)
		}, true, 11},
		"the VM starts, and meets an error":   {func(v *vm) { v.observe(false); v.now = time.Minute; v.errors(1) }, true, 1},
		"an error, others vouch for a target": {func(v *vm) { v.observe(false); v.now, v.peerCredit = time.Minute, slots; v.errors(1) }, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			v := &vm{Ramper: ramper.New()}
			c.events(v)
			_, inSlowStart := v.Limits("t", v.fleet(), v.now)
			assert.Equal(t, inSlowStart, c.want)
			assert.Equal(t, len(v.TakeChanges()), c.changes)
		})
	}
}

package registrar_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/registrar"
)

// TestSaysThatItLeaves checks that a target's own leave notice closes it, and that one
// of an earlier incarnation does not.
func TestSaysThatItLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		store.put("t/x", "ready/4")
		v := start(t, store, true)
		time.Sleep(10 * time.Millisecond)
		v.MarkLeaving(t.Context(), &bluebelldoor.Instance{ID: "x", StartedAt: 3})
		assert.Assert(t, v.open("x"), "closed by the notice of an earlier incarnation")
		v.MarkLeaving(t.Context(), &bluebelldoor.Instance{ID: "x", StartedAt: 4})
		assert.Assert(t, !v.open("x"))
		assert.DeepEqual(t, v.closedTargets(), []string{"x/4"})
	})
}

// TestLeft checks that an incarnation that has announced that it is leaving stays
// closed whatever its record says later, and that a new incarnation is open.
func TestLeft(t *testing.T) {
	for name, c := range map[string]struct {
		values []string // of t/x, after the target's leave notice
		open   bool
	}{
		"no new record":            {nil, false},
		"ready":                    {[]string{"ready/1"}, false},
		"removed, then ready":      {[]string{"", "ready/1"}, false},
		"undecodable, then ready":  {[]string{"?", "ready/1"}, false},
		"new incarnation":          {[]string{"ready/2"}, true},
		"removed, new incarnation": {[]string{"", "ready/2"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newCatalogue()
				v := start(t, store, true)
				store.put("t/x", "ready/1")
				synctest.Wait()
				v.MarkLeaving(t.Context(), v.View().Target("x").Instance)
				assert.Assert(t, !v.open("x"), "open when the call returns")
				for _, value := range c.values {
					store.put("t/x", value)
					synctest.Wait()
				}
				assert.Equal(t, v.open("x"), c.open)
				assert.DeepEqual(t, v.closedTargets(), []string{"x/1"})
			})
		})
	}
}

// TestLeftBeforeEntry checks that a leave notice counts if it arrives before the
// target's record.
func TestLeftBeforeEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		v := start(t, store, true)
		v.MarkLeaving(t.Context(), &bluebelldoor.Instance{ID: "x", StartedAt: 1})
		store.put("t/x", "ready/1")
		synctest.Wait()
		assert.Assert(t, !v.open("x"))
	})
}

// TestPeersAreToldOfLeaving checks that peers receive a leave notice for a limited
// time: two peers must not keep sending it back and forth forever.
func TestPeersAreToldOfLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		store.put("t/x", "ready/1")
		first, second := start(t, store, true), start(t, store, true)
		synctest.Wait()
		first.MarkLeaving(t.Context(), first.View().Target("x").Instance)
		delta := first.Delta(t.Context(), second.Position(), false, &bluebelldoor.RecordDelta{})
		assert.DeepEqual(t, delta.Leaving, []bluebelldoor.TargetIncarnation{{ID: "x", StartedAt: 1}})
		second.ApplyDelta(t.Context(), delta, second.clock.Now(), false)
		assert.Assert(t, !second.open("x"))
		assert.DeepEqual(t, second.closedTargets(), []string{"x/1"})
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			first.ApplyDelta(t.Context(), second.Delta(t.Context(), first.Position(), false, &bluebelldoor.RecordDelta{}), first.clock.Now(), false)
			second.ApplyDelta(t.Context(), first.Delta(t.Context(), second.Position(), false, &bluebelldoor.RecordDelta{}), second.clock.Now(), false)
		}
		assert.Equal(t, len(first.Delta(t.Context(), first.Position(), false, &bluebelldoor.RecordDelta{}).Leaving), 0)
		assert.Equal(t, len(second.Delta(t.Context(), second.Position(), false, &bluebelldoor.RecordDelta{}).Leaving), 0)
		assert.Assert(t, !first.open("x") && !second.open("x"))
	})
}

// TestLeavesAfterStop guards against MarkLeaving blocking on a stopped registrar.
func TestLeavesAfterStop(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		v := &vm{clock: &fakeClock{start: time.Now()}}
		v.Registrar = registrar.New(newCatalogue(), v.clock, registrar.Role{
			ReadsForPeers: func() bool { return true }, Standby: func() bool { return false }, Changed: func() {},
		}, hclog.NewNullLogger())
		v.Start()()
		v.MarkLeaving(context.Background(), &bluebelldoor.Instance{ID: "x"})
	})
}

// TestFinishes checks that a leaving target may continue a stream for a limited time,
// counted from when other VMs may have learnt of it from the platform, and not at all
// if its record is removed or its data centre is out of service.
func TestFinishes(t *testing.T) {
	const within = 1600 * time.Millisecond
	for name, c := range map[string]struct {
		change func(store *catalogue, v *vm)
		after  time.Duration
		want   bool
	}{
		"open":                 {func(*catalogue, *vm) {}, time.Hour, true},
		"leaving":              {func(s *catalogue, _ *vm) { s.put("t/x", "draining/1") }, 500 * time.Millisecond, true},
		"leaving for too long": {func(s *catalogue, _ *vm) { s.put("t/x", "draining/1") }, 2 * time.Second, false},
		"leave notice":         {func(_ *catalogue, v *vm) { v.MarkLeaving(context.Background(), v.View().Target("x").Instance) }, 500 * time.Millisecond, true},
		"old leave notice":     {func(_ *catalogue, v *vm) { v.MarkLeaving(context.Background(), v.View().Target("x").Instance) }, 2 * time.Second, false},
		"old notice, ready": {func(s *catalogue, v *vm) {
			v.MarkLeaving(context.Background(), v.View().Target("x").Instance)
			s.put("t/x", "ready/1")
		}, 2 * time.Second, false},
		"record removed": {func(s *catalogue, _ *vm) { s.put("t/x", "") }, 0, false},
		"restarted":      {func(s *catalogue, _ *vm) { s.put("t/x", "ready/2") }, 0, false},
		"out of service": {func(s *catalogue, _ *vm) { s.put("out/dc", "out") }, 0, false},
		"leaving after an outage": {func(s *catalogue, _ *vm) {
			s.fail(errors.New("down"))
			time.Sleep(1500 * time.Millisecond)
			s.put("t/x", "draining/1")
			s.fail(nil)
			time.Sleep(500 * time.Millisecond)
		}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newCatalogue()
				v := start(t, store, true)
				store.put("t/x", "ready/1")
				synctest.Wait()
				held := v.View().Target("x").Instance
				c.change(store, v)
				synctest.Wait()
				time.Sleep(c.after)
				assert.Equal(t, v.View().AcceptsContinuation(held, v.clock.Now(), within), c.want)
			})
		})
	}
}

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

// TestSaysThatItLeaves takes a target's own word while the platform is silent.
func TestSaysThatItLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		store.put("t/x", "ready/4")
		v := start(t, store, true)
		time.Sleep(10 * time.Millisecond)
		v.Leaves(t.Context(), &bluebelldoor.Instance{ID: "x", Born: 3})
		assert.Assert(t, v.open("x"), "an earlier start's word counts")
		v.Leaves(t.Context(), &bluebelldoor.Instance{ID: "x", Born: 4})
		assert.Assert(t, !v.open("x"))
		assert.DeepEqual(t, v.left(), []string{"x/4"})
	})
}

// TestLeft keeps the start of a target out that has said itself that it leaves,
// whatever the platform says of it then. Another start under its name is open.
func TestLeft(t *testing.T) {
	for name, c := range map[string]struct {
		values []string // of t/x, after the target's own word
		open   bool
	}{
		"nothing new":               {nil, false},
		"says ready":                {[]string{"ready/1"}, false},
		"is removed, says ready":    {[]string{"", "ready/1"}, false},
		"can't be read, then ready": {[]string{"?", "ready/1"}, false},
		"starts again":              {[]string{"ready/2"}, true},
		"is removed, starts again":  {[]string{"", "ready/2"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newCatalogue()
				v := start(t, store, true)
				store.put("t/x", "ready/1")
				synctest.Wait()
				v.Leaves(t.Context(), v.View().Target("x").Instance)
				assert.Assert(t, !v.open("x"), "open when the call returns")
				for _, value := range c.values {
					store.put("t/x", value)
					synctest.Wait()
				}
				assert.Equal(t, v.open("x"), c.open)
				assert.DeepEqual(t, v.left(), []string{"x/1"})
			})
		})
	}
}

// TestLeftBeforeEntry heeds a target's word that comes before its entry.
func TestLeftBeforeEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		v := start(t, store, true)
		v.Leaves(t.Context(), &bluebelldoor.Instance{ID: "x", Born: 1})
		store.put("t/x", "ready/1")
		synctest.Wait()
		assert.Assert(t, !v.open("x"))
	})
}

// TestPeersAreToldOfLeaving passes a target's word on to peers for a while, not
// from peer to peer without an end.
func TestPeersAreToldOfLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		store.put("t/x", "ready/1")
		one, two := start(t, store, true), start(t, store, true)
		synctest.Wait()
		one.Leaves(t.Context(), one.View().Target("x").Instance)
		told := one.Delta(t.Context(), two.Revision(), false)
		assert.DeepEqual(t, told.Leaving, []bluebelldoor.TargetStart{{ID: "x", Born: 1}})
		two.Receive(t.Context(), told, two.clock.Now(), false)
		assert.Assert(t, !two.open("x"))
		assert.DeepEqual(t, two.left(), []string{"x/1"})
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			one.Receive(t.Context(), two.Delta(t.Context(), one.Revision(), false), one.clock.Now(), false)
			two.Receive(t.Context(), one.Delta(t.Context(), two.Revision(), false), two.clock.Now(), false)
		}
		assert.Equal(t, len(one.Delta(t.Context(), one.Revision(), false).Leaving), 0)
		assert.Equal(t, len(two.Delta(t.Context(), two.Revision(), false).Leaving), 0)
		assert.Assert(t, !one.open("x") && !two.open("x"))
	})
}

// TestLeavesAfterStop does not wait for a registrar that has stopped.
func TestLeavesAfterStop(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		v := &vm{clock: &steady{start: time.Now()}}
		v.Registrar = registrar.New(newCatalogue(), v.clock, registrar.Role{
			Reads: func() bool { return true }, Served: func() bool { return false }, Changed: func() {},
		}, hclog.NewNullLogger())
		v.Start()()
		v.Leaves(context.Background(), &bluebelldoor.Instance{ID: "x"})
	})
}

// TestFinishes lets a target that leaves get the rest of a stream for a while, which
// counts from when the platform may have told others; no longer, and none where its
// start or its data centre is gone.
func TestFinishes(t *testing.T) {
	const within = 1600 * time.Millisecond
	for name, c := range map[string]struct {
		change  func(store *catalogue, v *vm)
		after   time.Duration
		outcome bool
	}{
		"open":                {func(*catalogue, *vm) {}, time.Hour, true},
		"leaves":              {func(s *catalogue, _ *vm) { s.put("t/x", "draining/1") }, 500 * time.Millisecond, true},
		"has been leaving":    {func(s *catalogue, _ *vm) { s.put("t/x", "draining/1") }, 2 * time.Second, false},
		"says that it leaves": {func(_ *catalogue, v *vm) { v.Leaves(context.Background(), v.View().Target("x").Instance) }, 500 * time.Millisecond, true},
		"said that it leaves": {func(_ *catalogue, v *vm) { v.Leaves(context.Background(), v.View().Target("x").Instance) }, 2 * time.Second, false},
		"says so, then ready": {func(s *catalogue, v *vm) {
			v.Leaves(context.Background(), v.View().Target("x").Instance)
			s.put("t/x", "ready/1")
		}, 2 * time.Second, false},
		"gone":           {func(s *catalogue, _ *vm) { s.put("t/x", "") }, 0, false},
		"starts again":   {func(s *catalogue, _ *vm) { s.put("t/x", "ready/2") }, 0, false},
		"out of service": {func(s *catalogue, _ *vm) { s.put("out/dc", "out") }, 0, false},
		"leaves after a silence": {func(s *catalogue, _ *vm) {
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
				assert.Equal(t, v.View().Finishes(held, v.clock.Now(), within), c.outcome)
			})
		})
	}
}

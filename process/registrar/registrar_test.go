package registrar_test

import (
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/registrar"
)

func TestTargets(t *testing.T) {
	for name, c := range map[string]struct {
		values []string // successive values of t/x; "" removes it
		open   bool
		closed []string
	}{
		"ready":                   {[]string{"ready"}, true, nil},
		"draining":                {[]string{"ready", "draining"}, false, []string{"x/0"}},
		"draining from the start": {[]string{"draining"}, false, nil},
		"removed":                 {[]string{"ready", ""}, false, []string{"x/0"}},
		"draining, removed":       {[]string{"ready", "draining", ""}, false, []string{"x/0"}},
		"removed, restarted":      {[]string{"ready", "", "ready/1"}, true, []string{"x/0"}},
		"restarted":               {[]string{"ready/1", "ready/2"}, true, []string{"x/1"}},
		"draining, then ready":    {[]string{"ready/1", "draining/1", "ready/1"}, false, []string{"x/1"}},
		"draining, restarted":     {[]string{"ready/1", "draining/1", "ready/2"}, true, []string{"x/1"}},
		"undecodable":             {[]string{"ready", "?"}, false, []string{"x/0"}},
		"undecodable, then ready": {[]string{"ready", "?", "ready"}, true, []string{"x/0"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newCatalogue()
				v := start(t, store, true)
				for _, value := range c.values {
					store.put("t/x", value)
					synctest.Wait()
				}
				assert.Equal(t, v.open("x"), c.open)
				assert.DeepEqual(t, v.closedTargets(), c.closed)
			})
		})
	}
}

// TestOpen checks that an earlier incarnation of a target, or one at another address,
// is not open.
func TestOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		v := start(t, store, true)
		store.put("t/x", "ready/1")
		synctest.Wait()
		held := v.View().Target("x").Instance
		assert.Assert(t, v.View().AcceptsNewWork(held))
		store.put("t/x", "ready/2")
		synctest.Wait()
		assert.Assert(t, v.open("x"))
		assert.Assert(t, !v.View().AcceptsNewWork(held))
		moved := *v.View().Target("x").Instance
		moved.Address = "127.0.0.1:1"
		assert.Assert(t, !v.View().AcceptsNewWork(&moved))
	})
}

// TestVersions checks that the routing in force never reverts to a lower version,
// whatever the platform publishes.
func TestVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		v := start(t, store, true)
		highest := uint64(0)
		for _, value := range []string{"v3", "v7", "v5", "vx", "v8", "", "v2"} {
			store.put("config", value)
			synctest.Wait()
			assert.Assert(t, v.View().Routing().Version() >= highest)
			highest = v.View().Routing().Version()
		}
		assert.Equal(t, highest, uint64(8))
	})
}

func TestOutOfService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		v := start(t, store, true)
		store.put("t/x", "ready")
		store.put("out/dc", "out")
		synctest.Wait()
		assert.Assert(t, !v.open("x"))
		assert.Equal(t, len(v.closedTargets()), 0)
		store.put("out/dc", "")
		synctest.Wait()
		assert.Assert(t, v.open("x"))
	})
}

// TestHistoryLost checks that everything is read again when the platform has lost its
// history, and that targets removed meanwhile are closed.
func TestHistoryLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		v := start(t, store, true)
		store.put("t/x", "ready")
		store.put("t/y", "ready")
		synctest.Wait()
		store.mu.Lock()
		store.historyLost = true
		delete(store.records, "t/x")
		store.revision++
		close(store.changed)
		store.changed = make(chan struct{})
		store.mu.Unlock()
		time.Sleep(time.Second)
		assert.Assert(t, !v.open("x"))
		assert.Assert(t, v.open("y"))
		assert.DeepEqual(t, v.closedTargets(), []string{"x/0"})
	})
}

// TestLapse checks that targets whose records have disappeared in an outage are kept
// until the time to renew them is over.
func TestLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		v := start(t, store, true)
		store.put("t/x", "ready")
		store.put("t/y", "ready")
		synctest.Wait()
		store.fail(errors.New("down"))
		time.Sleep(4 * time.Second)
		store.put("t/x", "")
		store.put("t/y", "")
		store.fail(nil)
		time.Sleep(time.Second)
		assert.Assert(t, v.open("x") && v.open("y"), "removed at once after an outage")
		assert.Assert(t, v.View().Target("x").Lapsed)
		store.put("t/x", "ready")
		time.Sleep(3 * time.Second)
		assert.Assert(t, v.open("x"))
		assert.Assert(t, !v.open("y"), "never removed")
		assert.DeepEqual(t, v.closedTargets(), []string{"y/0"})
	})
}

// TestQuietPeers guards against taking a quiet platform for an outage on a VM that
// relies on its peers: if a peer has confirmed the state meanwhile, a target whose
// record disappears is removed at once, and not kept as lapsed.
func TestQuietPeers(t *testing.T) {
	const round = 500 * time.Millisecond
	for name, c := range map[string]struct {
		quiet  time.Duration // the peer confirms the state held
		silent time.Duration // after that, it sends nothing
		open   bool
	}{
		"change at once":         {0, 0, false},
		"quiet for five seconds": {5 * time.Second, 0, false},
		"an outage":              {5 * time.Second, 4 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newCatalogue()
				store.put("t/x", "ready")
				v := start(t, store, false)
				synctest.Wait()
				assert.Assert(t, v.open("x"))
				store.fail(errors.New("only the peer reads"))
				for range c.quiet / round {
					time.Sleep(round)
					v.ApplyDelta(t.Context(), bluebelldoor.RecordDelta{Base: 2, Revision: 2, EvidenceAgeMs: 100}, v.clock.Now(), true)
				}
				time.Sleep(c.silent)
				removal := bluebelldoor.Record{Key: "t/x", Revision: 3, Removed: true}
				v.ApplyDelta(t.Context(), bluebelldoor.RecordDelta{Base: 2, Revision: 3, Records: []bluebelldoor.Record{removal}, EvidenceAgeMs: 100}, v.clock.Now(), true)
				assert.Equal(t, v.open("x"), c.open)
			})
		})
	}
}

// TestEvidence checks that the age of the evidence counts from the sending of the
// request, includes a suspension of the VM, and grows while the platform does not answer.
func TestEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		v := start(t, store, true)
		_, proved := v.EvidenceAge()
		assert.Assert(t, !proved)
		time.Sleep(5 * time.Second)
		age, proved := v.EvidenceAge()
		assert.Assert(t, proved && age < 2*time.Second, "%s", age)
		v.clock.skipped.Add(int64(7 * time.Second))
		age, _ = v.EvidenceAge()
		assert.Assert(t, age > 7*time.Second, "suspension not counted: %s", age)
		store.fail(errors.New("down"))
		before := age
		time.Sleep(3 * time.Second)
		age, _ = v.EvidenceAge()
		assert.Assert(t, age >= 3*time.Second && age < before+4*time.Second, "%s", age)
	})
}

// TestEvidenceFor checks that a VM that reads from an unchanging platform keeps its
// evidence young enough for the checks of API keys, with a margin for the way to peers.
func TestEvidenceFor(t *testing.T) {
	for name, c := range map[string]struct{ evidenceFor, maxAge time.Duration }{
		"seconds":        {3750 * time.Millisecond, 1400 * time.Millisecond},
		"about a second": {1200 * time.Millisecond, 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := start(t, newCatalogue(), true, registrar.WithEvidenceValidity(c.evidenceFor))
				synctest.Wait()
				for range 500 {
					time.Sleep(10 * time.Millisecond)
					age, proved := v.EvidenceAge()
					assert.Assert(t, proved && age <= c.maxAge, "%s", age)
				}
			})
		})
	}
}

// TestPeers checks which deltas of a peer a VM applies, and which count as evidence.
func TestPeers(t *testing.T) {
	record := func(key, value string, revision uint64) bluebelldoor.Record {
		return bluebelldoor.Record{Key: key, Value: []byte(value), Revision: revision, Removed: value == ""}
	}
	for name, c := range map[string]struct {
		delta       bluebelldoor.RecordDelta
		isReply     bool
		open        bool // target y, which the delta adds
		hasEvidence bool // the evidence is as old as the peer's
	}{
		"reply":            {bluebelldoor.RecordDelta{Base: 2, Revision: 9, Records: []bluebelldoor.Record{record("t/y", "ready", 9)}, EvidenceAgeMs: 100}, true, true, true},
		"unsolicited":      {bluebelldoor.RecordDelta{Base: 2, Revision: 9, Records: []bluebelldoor.Record{record("t/y", "ready", 9)}, EvidenceAgeMs: 100}, false, true, false},
		"gap before it":    {bluebelldoor.RecordDelta{Base: 5, Revision: 9, Records: []bluebelldoor.Record{record("t/y", "ready", 9)}, EvidenceAgeMs: 100}, true, false, false},
		"full state":       {bluebelldoor.RecordDelta{Revision: 9, Records: []bluebelldoor.Record{record("t/x", "ready", 2), record("t/y", "ready", 9)}, EvidenceAgeMs: 100}, true, true, true},
		"older than held":  {bluebelldoor.RecordDelta{Base: 1, Revision: 1, EvidenceAgeMs: 100}, true, false, false},
		"no evidence":      {bluebelldoor.RecordDelta{Base: 2, Revision: 9, Records: []bluebelldoor.Record{record("t/y", "ready", 9)}, EvidenceAgeMs: -1}, true, true, false},
		"no change, newer": {bluebelldoor.RecordDelta{Base: 2, Revision: 2, EvidenceAgeMs: 100}, true, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newCatalogue()
				store.put("t/x", "ready")
				v := start(t, store, true)
				time.Sleep(10 * time.Millisecond)
				assert.Equal(t, v.Position(), bluebelldoor.Position{Revision: 2})
				store.fail(errors.New("cut off"))
				time.Sleep(5 * time.Second)
				v.ApplyDelta(t.Context(), c.delta, v.clock.Now()-50*time.Millisecond, c.isReply)
				assert.Equal(t, v.open("y"), c.open)
				assert.Assert(t, v.open("x"))
				age, _ := v.EvidenceAge()
				assert.Equal(t, age == 150*time.Millisecond, c.hasEvidence, "%s", age)
			})
		})
	}
}

// TestNewsBetweenPeers checks that a VM that does not read the platform follows one
// that does through deltas, removals included.
func TestNewsBetweenPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		reader, follower := start(t, store, true), start(t, newCatalogue(), false)
		for i := range 40 {
			store.put(fmt.Sprintf("t/%d", i%7), []string{"ready", "draining", ""}[i%3])
			synctest.Wait()
			askedAt := follower.clock.Now()
			follower.ApplyDelta(t.Context(), reader.Delta(t.Context(), follower.Position(), false, &bluebelldoor.RecordDelta{WantFull: true}), askedAt, true)
			for n := range 7 {
				id := strconv.Itoa(n)
				assert.Equal(t, reader.open(id), follower.open(id), "step %d, target %s", i, id)
			}
		}
	})
}

// TestReadsAlone checks that a VM reads the platform itself only while its peers send
// no evidence.
func TestReadsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		v := start(t, store, false)
		time.Sleep(10 * time.Millisecond)
		calls := func() int {
			store.mu.Lock()
			defer store.mu.Unlock()
			return store.calls
		}
		first := calls()
		for range 20 {
			time.Sleep(250 * time.Millisecond)
			v.ApplyDelta(t.Context(), bluebelldoor.RecordDelta{Base: 1, Revision: 1, EvidenceAgeMs: 300}, v.clock.Now(), true)
		}
		assert.Equal(t, calls(), first)
		time.Sleep(3 * time.Second)
		assert.Assert(t, calls() > first)
	})
}

// TestWhole checks that the full state is sent only to a peer that requests it, and
// that a VM that cannot read the platform requests it, though not right after its start.
func TestWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		store.put("t/x", "ready")
		down := newCatalogue()
		down.fail(errors.New("down"))
		reader, follower := start(t, store, true), start(t, down, false)
		time.Sleep(100 * time.Millisecond)
		exchange := func() bluebelldoor.RecordDelta {
			request := follower.Delta(t.Context(), bluebelldoor.Position{}, false, nil)
			reply := reader.Delta(t.Context(), request.Position(), false, &request)
			follower.ApplyDelta(t.Context(), reply, follower.clock.Now(), true)
			return reply
		}
		assert.Equal(t, len(exchange().Records), 0, "full state sent to a VM that has just started")
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(exchange().Records), 1)
		assert.Assert(t, follower.open("x"))
		assert.Equal(t, len(exchange().Records), 0, "full state sent twice")
	})
}

// TestOlderReply guards against a target that is in use again, for good, because a reply of the
// store that was sent before its removal arrives after a peer has told the removal.
func TestOlderReply(t *testing.T) {
	for name, c := range map[string]struct {
		full  bool // the late reply is a full one, else a watch's
		known bool // the VM had the target in use before
	}{
		"full read of a VM that starts": {true, false},
		"full read after lost history":  {true, true},
		"watch":                         {false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const delay = 1500 * time.Millisecond
				store := newCatalogue()
				store.put("t/x", "ready")
				if !c.full {
					store.put("t/x", "")
				}
				peer := start(t, store, true)
				link := &linkedCatalogue{Catalogue: store}
				if c.full && !c.known {
					link.delay.Store(int64(delay))
				}
				v := start(t, link, true)
				synctest.Wait()
				link.delay.Store(int64(delay))
				switch {
				case !c.full:
					time.Sleep(time.Second)
					store.put("t/x", "ready/2")
				case c.known:
					store.mu.Lock()
					store.historyLost = true
					store.mu.Unlock()
					store.put("t/y", "ready")
					time.Sleep(time.Second)
				}
				time.Sleep(1250 * time.Millisecond)
				store.put("t/x", "")
				time.Sleep(100 * time.Millisecond)
				exchange(t, v, peer)
				link.delay.Store(0)
				time.Sleep(5 * time.Second)
				synctest.Wait()
				assert.Equal(t, v.Position(), peer.Position())
				assert.Assert(t, !v.open("x"), "the target has left and is in use")
			})
		})
	}
}

// TestRemovalsBeforeFullRead guards against DRAIN: a VM that had read everything, at its
// start or after the platform had lost its history, passed changes on without the removals
// before, and targets that had left stayed in use on its peers for good.
func TestRemovalsBeforeFullRead(t *testing.T) {
	for name, c := range map[string]struct {
		startsLate bool // the VM that passes changes on starts after the removal
		through    bool // a third VM stands between it and the one that lags
	}{
		"after its start":            {true, false},
		"after the history lost":     {false, false},
		"after that, through a peer": {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newCatalogue()
				store.put("t/y", "ready")
				var reader *vm
				if !c.startsLate {
					reader = start(t, store, true)
					synctest.Wait()
				}
				between := &linkedCatalogue{Catalogue: store}
				middle := start(t, between, false)
				synctest.Wait()
				between.cut.Store(true)
				store.fail(errors.New("down"))
				time.Sleep(time.Second)
				store.put("t/x", "ready")
				link := &linkedCatalogue{Catalogue: store}
				store.fail(nil)
				follower := start(t, link, false)
				time.Sleep(time.Millisecond)
				assert.Assert(t, follower.open("x"))
				link.cut.Store(true)
				store.mu.Lock()
				store.historyLost = true
				delete(store.records, "t/x")
				store.revision++
				store.mu.Unlock()
				store.put("t/z", "ready")
				if c.startsLate {
					reader = start(t, store, true)
				}
				time.Sleep(time.Second)
				assert.Assert(t, !reader.open("x") && reader.open("z"))
				from := reader
				if c.through {
					exchange(t, middle, reader)
					assert.Assert(t, middle.open("z"))
					from = middle
				}
				for range 3 {
					request := follower.Delta(t.Context(), from.Position(), false, nil)
					reply := from.Delta(t.Context(), request.Position(), false, &request)
					follower.ApplyDelta(t.Context(), reply, follower.clock.Now(), true)
					time.Sleep(time.Second)
				}
				assert.Assert(t, !follower.open("x"))
				assert.Assert(t, follower.open("z"))
			})
		})
	}
}

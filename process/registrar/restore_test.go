package registrar_test

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bluebelldoor"
)

// backup is a copy of a catalogue's records, to which it can return.
type backup struct {
	revision uint64
	records  map[string]bluebelldoor.Record
}

func (c *catalogue) backUp() backup {
	c.mu.Lock()
	defer c.mu.Unlock()
	return backup{c.revision, maps.Clone(c.records)}
}

// restore returns the catalogue to an older copy and begins a new era.
func (c *catalogue) restore(b backup) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision, c.records = b.revision, maps.Clone(b.records)
	c.era++
	close(c.changed)
	c.changed = make(chan struct{})
}

// restoreCase is how a VM meets a catalogue that has returned from an older copy.
type restoreCase struct {
	// catchUp is the number of unrelated changes after the changes of the test and before
	// the VM reads again. If they bring the revision past the one that the VM holds, it
	// gets no ErrHistoryLost.
	catchUp int
	// restores is how often the catalogue returns from the copy.
	restores int
}

var restoreCases = map[string]restoreCase{
	"history lost":                     {catchUp: 0, restores: 1},
	"revisions passed":                 {catchUp: 30, restores: 1},
	"two restores":                     {catchUp: 0, restores: 2},
	"two restores, revisions passed":   {catchUp: 30, restores: 2},
	"revision equal to the one before": {catchUp: 7, restores: 1},
}

// restoreCatalogue restores the catalogue and makes changes while the VM cannot reach it.
func restoreCatalogue(store *catalogue, copied backup, c restoreCase, changes map[string]string) {
	store.fail(errors.New("down"))
	time.Sleep(time.Second)
	for range c.restores {
		store.restore(copied)
		for key, value := range changes {
			store.put(key, value)
		}
		for range c.catchUp {
			store.put("other", "unrelated")
		}
	}
	store.fail(nil)
}

// TestRestoreConfig guards against CONFIG: after the catalogue has returned from an older
// copy, a VM kept the routing of the lost history where a newer one was published.
func TestRestoreConfig(t *testing.T) {
	for name, c := range restoreCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newCatalogue()
				store.put("config", "v5")
				v := start(t, store, true)
				synctest.Wait()
				copied := store.backUp()
				for range 7 {
					store.put("other", "unrelated")
				}
				store.put("config", "v7")
				synctest.Wait()
				assert.Equal(t, v.View().Routing().Version(), uint64(7))
				restoreCatalogue(store, copied, c, map[string]string{"config": "v8"})
				time.Sleep(2 * time.Second)
				assert.Equal(t, v.View().Routing().Version(), uint64(8))
			})
		})
	}
}

// TestRestoreDrain guards against DRAIN: after the catalogue has returned from an older
// copy, targets that drained or left under revisions given out again stayed in use.
func TestRestoreDrain(t *testing.T) {
	for name, c := range restoreCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newCatalogue()
				for _, id := range []string{"t/drains", "t/leaves", "t/stays", "t/lost"} {
					store.put(id, "ready/1")
				}
				store.put("t/lost", "")
				v := start(t, store, true)
				synctest.Wait()
				copied := store.backUp()
				for range 8 {
					store.put("other", "unrelated")
				}
				store.put("t/lost", "ready/1")
				synctest.Wait()
				assert.Assert(t, v.open("drains") && v.open("leaves") && v.open("lost"))
				restoreCatalogue(store, copied, c, map[string]string{"t/drains": "draining/1", "t/leaves": ""})
				for v.Position().Era < store.era {
					time.Sleep(10 * time.Millisecond)
				}
				assert.Assert(t, v.open("lost") && v.View().Target("lost").Lapsed, "a target missing from the copy may register again")
				time.Sleep(3 * time.Second)
				assert.Assert(t, !v.open("drains"), "draining in the catalogue")
				assert.Assert(t, v.open("stays"))
				time.Sleep(2 * time.Second)
				assert.Assert(t, !v.open("leaves"), "removed from the catalogue")
				assert.Assert(t, !v.open("lost"), "not in the catalogue since the restore")
			})
		})
	}
}

// TestRestoreRestart checks that a VM that starts while the store is still behind learns
// from a peer what must not go back: the routing, a target that had left, one that was
// leaving, and a data centre out of service. Until then, nothing proves its view.
func TestRestoreRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		store.era = 1
		store.put("config", "v7")
		for _, key := range []string{"t/left", "t/leaves", "t/stays"} {
			store.put(key, "ready/1")
		}
		peer := start(t, store, true)
		synctest.Wait()
		copied := store.backUp()
		store.put("config", "v8")
		store.put("t/left", "")
		store.put("t/leaves", "draining/1")
		store.put("out/dc", "out")
		synctest.Wait()
		store.restore(copied)
		time.Sleep(2 * time.Second)
		assert.Equal(t, peer.View().Routing().Version(), uint64(8))
		assert.Assert(t, !peer.open("left") && !peer.open("leaves"))
		assert.Assert(t, peer.View().OutOfService("dc"))

		started := start(t, store, false)
		time.Sleep(100 * time.Millisecond)
		_, proven := started.EvidenceAge()
		assert.Assert(t, !proven, "proven before any peer has answered")
		exchange(t, started, peer)
		time.Sleep(time.Second)
		_, proven = started.EvidenceAge()
		assert.Assert(t, proven)
		assert.Equal(t, started.View().Routing().Version(), uint64(8))
		assert.Assert(t, started.View().Target("left") == nil, "the copy still names it")
		assert.Assert(t, started.View().Target("leaves").Leaving)
		assert.Assert(t, started.View().OutOfService("dc"))

		// What the platform still says after retainFor holds.
		for range 12 {
			time.Sleep(time.Second)
			exchange(t, started, peer)
		}
		for name, v := range map[string]*vm{"peer": peer, "started": started} {
			assert.Assert(t, v.open("left"), name)
			assert.Assert(t, !v.open("leaves"), name)
			assert.Assert(t, !v.View().OutOfService("dc"), name)
			assert.Equal(t, v.View().Routing().Version(), uint64(8), name)
		}
	})
}

// exchange is one message from a VM to a peer and its reply.
func exchange(t *testing.T, from, to *vm) {
	t.Helper()
	sentAt := from.clock.Now()
	request := from.Delta(t.Context(), to.Position(), false, nil)
	to.ApplyDelta(t.Context(), request, 0, false)
	from.ApplyDelta(t.Context(), to.Delta(t.Context(), request.Position(), false, &request), sentAt, true)
}

// TestRestoreEvidence checks that nothing proves the view of a VM that holds an earlier era
// than it has heard of, and that answers of an earlier era change nothing.
func TestRestoreEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		store.era = 1
		store.put("t/x", "ready/1")
		link := &linkedCatalogue{Catalogue: store}
		cut, peer := start(t, link, false), start(t, store, true)
		time.Sleep(time.Second)
		link.cut.Store(true)
		copied := store.backUp()
		store.restore(copied)
		store.restore(copied)
		store.put("t/x", "draining/1")
		time.Sleep(2 * time.Second)
		assert.Equal(t, peer.Position(), bluebelldoor.Position{Era: 3, Revision: 3})

		// The peer's delta crosses two eras, so the VM can't use it.
		late := bluebelldoor.RecordDelta{BaseEra: 1, Base: 2, Era: 1, Revision: 2, EvidenceAgeMs: 10}
		delta := peer.Delta(t.Context(), bluebelldoor.Position{Era: 3, Revision: 3}, false, nil)
		cut.ApplyDelta(t.Context(), delta, cut.clock.Now(), true)
		assert.Equal(t, cut.Position(), bluebelldoor.Position{Era: 1, Revision: 2})
		before, _ := cut.EvidenceAge()
		cut.ApplyDelta(t.Context(), late, cut.clock.Now(), true)
		age, _ := cut.EvidenceAge()
		assert.Equal(t, age, before, "proven by a peer that holds an earlier era")

		exchange(t, cut, peer)
		exchange(t, cut, peer)
		assert.Equal(t, cut.Position(), peer.Position())
		assert.Assert(t, !cut.open("x"))
		late.Records = []bluebelldoor.Record{{Key: "t/x", Era: 1, Revision: 9, Value: []byte("ready/1")}}
		late.Revision = 9
		cut.ApplyDelta(t.Context(), late, cut.clock.Now(), true)
		assert.Equal(t, cut.Position(), peer.Position())
		assert.Assert(t, !cut.open("x"))
	})
}

// TestRestoreReads checks that after a restore few VMs read everything: the others follow
// by the changes that a peer tells them. BLUEBELLDOOR_VMS and BLUEBELLDOOR_TARGETS set the
// size.
func TestRestoreReads(t *testing.T) {
	vms, targets := envInt(t, "BLUEBELLDOOR_VMS", 40), envInt(t, "BLUEBELLDOOR_TARGETS", 140)
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		store.era = 1
		for i := range targets {
			store.put(fmt.Sprintf("t/%d", i), "ready/1")
		}
		var all []*vm
		for i := range vms {
			all = append(all, start(t, store, i == 0))
		}
		bytes := 0
		round := func() {
			time.Sleep(250 * time.Millisecond)
			for i, v := range all[1:] {
				to := all[0]
				if i >= 16 {
					to = all[1+i%16]
				}
				request := v.Delta(t.Context(), to.Position(), false, nil)
				sentAt := v.clock.Now()
				reply := to.Delta(t.Context(), request.Position(), false, &request)
				for _, r := range reply.Records {
					bytes += len(r.Key) + len(r.Value) + 24
				}
				v.ApplyDelta(t.Context(), reply, sentAt, true)
			}
		}
		for range 8 {
			round()
		}
		copied := store.backUp()
		for i := range 20 {
			store.put(fmt.Sprintf("t/%d", i), "draining/1")
		}
		round()
		store.fail(errors.New("away"))
		for range 4 {
			round()
		}
		store.restore(copied)
		store.put("t/30", "draining/1")
		store.fail(nil)
		store.mu.Lock()
		store.reads = 0
		store.mu.Unlock()
		bytes = 0
		for range 12 {
			round()
		}
		for i, v := range all {
			assert.Equal(t, v.Position(), bluebelldoor.Position{Era: 2, Revision: store.revision}, "VM %d", i)
			assert.Assert(t, !v.open("30") && !v.open("3"), "VM %d", i)
		}
		store.mu.Lock()
		reads := store.reads
		store.mu.Unlock()
		t.Logf("%d VMs, %d targets: %d full reads, %d bytes of records a VM between VMs", vms, targets, reads, bytes/vms)
		assert.Assert(t, reads <= vms/4, "%d full reads", reads)
	})
}

// TestRestorePeers checks which deltas of peers a VM applies that holds position 20 of
// era 2.
func TestRestorePeers(t *testing.T) {
	draining := func(era, revision uint64) []bluebelldoor.Record {
		return []bluebelldoor.Record{{Key: "t/x", Era: era, Revision: revision, Value: []byte("draining/1")}}
	}
	for name, c := range map[string]struct {
		delta             bluebelldoor.RecordDelta
		applied, evidence bool
	}{
		"same era":                    {bluebelldoor.RecordDelta{BaseEra: 2, Base: 19, Era: 2, Revision: 25, Records: draining(2, 25)}, true, true},
		"same era, gap":               {bluebelldoor.RecordDelta{BaseEra: 2, Base: 21, Era: 2, Revision: 25, Records: draining(2, 25)}, false, false},
		"base in an earlier era":      {bluebelldoor.RecordDelta{BaseEra: 1, Base: 5, Era: 2, Revision: 25, Records: draining(2, 25)}, false, false},
		"earlier era":                 {bluebelldoor.RecordDelta{BaseEra: 1, Base: 20, Era: 1, Revision: 25, Records: draining(1, 25)}, false, false},
		"earlier era, same revision":  {bluebelldoor.RecordDelta{BaseEra: 1, Base: 20, Era: 1, Revision: 20}, false, false},
		"no change":                   {bluebelldoor.RecordDelta{BaseEra: 2, Base: 20, Era: 2, Revision: 20}, false, true},
		"crosses at the position":     {bluebelldoor.RecordDelta{BaseEra: 2, Base: 20, Era: 3, Revision: 9, CrossesEras: true, Records: draining(3, 9)}, true, true},
		"crosses below the position":  {bluebelldoor.RecordDelta{BaseEra: 2, Base: 19, Era: 3, Revision: 9, CrossesEras: true, Records: draining(3, 9)}, false, false},
		"crosses from an earlier era": {bluebelldoor.RecordDelta{BaseEra: 1, Base: 20, Era: 3, Revision: 9, CrossesEras: true, Records: draining(3, 9)}, false, false},
		"newer era, by revisions":     {bluebelldoor.RecordDelta{BaseEra: 2, Base: 20, Era: 3, Revision: 30, Records: draining(3, 30)}, false, false},
		"all records, one held by the peer since an earlier era": {bluebelldoor.RecordDelta{Era: 2, Revision: 30, Records: draining(1, 25)}, true, true},
		"newer era, all records":                                 {bluebelldoor.RecordDelta{Era: 3, Revision: 9, Records: draining(3, 9)}, true, true},
		"a build without eras":                                   {bluebelldoor.RecordDelta{Base: 20, Revision: 25, Records: draining(0, 25)}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newCatalogue()
				store.era, store.revision = 2, 18
				store.put("t/x", "ready/1")
				store.put("t/y", "ready/1")
				v := start(t, store, true)
				time.Sleep(time.Second)
				assert.Equal(t, v.Position(), bluebelldoor.Position{Era: 2, Revision: 20})
				store.fail(errors.New("cut off"))
				time.Sleep(5 * time.Second)
				c.delta.EvidenceAgeMs = 100
				v.ApplyDelta(t.Context(), c.delta, v.clock.Now()-50*time.Millisecond, true)
				assert.Equal(t, !v.open("x"), c.applied)
				age, _ := v.EvidenceAge()
				assert.Equal(t, age == 150*time.Millisecond, c.evidence, "%s", age)
			})
		})
	}
}

// TestRestoreDelta checks what a VM passes on after a restore: to a peer that held no more
// of the lost history than the VM, what has changed; to one that held more, nothing; and
// records that were written again as they had been, to a peer that is in the new era.
func TestRestoreDelta(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		store.era = 1
		store.put("t/a", "ready/1")
		copied := store.backUp()
		store.put("t/b", "ready/1")
		v := start(t, store, true)
		time.Sleep(time.Second)
		store.fail(errors.New("away"))
		time.Sleep(time.Second)
		store.restore(copied)
		store.put("t/b", "ready/1")
		store.put("t/a", "draining/1")
		store.fail(nil)
		time.Sleep(2 * time.Second)
		assert.Equal(t, v.Position(), bluebelldoor.Position{Era: 2, Revision: 4})
		keys := func(after bluebelldoor.Position) map[string]bool {
			delta := v.Delta(t.Context(), after, false, nil)
			out := map[string]bool{}
			for _, r := range delta.Records {
				out[r.Key] = true
			}
			if delta.Base == after.Revision && delta.BaseEra == after.Era {
				out["usable"] = true
			}
			return out
		}
		assert.DeepEqual(t, keys(bluebelldoor.Position{Era: 1, Revision: 3}), map[string]bool{"t/a": true, "usable": true})
		assert.DeepEqual(t, keys(bluebelldoor.Position{Era: 1, Revision: 4}), map[string]bool{})
		// The full read crossed revisions 2 to 4 of era 2.
		assert.DeepEqual(t, keys(bluebelldoor.Position{Era: 2, Revision: 2}), map[string]bool{})
		assert.DeepEqual(t, keys(bluebelldoor.Position{Era: 2, Revision: 4}), map[string]bool{"usable": true})
		store.put("t/c", "ready/1")
		time.Sleep(time.Second)
		assert.DeepEqual(t, keys(bluebelldoor.Position{Era: 2, Revision: 4}), map[string]bool{"t/c": true, "usable": true})
	})
}

// TestRestoreRewritten checks that a VM passes on a record that was written again as it had
// been, under the same revision: a peer that is in the new era may lack it.
func TestRestoreRewritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		store.era = 1
		store.put("t/a", "ready/1")
		store.put("t/b", "ready/1")
		v := start(t, store, true)
		time.Sleep(time.Second)
		store.fail(errors.New("cut off"))
		time.Sleep(time.Second)
		again := bluebelldoor.Record{Key: "t/b", Era: 2, Revision: 3, Value: []byte("ready/1")}
		v.ApplyDelta(t.Context(), bluebelldoor.RecordDelta{
			BaseEra: 1, Base: 3, Era: 2, Revision: 4, CrossesEras: true, UnseenEra: 2, Unseen: 2, Records: []bluebelldoor.Record{again}, EvidenceAgeMs: -1,
		}, 0, false)
		assert.Equal(t, v.Position(), bluebelldoor.Position{Era: 2, Revision: 4})
		delta := v.Delta(t.Context(), bluebelldoor.Position{Era: 2, Revision: 2}, false, nil)
		assert.Equal(t, delta.Base, uint64(2))
		assert.DeepEqual(t, delta.Records, []bluebelldoor.Record{again})
	})
}

// scriptedCatalogue replies to watches as a test says.
type scriptedCatalogue struct {
	*catalogue
	replies chan bluebelldoor.CatalogueReply
}

func (c scriptedCatalogue) Watch(ctx context.Context, _ bluebelldoor.Position, _ time.Duration) (bluebelldoor.CatalogueReply, error) {
	select {
	case reply := <-c.replies:
		return reply, nil
	case <-ctx.Done():
		return bluebelldoor.CatalogueReply{}, ctx.Err()
	}
}

// TestRestoreReplies checks that replies from another era than the VM holds change nothing
// but make it read everything if that era is newer.
func TestRestoreReplies(t *testing.T) {
	for name, c := range map[string]struct {
		era      uint64
		position bluebelldoor.Position
		open     bool
	}{
		"earlier era": {1, bluebelldoor.Position{Era: 2, Revision: 2}, true},
		"same era":    {2, bluebelldoor.Position{Era: 2, Revision: 9}, false},
		"newer era":   {3, bluebelldoor.Position{Era: 3, Revision: 2}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := scriptedCatalogue{newCatalogue(), make(chan bluebelldoor.CatalogueReply)}
				store.era = 2
				store.put("t/x", "ready/1")
				v := start(t, store, true)
				synctest.Wait()
				store.mu.Lock()
				store.era = max(2, c.era)
				store.mu.Unlock()
				record := bluebelldoor.Record{Key: "t/x", Era: c.era, Revision: 9, Value: []byte("draining/1")}
				store.replies <- bluebelldoor.CatalogueReply{Era: c.era, Revision: 9, Records: []bluebelldoor.Record{record}}
				time.Sleep(5 * time.Second)
				assert.Equal(t, v.Position(), c.position)
				assert.Equal(t, v.open("x"), c.open)
			})
		})
	}
}

// TestBadRouting checks that a routing that can't be decoded leaves the one in force, also on
// a VM that starts while the platform shows the bad one.
func TestBadRouting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		store.put("config", "v7")
		peer := start(t, store, true)
		synctest.Wait()
		store.put("config", "vx")
		time.Sleep(time.Second)
		assert.Equal(t, peer.View().Routing().Version(), uint64(7))
		started := start(t, store, false)
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, started.View().Routing() == nil)
		exchange(t, started, peer)
		assert.Equal(t, started.View().Routing().Version(), uint64(7))
		store.put("config", "v8")
		time.Sleep(time.Second)
		exchange(t, started, peer)
		assert.Equal(t, started.View().Routing().Version(), uint64(8))
	})
}

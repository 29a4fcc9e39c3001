package registrar_test

import (
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

// restore returns the catalogue to an older copy. Watches get ErrHistoryLost if they ask
// for a revision above that of the catalogue.
func (c *catalogue) restore(b backup) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision, c.records = b.revision, maps.Clone(b.records)
	c.restored = true
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

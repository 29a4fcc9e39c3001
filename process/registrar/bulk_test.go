package registrar_test

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/registrar"
)

// storms are the changes of the users' incident on fleets of their size, with and without
// large VMs.
var storms = map[string]storm{
	"large and small VMs": {dataCentres: 4, large: 8, small: 60, changes: 3, routes: 1400, turnedAway: 4, drainEvery: 200 * time.Millisecond},
	"small VMs":           {dataCentres: 4, small: 60, changes: 3, routes: 1400, turnedAway: 4, drainEvery: 200 * time.Millisecond},
	"a hub is lost":       {dataCentres: 4, small: 60, changes: 3, routes: 1400, loseHub: true, drainEvery: 200 * time.Millisecond},
	"the reader is lost":  {dataCentres: 4, small: 60, changes: 3, routes: 1400, turnAwayReader: true, drainEvery: 200 * time.Millisecond},
	"VMs start":           {dataCentres: 4, large: 8, small: 60, changes: 3, routes: 1400, join: 6, drainEvery: 200 * time.Millisecond},
}

const (
	// updateWithin and leavingWithin are the users' bounds on this size of fleet.
	updateWithin  = 3 * time.Second
	leavingWithin = 3 * time.Second
	// keyEvidenceWithin is how old the evidence of API keys may become.
	keyEvidenceWithin = 3750 * time.Millisecond
)

// playStorms plays each storm and logs what the VMs sent.
func playStorms(t *testing.T, cases map[string]storm, newWatch func(t *testing.T, s storm) func(f *fleet, since time.Duration)) {
	t.Helper()
	for name, s := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := s.play(t, newWatch(t, s))
				logBytes(t, f, s)
			})
		})
	}
}

func logBytes(t *testing.T, f *fleet, s storm) {
	t.Helper()
	size := len(routingText(2, s.routes))
	sum, mostSent, mostInSecond, mostReceived := 0, 0, 0, 0
	for _, v := range f.vms {
		sent, inSecond := v.up.total()
		received, _ := v.down.total()
		sum, mostSent, mostInSecond, mostReceived = sum+sent, max(mostSent, sent), max(mostInSecond, inSecond), max(mostReceived, received)
	}
	t.Logf("a text of %d routes is %d bytes; all VMs sent %d, one VM %d at most, %d in a second at most; one received %d at most",
		s.routes, size, sum, mostSent, mostInSecond, mostReceived)
}

// settled returns the VMs that have run for at least updateWithin.
func settled(f *fleet) []*fleetVM {
	var out []*fleetVM
	for _, v := range f.all() {
		if time.Since(v.startedAt) >= updateWithin {
			out = append(out, v)
		}
	}
	return out
}

// TestBulkConfig guards against a VM that still uses an old routing updateWithin after a
// newer one of many routes was published: bulk data did not fit into the time of an exchange
// and was sent again and again.
func TestBulkConfig(t *testing.T) {
	playStorms(t, storms, func(t *testing.T, s storm) func(*fleet, time.Duration) {
		late := map[string]bool{}
		return func(f *fleet, since time.Duration) {
			due := min(s.changes, int((since-updateWithin)/time.Second)+1)
			if since < updateWithin || due < 1 {
				return
			}
			for _, v := range settled(f) {
				if r := v.View().Routing(); !late[v.name] && (r == nil || r.Version() < uint64(due+1)) {
					late[v.name] = true
					t.Errorf("%s: version %d is not in force %s after the first change", v.name, due+1, since)
				}
			}
		}
	})
}

// TestBulkAtSize is TestBulkConfig at sizes up to the planned one, with the users' bound
// there. It logs how long each change took to reach all VMs.
func TestBulkAtSize(t *testing.T) {
	if testing.Short() {
		t.Skip("slow: large fleets")
	}
	const within = 7 * time.Second
	all := map[string]storm{}
	for _, vms := range []int{68, 300, 410} {
		s := storm{dataCentres: 16, small: vms, changes: 3, routes: 1400, loseHub: true, join: 6, drainEvery: 200 * time.Millisecond}
		all[fmt.Sprintf("%d small VMs", vms)] = s
		s.large, s.small = vms/8, vms-vms/8
		all[fmt.Sprintf("%d VMs, an eighth of them large", vms)] = s
	}
	playStorms(t, all, func(t *testing.T, s storm) func(*fleet, time.Duration) {
		inForce := map[int]time.Duration{}
		return func(f *fleet, since time.Duration) {
			for version := 2; version <= s.changes+1; version++ {
				age := since - time.Duration(version-2)*time.Second
				behind := 0
				for _, v := range f.all() {
					if r := v.View().Routing(); time.Since(v.startedAt) > since && (r == nil || r.Version() < uint64(version)) {
						behind++
					}
				}
				if _, done := inForce[version]; !done && age >= 0 && behind == 0 {
					inForce[version] = age
					t.Logf("version %d is in force on all VMs %s after it was published", version, age)
				}
				if age >= within && behind > 0 {
					t.Errorf("version %d is not in force on %d VMs after %s", version, behind, age)
				}
			}
		}
	})
}

// TestBulkDrain guards against a VM that does not know that a target leaves, leavingWithin
// after the target has said so, because the news waits behind bulk data.
func TestBulkDrain(t *testing.T) {
	playStorms(t, storms, func(t *testing.T, s storm) func(*fleet, time.Duration) {
		late := map[string]bool{}
		return func(f *fleet, since time.Duration) {
			due := min(stormTargets, int((since-leavingWithin)/s.drainEvery))
			for _, v := range settled(f) {
				for i := range max(0, due) {
					if target := v.View().Target(fmt.Sprint(i)); !late[v.name] && target != nil && !target.Leaving {
						late[v.name] = true
						t.Errorf("%s: target %d is open %s after it said that it leaves", v.name, i, since-time.Duration(i)*s.drainEvery)
					}
				}
			}
		}
	})
}

// TestBulkLiveness guards against members that look silent, and evidence that grows old,
// while bulk data is on its way.
func TestBulkLiveness(t *testing.T) {
	playStorms(t, storms, func(t *testing.T, _ storm) func(*fleet, time.Duration) {
		silent, old := map[string]bool{}, map[string]bool{}
		return func(f *fleet, since time.Duration) {
			running := settled(f)
			for _, v := range running {
				if age, ok := v.EvidenceAge(); !old[v.name] && (!ok || age > keyEvidenceWithin) {
					old[v.name] = true
					t.Errorf("%s: its evidence is %s old, %s after the first change", v.name, age, since)
				}
				if !v.gossip.IsHub() {
					continue
				}
				alive := map[string]bool{}
				for _, m := range v.gossip.Alive() {
					alive[m.Name] = true
				}
				for _, other := range running {
					if !alive[other.name] && !silent[other.name] {
						silent[other.name] = true
						t.Errorf("%s takes %s for silent %s after the first change", v.name, other.name, since)
					}
				}
			}
		}
	})
}

// TestBulkCalm checks the same fleets without changes of many routes, so that the storms
// alone make the difference.
func TestBulkCalm(t *testing.T) {
	calm := map[string]storm{}
	for name, s := range storms {
		s.changes = 0
		calm[name] = s
	}
	playStorms(t, calm, func(t *testing.T, s storm) func(*fleet, time.Duration) {
		return func(f *fleet, since time.Duration) {
			due := min(stormTargets, int((since-leavingWithin)/s.drainEvery))
			for _, v := range settled(f) {
				age, ok := v.EvidenceAge()
				assert.Check(t, ok && age <= keyEvidenceWithin, "%s: its evidence is %s old", v.name, age)
				for i := range max(0, due) {
					target := v.View().Target(fmt.Sprint(i))
					assert.Check(t, target == nil || target.Leaving, "%s: target %d is open %s after it said that it leaves", v.name, i, since-time.Duration(i)*s.drainEvery)
				}
			}
		}
	})
}

// keeper is a ValueKeeper to which nothing comes, unless the test holds it.
type keeper struct {
	mu     sync.Mutex
	held   map[string][]byte
	wanted []bluebelldoor.ValueReference
}

func newKeeper() *keeper { return &keeper{held: map[string][]byte{}} }

func (k *keeper) Hold(value []byte) bluebelldoor.ValueReference {
	k.mu.Lock()
	defer k.mu.Unlock()
	sum := sha256.Sum256(value)
	k.held[string(sum[:])] = value
	return bluebelldoor.ValueReference{Digest: sum[:], Bytes: len(value)}
}

func (k *keeper) Value(digest []byte) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held[string(digest)]
}

func (k *keeper) Want(missing []bluebelldoor.ValueReference) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.wanted = slices.Clone(missing)
}

// missing returns the values that are wanted.
func (k *keeper) missing() []bluebelldoor.ValueReference {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.wanted)
}

// TestRoutingEvidence guards against keys that count as confirmed although the VM knows that
// the routing that holds them has been replaced: targets and routing have evidence of their
// own.
func TestRoutingEvidence(t *testing.T) {
	// Evidence dates from the start of one watch and is renewed at the end of the next.
	const watchWait = 700 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		store.put("config", routingText(1, 100))
		store.put("t/x", "ready/1")
		reader := start(t, store, true, registrar.WithValues(newKeeper()))
		link := &linkedCatalogue{Catalogue: store}
		v := start(t, link, false, registrar.WithValues(newKeeper()))
		time.Sleep(time.Second)
		link.cut.Store(true)
		ask := func() bluebelldoor.RecordDelta {
			request := v.Delta(t.Context(), reader.Position(), true, nil)
			sentAt := v.clock.Now()
			reply := reader.Delta(t.Context(), request.Position(), true, &request)
			v.ApplyDelta(t.Context(), reply, sentAt, true)
			return reply
		}
		ask()
		assert.Assert(t, !v.IsBehind())
		store.put("config", routingText(2, 200))
		store.put("t/x", "draining/1")
		synctest.Wait()
		reply := ask()
		for range 10 {
			time.Sleep(250 * time.Millisecond)
			ask()
		}
		assert.Assert(t, v.IsBehind())
		assert.Equal(t, v.View().Routing().Version(), uint64(1))
		assert.Assert(t, !v.open("x"), "the target leaves whatever becomes of the routing")
		age, _ := v.EvidenceAge()
		assert.Assert(t, age < 2*watchWait+100*time.Millisecond, "evidence of the targets is %s old", age)
		age, _ = v.RoutingEvidenceAge()
		assert.Assert(t, age >= 2500*time.Millisecond, "evidence of the routing is %s old", age)
		for _, r := range reply.Records {
			if r.Reference != nil {
				v.Deliver(t.Context(), *r.Reference, []byte(routingText(2, 200)))
			}
		}
		assert.Assert(t, !v.IsBehind())
		assert.Equal(t, v.View().Routing().Version(), uint64(2))
		age, _ = v.RoutingEvidenceAge()
		assert.Assert(t, age < 2*watchWait+100*time.Millisecond, "evidence of the routing is %s old", age)
	})
}

// TestPagedEvidence guards against evidence for a part of the changes: a VM that has received
// the first page of them does not hold the platform's newest state.
func TestPagedEvidence(t *testing.T) {
	for name, references := range map[string]bool{"pages": true, "a build without references, the value is missing": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newCatalogue()
				store.put("config", routingText(1, 100))
				reader := start(t, store, true, registrar.WithValues(newKeeper()))
				link := &linkedCatalogue{Catalogue: store}
				var options []registrar.Option
				if references {
					options = append(options, registrar.WithValues(newKeeper()))
				}
				v := start(t, link, false, options...)
				time.Sleep(time.Second)
				link.cut.Store(true)
				time.Sleep(3 * time.Second)
				for i := range 500 {
					store.put(fmt.Sprintf("t/%d", i), "draining/1")
				}
				synctest.Wait()
				if !references {
					reader = start(t, store, false, registrar.WithValues(newKeeper()))
					synctest.Wait()
					withheld := bluebelldoor.Record{Key: "config", Revision: 900, Reference: &bluebelldoor.ValueReference{Digest: make([]byte, 16), Bytes: 5000}}
					reader.ApplyDelta(t.Context(), bluebelldoor.RecordDelta{Base: 502, Revision: 900, Records: []bluebelldoor.Record{withheld}}, reader.clock.Now(), true)
					assert.Assert(t, reader.IsBehind())
				}
				pages := 0
				for more := true; more; pages++ {
					request := v.Delta(t.Context(), reader.Position(), references, nil)
					sentAt := v.clock.Now()
					reply := reader.Delta(t.Context(), request.Position(), references, &request)
					v.ApplyDelta(t.Context(), reply, sentAt, true)
					more = reply.More
					if age, _ := v.EvidenceAge(); v.Position() != reader.Position() {
						assert.Assert(t, age >= 2*time.Second, "page %d renewed the evidence", pages)
					}
				}
				if references {
					assert.Assert(t, pages > 1, "%d pages", pages)
					assert.Equal(t, v.Position(), reader.Position())
					age, _ := v.EvidenceAge()
					assert.Assert(t, age < 2*time.Second, "evidence is %s old", age)
				}
			})
		})
	}
}

// TestRecordsByReference checks that a complete state that does not fit into a message comes as
// a value of its own, and is applied when that arrives.
func TestRecordsByReference(t *testing.T) {
	const targets = 400
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		store.put("config", routingText(1, 100))
		for i := range targets {
			store.put(fmt.Sprintf("t/%d", i), "ready/1")
		}
		readers, own := newKeeper(), newKeeper()
		reader := start(t, store, true, registrar.WithValues(readers))
		link := &linkedCatalogue{Catalogue: store}
		link.cut.Store(true)
		v := start(t, link, false, registrar.WithValues(own))
		time.Sleep(2 * time.Second)
		ask := func() bluebelldoor.RecordDelta {
			request := v.Delta(t.Context(), reader.Position(), true, nil)
			sentAt := v.clock.Now()
			reply := reader.Delta(t.Context(), request.Position(), true, &request)
			v.ApplyDelta(t.Context(), reply, sentAt, true)
			return reply
		}
		reply := ask()
		assert.Assert(t, reply.RecordsIn != nil && len(reply.Records) == 0)
		assert.Assert(t, v.Position() != reader.Position())
		next := ask()
		assert.Assert(t, next.RecordsIn == nil, "the VM asks again for what is on its way")
		time.Sleep(5 * time.Second)
		reply = ask()
		assert.Assert(t, reply.RecordsIn != nil, "the VM does not ask again for what has not arrived")
		value := readers.Value(reply.RecordsIn.Digest)
		own.Hold(value)
		v.Deliver(t.Context(), *reply.RecordsIn, value)
		assert.Equal(t, v.Position(), reader.Position())
		assert.Assert(t, v.open("0") && v.open("399"))
		assert.Assert(t, v.IsBehind(), "the routing is a value of its own")
		ask()
		age, ok := v.EvidenceAge()
		assert.Assert(t, ok && age < 2*time.Second, "evidence is %s old", age)
	})
}

// TestMissingValueIsRead checks that a VM reads everything from the platform if no peer sends
// it a value.
func TestMissingValueIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		store.put("config", routingText(1, 100))
		reader := start(t, store, true, registrar.WithValues(newKeeper()))
		v := start(t, store, false, registrar.WithValues(newKeeper()))
		time.Sleep(time.Second)
		store.put("config", routingText(2, 200))
		synctest.Wait()
		for range 12 {
			request := v.Delta(t.Context(), reader.Position(), true, nil)
			sentAt := v.clock.Now()
			v.ApplyDelta(t.Context(), reader.Delta(t.Context(), request.Position(), true, &request), sentAt, true)
			time.Sleep(250 * time.Millisecond)
		}
		assert.Assert(t, !v.IsBehind())
		assert.Equal(t, v.View().Routing().Version(), uint64(2))
	})
}

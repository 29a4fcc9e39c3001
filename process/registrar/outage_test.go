package registrar_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/registrar"
)

var outageSeeds = flag.Int("outage.seeds", 4, "seeds of TestSilenceIsNoOutage and TestOutageKeepsTargets")

const (
	// learnWithin is the part of leavingWithin that a VM may take to learn that a target leaves.
	learnWithin = leavingWithin * 8 / 10
	// steadyAfter is how long after a disturbance a VM is bound by leavingWithin again.
	steadyAfter = 4 * time.Second
	// renewWithin is the time after an outage within which targets that live renew what
	// expired in it, and goneWithin that within which all others are to be closed.
	renewWithin = 2 * time.Second
	goneWithin  = 4 * time.Second
)

// troubledFleet is a fleet whose VMs are disturbed at random.
type troubledFleet struct {
	*fleet
	random *rand.Rand
	// steadyAt is when a VM is bound by leavingWithin again, by name.
	steadyAt map[string]time.Time
	restarts map[string]time.Time
}

func startTroubled(seed uint64) *troubledFleet {
	f := &troubledFleet{newFleet(), rand.New(rand.NewPCG(seed, 57)), map[string]time.Time{}, map[string]time.Time{}}
	f.options = []registrar.Option{registrar.WithMaxEvidenceAge(learnWithin)}
	f.store.put("config", routingText(1, 10))
	for i := range stormTargets {
		f.store.put(targetKey(i), "ready/1")
	}
	f.startAll(3, 0, 24)
	time.Sleep(settleTime)
	return f
}

func targetKey(i int) string { return fmt.Sprintf("t/%d", i) }

// between returns a random duration.
func (f *troubledFleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.random.Int64N(int64(high-low)))
}

// disturbAny disturbs VMs for seconds: hubs lose power, or any VMs stand still or lose their
// links to peers.
func (f *troubledFleet) disturbAny() {
	length := f.between(time.Second, 4*time.Second)
	kind, share := f.random.IntN(3), 0.1+0.9*f.random.Float64()
	for _, v := range f.all() {
		if kind == 0 && !v.gossip.IsHub() || f.random.Float64() > share*float64(1+2*kind)/5+0.2 {
			continue
		}
		f.steadyAt[v.name] = time.Now().Add(length + steadyAfter)
		switch kind {
		case 0:
			f.losePower(v, length)
		case 1:
			v.stoppedUntil.Store(time.Now().Add(length).UnixMilli())
		default:
			v.isolated.Store(true)
			time.AfterFunc(length, func() { v.isolated.Store(false) })
		}
	}
}

// losePower ends a VM and starts it again after a time.
func (f *troubledFleet) losePower(v *fleetVM, length time.Duration) {
	v.dead.Store(true)
	go v.stop()
	f.restarts[v.name] = time.Now().Add(length)
}

// restart starts the VMs whose power is back.
func (f *troubledFleet) restart() {
	for name, at := range f.restarts {
		if !time.Now().Before(at) {
			delete(f.restarts, name)
			var i int
			_, _ = fmt.Sscanf(name, "vm-%d", &i)
			f.start(name, i%3, smallLink)
		}
	}
}

// open reports whether a VM sends new work to a target.
func (v *fleetVM) open(id string) bool {
	t := v.View().Target(id)
	return t != nil && v.View().AcceptsNewWork(t.Instance)
}

// TestSilenceIsNoOutage guards against DRAIN: a VM that had heard nothing for seconds, as its hubs
// were lost or it stood still, took that for an outage of the store, which answered all along,
// and kept sending to targets that had left.
func TestSilenceIsNoOutage(t *testing.T) {
	for seed := range uint64(*outageSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const length = 40 * time.Second
				f := startTroubled(seed)
				defer f.stopAll()
				leftAt := map[int]time.Time{}
				nextTrouble, nextLeave := time.Now(), time.Now()
				for begin := time.Now(); time.Since(begin) < length; time.Sleep(watchInterval) {
					f.restart()
					if now := time.Now(); !now.Before(nextTrouble) {
						f.disturbAny()
						nextTrouble = now.Add(f.between(2*time.Second, 6*time.Second))
						nextLeave = now.Add(f.between(0, time.Second))
					}
					if now := time.Now(); !now.Before(nextLeave) && len(leftAt) < stormTargets {
						f.store.put(targetKey(len(leftAt)), []string{"", "draining/1"}[f.random.IntN(2)])
						leftAt[len(leftAt)] = now
						nextLeave = now.Add(f.between(0, time.Second))
					}
					for _, v := range f.all() {
						assert.Equal(t, v.Outages(), int64(0), "%s counts an outage", v.name)
						for i, at := range leftAt {
							if time.Since(at) > leavingWithin && time.Now().After(f.steadyAt[v.name]) && time.Since(v.startedAt) > steadyAfter {
								assert.Assert(t, !v.open(fmt.Sprint(i)), "%s sends to target %d, %s after it left", v.name, i, time.Since(at))
							}
						}
					}
				}
			})
		})
	}
}

// TestOutageKeepsTargets guards against the opposite fault: targets whose entries expire while the
// store is away, and that live, are closed before the time to renew the entries is over. VMs that
// can't reach the store for longer, and those that hear of its return from a peer, keep them too.
func TestOutageKeepsTargets(t *testing.T) {
	for seed := range uint64(*outageSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startTroubled(seed)
				defer f.stopAll()
				o := newOutage(f)
				for since := time.Duration(0); since < o.length+goneWithin+time.Second; since = time.Since(o.begin) {
					o.step()
					for _, v := range o.vms {
						for i := range stormTargets {
							if !o.gone[i] {
								assert.Assert(t, v.open(fmt.Sprint(i)), "%s has closed target %d, which lives, %s after the outage of %s began", v.name, i, since, o.length)
							} else if since > o.length+goneWithin {
								assert.Assert(t, !v.open(fmt.Sprint(i)), "%s sends to target %d, %s after the outage", v.name, i, since-o.length)
							}
						}
					}
					time.Sleep(watchInterval)
				}
				counted := 0
				for _, v := range o.vms {
					if v.Outages() > 0 {
						counted++
					}
				}
				assert.Equal(t, counted, len(o.vms), "not all VMs have counted the outage")
			})
		})
	}
}

// outage is one outage of the store.
type outage struct {
	*troubledFleet
	begin  time.Time
	length time.Duration
	// vms are the VMs that run all the while.
	vms []*fleetVM
	// expiresAt and renewsAt are when the entry of a target expires and is renewed, counted from
	// the begin. gone are the targets that do not come back.
	expiresAt, renewsAt map[int]time.Duration
	gone                map[int]bool
}

// newOutage begins an outage. In half of the seeds hubs are lost with the store, and some VMs are
// turned away for longer.
func newOutage(f *troubledFleet) *outage {
	o := &outage{f, time.Now(), f.between(3*time.Second, 8*time.Second), nil, map[int]time.Duration{}, map[int]time.Duration{}, map[int]bool{}}
	loseHubs := f.random.IntN(2) == 0
	for _, v := range f.all() {
		if loseHubs && v.gossip.IsHub() && f.random.IntN(4) > 0 {
			f.losePower(v, time.Minute)
			continue
		}
		o.vms = append(o.vms, v)
	}
	if f.random.IntN(2) == 0 {
		f.hangs.Store(true)
	} else {
		f.store.fail(errors.New("down"))
	}
	for i := range stormTargets {
		if f.random.IntN(3) > 0 {
			continue
		}
		o.expiresAt[i] = o.between(2500*time.Millisecond, o.length+200*time.Millisecond)
		o.gone[i] = f.random.IntN(2) == 0
		if !o.gone[i] {
			o.renewsAt[i] = max(o.length, o.expiresAt[i]) + o.between(0, renewWithin-200*time.Millisecond)
		}
	}
	return o
}

// step lets entries expire and be renewed, and ends the outage.
func (o *outage) step() {
	since := time.Since(o.begin)
	for i, at := range o.expiresAt {
		if since >= at {
			o.store.put(targetKey(i), "")
			delete(o.expiresAt, i)
		}
	}
	for i, at := range o.renewsAt {
		if since >= at {
			o.store.put(targetKey(i), "ready/1")
			delete(o.renewsAt, i)
		}
	}
	if since < o.length || since >= o.length+watchInterval {
		return
	}
	for _, v := range o.vms[:len(o.vms)/4] {
		v.turnedAway.Store(true)
	}
	o.hangs.Store(false)
	o.store.fail(nil)
}

// TestSilence checks which silences of the platform count as outages, so that a target whose record
// is removed is kept for a while: those in which reads of this VM failed, or that a peer tells of.
func TestSilence(t *testing.T) {
	const silence = 6 * time.Second
	for name, c := range map[string]struct {
		failed      int           // reads that fail in the silence
		failedFirst bool          // they failed before the last evidence instead
		told        time.Duration // how long ago, as the peer says that removes the target, an outage ended
		quiet       bool          // the peer first confirms the state, and tells the removal then
		lapsed      bool
	}{
		"nothing asked":                         {},
		"one read failed":                       {failed: 1},
		"two reads failed":                      {failed: 2, lapsed: true},
		"two reads failed, then a confirmation": {failed: 2, quiet: true, lapsed: true},
		"reads failed before":                   {failed: 2, failedFirst: true},
		"a peer tells":                          {told: time.Second, lapsed: true},
		"a peer tells with a confirmation":      {told: time.Second, quiet: true, lapsed: true},
		"a peer tells late":                     {told: 2600 * time.Millisecond},
		"a peer tells of an earlier outage":     {told: 7 * time.Second},
		"a peer tells of one that was short":    {told: 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newCatalogue()
				store.put("t/x", "ready")
				v := start(t, store, false)
				synctest.Wait()
				deliver := func(delta bluebelldoor.RecordDelta) {
					delta.Base, delta.EvidenceAgeMs = 2, 0
					v.ApplyDelta(t.Context(), delta, v.clock.Now(), true)
				}
				store.fail(errors.New("down"))
				failReads := func() {
					// The evidence gets too old, and c.failed reads fail at once.
					v.clock.skipped.Add(int64(1400 * time.Millisecond))
					store.mu.Lock()
					calls := store.calls
					store.mu.Unlock()
					for failed := 0; failed < c.failed; time.Sleep(time.Millisecond) {
						store.mu.Lock()
						failed = store.calls - calls
						store.mu.Unlock()
					}
				}
				if c.failedFirst {
					failReads()
					deliver(bluebelldoor.RecordDelta{Revision: 2})
				} else if c.failed > 0 {
					failReads()
				}
				age, _ := v.EvidenceAge()
				v.clock.skipped.Add(int64(silence - age))
				if c.quiet {
					deliver(bluebelldoor.RecordDelta{Revision: 2, OutageEndAgeMs: c.told.Milliseconds()})
				}
				removal := bluebelldoor.Record{Key: "t/x", Revision: 3, Removed: true}
				deliver(bluebelldoor.RecordDelta{Revision: 3, Records: []bluebelldoor.Record{removal}, OutageEndAgeMs: c.told.Milliseconds()})
				assert.Equal(t, v.open("x"), c.lapsed)
				assert.Equal(t, v.Outages() > 0, c.lapsed || c.told == 2600*time.Millisecond)
				time.Sleep(max(0, 2500*time.Millisecond-c.told) + 300*time.Millisecond)
				assert.Assert(t, !v.open("x"), "kept for too long")
			})
		})
	}
}

// TestLearnsInTime guards against DRAIN: a standby that hears nothing from its peers learnt of a target
// that leaves later than the bound in the settings allows.
func TestLearnsInTime(t *testing.T) {
	for _, within := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		t.Run(within.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newCatalogue()
				v := startStandby(t, store, registrar.WithMaxEvidenceAge(within*8/10))
				for i := range 50 {
					key := targetKey(i)
					store.put(key, "ready")
					for !v.open(fmt.Sprint(i)) {
						time.Sleep(time.Millisecond)
					}
					time.Sleep(time.Duration(i) * 100 * time.Millisecond)
					store.put(key, "")
					time.Sleep(within - 100*time.Millisecond)
					assert.Assert(t, !v.open(fmt.Sprint(i)), "not known %s after it left", within-100*time.Millisecond)
				}
			})
		})
	}
}

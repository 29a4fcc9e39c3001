package main_test

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor/standin/lender"
	"bluebelldoor/standin/link"
)

// injectFaults injects random faults until a point in time; they may overlap.
func (s *soak) injectFaults(until time.Time) {
	var pending sync.WaitGroup
	for time.Now().Before(until) {
		v, l := s.vms[s.random.IntN(len(s.vms))], s.links[s.random.IntN(len(s.links))]
		d := time.Duration(200+s.random.IntN(1500)) * time.Millisecond
		s.changeLimits()
		if s.soundStore {
			s.losePower(pending.Go)
		} else {
			s.restoreStore(pending.Go)
		}
		switch kind := s.random.IntN(13); kind {
		case 0:
			pending.Go(func() { s.restart(v, syscall.SIGKILL) })
		case 1:
			pending.Go(func() { s.restart(v, syscall.SIGTERM) })
		case 2:
			v.signal(syscall.SIGSTOP, false)
			pending.Go(func() { time.Sleep(2 * d); v.signal(syscall.SIGCONT, false) })
		case 3:
			v.signal(syscall.SIGHUP, false)
		case 4, 5, 6:
			faulty := []*link.Link{l, v.store}[s.random.IntN(2)]
			if s.soundStore {
				faulty = l
			}
			[]func(){faulty.Cut, faulty.Stall, faulty.StallOneWay, func() { faulty.Delay(50 * time.Millisecond) }}[s.random.IntN(4)]()
			pending.Go(func() { time.Sleep(d); faulty.Restore() })
		case 7:
			mode := []lender.Mode{lender.Unavailable, lender.TooManyRequests, lender.Aborts, lender.Unresponsive, lender.HistoryLost}[s.random.IntN(5)]
			if s.soundStore {
				break
			}
			s.store.SetMode(mode)
			pending.Go(func() { time.Sleep(d); s.store.SetMode(lender.Up) })
		case 8, 9, 10:
			s.replaceTarget(pending.Go)
		case 11:
			s.store.Put("op/evacuate/"+dataCentre(s.random.IntN(3)), map[string]any{})
			pending.Go(func() { time.Sleep(d); s.endOutages() })
		case 12:
			s.revokeSecondKey()
		}
		time.Sleep(time.Duration(s.random.IntN(300)) * time.Millisecond)
	}
	pending.Wait()
}

// injectPlanned injects planned work until a point in time: planned stops with repeated
// signals, changed settings, new versions of the routing, and targets that leave.
func (s *soak) injectPlanned(until time.Time) {
	var pending sync.WaitGroup
	lockoutAt := time.Now().Add(time.Duration(s.lockoutRandom.Int64N(int64(time.Until(until)))))
	for time.Now().Before(until) {
		if time.Now().After(lockoutAt) {
			lockoutAt = until
			s.lockOut()
		}
		v := s.vms[s.random.IntN(len(s.vms))]
		switch s.random.IntN(5) {
		case 0:
			pending.Go(func() { s.restart(v, syscall.SIGTERM) })
		case 1:
			v.signal(syscall.SIGHUP, false)
		case 2:
			s.configure(firstKey, secondKey)
		case 3, 4:
			s.replaceTarget(pending.Go)
		}
		time.Sleep(time.Duration(s.random.IntN(300)) * time.Millisecond)
	}
	pending.Wait()
}

// lockOut takes all API keys away for some time. Nothing else happens meanwhile, as another
// version would end it.
func (s *soak) lockOut() {
	l := lockout{from: time.Now()}
	s.configure()
	time.Sleep(keyRevocationDelay + time.Second)
	l.to = time.Now()
	s.configure(firstKey, secondKey)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lockouts = append(s.lockouts, l)
}

// restoreStore sometimes takes a copy of the store, or returns the store to it after a
// moment without answers. What was lost is written again a little later.
func (s *soak) restoreStore(inBackground func(func())) {
	switch s.restoreRandom.IntN(8) {
	case 0:
		copied := s.store.Copy()
		s.copied, s.copiedAt = &copied, time.Now()
	case 1:
		if s.copied == nil {
			return
		}
		copied := *s.copied
		s.copied = nil
		away, lostFor := time.Duration(s.restoreRandom.IntN(800))*time.Millisecond, time.Duration(s.restoreRandom.IntN(1500))*time.Millisecond
		copiedAt, upFor, downAt := s.copiedAt, s.store.UpFor(), time.Now()
		s.store.SetMode(lender.Unresponsive)
		inBackground(func() {
			time.Sleep(away)
			unseen := s.losesUnseenRevocation(copiedAt, downAt, upFor)
			rewrite := s.store.Restore(copied)
			s.store.SetMode(lender.Up)
			time.Sleep(lostFor)
			rewrite()
			s.removeStopped()
			if unseen {
				s.mu.Lock()
				s.secondKeyRevokedAt = time.Now()
				s.mu.Unlock()
			}
		})
	}
}

// losesUnseenRevocation reports whether a restore loses the revocation of the second key
// before every VM could have seen it: until the store went down, which had then answered for
// upFor, it has not shown the revocation for as long as a revoked key may be used. VMs can't
// know of it until it is written again.
func (s *soak) losesUnseenRevocation(copiedAt, downAt time.Time, upFor time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	revokedAt := s.secondKeyRevokedAt
	return copiedAt.Before(revokedAt) && min(upFor, downAt.Sub(revokedAt)) < keyRevocationDelay
}

// removeStopped removes the records of targets that have stopped, as the platform does with
// those that nobody renews.
func (s *soak) removeStopped() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.stopped {
		if key := "servers/" + id; s.store.Has(key) {
			s.store.Remove(key)
		}
	}
}

func (s *soak) endOutages() {
	for i := range 3 {
		s.store.Remove("op/evacuate/" + dataCentre(i))
	}
}

// changeLimits sometimes makes a target name a limit, or end it. Its random numbers are its
// own, so that the other faults of a seed stay the same.
func (s *soak) changeLimits() {
	t := s.targets[s.limitRandom.IntN(len(s.targets))]
	switch s.limitRandom.IntN(8) {
	case 0:
		t.NameLimit(40 * s.limitRandom.Float64())
	case 1:
		t.EndLimit()
	}
}

// revokeSecondKey removes the second API key from the configuration, once.
func (s *soak) revokeSecondKey() {
	if !s.secondKeyRevokedAt.IsZero() {
		return
	}
	s.configure(firstKey)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.secondKeyRevokedAt = time.Now()
	s.secondKeyFirstRevokedAt = s.secondKeyRevokedAt
}

// replaceTarget removes a target, with or without notice, and adds another.
func (s *soak) replaceTarget(spawn func(func())) {
	i := s.random.IntN(len(s.targets))
	t := s.targets[i]
	notice, crash := s.random.IntN(3) > 0, s.random.IntN(4) == 0
	s.targets = append(s.targets[:i], s.targets[i+1:]...)
	s.addTarget(t.Service, i)
	if notice {
		t.Register("draining")
	}
	spawn(func() {
		if !crash {
			time.Sleep(800 * time.Millisecond)
		}
		t.Stop()
		s.store.Remove("servers/" + t.ID)
		s.mu.Lock()
		s.stopped = append(s.stopped, t.ID)
		s.mu.Unlock()
	})
}

// losePower sometimes ends half of the VMs at once, and starts them again a little later.
func (s *soak) losePower(inBackground func(func())) {
	if s.herdRandom.IntN(10) > 0 {
		return
	}
	off := time.Duration(s.herdRandom.IntN(2500)) * time.Millisecond
	for _, i := range s.herdRandom.Perm(len(s.vms))[:len(s.vms)/2] {
		inBackground(func() { s.restartAfter(s.vms[i], syscall.SIGKILL, off) })
	}
}

// restart stops a VM's process with a signal and starts it again.
func (s *soak) restart(v *soakVM, sig syscall.Signal) { s.restartAfter(v, sig, 0) }

// restartAfter is restart with a time between the end of the process and its start.
func (s *soak) restartAfter(v *soakVM, sig syscall.Signal, off time.Duration) {
	v.mu.Lock()
	if v.stopping {
		v.mu.Unlock()
		return
	}
	v.stopping = true
	exitErr, process := v.exitErr, v.cmd.Process
	v.mu.Unlock()
	v.signal(syscall.SIGCONT, true)
	s.awaitStarted(v)
	s.checkMemory(v)
	v.signal(sig, true)
	if sig == syscall.SIGTERM {
		// The platform may repeat the signal, and settings may change meanwhile.
		for _, again := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
			time.AfterFunc(300*time.Millisecond, func() { _ = process.Signal(again) })
		}
	}
	select {
	case err := <-exitErr:
		if sig == syscall.SIGTERM && err != nil {
			s.t.Errorf("%s: a planned stop failed: %v", v.name, err)
		}
	case <-time.After(stopWithin + 5*time.Second):
		s.t.Errorf("%s still runs; signal %s, time limit %s", v.name, sig, stopWithin)
		v.signal(syscall.SIGKILL, true)
		s.t.Logf("%s was killed: %v", v.name, <-exitErr)
	}
	time.Sleep(off)
	s.start(v)
}

// awaitStarted waits for the first log line of a process. Until then, the process
// has no signal handler, and no request that a signal could interrupt.
func (s *soak) awaitStarted(v *soakVM) {
	for deadline := time.Now().Add(recoverTime); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if info, err := os.Stat(filepath.Join(s.dir, v.name+".log")); err == nil && info.Size() > v.logOffset {
			return
		}
	}
	s.t.Errorf("%s did not start in time", v.name)
}

// repairFaults removes all faults.
func (s *soak) repairFaults() {
	s.store.SetMode(lender.Up)
	s.endOutages()
	for _, t := range s.targets {
		t.EndLimit()
	}
	for _, l := range s.links {
		l.Restore()
	}
	for _, v := range s.vms {
		v.store.Restore()
		v.signal(syscall.SIGCONT, false)
	}
}

// awaitServing waits until every VM serves a request.
func (s *soak) awaitServing(when string) {
	for _, v := range s.vms {
		served := false
		for deadline := time.Now().Add(recoverTime); time.Now().Before(deadline) && !served; time.Sleep(50 * time.Millisecond) {
			o := s.send(nil, v.caller, "safe", fmt.Sprintf("probe-%s-%d", v.name, time.Now().UnixNano()), firstKey, soakDeadline)
			served = o.status == 200
		}
		assert.Assert(s.t, served, "%s does not serve requests %s", v.name, when)
	}
}

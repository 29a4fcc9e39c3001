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

// faults injects faults, one after the other and overlapping, until a time.
func (s *soak) faults(until time.Time) {
	var under sync.WaitGroup
	for time.Now().Before(until) {
		v, l := s.vms[s.random.IntN(len(s.vms))], s.links[s.random.IntN(len(s.links))]
		d := time.Duration(200+s.random.IntN(1500)) * time.Millisecond
		switch kind := s.random.IntN(13); kind {
		case 0:
			under.Go(func() { s.restart(v, syscall.SIGKILL) })
		case 1:
			under.Go(func() { s.restart(v, syscall.SIGTERM) })
		case 2:
			v.signal(syscall.SIGSTOP, false)
			under.Go(func() { time.Sleep(2 * d); v.signal(syscall.SIGCONT, false) })
		case 3:
			v.signal(syscall.SIGHUP, false)
		case 4, 5, 6:
			broken := []*link.Link{l, v.store}[s.random.IntN(2)]
			[]func(){broken.Cut, broken.Stall, broken.StallOneWay, func() { broken.Delay(50 * time.Millisecond) }}[s.random.IntN(4)]()
			under.Go(func() { time.Sleep(d); broken.Mend() })
		case 7:
			mode := []lender.Mode{lender.Busy, lender.Many, lender.Resets, lender.Silent, lender.History}[s.random.IntN(5)]
			s.store.SetMode(mode)
			under.Go(func() { time.Sleep(d); s.store.SetMode(lender.Up) })
		case 8, 9, 10:
			s.replaceTarget(under.Go)
		case 11:
			s.store.Put("op/evacuate/"+dataCentre(s.random.IntN(3)), map[string]any{})
			under.Go(func() { time.Sleep(d); s.endOutages() })
		case 12:
			s.takeKey()
		}
		time.Sleep(time.Duration(s.random.IntN(300)) * time.Millisecond)
	}
	under.Wait()
}

func (s *soak) endOutages() {
	for i := range 3 {
		s.store.Remove("op/evacuate/" + dataCentre(i))
	}
}

// takeKey takes the second key away, once.
func (s *soak) takeKey() {
	if !s.taken.IsZero() {
		return
	}
	s.configure(firstKey)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken = time.Now()
}

// replaceTarget lets a target leave with or without notice, and another come.
func (s *soak) replaceTarget(do func(func())) {
	i := s.random.IntN(len(s.targets))
	t := s.targets[i]
	notice, crash := s.random.IntN(3) > 0, s.random.IntN(4) == 0
	s.targets = append(s.targets[:i], s.targets[i+1:]...)
	s.addTarget(t.Service, i)
	if notice {
		t.Register("draining")
	}
	do(func() {
		if !crash {
			time.Sleep(800 * time.Millisecond)
		}
		t.Stop()
		s.store.Remove("servers/" + t.ID)
	})
}

// restart ends a VM's process and starts it again.
func (s *soak) restart(v *soakVM, sig syscall.Signal) {
	v.mu.Lock()
	if v.stopping {
		v.mu.Unlock()
		return
	}
	v.stopping = true
	ended := v.ended
	v.mu.Unlock()
	v.signal(syscall.SIGCONT, true)
	s.awaitStarted(v)
	v.signal(sig, true)
	select {
	case err := <-ended:
		if sig == syscall.SIGTERM && err != nil {
			s.t.Errorf("%s: a planned stop ended with %v", v.name, err)
		}
	case <-time.After(stopWithin + 5*time.Second):
		s.t.Errorf("%s still runs after %s and %s", v.name, sig, stopWithin)
		v.signal(syscall.SIGKILL, true)
		s.t.Logf("%s was killed: %v", v.name, <-ended)
	}
	s.start(v)
}

// awaitStarted waits for a process's first line. Before it, the process has
// taken nothing that a signal could cut, and has no handler for one.
func (s *soak) awaitStarted(v *soakVM) {
	for deadline := time.Now().Add(recoverTime); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if info, err := os.Stat(filepath.Join(s.dir, v.name+".log")); err == nil && info.Size() > v.logged {
			return
		}
	}
	s.t.Errorf("%s has not started", v.name)
}

// mend takes every fault back.
func (s *soak) mend() {
	s.store.SetMode(lender.Up)
	s.endOutages()
	for _, l := range s.links {
		l.Mend()
	}
	for _, v := range s.vms {
		v.store.Mend()
		v.signal(syscall.SIGCONT, false)
	}
}

// awaitServed waits until every VM serves a request.
func (s *soak) awaitServed(when string) {
	for _, v := range s.vms {
		served := false
		for deadline := time.Now().Add(recoverTime); time.Now().Before(deadline) && !served; time.Sleep(50 * time.Millisecond) {
			o := s.send(nil, v.caller, "safe", fmt.Sprintf("probe-%s-%d", v.name, time.Now().UnixNano()), firstKey, soakDeadline)
			served = o.status == 200
		}
		assert.Assert(s.t, served, "%s does not serve %s", v.name, when)
	}
}

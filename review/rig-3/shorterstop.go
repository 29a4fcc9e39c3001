package main

import (
	"fmt"
	"maps"
	"sync"
	"syscall"
	"time"

	"bluebelldoor/standin/lender"
)

const (
	// longGrace and shortGrace are grace_s before and after the change of the settings.
	longGrace  = 8 * time.Second
	shortGrace = 4 * time.Second
	// earlySend is how long after a SIGTERM a request counts as sent early: it is excused if its
	// runner is still at work in the last sixth of grace_s.
	earlySend = 3 * time.Second
	bookWork  = 600 * time.Millisecond
)

// runShorterStop changes grace_s in the settings of a running VM, and stops it later as the
// platform does: SIGTERM, and SIGKILL after grace_s.
func runShorterStop(e *environment) (bool, error) {
	store, stopStore := lender.NewStore()
	e.onExit(stopStore)
	store.Put("op/config", routing(1, goodKey))
	var runners []*rawRunner
	for i := range zones {
		r, err := newRawRunner(e, store, i, false, bookWork)
		if err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	vms, err := newFleet(e, store)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // all VMs know each other
	stopped, grace := vms[0], longGrace
	if e.trouble {
		grace = shortGrace
		changed := maps.Clone(bounds)
		changed["grace_s"] = fmt.Sprint(shortGrace.Seconds())
		if err := stopped.writeSettings(zone(0), []string{vms[0].control, vms[1].control, vms[2].control}, false, changed); err != nil {
			return false, err
		}
		stopped.signal(syscall.SIGHUP)
		e.logf("the settings of %s now say grace_s %s; it got SIGHUP", stopped.name, changed["grace_s"])
		time.Sleep(5 * time.Second)
	}
	var mu sync.Mutex
	var callers sync.WaitGroup
	var answers []answer
	end := time.Now().Add(longGrace + 2*time.Second)
	for n := range 6 {
		callers.Go(func() {
			c := &caller{address: stopped.front}
			defer c.close()
			for time.Now().Before(end) {
				a := c.ask(request{method: "POST", host: host, path: fmt.Sprintf("/book/%d", n), key: goodKey, body: "booking", deadline: 3 * time.Second})
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	stopped.signal(syscall.SIGTERM)
	terminated := time.Now()
	e.logf("%s got SIGTERM", stopped.name)
	timer := time.AfterFunc(grace, func() {
		stopped.signal(syscall.SIGKILL)
		e.logf("%s gets SIGKILL after grace_s", stopped.name)
	})
	stopped.awaitExit()
	ended := time.Now()
	timer.Stop()
	e.logf("%s ended %.3f s after SIGTERM", stopped.name, ended.Sub(terminated).Seconds())
	callers.Wait()
	return countLost(e, answers, runners, terminated, grace), nil
}

// countLost reports whether requests were passed on to a runner and got no complete answer.
func countLost(e *environment, answers []answer, runners []*rawRunner, terminated time.Time, grace time.Duration) bool {
	lost, complete := 0, 0
	for _, a := range answers {
		if a.complete {
			complete++
			continue
		}
		for _, r := range runners {
			if r.givenTo(a.id) == 0 {
				continue
			}
			sent := a.sent.Sub(terminated)
			if sent <= earlySend && sent+bookWork > grace*5/6 {
				e.logf("%s: passed on to %s and cut off, but excused: sent %.3f s after SIGTERM, its runner still worked in the last sixth of grace_s", a.id, r.id, sent.Seconds())
				continue
			}
			lost++
			e.logf("%s: passed on to %s and cut off, sent %.3f s after SIGTERM: %v", a.id, r.id, sent.Seconds(), a.err)
		}
	}
	e.logf("%d requests were sent to it, %d got a complete answer, %d were passed on and cut off", len(answers), complete, lost)
	return lost > 0
}

package main

import (
	"net/http"
	"syscall"
	"time"
)

const (
	// graceBefore and graceAfter are grace_s before and after the settings change.
	graceBefore = 8 * time.Second
	graceAfter  = 4 * time.Second
	// addressUse is how long after its stop began callers still use a VM's address: ttl_s is
	// 2, and some keep it three times as long.
	addressUse = 6 * time.Second
	// deskWork is how long a booking takes at its target.
	deskWork = 200 * time.Millisecond
)

// playSettings shortens grace_s in the settings of all VMs, and stops one of them 3 s later.
func playSettings(r *rig, trouble bool) (int, error) {
	s := startStore(r)
	var targets []*target
	for i, zone := range zones {
		t := startTarget(r, []string{"i-aa01", "i-bb02", "i-cc03"}[i], "desk", zone, deskWork)
		s.put("servers/"+t.id, t.entry())
		targets = append(targets, t)
	}
	s.put("op/config", map[string]any{
		"version": 3, "routes": []any{route("r-book", "/book/", "unsafe", "desk")}, "services": []any{service("desk")}, "limits": limits(),
	})
	vms, err := startVMs(r, smallMachine(), smallBounds(), func(string) string { return s.address })
	if err != nil {
		return 0, err
	}
	if err := awaitFleet(vms); err != nil {
		return 0, err
	}
	callers, stop := newCaller(r), make(chan struct{})
	wait := every(50*time.Millisecond, stop, func() { callers.send(vms[0], http.MethodPost, "/book/1") })
	grace := graceBefore
	if trouble {
		grace = graceAfter
		for _, v := range vms {
			v.fields["bounds"].(map[string]any)["grace_s"] = int(graceAfter / time.Second)
			if err := v.writeSettings(); err != nil {
				return 0, err
			}
			r.note("settings of %s: grace_s %s", v.name, graceAfter)
			if err := v.signal(syscall.SIGHUP); err != nil {
				return 0, err
			}
		}
	}
	time.Sleep(3 * time.Second)
	stopped := r.at()
	if err := vms[0].signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	kill := time.AfterFunc(grace, func() { _ = vms[0].signal(syscall.SIGKILL) })
	defer kill.Stop()
	select {
	case <-vms[0].ended:
	case <-time.After(addressUse):
	}
	close(stop)
	wait()
	<-vms[0].ended
	return countLost(r, callers.wait(), targets, stopped, grace), nil
}

// countLost returns how many requests a target had got and the caller got no whole answer to,
// but for those that LOST does not count.
func countLost(r *rig, answers []answer, targets []*target, stopped, grace time.Duration) int {
	ran, lost := allExecutions(targets), 0
	for _, a := range answers {
		e, passedOn := ran[a.id]
		if a.err == nil || !a.written || !passedOn {
			continue
		}
		if atWork := e.ended == 0 || e.ended > stopped+grace*5/6; a.sent <= stopped+3*time.Second && atWork {
			continue
		}
		r.note("LOST: %s, sent %.3f s after SIGTERM, passed on and not answered: %v", a.id, (a.sent - stopped).Seconds(), a.err)
		lost++
	}
	r.note("%d requests sent", len(answers))
	return lost
}

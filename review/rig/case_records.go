package main

import (
	"net/http"
	"slices"
	"time"
)

const (
	drainTime = 2 * time.Second
	// foreignAfter is how long after the removal of the target's entry the other writer writes.
	foreignAfter = 500 * time.Millisecond
	// leaverServes is how long after that removal the target goes on serving.
	leaverServes = 10 * time.Second
)

// playRecords removes the entry of a target that leaves, and has another writer write an
// entry under the same key that lacks fields.
func playRecords(r *rig, trouble bool) (int, error) {
	s := startStore(r)
	var targets []*target
	for i, zone := range append(slices.Clone(zones), zones[0]) {
		t := startTarget(r, []string{"i-aa01", "i-bb02", "i-cc03", "i-dd04"}[i], "desk", zone, 30*time.Millisecond)
		s.put("servers/"+t.id, t.entry())
		targets = append(targets, t)
	}
	leaver := targets[3]
	s.put("op/config", map[string]any{
		"version": 3, "services": []any{service("desk")}, "limits": limits(),
		"routes": []any{route("r-book", "/book/", "unsafe", "desk"), route("r-look", "/look/", "safe", "desk")},
	})
	vms, err := startVMs(r, smallMachine(), smallBounds(), func(string) string { return s.address })
	if err != nil {
		return 0, err
	}
	if err := awaitFleet(vms); err != nil {
		return 0, err
	}
	callers, stop := newCaller(r), make(chan struct{})
	var waits []func()
	for _, v := range vms {
		waits = append(waits, every(100*time.Millisecond, stop, func() {
			callers.send(v, http.MethodPost, "/book/1")
			callers.send(v, http.MethodGet, "/look/1")
		}))
	}
	time.Sleep(2 * time.Second)
	s.remove("servers/" + leaver.id)
	gone := r.at()
	r.note("entry of %s removed, acknowledged", leaver)
	if trouble {
		time.Sleep(foreignAfter)
		s.put("servers/"+leaver.id, map[string]any{"service": leaver.service, "address": leaver.address, "zone": leaver.zone, "state": "ready"})
		r.note("another writer has written an entry without version, slots, cold_ms, sequence and born")
	}
	time.Sleep(leaverServes - foreignAfter)
	close(stop)
	for _, wait := range waits {
		wait()
	}
	late := 0
	executions := leaver.executions()
	for _, a := range callers.wait() {
		if _, ran := executions[a.id]; ran && a.sent > gone+drainTime {
			r.note("DRAIN: %s, sent %.3f s after the entry was gone, ran at %s", a.id, (a.sent - gone).Seconds(), leaver)
			late++
		}
	}
	return late, nil
}

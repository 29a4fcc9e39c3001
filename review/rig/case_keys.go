package main

import (
	"net/http"
	"time"
)

const (
	// revokeTime is revoke_ms.
	revokeTime = 5 * time.Second
	// afterRevocation is how long after the change callers go on.
	afterRevocation = 12 * time.Second
	// clientKey is the key of the only tenant, and strangerKey one that no version holds.
	clientKey   = "xd9dnn2ctnfzs989anu6"
	strangerKey = "wsjnbanfqasnmgkcuyj8"
)

// playKeys takes the only tenant, and with it its key, out of the configuration.
func playKeys(r *rig, trouble bool) (int, error) {
	s := startStore(r)
	var targets []*target
	for i, zone := range zones {
		t := startTarget(r, []string{"i-aa01", "i-bb02", "i-cc03"}[i], "desk", zone, 30*time.Millisecond)
		s.put("servers/"+t.id, t.entry())
		targets = append(targets, t)
	}
	book := route("r-book", "/book/", "unsafe", "desk")
	book["public"] = false
	configuration := map[string]any{
		"version": 3, "routes": []any{book}, "services": []any{service("desk")}, "limits": limits(),
		"tenants": []any{map[string]any{"name": "huka270", "api_keys": []string{clientKey}}},
	}
	s.put("op/config", configuration)
	vms, err := startVMs(r, smallMachine(), smallBounds(), func(string) string { return s.address })
	if err != nil {
		return 0, err
	}
	if err := awaitFleet(vms); err != nil {
		return 0, err
	}
	clients, strangers, stop := newCaller(r), newCaller(r), make(chan struct{})
	strangers.n = 1 << 20
	var waits []func()
	for _, v := range vms {
		waits = append(waits, every(200*time.Millisecond, stop, func() {
			clients.sendWith(v, http.MethodPost, "/book/1", deskDeadline, http.Header{"Authorization": {"Bearer " + clientKey}})
			strangers.sendWith(v, http.MethodPost, "/book/1", deskDeadline, http.Header{"Authorization": {"Bearer " + strangerKey}})
		}))
	}
	time.Sleep(2 * time.Second)
	if trouble {
		configuration["version"], configuration["tenants"] = 4, []any{}
		s.put("op/config", configuration)
		r.note("version 4 acknowledged: no tenant holds a key")
	}
	revoked := r.at()
	time.Sleep(afterRevocation)
	close(stop)
	for _, wait := range waits {
		wait()
	}
	ran := allExecutions(targets)
	return countRevoked(r, clients.wait(), ran, trouble, revoked) + countUnknown(r, strangers.wait(), ran), nil
}

// allExecutions returns what targets have run, by ID.
func allExecutions(targets []*target) map[string]execution {
	out := map[string]execution{}
	for _, t := range targets {
		for id, e := range t.executions() {
			out[id] = e
		}
	}
	return out
}

// countRevoked returns how many requests ran that were sent too long after their key had been
// taken away.
func countRevoked(r *rig, answers []answer, ran map[string]execution, isRevoked bool, revoked time.Duration) int {
	n := 0
	for _, a := range answers {
		if _, ok := ran[a.id]; ok && isRevoked && a.sent > revoked+revokeTime {
			r.note("CONFIG: %s, sent to %s %.3f s after its key was taken away, ran", a.id, a.vm, (a.sent - revoked).Seconds())
			n++
		}
	}
	return n
}

// countUnknown returns how many requests ran whose key no version has ever held.
func countUnknown(r *rig, answers []answer, ran map[string]execution) int {
	n := 0
	for _, a := range answers {
		if _, ok := ran[a.id]; ok {
			r.note("ROUTE: %s, sent to %s at %.3f s with a key that no version held, ran", a.id, a.vm, a.sent.Seconds())
			n++
		}
	}
	return n
}

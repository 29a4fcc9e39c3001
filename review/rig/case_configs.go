package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// configTime is config_ms of the grown sites.
	configTime = 3 * time.Second
	// stormGap is that of config_storm.
	stormGap = 330 * time.Millisecond
	// accounts is how many client accounts the configuration has.
	accounts = 16_000
	// linkMegabits is the smallest link of a machine of the grown sites.
	linkMegabits = 10.0
	// watchTime is how long after the last change callers go on.
	watchTime = 30 * time.Second
)

// stormChanges is how many changes come in quick succession. config_storm lasts up to 4 s.
var stormChanges = 6

// configuration returns a version. Each has another key for one of the accounts.
func configuration(version int, serves string) map[string]any {
	tenants := make([]any, accounts)
	for i := range tenants {
		key := fmt.Sprintf("k%019d", i)
		if i == version {
			key = fmt.Sprintf("n%019d", i)
		}
		tenants[i] = map[string]any{"name": fmt.Sprintf("t%05d", i), "api_keys": []string{key}}
	}
	return map[string]any{
		"version": version, "limits": limits(), "tenants": tenants,
		"services": []any{service("first"), service("second")},
		"routes":   []any{route("r-look", "/look/", "safe", serves)},
	}
}

// playConfigs changes a large configuration in quick succession. The last change moves a
// route to another service.
func playConfigs(r *rig, trouble bool) (int, error) {
	s := startStore(r)
	var first []*target
	for i, zone := range zones {
		old, other := startTarget(r, fmt.Sprintf("i-aa0%d", i), "first", zone, 20*time.Millisecond), startTarget(r, fmt.Sprintf("i-bb0%d", i), "second", zone, 20*time.Millisecond)
		s.put("servers/"+old.id, old.entry())
		s.put("servers/"+other.id, other.entry())
		first = append(first, old)
	}
	s.put("op/config", configuration(1, "first"))
	links := map[string]string{}
	for i, zone := range zones {
		address, err := startLink(r, s.address, linkMegabits)
		if err != nil {
			return 0, err
		}
		links[fmt.Sprintf("front-%s-%d", zone, i+1)] = address
	}
	vms, err := startVMs(r, smallestMachine(), grownBounds(), func(name string) string { return links[name] })
	if err != nil {
		return 0, err
	}
	if err := awaitFleet(vms); err != nil {
		return 0, err
	}
	callers, stop := newCaller(r), make(chan struct{})
	var waits []func()
	for _, v := range vms {
		waits = append(waits, every(200*time.Millisecond, stop, func() { callers.send(v, http.MethodGet, "/look/1") }))
	}
	time.Sleep(2 * time.Second)
	version := 2
	// Without the disruption there is the last change alone.
	if trouble {
		for began := time.Now(); version <= stormChanges; version++ {
			s.put("op/config", configuration(version, "first"))
			r.note("version %d acknowledged", version)
			time.Sleep(time.Until(began.Add(time.Duration(version-1) * stormGap)))
		}
	}
	s.put("op/config", configuration(version, "second"))
	moved := r.at()
	r.note("version %d acknowledged: /look/ is served by second", version)
	time.Sleep(watchTime)
	close(stop)
	for _, wait := range waits {
		wait()
	}
	ran := map[string]bool{}
	for _, t := range first {
		for id := range t.executions() {
			ran[id] = true
		}
	}
	late := 0
	for _, a := range callers.wait() {
		if ran[a.id] && a.sent > moved+configTime {
			r.note("CONFIG: %s, sent to %s %.3f s after the ack, ran at first", a.id, a.vm, (a.sent - moved).Seconds())
			late++
		}
	}
	return late, nil
}

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// configTime is config_ms of the grown sites.
	configTime = 3 * time.Second
	// accounts is how many client accounts the configuration has.
	accounts = 16_000
	// watchTime is how long after the last change callers go on.
	watchTime = 26 * time.Second
)

// storm is how the configuration changes in quick succession.
var storm = struct {
	// changes is the number of changes, the last one included, and gap the time between two.
	changes int
	gap     time.Duration
	// megabits is the rate at which a VM reads the store.
	megabits float64
}{6, 330 * time.Millisecond, 10}

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
	catalogue, err := storeLinks(r, s)
	if err != nil {
		return 0, err
	}
	vms, err := startVMs(r, smallestMachine(), grownBounds(), catalogue)
	if err != nil {
		return 0, err
	}
	if err := awaitFleet(vms); err != nil {
		return 0, err
	}
	var versions []string
	for version := 2; trouble && version <= storm.changes; version++ {
		versions = append(versions, encode(configuration(version, "first")))
	}
	versions = append(versions, encode(configuration(storm.changes+1, "second")))
	callers, stop := newCaller(r), make(chan struct{})
	var waits []func()
	for _, v := range vms {
		waits = append(waits, every(200*time.Millisecond, stop, func() { callers.send(v, http.MethodGet, "/look/1") }))
	}
	time.Sleep(2 * time.Second)
	// Without the disruption there is the last change alone.
	began := time.Now()
	for i, version := range versions {
		time.Sleep(time.Until(began.Add(time.Duration(i) * storm.gap)))
		s.change(item{Key: "op/config", Value: version})
		r.note("change %d of %d acknowledged", i+1, len(versions))
	}
	moved := r.at()
	r.note("from now on /look/ is served by second")
	time.Sleep(watchTime)
	close(stop)
	for _, wait := range waits {
		wait()
	}
	late, ran := 0, allExecutions(first)
	for _, a := range callers.wait() {
		if _, ok := ran[a.id]; ok && a.sent > moved+configTime {
			r.note("CONFIG: %s, sent to %s %.3f s after the ack, ran at first", a.id, a.vm, (a.sent - moved).Seconds())
			late++
		}
	}
	return late, nil
}

// storeLinks returns the address at which each VM reaches the store.
func storeLinks(r *rig, s *store) (func(name string) string, error) {
	links := map[string]string{}
	for i, zone := range zones {
		address, err := startLink(r, s.address, storm.megabits)
		if err != nil {
			return nil, err
		}
		links[vmName(zone, i)] = address
	}
	return func(name string) string { return links[name] }, nil
}

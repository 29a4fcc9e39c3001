package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// coldTime and coldPerSecond are the service's cold_s and cold_per_s.
	coldTime      = 4 * time.Second
	coldPerSecond = 6.0
	// coldFactor and coldSlack are the bounds.
	coldFactor = 1.5
	coldSlack  = 5.0
	// generations is how many streams run when the release begins.
	generations = 46
	// drainAfter is how long after the start of the new engine the old one drains.
	drainAfter = time.Second
)

// playCold replaces one of two engines that are busy with streams: the new one starts, then
// the old one drains.
func playCold(r *rig, trouble bool) (int, error) {
	s, fleet := startStore(r), &engines{byAddress: map[string]*engine{}}
	old := startEngine(r, fleet, "i-aa01", zones[0], 0)
	other := startEngine(r, fleet, "i-bb02", zones[0], 0)
	s.put("servers/"+old.id, old.entry())
	s.put("servers/"+other.id, other.entry())
	reports := route("r-report", "/report/", "streaming", "lm")
	reports["timeout_ms"], reports["slo_ms"], reports["priority"], reports["affinity"], reports["gap_target_ms"] = 39000, 1800, 1, true, 180
	lm := service("lm")
	lm["max_conns"], lm["cold_s"], lm["cold_per_s"] = 232, coldTime.Seconds(), coldPerSecond
	lm["engine"] = map[string]any{
		"slots": 24, "kv_capacity": 34201, "kv_token_bytes": kvTokenBytes, "link_mbps": 24000.0, "moves": true, "backups": true, "stride": stride,
		"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
	}
	s.put("op/config", map[string]any{"version": 3, "routes": []any{reports}, "services": []any{lm}, "limits": limits()})
	vms, err := startVMs(r, smallMachine(), smallBounds(), func(string) string { return s.address })
	if err != nil {
		return 0, err
	}
	if err := awaitFleet(vms); err != nil {
		return 0, err
	}
	callers := newCaller(r)
	for i := range generations {
		callers.generate(vms[i%len(vms)], "/report/1", 300, 1200)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	most, from := 0, time.Duration(0)
	if trouble {
		fresh := startEngine(r, fleet, "i-cc03", zones[0], coldTime)
		s.put("servers/"+fresh.id, fresh.entry())
		r.note("%s has started, cold for %s", fresh.id, coldTime)
		time.Sleep(drainAfter)
		old.drain()
		s.put("servers/"+old.id, old.entry())
		r.note("%s drains, with %d generations; %s has %d", old.id, old.running(), other.id, other.running())
		time.Sleep(coldTime)
		most, from = fresh.busiest()
	}
	answers := callers.wait()
	complete := 0
	for _, a := range answers {
		if a.err == nil && a.status == http.StatusOK {
			complete++
		}
	}
	bound := coldPerSecond*coldFactor + coldSlack
	r.note("%d of %d streams complete; a cold engine got %d requests in the second from %.3f s, bound %.1f", complete, len(answers), most, from.Seconds(), bound)
	fmt.Printf("cold: %d of %d streams complete, %d requests in one second, bound %.1f\n", complete, len(answers), most, bound)
	if float64(most) > bound {
		return 1, nil
	}
	return 0, nil
}

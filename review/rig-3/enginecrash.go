package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"bluebelldoor/standin/lender"
)

const (
	engines = 18
	// crashed engines of all end at once (srv_crash, share .17), crashes times, crashEvery apart,
	// and are down for crashFor.
	crashed    = 3
	crashes    = 5
	crashEvery = 3 * time.Second
	crashFor   = 4500 * time.Millisecond
	// reportEvery is the time between two reports that clients ask for: 6.94 a second.
	reportEvery = 144 * time.Millisecond
	// topics and subjects are the numbers of first and second parts that prompts share.
	topics   = 40
	subjects = 126
	// reportEvents is how many events a report has; the stand-in makes one each 10 ms.
	reportEvents = 900
)

// engineRouting returns a configuration with a route for reports.
func engineRouting() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "report", "host": host, "prefix": "/report/", "kind": "streaming", "service": "models", "affinity": true,
			"timeout_ms": 39000, "slo_ms": 1800, "gap_target_ms": 180, "priority": 1, "max_attempts": 1,
		}},
		"services": []any{map[string]any{
			"name": "models", "health_path": "/health", "max_conns": 232, "cold_s": 1, "cold_per_s": 25,
			"engine": map[string]any{"slots": 24, "kv_capacity": 34201, "kv_token_bytes": 163840, "link_mbps": 24000, "moves": true, "backups": true, "stride": 4},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant-1", "api_keys": []string{goodKey}}, map[string]any{"name": "tenant-2", "api_keys": []string{secondKey}}},
	}
}

const secondKey = "key-second"

// runEngineCrash has a few engines crash again and again while clients ask for reports, none of
// which has anything to do with the crashes.
func runEngineCrash(e *environment) (bool, error) {
	store, stopStore := lender.NewStore()
	e.onExit(stopStore)
	cluster := lender.NewCluster(store)
	store.Put("op/config", engineRouting())
	var all []*lender.Target
	for i := range engines {
		t := cluster.Add(fmt.Sprintf("engine-%02d", i), "models", zone(i))
		t.SetDownFor(crashFor)
		e.onExit(t.Stop)
		all = append(all, t)
	}
	vms, err := newFleet(e, store, 2*zones, bounds)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // all VMs know each other
	if e.trouble {
		go crashEngines(e, all)
	}
	var mu sync.Mutex
	var callers sync.WaitGroup
	statuses := map[int]int{}
	sent, denied := 0, 0
	for end := time.Now().Add(32 * time.Second); time.Now().Before(end); time.Sleep(reportEvery) {
		sent++
		n := sent
		callers.Go(func() {
			c := &caller{address: vms[rand.IntN(len(vms))].front}
			defer c.close()
			// A few tenants and topics are large.
			topic := int(topics * math.Pow(rand.Float64(), 3))
			key := goodKey
			if topic%2 == 1 {
				key = secondKey
			}
			a := c.ask(request{
				method: "POST", host: host, path: fmt.Sprintf("/report/%d", n), key: key, body: "film", deadline: 39 * time.Second,
				header: map[string]string{
					"Model": "m", "Token-Count": fmt.Sprintf("3000,%d", reportEvents), "Length-Hint": fmt.Sprint(reportEvents),
					"Prompt-Prefix": fmt.Sprintf("a%02x:48,b%02x:31,c%06x:2921", topic, rand.IntN(subjects), n),
				},
			})
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
			if a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 && a.stamp == "" {
				denied++
				e.logf("%s: refused for good with status %d: %s", a.id, a.status, firstLine(a.body))
			}
		})
	}
	callers.Wait()
	allowed := 5 + sent/500
	e.logf("%d proper requests were sent, statuses %v; %d were ended with a 4xx of the system's own, %d are allowed", sent, statuses, denied, allowed)
	return denied > allowed, nil
}

// crashEngines ends engines at random, some at once.
func crashEngines(e *environment, all []*lender.Target) {
	for range crashes {
		for _, i := range rand.Perm(len(all))[:crashed] {
			e.logf("%s crashes", all[i].ID)
			all[i].Restart()
		}
		time.Sleep(crashEvery)
	}
}

// firstLine returns the first line of a text.
func firstLine(text string) string {
	for i, r := range text {
		if r == '\n' {
			return text[:i]
		}
	}
	return text
}

package main

import (
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"bluebelldoor/standin/lender"
)

const (
	host      = "api.example"
	goodKey   = "key-good"
	oldKey    = "key-withdrawn"
	revokeFor = 5 * time.Second // revoke_ms
	// awayFor is how long the store is away before it returns from its copy.
	awayFor = 500 * time.Millisecond
	// restartDelay is the time between the end of a process and its next start.
	restartDelay = 300 * time.Millisecond
	// rewriteAfter is how long after its return the store holds again what had been written.
	rewriteAfter = 2 * time.Second
)

// routing returns a configuration in which one tenant holds the keys.
func routing(version int, keys ...string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "read", "host": host, "prefix": "/read/", "kind": "safe", "service": "app",
				"timeout_ms": 1000, "slo_ms": 150, "priority": 1, "max_attempts": 2,
			},
			map[string]any{
				"name": "book", "host": host, "prefix": "/book/", "kind": "unsafe", "service": "app",
				"timeout_ms": 3000, "slo_ms": 300, "priority": 1, "max_attempts": 1,
			},
		},
		"services": []any{map[string]any{"name": "app", "health_path": "/health", "max_conns": 96, "cold_s": 0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "tenant", "api_keys": keys}},
	}
}

// runRestoredKey withdraws a key, waits until it must not run any more, and lets the store
// return from a copy that is older, while one VM starts again.
func runRestoredKey(e *environment) (bool, error) {
	store, stopStore := lender.NewStore()
	e.onExit(stopStore)
	cluster := lender.NewCluster(store)
	store.Put("op/config", routing(1, goodKey, oldKey))
	for i := range zones {
		t := cluster.Add("app-"+zone(i), "app", zone(i))
		e.onExit(t.Stop)
	}
	vms, err := newFleet(e, store, 2*zones, bounds)
	if err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // all VMs know each other
	with := func(key string) request {
		return request{method: "GET", host: host, path: "/read/x", key: key, deadline: time.Second}
	}
	for _, v := range vms {
		c := &caller{address: v.front}
		if a := c.ask(with(oldKey)); a.status != 200 {
			return false, errors.Errorf("%s does not serve the key that is valid: status %d, %v", v.name, a.status, a.err)
		}
		c.close()
	}
	older := store.Copy()
	e.logf("a copy of the store is made")
	store.Put("op/config", routing(2, goodKey))
	withdrawn := time.Now()
	e.logf("version 2 without the key %s is acknowledged", oldKey)
	time.Sleep(revokeFor + time.Second)
	for _, v := range vms {
		c := &caller{address: v.front}
		if a := c.ask(with(oldKey)); a.status != 401 {
			return false, errors.Errorf("%s answers the withdrawn key with status %d, %v", v.name, a.status, a.err)
		}
		c.close()
	}
	e.logf("all VMs refuse the key")
	restarted := vms[0]

	if e.trouble {
		store.SetMode(lender.Aborts)
		e.logf("the store is away")
	}
	restarted.signal(syscall.SIGKILL)
	restarted.awaitExit()
	e.logf("%s was killed", restarted.name)
	time.Sleep(restartDelay)
	if err := restarted.start(); err != nil {
		return false, err
	}
	if e.trouble {
		time.Sleep(awayFor - restartDelay)
		rewrite := store.Restore(older)
		store.SetMode(lender.Up)
		e.logf("the store is back from its copy, which is %.1f s old", time.Since(withdrawn).Seconds())
		time.AfterFunc(rewriteAfter, func() {
			rewrite()
			e.logf("the store holds again what had been written")
		})
	}
	answers := askAll(e, vms, with(oldKey), rewriteAfter+2*time.Second)
	time.Sleep(300 * time.Millisecond) // the last runs are recorded
	broken := 0
	for _, a := range answers {
		for _, run := range cluster.Executions(a.id) {
			late := a.sent.Sub(withdrawn) - revokeFor
			e.logf("run of %s at %s for tenant %s, sent %.3f s after the key had to be dead, status %d", a.id, run.Target, run.Header.Get("Tenant"), late.Seconds(), a.status)
			if late > 0 {
				broken++
			}
		}
	}
	e.logf("%d requests with the withdrawn key were sent, %d ran", len(answers), broken)
	return broken > 0, nil
}

// askAll sends a request to all VMs again and again, and returns the answers.
func askAll(e *environment, vms []*vm, r request, duration time.Duration) []answer {
	const interval = 40 * time.Millisecond
	var mu sync.Mutex
	var answers []answer
	var callers sync.WaitGroup
	end := time.Now().Add(duration)
	for _, v := range vms {
		callers.Go(func() {
			c := &caller{address: v.front}
			defer c.close()
			last := -1
			for ; time.Now().Before(end); time.Sleep(interval) {
				a := c.ask(r)
				if a.status != last {
					last = a.status
					e.logf("%s answers the key with status %d from now on (%s, %v)", v.name, a.status, a.id, a.err)
				}
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	return answers
}

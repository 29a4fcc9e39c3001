package main

import "time"

// The deployment of all cases.
const (
	host = "desk.example"
	// settleTime is how long the fleet runs undisturbed before a case begins: all VMs are in
	// touch (stable_window_ms).
	settleTime = 3500 * time.Millisecond
	// startTime is within what time the VMs have to be ready.
	startTime = 20 * time.Second
)

var zones = []string{"lima-miraflores", "lima-ate", "lima-callao"}

// smallMachine returns the limits of a VM of the small sites.
func smallMachine() map[string]any {
	return map[string]any{"memory_mb": 134, "cpu_share": 0.4, "cores": 1, "link_mbps": 1000.0}
}

// smallBounds returns the bounds of the small sites.
func smallBounds() map[string]any {
	return map[string]any{
		"grace_s": 8, "ttl_max_s": 5, "revoke_ms": 5000, "config_ms": 2000, "drain_ms": 2000,
		"budget_window_s": 10, "budget_ratio": 0.2, "budget_slack": 52, "cold_factor": coldFactor, "cold_slack": coldSlack,
	}
}

// smallestMachine returns the limits of a VM of the grown sites with the smallest link.
func smallestMachine() map[string]any {
	return map[string]any{"memory_mb": 112, "cpu_share": 0.192, "cores": 1, "link_mbps": storm.megabits}
}

// grownBounds returns the bounds of the grown sites.
func grownBounds() map[string]any {
	bounds := smallBounds()
	bounds["config_ms"], bounds["drain_ms"], bounds["budget_slack"] = configTime.Milliseconds(), 3000, 190
	return bounds
}

// route returns a route of a configuration.
func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout_ms": 1000, "slo_ms": 150, "priority": 2,
		"service": service, "max_attempts": 1, "public": true, "affinity": false, "stream_resume": false,
	}
}

// service returns a service of a configuration.
func service(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false, "cold_s": 0.0, "cold_per_s": 0.0}
}

// limits are what callers may send.
func limits() map[string]any {
	return map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}

// awaitFleet waits until all VMs are ready and in touch.
func awaitFleet(vms []*vm) error {
	for _, v := range vms {
		if err := waitFor(v.name+" ready", startTime, v.isReady); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

// every calls f with each interval until stop is closed, and returns a function that waits
// for its end.
func every(interval time.Duration, stop <-chan struct{}, f func()) (wait func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				f()
			}
		}
	}()
	return func() { <-done }
}

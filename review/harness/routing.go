package harness

import "bluebelldoor/standin/lender"

// Paths of the routes.
const (
	SafePath   = "/safe/x"   // idempotent, on Desk
	UnsafePath = "/unsafe/x" // may run once, on Desk
	StreamPath = "/stream/x" // a generation that can't be resumed, on Engines
	ResumePath = "/resume/x" // one that can
)

// Services of the deployment.
const (
	Desk    = "desk"
	Engines = "engines"
)

// PutRouting writes a configuration like that of the site inmcd-pisada, with the given API
// keys.
func PutRouting(store *lender.Store, version int, keys ...string) {
	route := func(name, kind, service string, timeoutMs, sloMs, attempts int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": Host, "prefix": "/" + name + "/", "kind": kind, "service": service,
			"timeout_ms": timeoutMs, "slo_ms": sloMs, "priority": 1, "max_attempts": attempts,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	engine := map[string]any{"slots": 24, "kv_capacity": 34201, "kv_token_bytes": 163840, "link_mbps": 24000.0, "moves": true, "backups": true, "stride": 4}
	generation := func(resume bool) map[string]any {
		return map[string]any{"affinity": true, "stream_resume": resume, "gap_target_ms": 180}
	}
	store.Put("op/config", map[string]any{
		"version": version,
		"routes": []any{
			route("safe", "safe", Desk, 1000, 150, 2, nil),
			route("unsafe", "unsafe", Desk, 1000, 150, 1, nil),
			route("stream", "streaming", Engines, 39000, 1800, 1, generation(false)),
			route("resume", "streaming", Engines, 6000, 1500, 2, generation(true)),
		},
		"services": []any{
			map[string]any{"name": Desk, "health_path": "/health", "max_conns": 96},
			map[string]any{"name": Engines, "health_path": "/health", "max_conns": 232, "cold_s": 1.0, "cold_per_s": 25.0, "engine": engine},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "account", "api_keys": keys}},
	})
}

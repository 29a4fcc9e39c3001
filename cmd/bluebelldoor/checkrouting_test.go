package main_test

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const routingInForce = `{
  "version": 41,
  "routes": [
    {"name": "dossiers", "host": "api.example", "prefix": "/dossiers/", "kind": "streaming", "service": "engines",
     "timeout_ms": 39000, "slo_ms": 1800, "gap_target_ms": 180, "priority": 1, "max_attempts": 2, "affinity": true},
    {"name": "checks", "host": "api.example", "prefix": "/checks/", "kind": "streaming", "service": "engines",
     "timeout_ms": 6000, "slo_ms": 1500, "gap_target_ms": 180, "priority": 1, "max_attempts": 2, "affinity": true},
    {"name": "lookups", "host": "api.example", "prefix": "/lookups/", "kind": "safe", "service": "desk",
     "timeout_ms": 600, "slo_ms": 100, "priority": 2, "max_attempts": 2}
  ],
  "services": [
    {"name": "engines", "max_conns": 232, "cold_s": 1.0, "cold_per_s": 25.0, "engine": {"slots": 24, "kv_capacity": 26989}},
    {"name": "desk", "max_conns": 96}
  ],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304},
  "tenants": [{"name": "north", "api_keys": ["north-1f2e3d4c5b6a7988"]}]
}`

// checkResult is how a run of check ended.
type checkResult struct {
	output  string // without the directory of the files
	status  int
	cpuTime time.Duration
}

// checkProgram runs check on new.json and, unless its text is empty, old.json in force.
func checkProgram(tb testing.TB, routing, inForce string) checkResult {
	tb.Helper()
	dir := tb.TempDir()
	args := []string{"check", "-routing", filepath.Join(dir, "new.json")}
	assert.NilError(tb, os.WriteFile(args[2], []byte(routing), 0o600))
	if inForce != "" {
		args = append(args, "-inForce", filepath.Join(dir, "old.json"))
		assert.NilError(tb, os.WriteFile(args[4], []byte(inForce), 0o600))
	}
	cmd := exec.Command(program, args...)
	out, err := cmd.CombinedOutput()
	if exit := (*exec.ExitError)(nil); !errors.As(err, &exit) {
		assert.NilError(tb, err)
	}
	state := cmd.ProcessState
	return checkResult{strings.ReplaceAll(string(out), dir+"/", ""), state.ExitCode(), state.UserTime() + state.SystemTime()}
}

// TestCheckRouting guards against a wrong exit status, and against findings and differences
// that are missing in the output or without their place in the file.
func TestCheckRouting(t *testing.T) {
	edit := func(pairs ...string) string { return strings.NewReplacer(pairs...).Replace(routingInForce) }
	for name, c := range map[string]struct {
		routing, inForce string
		status           int
		output           []string
	}{
		"no findings":          {routingInForce, "", 0, []string{"new.json: ok"}},
		"the routing in force": {routingInForce, routingInForce, 0, []string{"new.json: ok"}},
		"differences alone": {
			edit(`"version": 41`, `"version": 42`, `600, "slo_ms": 100`, `700, "slo_ms": 100`, `"lookups"`, `"finds"`), routingInForce, 0,
			[]string{
				"new.json:2:14: version: changed: version changed from 41 to 42",
				`new.json:8:5: routes[2]: added: "finds"`,
				`old.json:8:5: routes[2]: removed: "lookups"`,
				"new.json: ok",
			},
		},
		"terms": {
			edit(`"version": 41`, `"version": 42`, `"gap_target_ms": 180, "priority": 1, "max_attempts": 2, "affinity": true},
    {"name": "checks"`, `"gap_target_ms": 180, "priority": 0, "max_attempts": 2, "affinity": true},
    {"name": "checks"`), routingInForce, 0,
			[]string{
				`new.json:5:77: routes[0].priority: changed: "dossiers": priority changed from 1 to 0`,
				`new.json:12:5: services[0]: termsChanged: service "engines": ProtectsStreams changed from false to true`,
				`new.json:4:5: routes[0]: termsChanged: service "engines": Protects("dossiers") changed from false to true`,
				"new.json: ok",
			},
		},
		"same version": {
			edit("232", "233"), routingInForce, 1,
			[]string{
				"new.json:2:14: version: outOfRange (404): 41 is not above 41, the version in force, which VMs would keep",
				`new.json:12:38: services[0].max_conns: changed: "engines": maxConnections changed from 232 to 233`,
			},
		},
		"findings in text order": {
			edit(`"/lookups/"`, `"/checks/"`, `"slo_ms": 1500`, `"slo_ms": 7500`, `600, `, `600, "public_": true, `), "", 1,
			[]string{
				`new.json:7:36: routes[1].slo_ms: contradiction (413): route "checks": the latency objective, 7.5s, is above the timeout, 6s`,
				`new.json:8:58: routes[2].prefix: unused (412): host "api.example" and prefix "/checks/" are those of the earlier route "checks", which gets all requests`,
				"new.json:9:25: routes[2].public_: unknownField (402): known fields are ",
			},
		},
		"not JSON":              {"{\n,", "", 1, []string{"new.json:2:1: : syntax (401): "}},
		"refused by VMs":        {edit(`"version": 41`, `"version": "41"`, `"/lookups/"`, `"/checks/"`), "", 1, []string{"new.json:2:14: version: wrongType (403): expected whole number from 0"}},
		"in force, unreadable":  {routingInForce, "{", 2, []string{"old.json:1:1: : syntax (401): "}},
		"in force, other build": {edit(`"version": 41`, `"version": 42`), edit(`"slots"`, `"new_field": 1, "slots"`), 0, []string{"new.json:2:14: version: changed: ", "new.json: ok"}},
	} {
		t.Run(name, func(t *testing.T) {
			got := checkProgram(t, c.routing, c.inForce)
			assert.Equal(t, got.status, c.status, "%s", got.output)
			lines := strings.Split(strings.TrimSpace(got.output), "\n")
			if name == "refused by VMs" {
				assert.Equal(t, len(lines), 1, "consequences of a value of a wrong type: %s", got.output)
			}
			for _, want := range c.output {
				found := -1
				for i, line := range lines {
					if strings.HasPrefix(line, want) {
						found = i
						break
					}
				}
				assert.Assert(t, found >= 0, "%q is missing or out of order:\n%s", want, got.output)
				lines = lines[found+1:]
			}
		})
	}
}

// TestCheckRoutingStatuses guards against command lines that are taken for a check without
// findings.
func TestCheckRoutingStatuses(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	assert.NilError(t, os.WriteFile(bad, []byte("{}"), 0o600))
	for name, c := range map[string]struct {
		args   []string
		status int
		output string
	}{
		"in force alone":          {[]string{"-inForce", bad}, 2, "bluebelldoor check"},
		"in force and a document": {[]string{"-document", "../../examples/instituto/document.hujson", "-inForce", bad}, 2, "bluebelldoor check"},
		"no routing file":         {[]string{"-routing", "nowhere"}, 2, "nowhere"},
		"no file in force":        {[]string{"-routing", bad, "-inForce", "nowhere"}, 2, "nowhere"},
		"a good document, too":    {[]string{"-document", "../../examples/instituto/document.hujson", "-routing", bad}, 1, "version: missingField (405)"},
		"a bad document, too":     {[]string{"-document", bad, "-routing", bad}, 1, "revision: missingField (405)"},
	} {
		t.Run(name, func(t *testing.T) {
			out, err := exec.Command(program, append([]string{"check"}, c.args...)...).CombinedOutput()
			var exit *exec.ExitError
			assert.Assert(t, errors.As(err, &exit), "%s", out)
			assert.Equal(t, exit.ExitCode(), c.status, "%s", out)
			assert.Assert(t, strings.Contains(string(out), c.output), "%s", out)
		})
	}
}

// largeRouting returns a megabyte of 4,000 routes, all with an unknown field if faulty.
func largeRouting(version int, faulty bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "{\"version\": %d, \"routes\": [", version)
	for i := range 4000 {
		if i > 0 {
			b.WriteString(",")
		}
		field := "public"
		if faulty {
			field = "publik"
		}
		fmt.Fprintf(&b, "\n{\"name\": \"r-%06d\", \"host\": \"host-%03d.api.example\", \"prefix\": \"/v%d/p%06d/\", \"kind\": \"streaming\", \"service\": \"s-%02d\", "+
			"\"timeout_ms\": 6000, \"slo_ms\": 1500, \"priority\": 0, \"max_attempts\": 2, %q: false, \"affinity\": true, \"stream_resume\": true, \"gap_target_ms\": 180}", i, i%100, version, i, i%20, field)
	}
	b.WriteString("],\n\"services\": [")
	for i := range 20 {
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, "\n{\"name\": \"s-%02d\", \"engine\": {\"slots\": 24, \"kv_capacity\": 26989}}", i)
	}
	b.WriteString("],\n\"limits\": {\"max_header_bytes\": 16384, \"max_body_bytes\": 4194304}}")
	return b.String()
}

// TestCheckRoutingLarge guards against work that grows with the square of the routing: a
// megabyte of 4,000 routes that all have findings and differences is checked within 5 seconds
// of CPU time, the longest that an operator should wait, also under the race detector.
func TestCheckRoutingLarge(t *testing.T) {
	routing, inForce := largeRouting(2, true), largeRouting(1, false)
	assert.Assert(t, len(routing) > 1_000_000)
	got := checkProgram(t, routing, inForce)
	assert.Equal(t, got.status, 1)
	assert.Equal(t, strings.Count(got.output, "unknownField"), 4000)
	assert.Equal(t, strings.Count(got.output, "prefix changed"), 4000)
	t.Logf("%d bytes in %s of CPU time", len(routing), got.cpuTime)
	assert.Assert(t, got.cpuTime < 5*time.Second, "%s", got.cpuTime)
}

// BenchmarkCheckRouting measures the whole command for a megabyte of 4,000 routes, compared
// with a version in force that differs in each.
func BenchmarkCheckRouting(b *testing.B) {
	routing, inForce := largeRouting(2, false), largeRouting(1, false)
	b.SetBytes(int64(len(routing)))
	cpuTime := time.Duration(0)
	for b.Loop() {
		got := checkProgram(b, routing, inForce)
		assert.Equal(b, got.status, 0)
		cpuTime += got.cpuTime
	}
	b.ReportMetric(cpuTime.Seconds()/float64(b.N), "cpu-s/op")
}

package main_test

import (
	"context"
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bluebelldoor/standin/caller"
)

var requestLine = regexp.MustCompile(`^    (GET|POST) (/v1/\S+)$`)

// example is a request shown in docs/INTERFACE.md.
type example struct {
	method, path string
	headers      []string
	body         []byte
}

// examples returns the requests of the section for callers, in document order.
func examples(t *testing.T) []example {
	t.Helper()
	text, err := os.ReadFile("../../docs/INTERFACE.md")
	assert.NilError(t, err)
	_, section, _ := strings.Cut(string(text), "## Callers")
	section, _, _ = strings.Cut(section, "## Operators")
	var out []example
	reading := false
	for line := range strings.SplitSeq(section, "\n") {
		name, value, isHeader := strings.Cut(strings.TrimSpace(line), ": ")
		switch m := requestLine.FindStringSubmatch(line); {
		case m != nil:
			out = append(out, example{method: m[1], path: m[2]})
			reading = true
		case !reading || !strings.HasPrefix(line, "    "):
			reading = false
		case strings.HasPrefix(line, "    {"):
			out[len(out)-1].body = []byte(strings.TrimSpace(line))
		case isHeader && !strings.HasPrefix(line, "    200"):
			out[len(out)-1].headers = append(out[len(out)-1].headers, name, value)
		default:
			reading = false
		}
	}
	return out
}

// TestInterfaceExamples sends the requests that docs/INTERFACE.md shows, with their
// abbreviated IDs replaced by those that the fleet issued.
func TestInterfaceExamples(t *testing.T) {
	f := newFleet(t, 1, 2, 1)
	f.warmUp()
	c := f.caller(0)
	const generation, key = "engine-1~9f...~c1...", "bd1...."
	issuedIDs := map[string]string{}
	sent := 0
	for _, e := range examples(t) {
		for from, to := range issuedIDs {
			e.path = strings.ReplaceAll(e.path, from, to)
			for i := range e.headers {
				e.headers[i] = strings.ReplaceAll(e.headers[i], from, to)
			}
		}
		if len(e.body) == 0 && e.method == "POST" && strings.Contains(e.path, "services") {
			e.body = []byte(`{}`)
		}
		reply, err := c.Do(context.Background(), e.method, f.vms[0].spec.CallerAddress, e.path, e.body, e.headers...)
		assert.NilError(t, err)
		assert.Equal(t, reply.Status, 200, "%s %s: %s", e.method, e.path, reply.Body)
		sent++
		switch {
		case strings.HasSuffix(e.path, "/completions"):
			issuedIDs[generation] = strings.Split(between(string(reply.Body), `"id":"`, `"`), ".")[0]
			assert.Assert(t, strings.Contains(string(reply.Body), "[DONE]"))
		case e.path == "/v1/keys":
			var minted struct{ Key string }
			assert.NilError(t, json.Unmarshal(reply.Body, &minted))
			issuedIDs[key] = minted.Key
		case strings.Contains(e.path, "/generations/"):
			assert.Assert(t, strings.Contains(string(reply.Body), ".18\n"), "resumes with token 18")
			assert.Assert(t, !strings.Contains(string(reply.Body), ".17\n"))
		}
	}
	assert.Equal(t, sent, 5)
}

func between(text, from, to string) string {
	_, rest, _ := strings.Cut(text, from)
	out, _, _ := strings.Cut(rest, to)
	return out
}

// TestBadRequests checks that each invalid request is refused with its own code and
// that nothing is executed.
func TestBadRequests(t *testing.T) {
	f := newFleet(t, 1, 1, 1)
	f.warmUp()
	unauthorized, err := caller.New("stranger", f.addresses(0)...)
	assert.NilError(t, err)
	good := []byte(`{"model":"gait","prompt":"len=2","max_tokens":2}`)
	huge := []byte(`{"model":"gait","prompt":"` + strings.Repeat("x", 2<<20) + `"}`)
	for name, c := range map[string]struct {
		method, path string
		body         []byte
		headers      []string
		unauthorized bool
		code         int
	}{
		"no such path":       {"GET", "/v2", nil, nil, false, 101},
		"not JSON":           {"POST", "/v1/completions", []byte("{"), nil, false, 101},
		"no model":           {"POST", "/v1/completions", []byte(`{"prompt":"x"}`), nil, false, 101},
		"no prompt":          {"POST", "/v1/completions", []byte(`{"model":"gait"}`), nil, false, 101},
		"too many tokens":    {"POST", "/v1/completions", []byte(`{"model":"gait","prompt":"x","max_tokens":1e6}`), nil, false, 101},
		"unknown model":      {"POST", "/v1/completions", []byte(`{"model":"x","prompt":"x"}`), nil, false, 103},
		"unknown class":      {"POST", "/v1/completions", good, []string{"X-Class", "x"}, false, 101},
		"bad deadline":       {"POST", "/v1/completions", good, []string{"X-Within-Ms", "-1"}, false, 101},
		"too large":          {"POST", "/v1/completions", huge, nil, false, 104},
		"unknown API key":    {"POST", "/v1/completions", good, nil, true, 102},
		"unknown service":    {"GET", "/v1/services/x", nil, nil, false, 105},
		"no idempotency key": {"POST", "/v1/services/bookings", []byte("{}"), nil, false, 106},
		"the caller's key":   {"POST", "/v1/services/bookings", []byte("{}"), []string{"Idempotency-Key", "mine"}, false, 107},
		"no such stream":     {"GET", "/v1/generations/engine-0~1~2", nil, nil, false, 109},
		"a bad last event":   {"GET", "/v1/generations/g", nil, []string{"Last-Event-ID", "h.1"}, false, 101},
		"resume, bad key":    {"GET", "/v1/generations/g", nil, nil, true, 102},
	} {
		t.Run(name, func(t *testing.T) {
			client := f.caller(0)
			if c.unauthorized {
				client = unauthorized
			}
			reply, err := client.Do(context.Background(), c.method, f.vms[0].spec.CallerAddress, c.path, c.body, c.headers...)
			assert.NilError(t, err)
			assert.Equal(t, reply.Code, c.code, "%s", reply.Body)
			assert.Equal(t, reply.Executed, "no")
		})
	}
	assert.Equal(t, len(f.runners[0].Executions()), 0)
}

package relayer

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/connection/acceptor"
	"bluebelldoor/platform"
	"bluebelldoor/process/registrar"
)

// presenceText is a routing in which each field of the wire has a value.
const presenceText = `{
  "version": 7,
  "routes": [
    {"name": "r1", "host": "h", "prefix": "/a/", "kind": "streaming", "timeout_ms": 6000, "slo_ms": 1500, "priority": 0,
     "traffic_split": [{"service": "s1", "weight": 1}], "max_attempts": 2, "affinity": true, "stream_resume": true, "gap_target_ms": 180, "public": false},
    {"name": "r2", "host": "h", "prefix": "/b/", "kind": "unsafe", "service": "s2"}
  ],
  "services": [
    {"name": "s1", "health_path": "/health", "max_conns": 232, "cold_s": 1.0, "cold_per_s": 25.5,
     "engine": {"slots": 24, "kv_capacity": 34201, "kv_token_bytes": 163840, "link_mbps": 24000.0, "moves": true, "backups": true, "stride": 4}},
    {"name": "s2", "cold_per_s": 10, "cold_s": 1.0}
  ],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
  "tenants": [{"name": "t", "api_keys": ["k1", "k2"], "priority": 1}]
}`

// textCatalogue publishes a target x and the text of a routing.
type textCatalogue struct {
	fakeCatalogue
	text string
}

func (c textCatalogue) Decode(r bluebelldoor.Record) bluebelldoor.Change {
	if r.Key != "routing" {
		return c.fakeCatalogue.Decode(r)
	}
	reader, stop := platform.NewStoreClient("127.0.0.1:1")
	defer stop()
	return reader.Decode(bluebelldoor.Record{Key: "op/config", Value: []byte(c.text)})
}

// newJob returns a request for a path with an API key, at a VM that has started on the text of
// a routing.
func (c textCatalogue) newJob(t *testing.T, path, key string) *job {
	clock := testClock{time.Now()}
	reg := registrar.New(c, clock, registrar.Role{
		ReadsForPeers: func() bool { return true }, Standby: func() bool { return false }, Changed: func() {},
	}, hclog.NewNullLogger())
	t.Cleanup(reg.Start())
	synctest.Wait()
	r := New(Settings{MaxKeyEvidenceAge: time.Second, MaxViewAge: time.Second, ColdFactor: 1.5, ColdAllowance: 5}, Sources{
		View: reg.View, EvidenceAge: func() (time.Duration, bool) { return 0, true }, Share: func() float64 { return 1 },
	}, Dependencies{}, clock, hclog.NewNullLogger())
	return &job{Relayer: r, call: &acceptor.Call{}, request: &bluebelldoor.RelayRequest{Host: "h", Path: path, APIKey: key}}
}

func (c textCatalogue) Read(ctx context.Context) (bluebelldoor.CatalogueReply, error) {
	out, err := c.fakeCatalogue.Read(ctx)
	out.Records = append(out.Records, bluebelldoor.Record{Key: "routing", Revision: 1})
	return out, err
}

// TestNoAccountHoldsKey guards against a routing whose list of client accounts is empty, or is
// no list, and that lets every caller in.
func TestNoAccountHoldsKey(t *testing.T) {
	const open, closed, unread = bluebelldoor.OK, bluebelldoor.Unauthorized, bluebelldoor.ViewStale
	for name, c := range map[string]struct {
		accounts string // the member of the routing, with the comma before it
		want     bluebelldoor.Code
	}{
		"absent":               {``, open},
		"null":                 {`, "tenants": null`, closed},
		"empty":                {`, "tenants": []`, closed},
		"null, then empty":     {`, "tenants": null, "tenants": []`, closed},
		"a list, then null":    {`, "tenants": [{"name": "t", "api_keys": ["k"]}], "tenants": null`, closed},
		"of null":              {`, "tenants": [null]`, closed},
		"of an empty account":  {`, "tenants": [{}]`, closed},
		"account without keys": {`, "tenants": [{"name": "t", "api_keys": []}]`, closed},
		"account of null keys": {`, "tenants": [{"name": "t", "api_keys": null}]`, closed},
		"empty key":            {`, "tenants": [{"name": "t", "api_keys": [""]}]`, closed},
		"null key":             {`, "tenants": [{"name": "t", "api_keys": [null]}]`, closed},
		"another's key":        {`, "tenants": [{"name": "t", "api_keys": ["k"]}]`, closed},
		"object":               {`, "tenants": {}`, unread},
		"text":                 {`, "tenants": ""`, unread},
		"number":               {`, "tenants": 0`, unread},
		"false":                {`, "tenants": false`, unread},
		"text in the list":     {`, "tenants": ["t"]`, unread},
		"text for keys":        {`, "tenants": [{"name": "t", "api_keys": "k"}]`, unread},
	} {
		t.Run(name, func(t *testing.T) {
			for _, key := range []string{"", "unknown"} {
				synctest.Test(t, func(t *testing.T) {
					text := `{"version": 1, "routes": [{"name": "r", "host": "h", "prefix": "/a/", "kind": "safe", "service": "s"}]` + c.accounts + `}`
					refusal := textCatalogue{fakeCatalogue{"x"}, text}.newJob(t, "/a/", key).admit()
					got := bluebelldoor.OK
					if refusal != nil {
						got = refusal.Code()
					}
					assert.Equal(t, got, c.want, "key %q", key)
				})
			}
		})
	}
}

// fieldsOf returns the paths of all fields below a value, as keys and indices.
func fieldsOf(value any, path ...any) [][]any {
	var out [][]any
	switch value := value.(type) {
	case map[string]any:
		for name, inner := range value {
			field := append(append([]any{}, path...), name)
			out = append(append(out, field), fieldsOf(inner, field...)...)
		}
	case []any:
		for i, inner := range value {
			out = append(out, fieldsOf(inner, append(append([]any{}, path...), i)...)...)
		}
	}
	return out
}

// edit returns the text of a routing after a change of the object that holds a field.
func edit(t *testing.T, path []any, change func(object map[string]any, name string)) string {
	var root any
	assert.NilError(t, json.Unmarshal([]byte(presenceText), &root))
	at := root
	for _, step := range path[:len(path)-1] {
		if index, ok := step.(int); ok {
			at = at.([]any)[index]
		} else {
			at = at.(map[string]any)[step.(string)]
		}
	}
	change(at.(map[string]any), path[len(path)-1].(string))
	text, err := json.Marshal(root)
	assert.NilError(t, err)
	return string(text)
}

// TestPresence guards against a field whose absence, null, emptiness or zero lets in what no
// value of it would: each field of a routing is changed in each of these ways.
func TestPresence(t *testing.T) {
	var root any
	assert.NilError(t, json.Unmarshal([]byte(presenceText), &root))
	set := func(value any) func(map[string]any, string) {
		return func(object map[string]any, name string) { object[name] = value }
	}
	for way, change := range map[string]func(map[string]any, string){
		"absent":       func(object map[string]any, name string) { delete(object, name) },
		"null":         set(nil),
		"empty list":   set([]any{}),
		"empty object": set(map[string]any{}),
		"empty text":   set(""),
		"zero":         set(0),
		"false":        set(false),
	} {
		for _, path := range fieldsOf(root) {
			name := strings.Trim(strings.ReplaceAll(fmt.Sprint(path), " ", "."), "[]")
			t.Run(name+" "+way, func(t *testing.T) {
				c := textCatalogue{fakeCatalogue{"x"}, edit(t, path, change)}
				if change := c.Decode(bluebelldoor.Record{Key: "routing"}); change.Err != nil {
					return // the version before stays in force
				}
				opened := name == "tenants" && way == "absent"
				for _, key := range []string{"", "unknown"} {
					assert.Equal(t, c.ask(t, "/a/x", key).admitted, opened, "key %q", key)
				}
				assert.Assert(t, !c.ask(t, "/other/x", "k1").admitted, "a path without a route")
				if a := c.ask(t, "/a/x", "k1"); a.admitted {
					assert.Equal(t, a.service, "s1")
					assert.Assert(t, !strings.HasSuffix(name, "weight"), "sent to a service without a weight")
				}
				if b := c.ask(t, "/b/x", "k1"); b.admitted {
					assert.Equal(t, b.service, "s2")
					undefined := name == "services" || name == "services.1.name" || name == "services.1.cold_per_s" && (way == "absent" || way == "null")
					assert.Assert(t, b.coldLimited || undefined, "no limit on cold targets")
				}
			})
		}
	}
}

// admission is what a VM decides on a request.
type admission struct {
	admitted    bool
	service     string
	coldLimited bool
}

// ask returns what a VM that starts on the routing decides on a request.
func (c textCatalogue) ask(t *testing.T, path, key string) admission {
	var out admission
	synctest.Test(t, func(t *testing.T) {
		j := c.newJob(t, path, key)
		if j.admit() == nil {
			out = admission{true, j.serviceName, j.demand().MaxColdPerSecond >= 0}
		}
	})
	return out
}

package auditor_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/version/auditor"
)

// TestCompare guards against differences that are not reported, at a wrong entry, or with
// wrong values, and against entries that are reported because they moved in their list.
func TestCompare(t *testing.T) {
	key := func(i int) string { return fmt.Sprintf("added-0123456789-%04d", i) }
	for name, c := range map[string]struct {
		change func(*bluebelldoor.RoutingSpec)
		want   []string
	}{
		"none":            {func(*bluebelldoor.RoutingSpec) {}, nil},
		"version":         {func(s *bluebelldoor.RoutingSpec) { s.Version = 8 }, []string{`version changed: version changed from 7 to 8`}},
		"other order":     {func(s *bluebelldoor.RoutingSpec) { slices.Reverse(s.Routes); slices.Reverse(s.Accounts) }, nil},
		"route added":     {func(s *bluebelldoor.RoutingSpec) { s.Routes = append(s.Routes, bluebelldoor.RouteSpec{Name: "new"}) }, []string{`routes[3] added: "new"`}},
		"route removed":   {func(s *bluebelldoor.RoutingSpec) { s.Routes = slices.Delete(s.Routes, 2, 3) }, []string{`routes[2] removed: "lookups"`}},
		"route renamed":   {func(s *bluebelldoor.RoutingSpec) { s.Routes[2].Name = "finds" }, []string{`routes[2] added: "finds"`, `routes[2] removed: "lookups"`}},
		"same name twice": {func(s *bluebelldoor.RoutingSpec) { s.Routes = append(s.Routes, s.Routes[2]) }, []string{`routes[3] added: "lookups"`}},
		"timeout":         {func(s *bluebelldoor.RoutingSpec) { s.Routes[2].Timeout = 2 * time.Second }, []string{`routes[2].timeout changed: "lookups": timeout changed from 1s to 2s`}},
		"weight":          {func(s *bluebelldoor.RoutingSpec) { s.Routes[2].Shares[1].Weight = 1 }, []string{`routes[2].shares changed: "lookups": shares changed from "desk:9 engines:0" to "desk:9 engines:1"`}},
		"service removed": {func(s *bluebelldoor.RoutingSpec) { s.Services = s.Services[:1] }, []string{`services[1] removed: "desk"`}},
		"engine's memory": {func(s *bluebelldoor.RoutingSpec) { s.Services[0].Engine.MemoryTokens = 1 }, []string{`services[0].engine.memoryTokens changed: "engines": engine.memoryTokens changed from 26856 to 1`}},
		"account added": {func(s *bluebelldoor.RoutingSpec) {
			s.Accounts = append(s.Accounts, bluebelldoor.AccountKeys{Account: "east"})
		}, []string{`accounts[2] added: "east"`}},
		"account's default": {func(s *bluebelldoor.RoutingSpec) { s.Accounts[1].HasPriority = false }, []string{`accounts[1].priority changed: "south": priority changed from 1 to none`}},
		"account's own":     {func(s *bluebelldoor.RoutingSpec) { s.Accounts[0].HasPriority = true }, []string{`accounts[0].priority changed: "north": priority changed from none to 0`}},
		"key replaced": {func(s *bluebelldoor.RoutingSpec) { s.Accounts[1].Keys = []string{key(0)} }, []string{
			`accounts[1].keys changed: "south": API keys added: ...0000 (21 bytes)`,
			`accounts[1].keys changed: "south": API keys removed: ...cdef (22 bytes)`,
		}},
		"many keys": {func(s *bluebelldoor.RoutingSpec) {
			for i := range 7 {
				s.Accounts[1].Keys = append(s.Accounts[1].Keys, key(i))
			}
		}, []string{`accounts[1].keys changed: "south": API keys added: ...0000 (21 bytes), ...0001 (21 bytes), ...0002 (21 bytes), ...0003 (21 bytes), ...0004 (21 bytes) and 2 more`}},
		"limit": {func(s *bluebelldoor.RoutingSpec) { s.Limits.BodyBytes = 1 }, []string{`limits.bodyBytes changed: bodyBytes changed from 4194304 to 1`}},
		"nothing deferrable any more": {func(s *bluebelldoor.RoutingSpec) { s.Routes[1].LatencyObjective = 2 * time.Second }, []string{
			`routes[1].latencyObjective changed: "letters": latencyObjective changed from 4s to 2s`,
			`services[0] termsChanged: service "engines": HasDeferrable changed from true to false`,
			`routes[1] termsChanged: service "engines": Defers("letters") changed from true to false`,
		}},
		"protected by priorities": {func(s *bluebelldoor.RoutingSpec) { s.Routes[0].Priority = 3 }, []string{
			`routes[0].priority changed: "labels": priority changed from 0 to 3`,
			`services[0] termsChanged: service "engines": ProtectsStreams changed from false to true`,
			`services[0] termsChanged: service "engines": HasDeferrable changed from true to false`,
			`routes[1] termsChanged: service "engines": Protects("letters") changed from false to true`,
			`routes[1] termsChanged: service "engines": Defers("letters") changed from true to false`,
		}},
		"deferrable route without weight": {func(s *bluebelldoor.RoutingSpec) { s.Routes[1].Shares[0].Weight = 0 }, []string{
			`routes[1].shares changed: "letters": shares changed from "engines:1" to "engines:0"`,
			`services[0] termsChanged: service "engines": HasDeferrable changed from true to false`,
			`routes[1] termsChanged: service "engines": Defers("letters") changed from true to false`,
		}},
		"deferrable route to another service": {func(s *bluebelldoor.RoutingSpec) { s.Routes[1].Shares[0].Service = "desk" }, []string{
			`routes[1].shares changed: "letters": shares changed from "engines:1" to "desk:1"`,
			`services[0] termsChanged: service "engines": HasDeferrable changed from true to false`,
			`services[0] termsChanged: service "engines": Defers("letters") changed from true to false`,
		}},
		"deferrable route removed": {func(s *bluebelldoor.RoutingSpec) { s.Routes = slices.Delete(s.Routes, 1, 2) }, []string{
			`routes[1] removed: "letters"`,
			`services[0] termsChanged: service "engines": HasDeferrable changed from true to false`,
			`services[0] termsChanged: service "engines": Defers("letters") changed from true to false`,
		}},
	} {
		t.Run(name, func(t *testing.T) {
			spec := newSpec()
			c.change(spec)
			texts := []string{}
			for _, d := range auditor.Compare(spec, newSpec()) {
				texts = append(texts, fmt.Sprintf("%s %s: %s", d.Field, d.Kind, d.Reason))
			}
			assert.DeepEqual(t, texts, append([]string{}, c.want...))
		})
	}
}

// TestCompareCoversFields guards against a field that is added to the types of a routing and
// forgotten in the comparison.
func TestCompareCoversFields(t *testing.T) {
	for name, part := range map[string]func(*bluebelldoor.RoutingSpec) any{
		"route":   func(s *bluebelldoor.RoutingSpec) any { return &s.Routes[1] },
		"share":   func(s *bluebelldoor.RoutingSpec) any { return &s.Routes[1].Shares[0] },
		"service": func(s *bluebelldoor.RoutingSpec) any { return &s.Services[0] },
		"engine":  func(s *bluebelldoor.RoutingSpec) any { return s.Services[0].Engine },
		"account": func(s *bluebelldoor.RoutingSpec) any { return &s.Accounts[1] },
		"limits":  func(s *bluebelldoor.RoutingSpec) any { return &s.Limits },
		"routing": func(s *bluebelldoor.RoutingSpec) any { return s },
	} {
		t.Run(name, func(t *testing.T) {
			fields := reflect.TypeOf(part(newSpec())).Elem()
			for i := range fields.NumField() {
				spec := newSpec()
				alter(t, reflect.ValueOf(part(spec)).Elem().Field(i))
				assert.Assert(t, len(auditor.Compare(spec, newSpec())) > 0, "a change of %s is not reported", fields.Field(i).Name)
			}
		})
	}
}

// alter gives a field another value.
func alter(t *testing.T, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.String:
		v.SetString(v.String() + "x")
	case reflect.Bool:
		v.SetBool(!v.Bool())
	case reflect.Int, reflect.Int64:
		v.SetInt(v.Int() + 1)
	case reflect.Uint64:
		v.SetUint(v.Uint() + 1)
	case reflect.Float64:
		v.SetFloat(v.Float() + 1)
	case reflect.Slice, reflect.Pointer, reflect.Struct:
		v.SetZero()
	default:
		t.Fatalf("no other value for a %s", v.Kind())
	}
}

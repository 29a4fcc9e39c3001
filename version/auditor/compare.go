package auditor

import (
	"fmt"
	"slices"
	"strings"

	"bluebelldoor"
)

// Kind is the kind of a difference.
type Kind string

// Kinds of difference.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
	// TermsChanged says that placement treats requests of a service in another way.
	TermsChanged Kind = "termsChanged"
)

// Difference is one difference between a routing and the version in force.
type Difference struct {
	// Field is the path of the field, as in Finding: in the version in force for Removed,
	// else in the new one.
	Field  string
	Kind   Kind
	Reason string
}

// maxListedKeys limits the keys that are listed for one account.
const maxListedKeys = 5

// comparison collects the differences of two routings.
type comparison struct{ differences []Difference }

// Compare returns the differences of spec to inForce, by entry. Entries of the same name are
// compared with each other.
func Compare(spec, inForce *bluebelldoor.RoutingSpec) []Difference {
	c := &comparison{}
	c.fields("", "", routingFields(spec), routingFields(inForce))
	entries(c, "routes", spec.Routes, inForce.Routes, func(r *bluebelldoor.RouteSpec) string { return r.Name }, routeFields)
	entries(c, "services", spec.Services, inForce.Services, func(s *bluebelldoor.ServiceKind) string { return s.Name }, serviceFields)
	entries(c, "accounts", spec.Accounts, inForce.Accounts, func(a *bluebelldoor.AccountKeys) string { return a.Account }, accountFields)
	c.fields("limits.", "", limitFields(&spec.Limits), limitFields(&inForce.Limits))
	c.terms(spec, inForce)
	return c.differences
}

func (c *comparison) add(path string, kind Kind, format string, args ...any) {
	c.differences = append(c.differences, Difference{Field: path, Kind: kind, Reason: fmt.Sprintf(format, args...)})
}

// field is the value of a field, comparable and with a text form that may be printed.
type field struct {
	name  string
	value any
}

// keyList is the value of a field that holds API keys. Its text form lists what another list
// has not.
type keyList []string

// fields adds the fields that differ. A field that only one side has is compared with nil.
func (c *comparison) fields(path, subject string, now, before []field) {
	old := make(map[string]any, len(before))
	for _, f := range before {
		old[f.name] = f.value
	}
	for _, f := range now {
		was, ok := old[f.name]
		delete(old, f.name)
		if keys, isKeys := f.value.(keyList); isKeys {
			c.keys(path+f.name, subject, keys, was.(keyList))
			continue
		}
		switch {
		case !ok:
			c.add(path+f.name, Changed, "%s%s changed from none to %s", subject, f.name, valueText(f.value))
		case was != f.value:
			c.add(path+f.name, Changed, "%s%s changed from %s to %s", subject, f.name, valueText(was), valueText(f.value))
		}
	}
	for _, f := range before {
		if was, ok := old[f.name]; ok {
			c.add(path+f.name, Changed, "%s%s changed from %s to none", subject, f.name, valueText(was))
		}
	}
}

func valueText(value any) string {
	if text, ok := value.(string); ok {
		return fmt.Sprintf("%q", text)
	}
	return fmt.Sprint(value)
}

func (c *comparison) keys(path, subject string, now, before keyList) {
	for _, change := range []struct {
		verb string
		keys []string
	}{{"added", without(now, before)}, {"removed", without(before, now)}} {
		if len(change.keys) == 0 {
			continue
		}
		listed := make([]string, 0, maxListedKeys)
		for _, key := range change.keys[:min(maxListedKeys, len(change.keys))] {
			listed = append(listed, maskKey(key))
		}
		more := ""
		if n := len(change.keys) - len(listed); n > 0 {
			more = fmt.Sprintf(" and %d more", n)
		}
		c.add(path, Changed, "%sAPI keys %s: %s%s", subject, change.verb, strings.Join(listed, ", "), more)
	}
}

// without returns the keys that are not among others.
func without(keys, others []string) []string {
	known := make(map[string]bool, len(others))
	for _, key := range others {
		known[key] = true
	}
	return slices.DeleteFunc(slices.Clone(keys), func(key string) bool { return known[key] })
}

// entryKey identifies an entry: the n-th one with its name.
type entryKey struct {
	name string
	n    int
}

// entries compares two lists of entries.
func entries[T any](c *comparison, list string, now, before []T, name func(*T) string, fields func(*T) []field) {
	index := func(entries []T) ([]entryKey, map[entryKey]int) {
		keys, byKey, counts := make([]entryKey, len(entries)), make(map[entryKey]int, len(entries)), map[string]int{}
		for i := range entries {
			n := name(&entries[i])
			keys[i] = entryKey{n, counts[n]}
			counts[n]++
			byKey[keys[i]] = i
		}
		return keys, byKey
	}
	nowKeys, nowIndex := index(now)
	beforeKeys, beforeIndex := index(before)
	for i, key := range nowKeys {
		path := fmt.Sprintf("%s[%d]", list, i)
		j, ok := beforeIndex[key]
		if !ok {
			c.add(path, Added, "%q", key.name)
			continue
		}
		c.fields(path+".", fmt.Sprintf("%q: ", key.name), fields(&now[i]), fields(&before[j]))
	}
	for j, key := range beforeKeys {
		if _, ok := nowIndex[key]; !ok {
			c.add(fmt.Sprintf("%s[%d]", list, j), Removed, "%q", key.name)
		}
	}
}

func routingFields(s *bluebelldoor.RoutingSpec) []field {
	return []field{{"version", s.Version}, {"openAccess", s.OpenAccess}}
}

func routeFields(r *bluebelldoor.RouteSpec) []field {
	shares := make([]string, len(r.Shares))
	for i, s := range r.Shares {
		shares[i] = fmt.Sprintf("%s:%d", s.Service, s.Weight)
	}
	return []field{
		{"host", r.Host},
		{"prefix", r.Prefix},
		{"shares", strings.Join(shares, " ")},
		{"idempotent", r.Idempotent},
		{"streamed", r.Streamed},
		{"resumable", r.Resumable},
		{"generates", r.Generates},
		{"timeout", r.Timeout},
		{"latencyObjective", r.LatencyObjective},
		{"maxEventGap", r.MaxEventGap},
		{"priority", r.Priority},
		{"maxTargets", r.MaxTargets},
		{"public", r.Public},
	}
}

func serviceFields(s *bluebelldoor.ServiceKind) []field {
	fields := []field{
		{"healthPath", s.HealthPath},
		{"maxConnections", s.MaxConnections},
		{"coldFor", s.ColdFor},
	}
	if s.HasColdLimit {
		fields = append(fields, field{"coldPerSecond", s.ColdPerSecond})
	}
	if e := s.Engine; e != nil {
		fields = append(fields,
			field{"engine.slots", e.Slots},
			field{"engine.memoryTokens", e.MemoryTokens},
			field{"engine.bytesPerToken", e.BytesPerToken},
			field{"engine.linkBytesPerSecond", e.LinkBytesPerSecond},
			field{"engine.tokensPerEvent", e.TokensPerEvent},
			field{"engine.canCopy", e.CanCopy},
			field{"engine.canBackUp", e.CanBackUp},
		)
	}
	return fields
}

func accountFields(a *bluebelldoor.AccountKeys) []field {
	fields := []field{{"keys", keyList(a.Keys)}}
	if a.HasPriority {
		fields = append(fields, field{"priority", a.Priority})
	}
	return fields
}

func limitFields(l *bluebelldoor.CallerLimits) []field {
	return []field{
		{"headerBytes", l.HeaderBytes},
		{"bodyBytes", l.BodyBytes},
		{"headerTimeout", l.HeaderTimeout},
		{"idleTimeout", l.IdleTimeout},
	}
}

// terms adds the services whose terms change, since they decide which components of
// placement are in force.
func (c *comparison) terms(spec, inForce *bluebelldoor.RoutingSpec) {
	now, before := bluebelldoor.NewRouting(*spec), bluebelldoor.NewRouting(*inForce)
	routesNow, routesBefore := routesByService(spec), routesByService(inForce)
	for i := range spec.Services {
		name := spec.Services[i].Name
		t, was := now.Terms(name), before.Terms(name)
		path := fmt.Sprintf("services[%d]", i)
		if t.ProtectsStreams() != was.ProtectsStreams() {
			c.add(path, TermsChanged, "service %q: ProtectsStreams changed from %t to %t", name, was.ProtectsStreams(), t.ProtectsStreams())
		}
		if t.HasDeferrable() != was.HasDeferrable() {
			c.add(path, TermsChanged, "service %q: HasDeferrable changed from %t to %t", name, was.HasDeferrable(), t.HasDeferrable())
		}
		for _, r := range routesNow[name] {
			field := fmt.Sprintf("routes[%d]", r.index)
			if t.Protects(r.route) != was.Protects(r.route) {
				c.add(field, TermsChanged, "service %q: Protects(%q) changed from %t to %t", name, r.route.Name, was.Protects(r.route), t.Protects(r.route))
			}
			if t.Defers(r.route) != was.Defers(r.route) {
				c.add(field, TermsChanged, "service %q: Defers(%q) changed from %t to %t", name, r.route.Name, was.Defers(r.route), t.Defers(r.route))
			}
		}
		c.lostTerms(path, name, was, routesNow[name], routesBefore[name])
	}
}

// lostTerms adds the routes that had terms in the version in force and no longer name the
// service.
func (c *comparison) lostTerms(path, service string, was bluebelldoor.ServiceTerms, now, before []indexedRoute) {
	remaining := map[string]bool{}
	for _, r := range now {
		remaining[r.route.Name] = true
	}
	for _, r := range before {
		if remaining[r.route.Name] {
			continue
		}
		if was.Protects(r.route) {
			c.add(path, TermsChanged, "service %q: Protects(%q) changed from true to false", service, r.route.Name)
		}
		if was.Defers(r.route) {
			c.add(path, TermsChanged, "service %q: Defers(%q) changed from true to false", service, r.route.Name)
		}
	}
}

type indexedRoute struct {
	index int
	route *bluebelldoor.RouteSpec
}

// routesByService returns the routes by the services that they name, with any weight.
func routesByService(spec *bluebelldoor.RoutingSpec) map[string][]indexedRoute {
	out := map[string][]indexedRoute{}
	for i := range spec.Routes {
		for _, s := range spec.Routes[i].Shares {
			out[s.Service] = append(out[s.Service], indexedRoute{i, &spec.Routes[i]})
		}
	}
	return out
}

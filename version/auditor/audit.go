package auditor

import (
	"fmt"
	"strings"
	"time"

	"bluebelldoor"
)

// Finding is one fault of a routing.
type Finding struct {
	// Field is the path of the field by the names of bluebelldoor.RoutingSpec with a
	// lower-case first letter, such as routes[3].latencyObjective.
	Field  string
	Code   bluebelldoor.Code
	Reason string
}

// audit collects the findings of one routing.
type audit struct {
	spec     *bluebelldoor.RoutingSpec
	services map[string]*bluebelldoor.ServiceKind
	findings []Finding
}

// Audit returns the findings of spec. inForce is the version that spec shall replace, nil if
// it is not known.
func Audit(spec, inForce *bluebelldoor.RoutingSpec) []Finding {
	a := &audit{spec: spec, services: make(map[string]*bluebelldoor.ServiceKind, len(spec.Services))}
	for i := range spec.Services {
		a.services[spec.Services[i].Name] = &spec.Services[i]
	}
	a.version(inForce)
	a.duplicateNames()
	a.prefixes()
	for i := range spec.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		a.shares(path, &spec.Routes[i])
		a.limits(path, &spec.Routes[i])
	}
	a.serviceKinds()
	a.accounts()
	if spec.Limits.HeaderBytes <= 0 {
		a.add("limits.headerBytes", bluebelldoor.OutOfRange, "a limit of 0 is replaced by the default of the VM")
	}
	if spec.Limits.BodyBytes <= 0 {
		a.add("limits.bodyBytes", bluebelldoor.OutOfRange, "a limit of 0 is replaced by the default of the VM")
	}
	return a.findings
}

func (a *audit) add(field string, code bluebelldoor.Code, format string, args ...any) {
	a.findings = append(a.findings, Finding{Field: field, Code: code, Reason: fmt.Sprintf(format, args...)})
}

// version reports a version that VMs would not take in place of the one in force. The same
// routing as in force needs no higher version.
func (a *audit) version(inForce *bluebelldoor.RoutingSpec) {
	switch {
	case a.spec.Version == 0:
		a.add("version", bluebelldoor.MissingField, "the version must be above 0")
	case inForce == nil || a.spec.Version > inForce.Version:
	case a.spec.Version < inForce.Version || len(Compare(a.spec, inForce)) > 0:
		a.add("version", bluebelldoor.OutOfRange, "%d is not above %d, the version in force, which VMs would keep", a.spec.Version, inForce.Version)
	}
}

func (a *audit) duplicateNames() {
	routes := names{audit: a, seen: map[string]int{}}
	for i := range a.spec.Routes {
		routes.check(fmt.Sprintf("routes[%d].name", i), i, a.spec.Routes[i].Name)
	}
	services := names{audit: a, seen: map[string]int{}}
	for i := range a.spec.Services {
		services.check(fmt.Sprintf("services[%d].name", i), i, a.spec.Services[i].Name)
	}
	accounts := names{audit: a, seen: map[string]int{}}
	for i := range a.spec.Accounts {
		accounts.check(fmt.Sprintf("accounts[%d].account", i), i, a.spec.Accounts[i].Account)
	}
}

// names holds the index of the first entry of a list with each name.
type names struct {
	audit *audit
	seen  map[string]int
}

func (n names) check(field string, index int, name string) {
	if name == "" {
		n.audit.add(field, bluebelldoor.MissingField, "the entry has no name")
		return
	}
	if first, ok := n.seen[name]; ok {
		n.audit.add(field, bluebelldoor.Duplicate, "duplicate value %q, as in entry %d of the list", name, first)
		return
	}
	n.seen[name] = index
}

// prefixes reports routes that no request, or not the intended requests, can match.
func (a *audit) prefixes() {
	type place struct{ host, prefix string }
	first := make(map[place]int, len(a.spec.Routes))
	for i := range a.spec.Routes {
		r := &a.spec.Routes[i]
		field := fmt.Sprintf("routes[%d].prefix", i)
		if r.Host == "" {
			a.add(fmt.Sprintf("routes[%d].host", i), bluebelldoor.MissingField, "the route has no host")
		}
		switch {
		case r.Prefix == "":
			a.add(field, bluebelldoor.MissingField, "the route has no prefix")
		case !strings.HasPrefix(r.Prefix, "/"):
			a.add(field, bluebelldoor.Unused, "%q does not begin with a slash and matches no path", r.Prefix)
		case !strings.HasSuffix(r.Prefix, "/"):
			a.add(field, bluebelldoor.OutOfRange, "%q does not end with a slash and also matches paths such as %q", r.Prefix, r.Prefix+"x")
		}
		if earlier, ok := first[place{r.Host, r.Prefix}]; ok {
			a.add(field, bluebelldoor.Unused, "host %q and prefix %q are those of the earlier route %q, which gets all requests", r.Host, r.Prefix, a.spec.Routes[earlier].Name)
			continue
		}
		first[place{r.Host, r.Prefix}] = i
	}
}

// shares reports shares that name no service or one that does not suit the route.
func (a *audit) shares(path string, r *bluebelldoor.RouteSpec) {
	weights := 0
	seen := map[string]bool{}
	for i, s := range r.Shares {
		field := fmt.Sprintf("%s.shares[%d].service", path, i)
		weights += max(0, s.Weight)
		kind := a.services[s.Service]
		switch {
		case s.Service == "":
			a.add(field, bluebelldoor.MissingField, "route %q names no service", r.Name)
		case kind == nil:
			a.add(field, bluebelldoor.UnknownReference, "%q, named by route %q, is not defined in the routing", s.Service, r.Name)
		case seen[s.Service]:
			a.add(field, bluebelldoor.Duplicate, "duplicate value %q in the shares of route %q", s.Service, r.Name)
		case r.Generates && kind.Engine == nil:
			a.add(field, bluebelldoor.Contradiction, "route %q sends generations to service %q, which has no engine", r.Name, s.Service)
		}
		seen[s.Service] = true
	}
	if len(r.Shares) > 0 && weights == 0 {
		a.add(path+".shares", bluebelldoor.OutOfRange, "all shares of route %q have weight 0", r.Name)
	}
	if len(r.Shares) == 0 {
		a.add(path+".shares", bluebelldoor.MissingField, "route %q has no shares", r.Name)
	}
}

// limits reports limits of a route that contradict each other.
func (a *audit) limits(path string, r *bluebelldoor.RouteSpec) {
	contradicts := func(field, format string, args ...any) {
		a.add(path+"."+field, bluebelldoor.Contradiction, "route %q: "+format, append([]any{r.Name}, args...)...)
	}
	above := func(value, limit time.Duration) bool { return limit > 0 && value > limit }
	if above(r.LatencyObjective, r.Timeout) {
		contradicts("latencyObjective", "the latency objective, %s, is above the timeout, %s", r.LatencyObjective, r.Timeout)
	}
	switch {
	case r.MaxEventGap > 0 && !r.Streamed:
		contradicts("maxEventGap", "a limit on gaps between events needs a stream")
	case above(r.MaxEventGap, r.Timeout):
		contradicts("maxEventGap", "the longest gap between events, %s, is above the timeout, %s", r.MaxEventGap, r.Timeout)
	case r.Generates && above(r.MaxEventGap, r.LatencyObjective):
		// The first event of a generation comes after its prompt has been read and so
		// takes longer than the next ones. Other streams may start at once and then pause.
		contradicts("maxEventGap", "the longest gap between events, %s, is above the latency objective, %s, which is the limit of the first event", r.MaxEventGap, r.LatencyObjective)
	}
	if r.Resumable && !r.Streamed {
		contradicts("resumable", "only a stream can be resumed")
	}
	if r.MaxTargets < 1 {
		a.add(path+".maxTargets", bluebelldoor.OutOfRange, "route %q: %d targets for a request, must be at least 1", r.Name, r.MaxTargets)
	}
}

// serviceKinds reports services that no route names and properties that contradict each other.
func (a *audit) serviceKinds() {
	named := map[string]bool{}
	for i := range a.spec.Routes {
		for _, s := range a.spec.Routes[i].Shares {
			named[s.Service] = true
		}
	}
	for i := range a.spec.Services {
		s := &a.spec.Services[i]
		path := fmt.Sprintf("services[%d]", i)
		if s.Name != "" && !named[s.Name] {
			a.add(path+".name", bluebelldoor.Unused, "no route names service %q", s.Name)
		}
		if s.ColdPerSecond > 0 && s.ColdFor == 0 {
			a.add(path+".coldPerSecond", bluebelldoor.Contradiction, "service %q limits requests to cold targets, but gives no time for which a target is cold", s.Name)
		}
		if s.Engine == nil {
			continue
		}
		if s.Engine.Slots < 1 {
			a.add(path+".engine.slots", bluebelldoor.OutOfRange, "the engines of service %q have no slots", s.Name)
		}
		if s.Engine.MemoryTokens < 1 {
			a.add(path+".engine.memoryTokens", bluebelldoor.OutOfRange, "the engines of service %q have no memory", s.Name)
		}
		if s.Engine.TokensPerEvent < 1 {
			a.add(path+".engine.tokensPerEvent", bluebelldoor.OutOfRange, "the engines of service %q send %d tokens in an event, must be at least 1", s.Name, s.Engine.TokensPerEvent)
		}
	}
}

// accounts reports accounts without keys, and keys that identify no single account.
func (a *audit) accounts() {
	holder := map[string]int{}
	for i := range a.spec.Accounts {
		account := &a.spec.Accounts[i]
		if len(account.Keys) == 0 {
			a.add(fmt.Sprintf("accounts[%d].keys", i), bluebelldoor.Unused, "account %q has no API keys", account.Account)
		}
		for j, key := range account.Keys {
			field := fmt.Sprintf("accounts[%d].keys[%d]", i, j)
			first, held := holder[key]
			switch {
			case key == "":
				// Callers that send no key would be taken for this account.
				a.add(field, bluebelldoor.OutOfRange, "account %q has an empty API key, which admits callers without a key", account.Account)
			case held && first == i:
				a.add(field, bluebelldoor.Duplicate, "account %q holds the API key %s twice", account.Account, maskKey(key))
			case held:
				a.add(field, bluebelldoor.Duplicate, "accounts %q and %q both hold the API key %s", a.spec.Accounts[first].Account, account.Account, maskKey(key))
			default:
				holder[key] = i
			}
		}
	}
}

const (
	// shownKeyBytes is how much of a key's end is printed: enough to find the key in a list, too
	// little to guess the rest of a long key. Keys of one account often begin alike.
	shownKeyBytes = 4
	// minMaskedKeyBytes is the length from which a part of a key may be printed.
	minMaskedKeyBytes = 16
)

// maskKey returns a description of an API key from which the key can't be derived.
func maskKey(key string) string {
	shown := ""
	if len(key) >= minMaskedKeyBytes {
		shown = strings.ToValidUTF8(key[len(key)-shownKeyBytes:], "")
	}
	return fmt.Sprintf("...%s (%d bytes)", shown, len(key))
}

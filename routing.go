package bluebelldoor

import (
	"sort"
	"strings"
	"time"
)

// ServiceShare is the share of a route's requests that a service gets.
type ServiceShare struct {
	Service string
	Weight  int
}

// RouteSpec holds the values of a route.
type RouteSpec struct {
	Name string
	// Host and Prefix select requests by host and path. A prefix begins and ends
	// with a slash.
	Host   string
	Prefix string
	Shares []ServiceShare
	// Idempotent is set if a request may run more than once.
	Idempotent bool
	// Streamed is set if the response is a stream of events.
	Streamed bool
	// Resumable is set if another target can continue after a given event.
	Resumable bool
	// Generates is set if requests are generations of a model engine.
	Generates bool
	// Timeout is how long a caller may be kept waiting, 0 for no limit.
	Timeout time.Duration
	// LatencyObjective is the latency within which a response has its full value.
	LatencyObjective time.Duration
	// MaxEventGap is the longest gap between events for a stream to count as on time.
	MaxEventGap time.Duration
	// Priority is that of the route's requests; the lowest goes first.
	Priority int
	// MaxTargets is the maximum number of targets that one request is sent to.
	MaxTargets int
	// Public is set if callers need no API key.
	Public bool
}

// Repeatable reports whether a request of the route may be sent again although
// an earlier target may have run it.
func (r *RouteSpec) Repeatable() bool { return r.Idempotent || r.Streamed && r.Resumable }

// ServiceKind holds the properties of a service and its targets.
type ServiceKind struct {
	Name       string
	HealthPath string
	// MaxConnections is how many connections a target accepts from all VMs together.
	MaxConnections int
	// ColdPerSecond is how many requests per second a cold target can take if HasColdLimit is
	// set. Otherwise requests to cold targets are not limited.
	ColdPerSecond float64
	HasColdLimit  bool
	// ColdFor is how long a target is cold after its start.
	ColdFor time.Duration
	// Engine is nil for application runners.
	Engine *EngineKind
}

// EngineKind holds the properties of the engines of a service.
type EngineKind struct {
	Slots int
	// MemoryTokens is the memory for running generations and cached prefixes.
	MemoryTokens int
	// BytesPerToken is how many bytes a token takes when a generation is copied.
	BytesPerToken int64
	// LinkBytesPerSecond is the rate at which generations are copied.
	LinkBytesPerSecond float64
	// TokensPerEvent is the number of tokens in an event of a stream.
	TokensPerEvent int
	// CanCopy is set if a running generation can be copied to another engine.
	CanCopy bool
	// CanBackUp is set if an engine can copy a generation as it grows.
	CanBackUp bool
}

// AccountKeys are the API keys of a client account.
type AccountKeys struct {
	Account string
	Keys    []string
	// Priority replaces that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// CallerLimits limit the size of requests and the time that callers may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RoutingSpec holds the parts of one version of the operators' routing.
type RoutingSpec struct {
	Version  uint64
	Routes   []RouteSpec
	Services []ServiceKind
	Accounts []AccountKeys
	// OpenAccess is set if the version has no list of client accounts, not even an empty one:
	// callers then need no API key. Under an empty list nobody holds a key.
	OpenAccess bool
	Limits     CallerLimits
}

// Routing is one version of the operators' routing, indexed and immutable.
type Routing struct {
	version  uint64
	limits   CallerLimits
	byHost   map[string][]*RouteSpec
	services map[string]*ServiceKind
	terms    map[string]ServiceTerms
	byKey    map[string]*AccountKeys
	needsKey bool
}

// NewRouting indexes the parts of spec.
func NewRouting(spec RoutingSpec) *Routing {
	r := &Routing{
		version:  spec.Version,
		limits:   spec.Limits,
		byHost:   map[string][]*RouteSpec{},
		services: map[string]*ServiceKind{},
		terms:    map[string]ServiceTerms{},
		byKey:    map[string]*AccountKeys{},
		needsKey: !spec.OpenAccess || len(spec.Accounts) > 0,
	}
	generating := map[string][]*RouteSpec{}
	for i := range spec.Routes {
		route := &spec.Routes[i]
		if route.Prefix != "" { // would match every path
			r.byHost[route.Host] = append(r.byHost[route.Host], route)
		}
		for _, share := range route.Shares {
			if route.Generates && share.Weight > 0 {
				generating[share.Service] = append(generating[share.Service], route)
			}
		}
	}
	for service, routes := range generating {
		r.terms[service] = newServiceTerms(routes)
	}
	for _, routes := range r.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range spec.Services {
		r.services[spec.Services[i].Name] = &spec.Services[i]
	}
	for i := range spec.Accounts {
		for _, key := range spec.Accounts[i].Keys {
			if key != "" { // a caller that sends no key does not hold it
				r.byKey[key] = &spec.Accounts[i]
			}
		}
	}
	return r
}

// Version returns the version; a higher one replaces a lower one.
func (r *Routing) Version() uint64 { return r.version }

// Limits returns the limits on requests of callers.
func (r *Routing) Limits() CallerLimits { return r.limits }

// NeedsAPIKey reports whether callers of routes that are not public need an API key.
func (r *Routing) NeedsAPIKey() bool { return r.needsKey }

// APIKeys returns the number of API keys that client accounts hold.
func (r *Routing) APIKeys() int { return len(r.byKey) }

// Route returns the route of host with the longest matching prefix of path, nil
// if there is none.
func (r *Routing) Route(host, path string) *RouteSpec {
	for _, route := range r.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns the service with this name, nil if there is none.
func (r *Routing) Service(name string) *ServiceKind { return r.services[name] }

// Terms returns what the generating routes of a service ask of placement.
func (r *Routing) Terms(service string) ServiceTerms { return r.terms[service] }

// AdaptiveServices returns the names of the services whose terms are adaptive.
func (r *Routing) AdaptiveServices() []string {
	var out []string
	for name, terms := range r.terms {
		if terms.Adaptive() {
			out = append(out, name)
		}
	}
	return out
}

// Account returns the client account that holds an API key, nil if none does.
func (r *Routing) Account(key string) *AccountKeys { return r.byKey[key] }

// Allows reports whether a request for host and path may be sent to service.
func (r *Routing) Allows(host, path, service string) bool {
	route := r.Route(host, path)
	if route == nil {
		return false
	}
	for _, share := range route.Shares {
		if share.Service == service && share.Weight > 0 {
			return true
		}
	}
	return false
}

// Instance is one incarnation of a registered target.
type Instance struct {
	// ID identifies the target; a restarted target may keep its ID.
	ID string
	// StartedAt distinguishes incarnations with the same ID, 0 if the target does not
	// report it.
	StartedAt  int64
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Leaving is set if the target is leaving and takes no new work.
	Leaving bool
	// ColdFor is the remaining time for which the target is cold, as of the writing of
	// the record.
	ColdFor time.Duration
}

// Incarnation returns the identity of this incarnation.
func (i *Instance) Incarnation() TargetIncarnation {
	return TargetIncarnation{ID: i.ID, StartedAt: i.StartedAt}
}

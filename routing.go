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
	// Host and Prefix select the requests. A prefix begins and ends with a
	// slash.
	Host   string
	Prefix string
	Shares []ServiceShare
	// Idempotent tells that a request may run more than once.
	Idempotent bool
	// Streamed tells that the answer is a series of events.
	Streamed bool
	// Resumable tells that another target may go on after a given event.
	Resumable bool
	// Generates tells that requests are generations of a model engine.
	Generates bool
	// Timeout is the longest that a caller is kept waiting, 0 for no limit.
	Timeout time.Duration
	// Objective is the time within which an answer is of full use.
	Objective time.Duration
	// MaxPause is the longest pause between events of a stream that is in time.
	MaxPause time.Duration
	// Priority ranks the route's requests; the lowest goes first.
	Priority int
	// MaxTargets is how many targets one request may be sent to.
	MaxTargets int
	// Public tells that callers need no API key.
	Public bool
}

// Repeatable reports whether a request of the route may be sent again although
// an earlier target may have run it.
func (r *RouteSpec) Repeatable() bool { return r.Idempotent || r.Streamed && r.Resumable }

// ServiceKind holds what a route's service of targets is like.
type ServiceKind struct {
	Name       string
	HealthPath string
	// MaxConnections is how many connections a target takes from all VMs.
	MaxConnections int
	// ColdPerSecond is how many requests a second a cold target bears, 0 where
	// the targets are never cold.
	ColdPerSecond float64
	// ColdFor is how long a target is cold after its start.
	ColdFor time.Duration
	// Engine is nil for application runners.
	Engine *EngineKind
}

// EngineKind holds what the engines of a service are like.
type EngineKind struct {
	Slots int
	// MemoryTokens is the memory for running generations and cached parts.
	MemoryTokens int
	// BytesPerToken is the size of a token's memory when it is copied.
	BytesPerToken int64
	// LinkBytesPerSecond is the rate at which memory is copied.
	LinkBytesPerSecond float64
	// TokensPerEvent is how many tokens an event of a stream holds.
	TokensPerEvent int
	// Moves tells that a running generation can be copied to another engine.
	Moves bool
	// Backups tells that an engine can copy a generation as it grows.
	Backups bool
}

// AccountKeys are the API keys of a client account.
type AccountKeys struct {
	Account string
	Keys    []string
	// Priority replaces that of the route where HasPriority is true.
	Priority    int
	HasPriority bool
}

// CallerLimits bound what callers may send and how long they may take.
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
	Limits   CallerLimits
}

// Routing is one version of the operators' routing, indexed and immutable.
type Routing struct {
	version  uint64
	limits   CallerLimits
	byHost   map[string][]*RouteSpec
	services map[string]*ServiceKind
	byKey    map[string]*AccountKeys
	keyed    bool
}

// NewRouting indexes the parts of spec.
func NewRouting(spec RoutingSpec) *Routing {
	r := &Routing{
		version:  spec.Version,
		limits:   spec.Limits,
		byHost:   map[string][]*RouteSpec{},
		services: map[string]*ServiceKind{},
		byKey:    map[string]*AccountKeys{},
		keyed:    len(spec.Accounts) > 0,
	}
	for i := range spec.Routes {
		route := &spec.Routes[i]
		r.byHost[route.Host] = append(r.byHost[route.Host], route)
	}
	for _, routes := range r.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range spec.Services {
		r.services[spec.Services[i].Name] = &spec.Services[i]
	}
	for i := range spec.Accounts {
		for _, key := range spec.Accounts[i].Keys {
			r.byKey[key] = &spec.Accounts[i]
		}
	}
	return r
}

// Version returns the version; the highest one wins.
func (r *Routing) Version() uint64 { return r.version }

// Limits returns the bounds on what callers send.
func (r *Routing) Limits() CallerLimits { return r.limits }

// Keyed reports whether callers of routes that are not public need an API key.
func (r *Routing) Keyed() bool { return r.keyed }

// Route returns the route of host with the longest prefix of path, nil if
// there is none.
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

// Account returns the client account that holds an API key, nil if none does.
func (r *Routing) Account(key string) *AccountKeys { return r.byKey[key] }

// Allows reports whether a request on host and path may go to service.
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

// Instance is one start of a target that has registered itself.
type Instance struct {
	// ID names the target; a target may start again under the ID it had.
	ID string
	// Born tells starts under one ID apart, 0 where the target does not say.
	Born       int64
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Leaving tells that the target takes no new work.
	Leaving bool
	// ColdFor is how long the target was still cold when the entry was written.
	ColdFor time.Duration
}

// Start returns the name of the start.
func (i *Instance) Start() TargetStart { return TargetStart{ID: i.ID, Born: i.Born} }

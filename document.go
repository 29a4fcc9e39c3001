package bluebelldoor

import "time"

// TargetKind distinguishes model engines from application runners.
type TargetKind string

// The kinds of targets.
const (
	KindEngine      TargetKind = "engine"
	KindApplication TargetKind = "application"
)

// DataCentreSpec holds the values of a data centre.
type DataCentreSpec struct {
	Name      string `json:"name"`
	Region    string `json:"region"`
	InService bool   `json:"inService"`
}

// DataCentre is a site with VMs and targets, in or out of service.
type DataCentre struct{ spec DataCentreSpec }

// NewDataCentre returns a data centre with the values of spec.
func NewDataCentre(spec DataCentreSpec) *DataCentre { return &DataCentre{spec} }

// Name returns the data centre's name.
func (d *DataCentre) Name() string { return d.spec.Name }

// Region returns the region that the data centre belongs to.
func (d *DataCentre) Region() string { return d.spec.Region }

// InService reports whether the operators allow new work in the data centre.
func (d *DataCentre) InService() bool { return d.spec.InService }

// TargetSpec holds the values of a target.
type TargetSpec struct {
	Name         string
	Kind         TargetKind
	Address      string
	DataCentre   string
	Models       []string
	Services     []string
	ColdSlots    int
	MemoryTokens int
	MaxRunning   int
	Leaving      bool
	Fencing      bool
	Role         string
	Weights      []Weights
}

// Weights names what an engine can load from the weight store: a model, an
// adapter, or a version of one.
type Weights struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Target is a back end: a model engine or an application runner.
type Target struct{ spec TargetSpec }

// NewTarget returns a target with the values of spec.
func NewTarget(spec TargetSpec) *Target { return &Target{spec} }

// Name returns the target's name, unique in the document.
func (t *Target) Name() string { return t.spec.Name }

// Kind returns whether the target is an engine or an application runner.
func (t *Target) Kind() TargetKind { return t.spec.Kind }

// Address returns the target's address as IP:port.
func (t *Target) Address() string { return t.spec.Address }

// DataCentre returns the name of the target's data centre.
func (t *Target) DataCentre() string { return t.spec.DataCentre }

// Models returns the models that an engine serves. Callers must not change it.
func (t *Target) Models() []string { return t.spec.Models }

// Services returns the services of an application runner. Callers must not
// change it.
func (t *Target) Services() []string { return t.spec.Services }

// ColdSlots returns how many generations may run on the engine while it is cold.
func (t *Target) ColdSlots() int { return t.spec.ColdSlots }

// MemoryTokens returns the engine's memory for running generations, in tokens.
func (t *Target) MemoryTokens() int { return t.spec.MemoryTokens }

// MaxRunning returns how many generations the engine runs in one batch.
func (t *Target) MaxRunning() int { return t.spec.MaxRunning }

// Leaving reports whether the operators are removing the target.
func (t *Target) Leaving() bool { return t.spec.Leaving }

// Fencing reports whether the engine refuses orders with an old fencing number.
func (t *Target) Fencing() bool { return t.spec.Fencing }

// Role returns the role that the engine should have, "" for any.
func (t *Target) Role() string { return t.spec.Role }

// Weights returns what the engine should have loaded, nil if the operators leave
// that to the engine. Callers must not change it.
func (t *Target) Weights() []Weights { return t.spec.Weights }

// ClassSpec holds the values of a class of requests.
type ClassSpec struct {
	Name          string
	Priority      int
	DefaultWithin time.Duration
}

// Class is a priority class of requests, such as full reports or desk traffic.
type Class struct{ spec ClassSpec }

// NewClass returns a class with the values of spec.
func NewClass(spec ClassSpec) *Class { return &Class{spec} }

// Name returns the class's name.
func (c *Class) Name() string { return c.spec.Name }

// Priority returns the class's priority; the lowest number goes first.
func (c *Class) Priority() int { return c.spec.Priority }

// DefaultWithin returns the time limit, counted from arrival, of a request that
// sets none.
func (c *Class) DefaultWithin() time.Duration { return c.spec.DefaultWithin }

// AccountSpec holds the values of a client account.
type AccountSpec struct {
	Name       string
	KeySHA256  string
	Class      string
	MaxStreams int
	Large      bool
}

// ClientAccount is a customer of the operators.
type ClientAccount struct{ spec AccountSpec }

// NewClientAccount returns a client account with the values of spec.
func NewClientAccount(spec AccountSpec) *ClientAccount { return &ClientAccount{spec} }

// Name returns the account's name.
func (a *ClientAccount) Name() string { return a.spec.Name }

// KeySHA256 returns the hexadecimal SHA-256 digest of the account's API key.
func (a *ClientAccount) KeySHA256() string { return a.spec.KeySHA256 }

// Class returns the class of a request that names none.
func (a *ClientAccount) Class() string { return a.spec.Class }

// MaxStreams returns the limit on the account's concurrent requests over all VMs.
func (a *ClientAccount) MaxStreams() int { return a.spec.MaxStreams }

// Large reports whether the account's requests are spread over all VMs.
func (a *ClientAccount) Large() bool { return a.spec.Large }

// ServiceSpec holds the values of a service of application runners.
type ServiceSpec struct {
	Name       string
	Repeatable []string
}

// Service is a service of application runners, such as bookings.
type Service struct{ spec ServiceSpec }

// NewService returns a service with the values of spec.
func NewService(spec ServiceSpec) *Service { return &Service{spec} }

// Name returns the service's name.
func (s *Service) Name() string { return s.spec.Name }

// IsIdempotent reports whether calls with this HTTP method are idempotent.
func (s *Service) IsIdempotent(method string) bool {
	for _, m := range s.spec.Repeatable {
		if m == method {
			return true
		}
	}
	return false
}

// Limits holds the fleet-wide limits of the document.
type Limits struct {
	// FreshFor is how long a view may be used after it was confirmed.
	FreshFor time.Duration
	// VMListLag is the largest lag of the platform's VM list.
	VMListLag time.Duration
	// StallAfter is how long a stream may be silent before it is resumed.
	StallAfter time.Duration
	// AddressValidFor is how long a caller may cache an Entry.
	AddressValidFor time.Duration
	// KeyValidFor is how long a minted idempotency key may be used.
	KeyValidFor time.Duration
	// QueueLength is the maximum number of queued requests on one VM.
	QueueLength int
	// RetryPercent is the maximum number of retries per 100 requests.
	RetryPercent int
	// LoadsPerMinute is the maximum number of loads per minute from the weight
	// store, over all VMs.
	LoadsPerMinute int
	// WarmAfter is how many generations an engine must have finished, besides
	// reporting that it is warm, before it counts as warm.
	WarmAfter int
}

// emptyKeySHA256 is the digest of the API key of a caller that sends none.
const emptyKeySHA256 = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

// DocumentSpec holds the parts of a document.
type DocumentSpec struct {
	Revision    uint64
	Digest      string
	DataCentres []*DataCentre
	Targets     []*Target
	Models      []string
	Classes     []*Class
	Accounts    []*ClientAccount
	Services    []*Service
	Limits      Limits
	Text        []byte
}

// Document is one revision of the operators' document, validated and immutable.
type Document struct {
	spec        DocumentSpec
	dataCentres map[string]*DataCentre
	targets     map[string]*Target
	classes     map[string]*Class
	byKey       map[string]*ClientAccount
	services    map[string]*Service
	models      map[string][]*Target
}

// NewDocument indexes the parts of spec, which must have been validated.
func NewDocument(spec DocumentSpec) *Document {
	d := &Document{
		spec:        spec,
		dataCentres: index(spec.DataCentres, (*DataCentre).Name),
		targets:     index(spec.Targets, (*Target).Name),
		classes:     index(spec.Classes, (*Class).Name),
		byKey:       index(spec.Accounts, (*ClientAccount).KeySHA256),
		services:    index(spec.Services, (*Service).Name),
		models:      map[string][]*Target{},
	}
	delete(d.byKey, emptyKeySHA256) // a caller that sends no key does not hold it
	for _, m := range spec.Models {
		d.models[m] = nil
	}
	for _, t := range spec.Targets {
		for _, m := range t.Models() {
			d.models[m] = append(d.models[m], t)
		}
	}
	return d
}

func index[T any](items []T, key func(T) string) map[string]T {
	out := make(map[string]T, len(items))
	for _, item := range items {
		out[key(item)] = item
	}
	return out
}

// Revision returns the document's revision; a higher one replaces a lower one.
func (d *Document) Revision() uint64 { return d.spec.Revision }

// Digest returns the digest of the document's text.
func (d *Document) Digest() string { return d.spec.Digest }

// Text returns the text as the operators wrote it. Callers must not change it.
func (d *Document) Text() []byte { return d.spec.Text }

// Limits returns the fleet-wide limits.
func (d *Document) Limits() Limits { return d.spec.Limits }

// Targets returns all targets in the document's order. Callers must not change
// the slice.
func (d *Document) Targets() []*Target { return d.spec.Targets }

// Accounts returns all client accounts. Callers must not change the slice.
func (d *Document) Accounts() []*ClientAccount { return d.spec.Accounts }

// DataCentre returns the data centre with this name, nil if there is none.
func (d *Document) DataCentre(name string) *DataCentre { return d.dataCentres[name] }

// DataCentres returns all data centres. Callers must not change the slice.
func (d *Document) DataCentres() []*DataCentre { return d.spec.DataCentres }

// Target returns the target with this name, nil if there is none.
func (d *Document) Target(name string) *Target { return d.targets[name] }

// Class returns the class with this name, nil if there is none.
func (d *Document) Class(name string) *Class { return d.classes[name] }

// Classes returns all classes. Callers must not change the slice.
func (d *Document) Classes() []*Class { return d.spec.Classes }

// AccountByKey returns the account whose API key has this SHA-256 digest, nil
// if there is none.
func (d *Document) AccountByKey(sha256 string) *ClientAccount { return d.byKey[sha256] }

// Service returns the service with this name, nil if there is none.
func (d *Document) Service(name string) *Service { return d.services[name] }

// ModelTargets returns the targets of a model and whether the model exists.
func (d *Document) ModelTargets(model string) ([]*Target, bool) {
	t, ok := d.models[model]
	return t, ok
}

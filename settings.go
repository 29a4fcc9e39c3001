package bluebelldoor

import "time"

// SettingsSpec holds the values of a VM's settings.
type SettingsSpec struct {
	Name                 string
	DataCentre           string
	CallerAddress        string
	PeerAddress          string
	OpsAddress           string
	ConfigurationService string
	VMList               string
	FleetSecret          string
	LogLevel             string
	DrainLimit           time.Duration
}

// Settings is the settings file of one VM.
type Settings struct{ spec SettingsSpec }

// NewSettings returns settings with the values of spec, which must have been
// validated.
func NewSettings(spec SettingsSpec) *Settings { return &Settings{spec} }

// Name returns the VM's name, unique in the fleet.
func (s *Settings) Name() string { return s.spec.Name }

// DataCentre returns the name of the VM's data centre.
func (s *Settings) DataCentre() string { return s.spec.DataCentre }

// CallerAddress returns where callers connect, as IP:port.
func (s *Settings) CallerAddress() string { return s.spec.CallerAddress }

// PeerAddress returns where other VMs connect, as IP:port.
func (s *Settings) PeerAddress() string { return s.spec.PeerAddress }

// OpsAddress returns where operators and metrics connect, as IP:port.
func (s *Settings) OpsAddress() string { return s.spec.OpsAddress }

// ConfigurationService returns the address of the configuration service.
func (s *Settings) ConfigurationService() string { return s.spec.ConfigurationService }

// VMList returns the address of the platform's VM list.
func (s *Settings) VMList() string { return s.spec.VMList }

// FleetSecret returns the secret that all VMs share; it authenticates peers
// and signs idempotency keys and generation IDs.
func (s *Settings) FleetSecret() []byte { return []byte(s.spec.FleetSecret) }

// LogLevel returns the lowest level that is logged.
func (s *Settings) LogLevel() string { return s.spec.LogLevel }

// DrainLimit returns how long a leaving VM waits for its streams to end before
// it tells callers to resume at another VM.
func (s *Settings) DrainLimit() time.Duration { return s.spec.DrainLimit }

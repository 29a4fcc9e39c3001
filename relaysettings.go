package bluebelldoor

import "time"

// RelaySettings holds the settings file of a relay VM, which has no disk, VM list
// or load balancer. It finds its peers through seeds, and itself tells callers
// which address to use.
type RelaySettings struct {
	Name       string
	DataCentre string
	// CallerAddress is where callers send requests.
	CallerAddress string
	// ReadyAddress is where the platform asks whether the VM is ready.
	ReadyAddress string
	// DirectoryAddress is where callers ask which address to use.
	DirectoryAddress string
	// PeerAddress is where other VMs connect.
	PeerAddress string
	// OpsAddress serves metrics.
	OpsAddress string
	// Catalogue is the address of the platform's catalogue.
	Catalogue string
	Seeds     []string
	// FleetSecret authenticates messages between VMs, empty if the platform
	// provides none.
	FleetSecret string
	LogLevel    string
	// MemoryMegabytes is the memory limit of the process.
	MemoryMegabytes int
	// Cores is the processor time that the process may use, in cores.
	Cores float64
	// LinkMegabits is the bandwidth of the VM's link in Mbit/s, 0 if not known.
	LinkMegabits float64
	// StopWithin is the time between the stop signal and the end of the process.
	StopWithin time.Duration
	// AddressValidFor is how long a caller may cache a response of the directory.
	AddressValidFor time.Duration
	// KeyEvidenceMaxAge is the maximum age of the evidence that an API key is valid,
	// and thus how long a revoked key may still be used.
	KeyEvidenceMaxAge time.Duration
	// UpdateWithin is how soon a new version of the routing must be in force.
	UpdateWithin time.Duration
	// LeavingWithin is how soon a target that announces that it is leaving must get
	// no new work, 0 for immediately.
	LeavingWithin time.Duration
	// RetryWindow, RetryRatio and RetryAllowance limit the retries of all VMs
	// together: in any window, the ratio times the requests plus the allowance.
	RetryWindow    time.Duration
	RetryRatio     float64
	RetryAllowance float64
	// FirstStart is set if no process of the VM has run before. Otherwise an earlier one may
	// have used the VM's part of RetryAllowance.
	FirstStart bool
	// ColdFactor and ColdAllowance limit the requests per second of all VMs to a
	// cold target: the factor times the target's own rate plus the allowance.
	ColdFactor    float64
	ColdAllowance float64
}

package bluebelldoor

import "time"

// RelaySettings is what the process of a VM without a disk, a VM list or a
// balancer learns from its settings file. A VM that relays finds its peers
// through seeds, and tells callers itself which address to use.
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
	// Catalogue is the address of what the platform publishes.
	Catalogue string
	Seeds     []string
	// FleetSecret seals messages between VMs, empty where the platform gives
	// none.
	FleetSecret string
	LogLevel    string
	// MemoryMegabytes is the limit on the process's memory.
	MemoryMegabytes int
	// Cores is the processor time that the process may use, in cores.
	Cores float64
	// LinkMegabits is what the VM's link carries, in Mbit/s, 0 if not known.
	LinkMegabits float64
	// StopWithin is the time between the word to stop and the end.
	StopWithin time.Duration
	// AddressValidFor is how long a caller may keep an answer of the directory.
	AddressValidFor time.Duration
	// KeyEvidence is how long a key that was taken away may still be used.
	KeyEvidence time.Duration
	// NewsWithin is how soon a new version is to be in force.
	NewsWithin time.Duration
	// LeavingWithin is how soon a target that says that it leaves is to get nothing
	// more, 0 for at once.
	LeavingWithin time.Duration
	// RetryWindow, RetryRatio and RetryAllowance bound the repeated sends of
	// all VMs together: the ratio to requests, and what may be added to it.
	RetryWindow    time.Duration
	RetryRatio     float64
	RetryAllowance float64
	// ColdFactor and ColdAllowance bound what cold targets get from all VMs in
	// a second: the factor to their own rate, and what may be added to it.
	ColdFactor    float64
	ColdAllowance float64
}

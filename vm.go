package bluebelldoor

import "time"

// VMSpec holds the values of a VM in the platform's list.
type VMSpec struct {
	Name          string `json:"name" cbor:"name"`
	DataCentre    string `json:"dataCentre" cbor:"dataCentre"`
	CallerAddress string `json:"callerAddress" cbor:"callerAddress"`
	PeerAddress   string `json:"peerAddress" cbor:"peerAddress"`
	Leaving       bool   `json:"leaving" cbor:"leaving"`
}

// VM is a VM of the fleet that runs one process of the system.
type VM struct{ spec VMSpec }

// NewVM returns a VM with the values of spec.
func NewVM(spec VMSpec) *VM { return &VM{spec} }

// Name returns the VM's name.
func (v *VM) Name() string { return v.spec.Name }

// DataCentre returns the name of the VM's data centre.
func (v *VM) DataCentre() string { return v.spec.DataCentre }

// CallerAddress returns where callers connect, as IP:port.
func (v *VM) CallerAddress() string { return v.spec.CallerAddress }

// PeerAddress returns where other VMs connect, as IP:port.
func (v *VM) PeerAddress() string { return v.spec.PeerAddress }

// Leaving reports whether the platform is removing the VM.
func (v *VM) Leaving() bool { return v.spec.Leaving }

// Spec returns the VM's values, for messages to other VMs.
func (v *VM) Spec() VMSpec { return v.spec }

// VMList is one version of the platform's list of VMs, which may lag.
type VMList struct {
	version uint64
	vms     []*VM
}

// NewVMList returns a list; a higher version replaces a lower one.
func NewVMList(version uint64, vms []*VM) *VMList {
	return &VMList{version: version, vms: vms}
}

// Version returns the list's version, which the platform assigns.
func (l *VMList) Version() uint64 { return l.version }

// VMs returns all VMs, leaving ones included. Callers must not change the slice.
func (l *VMList) VMs() []*VM { return l.vms }

// VM returns the VM with this name, nil if there is none.
func (l *VMList) VM(name string) *VM {
	for _, v := range l.vms {
		if v.Name() == name {
			return v
		}
	}
	return nil
}

// LoadReport is the load that a target reports of itself, which may lag.
type LoadReport struct {
	Incarnation  string `json:"incarnation"`
	Warm         bool   `json:"warm"`
	Leaving      bool   `json:"leaving"`
	Running      int    `json:"running"`
	Waiting      int    `json:"waiting"`
	MemoryUsed   int    `json:"memoryUsed"`
	MemoryTokens int    `json:"memoryTokens"`
	Finished     int    `json:"finished"`
	Preemptions  int    `json:"preemptions"`
	// AgeMs is the age of the report in milliseconds when the target responded.
	AgeMs int64 `json:"ageMs"`
	// Received is the local time at which the report was requested, less the age.
	Received time.Time `json:"-"`
}

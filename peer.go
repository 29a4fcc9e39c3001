package bluebelldoor

import "context"

// StateRequest asks a peer for its state. The reply includes a document or list
// that is newer than the versions named here.
type StateRequest struct {
	From        string `cbor:"from"`
	Revision    uint64 `cbor:"revision"`
	ListVersion uint64 `cbor:"listVersion"`
}

// StateReply is the state of a peer. Ages are as of the time of the reply.
type StateReply struct {
	Name          string       `cbor:"name"`
	Incarnation   string       `cbor:"incarnation"`
	UptimeMs      int64        `cbor:"uptimeMs"`
	Revision      uint64       `cbor:"revision"`
	DocumentAgeMs int64        `cbor:"documentAgeMs"`
	ListVersion   uint64       `cbor:"listVersion"`
	ListAgeMs     int64        `cbor:"listAgeMs"`
	HasConfirmed  bool         `cbor:"hasConfirmed"`
	Draining      bool         `cbor:"draining"`
	Text          []byte       `cbor:"text,omitempty"`
	List          *ListMessage `cbor:"list,omitempty"`
}

// ListMessage is a VM list sent between peers.
type ListMessage struct {
	Version uint64   `cbor:"version"`
	VMs     []VMSpec `cbor:"vms"`
}

// ForwardRequest forwards a call that must not be repeated to the key's home VM.
type ForwardRequest struct {
	Key         string `cbor:"key"`
	Account     string `cbor:"account"`
	ID          string `cbor:"id"`
	Service     string `cbor:"service"`
	Method      string `cbor:"method"`
	Path        string `cbor:"path"`
	ContentType string `cbor:"contentType"`
	Body        []byte `cbor:"body"`
	WithinMs    int64  `cbor:"withinMs"`
}

// RefusalMessage is a refusal sent between peers.
type RefusalMessage struct {
	Code         int    `cbor:"code"`
	Executed     string `cbor:"executed"`
	RetryAfterMs int64  `cbor:"retryAfterMs"`
	Detail       string `cbor:"detail"`
}

// ForwardReply is the home VM's reply to a ForwardRequest: one of the fields is set.
type ForwardReply struct {
	Answer  *Answer         `cbor:"answer,omitempty"`
	Refusal *RefusalMessage `cbor:"refusal,omitempty"`
}

// KeyRequest names an idempotency key to its witness.
type KeyRequest struct {
	Key string `cbor:"key"`
}

// AnnounceReply is the witness's reply: whether the home VM may send the call.
type AnnounceReply struct {
	Confirmed bool `cbor:"confirmed"`
}

// AskReply is the witness's verdict on a key.
type AskReply struct {
	Verdict string `cbor:"verdict"`
}

// LoadsMessage sends a peer a VM's load on the targets.
type LoadsMessage struct {
	From  string       `cbor:"from"`
	Loads []TargetLoad `cbor:"loads"`
}

// LeaveRequest announces to a peer that a VM is leaving.
type LeaveRequest struct {
	Name        string `cbor:"name"`
	Incarnation string `cbor:"incarnation"`
}

// LeaveReply acknowledges a LeaveRequest.
type LeaveReply struct{}

// PeerClient calls other VMs by their peer address. After an error, the peer may or
// may not have handled the call.
type PeerClient interface {
	State(ctx context.Context, address string, in *StateRequest) (*StateReply, error)
	Forward(ctx context.Context, address string, in *ForwardRequest) (*ForwardReply, error)
	Announce(ctx context.Context, address string, in *KeyRequest) (*AnnounceReply, error)
	Ask(ctx context.Context, address string, in *KeyRequest) (*AskReply, error)
	Leave(ctx context.Context, address string, in *LeaveRequest) (*LeaveReply, error)
	// Loads sends this VM's loads and returns those of the peer.
	Loads(ctx context.Context, address string, in *LoadsMessage) (*LoadsMessage, error)
}

// LoadExchange stores the loads of the VMs on the targets.
type LoadExchange interface {
	// Loads returns the loads of this VM.
	Loads() []TargetLoad
	// ReceiveLoads stores the loads of another VM.
	ReceiveLoads(vm string, loads []TargetLoad)
}

// PeerHandler answers the calls of peers.
type PeerHandler interface {
	State(ctx context.Context, in *StateRequest) (*StateReply, error)
	Forward(ctx context.Context, in *ForwardRequest) (*ForwardReply, error)
	Announce(ctx context.Context, in *KeyRequest) (*AnnounceReply, error)
	Ask(ctx context.Context, in *KeyRequest) (*AskReply, error)
	Leave(ctx context.Context, in *LeaveRequest) (*LeaveReply, error)
	Loads(ctx context.Context, in *LoadsMessage) (*LoadsMessage, error)
}

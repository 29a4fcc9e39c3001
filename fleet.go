package bluebelldoor

import "context"

// MemberState is what a VM says of itself to its peers.
type MemberState struct {
	Name string `cbor:"name"`
	// Incarnation is the time of the process's start; a higher one replaces a
	// lower one.
	Incarnation int64 `cbor:"incarnation"`
	// Heartbeat grows with each round of the VM.
	Heartbeat     uint64 `cbor:"heartbeat"`
	DataCentre    string `cbor:"dataCentre"`
	CallerAddress string `cbor:"callerAddress"`
	PeerAddress   string `cbor:"peerAddress"`
	Ready         bool   `cbor:"ready"`
	Leaving       bool   `cbor:"leaving"`
	// Hub tells that the VM serves callers; the others stand by.
	Hub bool `cbor:"hub"`
	// Capacity is the processor time that the VM may use, in cores, and Use what
	// callers' traffic took of it lately. What VMs tell each other is not in it.
	Capacity float64 `cbor:"capacity"`
	Use      float64 `cbor:"use"`
	// Revision is that of the platform's entries that the VM holds.
	Revision uint64 `cbor:"revision"`
	// AgeMs is how long ago, in ms, the VM itself told this, where another tells it.
	AgeMs int64 `cbor:"ageMs,omitempty"`
}

// Traffic counts what callers have asked of a VM since its process's start.
type Traffic struct {
	Requests uint64
	// Events are those of streams, as they were passed on.
	Events uint64
	// Bytes are those of answers' bodies, as they were passed on.
	Bytes uint64
}

// TargetLoad is what one VM has on one target.
type TargetLoad struct {
	Target   string `cbor:"target"`
	Requests int    `cbor:"requests"`
	// Tokens is the memory that the VM's generations there will come to need.
	Tokens int `cbor:"tokens"`
	// Held is the memory that it has there now, with the prompts that wait.
	Held int `cbor:"held"`
	// Prefill is how many tokens of prompts there wait to be read.
	Prefill int `cbor:"prefill"`
	// PaceMs is the time between two events of a stream there, in ms, as the VM saw
	// it; 0 where it has seen none.
	PaceMs int `cbor:"paceMs,omitempty"`
}

// LoadDelta is what one VM has on the targets.
type LoadDelta struct {
	// After is 0 if these are all loads; else the heartbeat after which those have
	// changed that are told, without requests where nothing is left.
	After uint64       `cbor:"after,omitempty"`
	Loads []TargetLoad `cbor:"loads,omitempty"`
}

// RecordDelta is what a VM holds of the platform's entries beyond what a peer
// holds.
type RecordDelta struct {
	// Base is the revision that Records follow, 0 if they are all there are.
	Base     uint64   `cbor:"base"`
	Revision uint64   `cbor:"revision"`
	Records  []Record `cbor:"records,omitempty"`
	// EvidenceAgeMs is how old the proof is, when the message leaves, that
	// Revision was the platform's newest; below 0 there is none.
	EvidenceAgeMs int64 `cbor:"evidenceAgeMs"`
	// Want asks the receiver for everything: the sender lacks more than news.
	Want bool `cbor:"want"`
	// Leaving are the starts of targets that said of late, to the sender or to
	// one that told it, that they leave.
	Leaving []TargetStart `cbor:"leaving,omitempty"`
}

// ExchangeMessage carries the states of members and news of entries, both ways.
type ExchangeMessage struct {
	From    string        `cbor:"from"`
	Members []MemberState `cbor:"members"`
	Delta   RecordDelta   `cbor:"delta"`
	// Known is how many members the sender knows of.
	Known int `cbor:"known"`
	// Loads are the sender's own as of its heartbeat, nil where it tells none.
	Loads *LoadDelta `cbor:"loads,omitempty"`
	// Held is the heartbeat of the receiver's loads that the sender holds, 0 for
	// none, and HeldOf the incarnation of the receiver that told them.
	Held   uint64 `cbor:"held,omitempty"`
	HeldOf int64  `cbor:"heldOf,omitempty"`
}

// TurnRequest asks for the right to copy over the link of an engine.
type TurnRequest struct {
	From   string `cbor:"from"`
	Engine string `cbor:"engine"`
	// Request is the generation that is to be copied.
	Request string `cbor:"request"`
	// Tokens is its size; the smallest goes first.
	Tokens int `cbor:"tokens"`
	// AtOnce asks for the turn only if nobody has or awaits it.
	AtOnce bool `cbor:"atOnce"`
	// Release gives the turn back.
	Release bool `cbor:"release"`
}

// TurnReply answers a TurnRequest.
type TurnReply struct {
	Granted bool `cbor:"granted"`
}

// FleetPeers reaches other VMs by their peer address.
type FleetPeers interface {
	Exchange(ctx context.Context, address string, in *ExchangeMessage) (*ExchangeMessage, error)
	Turn(ctx context.Context, address string, in *TurnRequest) (*TurnReply, error)
}

// FleetHandler answers what peers ask.
type FleetHandler interface {
	Exchange(ctx context.Context, in *ExchangeMessage) (*ExchangeMessage, error)
	Turn(ctx context.Context, in *TurnRequest) (*TurnReply, error)
}

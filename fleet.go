package bluebelldoor

import (
	"context"
	"time"
)

// MemberState is the state that a VM reports of itself to its peers.
type MemberState struct {
	Name string `cbor:"name"`
	// Incarnation is the start time of the process; a higher value replaces a
	// lower one.
	Incarnation int64 `cbor:"incarnation"`
	// Heartbeat increases with each gossip round of the VM.
	Heartbeat     uint64 `cbor:"heartbeat"`
	DataCentre    string `cbor:"dataCentre"`
	CallerAddress string `cbor:"callerAddress"`
	PeerAddress   string `cbor:"peerAddress"`
	Ready         bool   `cbor:"ready"`
	Leaving       bool   `cbor:"leaving"`
	// Hub is set if the VM serves callers; the other VMs are standbys.
	Hub bool `cbor:"hub"`
	// CapacityCores is the processor time that the VM may use, in cores, and UsedCores
	// the part recently spent on callers' traffic, excluding messages between VMs.
	CapacityCores float64 `cbor:"capacity"`
	UsedCores     float64 `cbor:"use"`
	// Era and Revision are the catalogue position that the VM holds.
	Era      uint64 `cbor:"era,omitempty"`
	Revision uint64 `cbor:"revision"`
	// Fetches is set if the VM accepts references to large values and fetches them.
	Fetches bool `cbor:"fetches,omitempty"`
	// PlatformLost is set if the VM's latest reads of the platform failed.
	PlatformLost bool `cbor:"platformLost,omitempty"`
	// AgeMs is the age of this state in milliseconds, 0 in a message of the VM itself.
	AgeMs int64 `cbor:"ageMs,omitempty"`
}

// ValueReference identifies a value that peers fetch from each other in chunks, so that
// messages between them stay small.
type ValueReference struct {
	// Digest is the begin of the value's SHA-256 digest.
	Digest []byte `cbor:"digest"`
	// Bytes is the size of the value.
	Bytes int `cbor:"bytes"`
}

// FetchRequest asks a peer for a chunk of a value's encoding.
type FetchRequest struct {
	// Address is the peer address of the sender.
	Address string `cbor:"address"`
	Digest  []byte `cbor:"digest"`
	// Bases are the digests of values that the sender holds, the preferred one first. The
	// encoding may refer to one of them.
	Bases [][]byte `cbor:"bases,omitempty"`
	// Encoding identifies the encoding of which the sender holds the first Offset bytes.
	Encoding uint64 `cbor:"encoding,omitempty"`
	Offset   int    `cbor:"offset,omitempty"`
}

// FetchReply is a chunk of a value's encoding, or tells where else to ask.
type FetchReply struct {
	// Held is set if the peer holds the value.
	Held bool `cbor:"held"`
	// RetryMs is after how many milliseconds to ask again if the peer is busy, else 0.
	RetryMs int64 `cbor:"retryMs,omitempty"`
	// Holders are the peer addresses of VMs that may hold the value.
	Holders []string `cbor:"holders,omitempty"`
	// Encoding identifies the encoding, EncodedBytes is its size, and Base the digest of the
	// value that it refers to, nil for none.
	Encoding     uint64 `cbor:"encoding,omitempty"`
	EncodedBytes int    `cbor:"encodedBytes,omitempty"`
	Base         []byte `cbor:"base,omitempty"`
	// Offset is where Data begins in the encoding.
	Offset int    `cbor:"offset,omitempty"`
	Data   []byte `cbor:"data,omitempty"`
}

// ValueKeeper holds large values for peers, and fetches those that are missing.
type ValueKeeper interface {
	// Hold keeps a value, and returns its reference. The caller must not change it.
	Hold(value []byte) ValueReference
	// Value returns the value with a digest, nil if it is not held.
	Value(digest []byte) []byte
	// Want sets the values to fetch; others are no longer fetched.
	Want(missing []ValueReference)
}

// Traffic counts callers' traffic on a VM since its process started.
type Traffic struct {
	Requests uint64
	// Events is the number of stream events forwarded.
	Events uint64
	// Bytes is the number of bytes of response bodies forwarded.
	Bytes uint64
}

// TargetLoad is the load of one VM on one target.
type TargetLoad struct {
	Target   string `cbor:"target"`
	Requests int    `cbor:"requests"`
	// Tokens is the memory that the VM's generations there will need by their end.
	Tokens int `cbor:"tokens"`
	// HeldTokens is the memory that they hold now, including queued prompts.
	HeldTokens int `cbor:"held"`
	// PrefillTokens is the number of prompt tokens that wait for prefill.
	PrefillTokens int `cbor:"prefill"`
	// EventIntervalMs is the time between two events of a stream there, in
	// milliseconds, as the VM observed it; 0 if it has observed none.
	EventIntervalMs int `cbor:"paceMs,omitempty"`
	// Streams is how many protected streams the VM has there.
	Streams int `cbor:"streams,omitempty"`
	// Reserved is the memory, in tokens, that the VM's queued requests have reserved there.
	Reserved int `cbor:"reserved,omitempty"`
	// Credit is how many requests at once the target has earned by its answers to the VM
	// since it started or recovered.
	Credit int `cbor:"credit,omitempty"`
}

// LoadDelta is one VM's load on the targets, complete or as changes.
type LoadDelta struct {
	// After is 0 if Loads is complete. Otherwise Loads holds the targets whose load
	// changed after this heartbeat, with 0 in all fields if no load is left.
	After uint64       `cbor:"after,omitempty"`
	Loads []TargetLoad `cbor:"loads,omitempty"`
}

// RecordDelta holds the catalogue records of a VM that a peer lacks.
//
// A build without eras sends and ignores all eras as 0.
type RecordDelta struct {
	// BaseEra and Base are the position that Records follow. Base is 0 if Records is
	// complete.
	BaseEra uint64 `cbor:"baseEra,omitempty"`
	Base    uint64 `cbor:"base"`
	// Era and Revision are the position that the sender holds.
	Era      uint64   `cbor:"era,omitempty"`
	Revision uint64   `cbor:"revision"`
	Records  []Record `cbor:"records,omitempty"`
	// RecordsIn refers to a value that holds the records, encoded as CBOR, if they are too
	// many for a message.
	RecordsIn *ValueReference `cbor:"recordsIn,omitempty"`
	// More is set if the sender holds more changes than fit into the message. Era and
	// Revision are then the position up to which Records reach.
	More bool `cbor:"more,omitempty"`
	// References is set if the sender accepts references to values.
	References bool `cbor:"references,omitempty"`
	// CrossesEras is set if Records turn the state at the base, which is of an earlier
	// era, into that of Era. Only a VM at exactly that base can use them.
	CrossesEras bool `cbor:"crossesEras,omitempty"`
	// UnseenEra and Unseen are the newest position up to which the sender does not know
	// what came and went after the base, 0 if it knows all. The receiver does not either.
	UnseenEra uint64 `cbor:"unseenEra,omitempty"`
	Unseen    uint64 `cbor:"unseen,omitempty"`
	// RoutingVersion is the version of the routing in force at the sender. Routing is its
	// record if the receiver's version is lower and the catalogue doesn't show it.
	RoutingVersion uint64  `cbor:"routingVersion,omitempty"`
	Routing        *Record `cbor:"routing,omitempty"`
	// RetainedDigest identifies what the sender retains of an earlier era, 0 for nothing.
	// Retained is set in replies to a VM with another digest.
	RetainedDigest uint64         `cbor:"retainedDigest,omitempty"`
	Retained       *RetainedState `cbor:"retained,omitempty"`
	// EvidenceAgeMs is the age, when the message is sent, of the proof that
	// Revision was the platform's newest; negative if there is no proof.
	EvidenceAgeMs int64 `cbor:"evidenceAgeMs"`
	// OutageEndAgeMs is the age, when the message is sent, of the end of the latest outage of
	// the platform that the sender knows of, 0 if there was none lately.
	OutageEndAgeMs int64 `cbor:"outageEndAge,omitempty"`
	// WantFull asks for all records: the sender lacks more than recent changes.
	WantFull bool `cbor:"want"`
	// Leaving lists the target incarnations that recently announced that they are
	// leaving, to the sender or to a VM that passed it on.
	Leaving []TargetIncarnation `cbor:"leaving,omitempty"`
}

// Position returns the position that the sender holds.
func (d *RecordDelta) Position() Position { return Position{d.Era, d.Revision} }

// RetainedState is what a VM keeps in force for ForMs, though the catalogue, which has
// returned from an older copy, says otherwise.
type RetainedState struct {
	ForMs int64 `cbor:"forMs"`
	// Gone are records of targets that had left. They are not used.
	Gone []Record `cbor:"gone,omitempty"`
	// OutOfService are the lost records of data centres out of service.
	OutOfService []Record `cbor:"outOfService,omitempty"`
	// Leaving are the targets that had announced that they were leaving.
	Leaving []TargetIncarnation `cbor:"leaving,omitempty"`
}

// ExchangeMessage carries member states and record changes, in both directions. The ages in it
// are as of its writing; AddAge makes them those at its reading.
type ExchangeMessage struct {
	From string `cbor:"from"`
	// SentAtMs is the sender's clock at the writing, in milliseconds, 0 if it is not told.
	SentAtMs int64         `cbor:"sentAt,omitempty"`
	Members  []MemberState `cbor:"members"`
	Delta    RecordDelta   `cbor:"delta"`
	// KnownMembers is the number of members that the sender knows.
	KnownMembers int `cbor:"known"`
	// Loads is the sender's load as of its heartbeat, nil if it sends none.
	Loads *LoadDelta `cbor:"loads,omitempty"`
	// HeldHeartbeat is the heartbeat of the receiver's loads that the sender holds, 0 for
	// none, and HeldIncarnation the incarnation of the receiver that sent them.
	HeldHeartbeat   uint64 `cbor:"held,omitempty"`
	HeldIncarnation int64  `cbor:"heldOf,omitempty"`
	// LimitDigest identifies the limits of targets that the sender knows, 0 if there are
	// none. Limits are the limits that the receiver may lack.
	LimitDigest uint64        `cbor:"limitDigest,omitempty"`
	Limits      []TargetLimit `cbor:"limits,omitempty"`
	// CrashDigest identifies the crashes of engines that the sender knows and that accuse
	// parts of prompts, 0 if there are none. Crashes are those that the receiver may lack.
	CrashDigest uint64        `cbor:"crashDigest,omitempty"`
	Crashes     []PromptCrash `cbor:"crashes,omitempty"`
	// AccountUse is what client accounts have used lately at the sender, of those for which
	// that has grown.
	AccountUse []AccountUse `cbor:"accountUse,omitempty"`
}

// AddAge makes the ages in the message older, and shortens what it says is left of a time.
// The evidence in Delta is dated by the request to which the message replies, not by its age.
func (m *ExchangeMessage) AddAge(d time.Duration) {
	ms := d.Milliseconds()
	for i := range m.Members {
		m.Members[i].AgeMs += ms
	}
	for i := range m.Limits {
		m.Limits[i].AgeMs += ms
	}
	for i := range m.Crashes {
		crash := &m.Crashes[i]
		crash.AgeMs += ms
		for j := range crash.Parts {
			for k := range crash.Parts[j].Proofs {
				crash.Parts[j].Proofs[k].AgeMs += ms
			}
		}
	}
	if m.Delta.OutageEndAgeMs > 0 {
		m.Delta.OutageEndAgeMs += ms
	}
	if r := m.Delta.Retained; r != nil {
		r.ForMs = max(0, r.ForMs-ms)
	}
}

// AccountUse is what a client account has used lately at one VM.
type AccountUse struct {
	Account string `cbor:"account"`
	// Tokens is the number of prompt tokens read and tokens made. It halves every 20 s.
	Tokens int64 `cbor:"tokens"`
}

// PromptCrash is the end of a target that had a request.
type PromptCrash struct {
	Service string `cbor:"service"`
	// Target names the target and its start.
	Target string `cbor:"target"`
	// Account is that of the request.
	Account string `cbor:"account"`
	// Parts are the shared parts of the request's prompt, and its digest.
	Parts []PromptPart `cbor:"parts"`
	// AgeMs is the time since the end was noticed, and SpanMs how much earlier it may have been:
	// the VM that noticed it had stood still for so long.
	AgeMs  int64 `cbor:"ageMs"`
	SpanMs int64 `cbor:"spanMs,omitempty"`
	// Undated is set if AgeMs may be too short: a message that told it may have waited.
	Undated bool `cbor:"undated,omitempty"`
	// Ended is set if the target has ended for good, and unset if it may only have ended
	// connections.
	Ended bool `cbor:"ended,omitempty"`
}

// PromptPart is a part of prompts that a crash accuses.
type PromptPart struct {
	ID string `cbor:"id"`
	// Proofs are the latest complete answers to requests with the part. They are left out where
	// an earlier part of the message has the same ID.
	Proofs []PartProof `cbor:"proofs,omitempty"`
}

// PartProof is a complete answer.
type PartProof struct {
	ID    uint32 `cbor:"id"`
	AgeMs int64  `cbor:"ageMs"`
}

// TargetLimit is the limit of requests that a target has named, as a VM knows it.
type TargetLimit struct {
	Target TargetIncarnation `cbor:"target"`
	// PerSecond is how many requests per second the target accepts from all VMs
	// together.
	PerSecond float64 `cbor:"perSecond"`
	// Ended is set if the target no longer names a limit.
	Ended bool `cbor:"ended,omitempty"`
	// AgeMs is the time since a response last said so, in milliseconds.
	AgeMs int64 `cbor:"ageMs"`
}

// PermitRequest asks for a permit to send one request to a limited target.
type PermitRequest struct {
	From string `cbor:"from"`
	// Limit is the target's limit as the sender knows it.
	Limit TargetLimit `cbor:"limit"`
}

// PermitReply answers a PermitRequest.
type PermitReply struct {
	Granted bool `cbor:"granted"`
	// RetryMs is after how many milliseconds to ask again if no permit was granted.
	RetryMs int64 `cbor:"retryMs,omitempty"`
	// Limit is the target's limit as the grantor knows it.
	Limit TargetLimit `cbor:"limit"`
}

// TurnRequest asks for the right to copy over an engine's link.
type TurnRequest struct {
	From   string `cbor:"from"`
	Engine string `cbor:"engine"`
	// Request is the ID of the generation to copy.
	Request string `cbor:"request"`
	// Tokens is the size of the generation; the smallest goes first.
	Tokens int `cbor:"tokens"`
	// NoWait asks for the turn only if no VM holds it or waits for it.
	NoWait bool `cbor:"atOnce"`
	// Release releases the turn.
	Release bool `cbor:"release"`
}

// TurnReply answers a TurnRequest.
type TurnReply struct {
	Granted bool `cbor:"granted"`
}

// FleetClient calls other VMs by their peer address.
type FleetClient interface {
	Exchange(ctx context.Context, address string, in *ExchangeMessage) (*ExchangeMessage, error)
	Turn(ctx context.Context, address string, in *TurnRequest) (*TurnReply, error)
	Permit(ctx context.Context, address string, in *PermitRequest) (*PermitReply, error)
	Fetch(ctx context.Context, address string, in *FetchRequest) (*FetchReply, error)
}

// FleetHandler answers the calls of peers.
type FleetHandler interface {
	Exchange(ctx context.Context, in *ExchangeMessage) (*ExchangeMessage, error)
	Turn(ctx context.Context, in *TurnRequest) (*TurnReply, error)
	Permit(ctx context.Context, in *PermitRequest) (*PermitReply, error)
	Fetch(ctx context.Context, in *FetchRequest) (*FetchReply, error)
}

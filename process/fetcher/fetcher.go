package fetcher

import (
	"bytes"
	"context"
	"encoding/hex"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"bluebelldoor"
)

const (
	// minChunkTimeout and maxChunkTimeout bound the transfer of one chunk. The limit doubles
	// each time that it has passed, as the VM's own link may be the slow one.
	minChunkTimeout = 350 * time.Millisecond
	maxChunkTimeout = 3 * time.Second
	// failurePause is how long a peer is not asked after it has not answered, and
	// notHeldPause the same after it has answered that it lacks the value.
	failurePause = 2 * time.Second
	notHeldPause = 60 * time.Millisecond
	// idlePause is the time until peers are asked again if none is to be asked now.
	idlePause = 20 * time.Millisecond
	// maxPause bounds the pause between two chunks.
	maxPause = 100 * time.Millisecond
	// maxEncodedBytes bounds an encoding.
	maxEncodedBytes = maxValueBytes + maxValueBytes/8
	// maxAddressLength bounds the addresses in a message.
	maxAddressLength = 256
)

// Fleet are the peers of a VM.
type Fleet struct {
	// Address is the VM's own peer address.
	Address string
	Peers   bluebelldoor.FleetClient
	// Sources returns the peer addresses of VMs to ask, the preferred ones first.
	Sources func() []string
}

// Fetcher holds large values and fetches those that are missing. It implements
// bluebelldoor.ValueKeeper and is safe for concurrent use.
type Fetcher struct {
	fleet   Fleet
	clock   bluebelldoor.Clock
	log     hclog.Logger
	held    *holder
	deliver func(reference bluebelldoor.ValueReference, value []byte)
	wake    chan struct{}

	sent, received atomic.Int64

	// failedUntil is when a peer that has not answered may be asked again, and timeout the
	// current limit of a chunk. They belong to the goroutine that fetches.
	failedUntil map[string]time.Duration
	timeout     time.Duration

	mu        sync.Mutex
	transfers []*transfer
}

var _ bluebelldoor.ValueKeeper = (*Fetcher)(nil)

// transfer is the state of a value that is missing. It belongs to the goroutine that fetches,
// but for its reference, which does not change, and source, whose changes Fetcher.mu guards.
type transfer struct {
	reference bluebelldoor.ValueReference
	began     time.Duration
	encoding  uint64
	base      []byte
	// baseValue is that of base, which may no longer be held when the transfer ends.
	baseValue []byte
	data      []byte
	// source is the peer that sent the latest chunk.
	source string
	// holders are the peers that others have named.
	holders []string
	// notBefore is when a peer that has answered may be asked again.
	notBefore map[string]time.Duration
	sources   int
}

// Option configures a fetcher.
type Option func(*Fetcher)

// WithLink limits the chunks that are sent to a share of the VM's link, whose rate is in
// bytes a second.
func WithLink(bytesPerSecond float64) Option {
	return func(f *Fetcher) { f.held.bytesPerSecond = bytesPerSecond * linkShare }
}

// New returns a fetcher. deliver is called with each value that has been fetched.
func New(fleet Fleet, clock bluebelldoor.Clock, deliver func(bluebelldoor.ValueReference, []byte), log hclog.Logger, options ...Option) *Fetcher {
	f := &Fetcher{
		fleet: fleet, clock: clock, log: log, held: &holder{clock: clock}, deliver: deliver, wake: make(chan struct{}, 1),
		failedUntil: map[string]time.Duration{}, timeout: minChunkTimeout,
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// Hold implements bluebelldoor.ValueKeeper.
func (f *Fetcher) Hold(value []byte) bluebelldoor.ValueReference { return f.held.hold(value) }

// Value implements bluebelldoor.ValueKeeper.
func (f *Fetcher) Value(digest []byte) []byte { return f.held.value(digest) }

// Sent returns the bytes of the chunks sent so far.
func (f *Fetcher) Sent() int64 { return f.sent.Load() }

// Received returns the bytes of the chunks received so far.
func (f *Fetcher) Received() int64 { return f.received.Load() }

// Want implements bluebelldoor.ValueKeeper.
func (f *Fetcher) Want(missing []bluebelldoor.ValueReference) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var transfers []*transfer
	for _, reference := range missing {
		if reference.Bytes <= 0 || reference.Bytes > maxValueBytes || len(reference.Digest) != digestBytes {
			f.log.Warn("reference to a value is malformed", "bytes", reference.Bytes, "digestBytes", len(reference.Digest))
			continue
		}
		if i := slices.IndexFunc(f.transfers, func(t *transfer) bool { return bytes.Equal(t.reference.Digest, reference.Digest) }); i >= 0 {
			transfers = append(transfers, f.transfers[i])
			continue
		}
		transfers = append(transfers, &transfer{reference: reference, began: f.clock.Now(), notBefore: map[string]time.Duration{}})
	}
	f.transfers = transfers
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Fetch answers a peer.
func (f *Fetcher) Fetch(in *bluebelldoor.FetchRequest) *bluebelldoor.FetchReply {
	out := f.held.serve(in)
	if !out.Held {
		f.mu.Lock()
		for _, t := range f.transfers {
			if bytes.Equal(t.reference.Digest, in.Digest) && t.source != "" {
				out.Holders = []string{t.source}
			}
		}
		f.mu.Unlock()
	}
	f.sent.Add(int64(len(out.Data)))
	return out
}

// Start fetches missing values until the returned clean-up function is called.
func (f *Fetcher) Start() func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func (f *Fetcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		transfers, pause := f.current(), time.Hour
		for _, t := range transfers {
			if f.step(ctx, t) {
				pause = 0
			} else {
				pause = min(pause, idlePause/2+rand.N(idlePause))
			}
		}
		if pause == 0 {
			continue
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-f.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (f *Fetcher) current() []*transfer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.transfers)
}

// step asks one peer for the next chunk of a value, and reports whether a peer was asked.
func (f *Fetcher) step(ctx context.Context, t *transfer) bool {
	source := f.chooseSource(t)
	if source == "" {
		return false
	}
	began := f.clock.Now()
	chunkCtx, cancel := context.WithTimeout(ctx, f.timeout)
	request := &bluebelldoor.FetchRequest{Address: f.fleet.Address, Digest: t.reference.Digest, Bases: f.held.bases(), Encoding: t.encoding, Offset: len(t.data)}
	reply, err := f.fleet.Peers.Fetch(chunkCtx, source, request)
	cancel()
	now := f.clock.Now()
	switch {
	case err != nil:
		f.log.Debug("peer did not send a chunk", "peer", source, "error", err)
		f.recordFailure(source, now)
		f.setSource(t, "")
	case !reply.Held:
		t.notBefore[source] = now + notHeldPause
		t.addHolders(reply.Holders)
	case reply.RetryMs > 0:
		t.notBefore[source] = now + time.Duration(min(reply.RetryMs, failurePause.Milliseconds()))*time.Millisecond
		t.addHolders(reply.Holders)
	default:
		f.received.Add(int64(len(reply.Data)))
		f.timeout = max(minChunkTimeout, f.timeout/2)
		f.setSource(t, source)
		f.take(t, source, reply)
		// Leaves half of the link to other traffic, and time to send to others.
		sleep(ctx, min(f.clock.Now()-began, maxPause))
	}
	return true
}

// recordFailure records that a peer has not answered.
func (f *Fetcher) recordFailure(source string, now time.Duration) {
	maps.DeleteFunc(f.failedUntil, func(_ string, until time.Duration) bool { return until <= now })
	f.failedUntil[source] = now + failurePause
	f.timeout = min(2*f.timeout, maxChunkTimeout)
}

// setSource records which peer sent the latest chunk.
func (f *Fetcher) setSource(t *transfer, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if source != "" && source != t.source {
		t.sources++
	}
	t.source = source
}

// chooseSource returns the peer to ask, empty if none may be asked now: the one that sent
// the latest chunk, then those that others have named, then those of the fleet.
func (f *Fetcher) chooseSource(t *transfer) string {
	now := f.clock.Now()
	candidates := append([]string{t.source}, t.holders...)
	for _, source := range append(candidates, f.fleet.Sources()...) {
		if source != "" && source != f.fleet.Address && t.notBefore[source] <= now && f.failedUntil[source] <= now {
			return source
		}
	}
	return ""
}

// addHolders records peers that may hold the value, the latest first.
func (t *transfer) addHolders(holders []string) {
	for _, address := range holders[:min(len(holders), maxHolders)] {
		if len(address) <= maxAddressLength && !slices.Contains(t.holders, address) {
			t.holders = slices.Insert(t.holders, 0, address)
		}
	}
	t.holders = t.holders[:min(len(t.holders), 4*maxHolders)]
}

// take adds a chunk to what has been received of a value, and delivers the value if it is
// complete.
func (f *Fetcher) take(t *transfer, source string, reply *bluebelldoor.FetchReply) {
	if err := t.append(reply, f.held.value); err != nil {
		f.reject(t, source, err)
		return
	}
	if len(t.data) < reply.EncodedBytes {
		return
	}
	value, err := decompress(t.data, t.baseValue, t.reference)
	if err != nil {
		f.reject(t, source, err)
		return
	}
	f.mu.Lock()
	f.transfers = slices.DeleteFunc(f.transfers, func(other *transfer) bool { return other == t })
	f.mu.Unlock()
	f.log.Info("value fetched", "digest", hex.EncodeToString(t.reference.Digest), "bytes", len(value), "encodedBytes", len(t.data),
		"fromBase", t.baseValue != nil, "sources", t.sources, "tookMs", (f.clock.Now() - t.began).Milliseconds(), "peer", source)
	f.held.hold(value)
	f.deliver(t.reference, value)
}

// reject discards what has been received of a value.
func (f *Fetcher) reject(t *transfer, source string, err error) {
	f.log.Warn("peer sent a chunk that can't be used", "peer", source, "digest", hex.EncodeToString(t.reference.Digest), "error", err)
	t.notBefore[source] = f.clock.Now() + failurePause
	t.encoding, t.base, t.baseValue, t.data = 0, nil, nil, nil
	f.setSource(t, "")
}

// append adds a chunk, or begins anew if it is of another encoding.
func (t *transfer) append(reply *bluebelldoor.FetchReply, value func([]byte) []byte) error {
	if reply.EncodedBytes <= 0 || reply.EncodedBytes > maxEncodedBytes || len(reply.Data) == 0 {
		return errors.Errorf("chunk of %d bytes of an encoding of %d", len(reply.Data), reply.EncodedBytes)
	}
	if reply.Encoding != t.encoding || len(t.data) == 0 {
		t.encoding, t.base, t.baseValue, t.data = reply.Encoding, reply.Base, nil, nil
		if len(reply.Base) > 0 {
			if t.baseValue = value(reply.Base); t.baseValue == nil {
				return errors.New("encoding refers to a value that is not held")
			}
		}
	}
	if reply.Offset != len(t.data) || reply.Offset+len(reply.Data) > reply.EncodedBytes {
		return errors.Errorf("chunk at %d of %d, expected %d", reply.Offset, reply.EncodedBytes, len(t.data))
	}
	t.data = append(t.data, reply.Data...)
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

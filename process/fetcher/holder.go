package fetcher

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"bluebelldoor"
)

const (
	// chunkBytes bounds the data of one reply, and thereby how long a heartbeat waits
	// behind it on a slow link.
	chunkBytes = 16 << 10
	// digestBytes is the length of a digest.
	digestBytes = 16
	// maxValueBytes bounds a value.
	maxValueBytes = 8 << 20
	// maxHeldValues and maxHeldBytes bound the values that are kept, and maxEncodings the
	// encodings. At least one of each is kept.
	maxHeldValues = 16
	maxHeldBytes  = 12 << 20
	maxEncodings  = 4
	// maxHolders bounds the VMs that are named to a peer.
	maxHolders = 4
	// linkShare is the share of the VM's link that chunks may take, and maxBacklog how far
	// they may be ahead of that rate.
	linkShare  = 0.5
	maxBacklog = 30 * time.Millisecond
	// dictionaryID is that of all dictionaries: which one an encoding refers to is told
	// beside it.
	dictionaryID = 1
)

// encoding is the compressed form of a value.
type encoding struct {
	id           uint64
	digest, base []byte
	data         []byte
}

// heldValue is a value, with the VMs that have fetched it from this one.
type heldValue struct {
	reference bluebelldoor.ValueReference
	value     []byte
	holders   []string
}

// holder keeps values and their encodings, the least recently used first. It is safe for
// concurrent use.
type holder struct {
	clock bluebelldoor.Clock
	// bytesPerSecond is the rate at which chunks may be sent, 0 for no limit.
	bytesPerSecond float64

	mu        sync.Mutex
	values    []*heldValue
	encodings []*encoding
	// sentUntil is when the chunks sent so far have left at bytesPerSecond.
	sentUntil time.Duration
}

func digestOf(value []byte) []byte {
	sum := sha256.Sum256(value)
	return sum[:digestBytes]
}

// hold keeps a value.
func (h *holder) hold(value []byte) bluebelldoor.ValueReference {
	reference := bluebelldoor.ValueReference{Digest: digestOf(value), Bytes: len(value)}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.find(reference.Digest) != nil {
		return reference
	}
	h.values = append(h.values, &heldValue{reference: reference, value: value})
	total := 0
	for _, v := range h.values {
		total += len(v.value)
	}
	for len(h.values) > 1 && (len(h.values) > maxHeldValues || total > maxHeldBytes) {
		total -= len(h.values[0].value)
		h.values = h.values[1:]
	}
	return reference
}

// find returns the value with a digest, nil if it is not held, and makes it the most
// recently used. The caller holds h.mu.
func (h *holder) find(digest []byte) *heldValue {
	i := slices.IndexFunc(h.values, func(v *heldValue) bool { return bytes.Equal(v.reference.Digest, digest) })
	if i < 0 {
		return nil
	}
	v := h.values[i]
	h.values = append(slices.Delete(h.values, i, i+1), v)
	return v
}

func (h *holder) value(digest []byte) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v := h.find(digest); v != nil {
		return v.value
	}
	return nil
}

// bases returns the digests of the values that encodings may refer to, the newest first.
func (h *holder) bases() [][]byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out [][]byte
	for _, v := range slices.Backward(h.values) {
		out = append(out, v.reference.Digest)
	}
	return out
}

// serve answers a request for a chunk.
func (h *holder) serve(in *bluebelldoor.FetchRequest) *bluebelldoor.FetchReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.find(in.Digest)
	if v == nil {
		return &bluebelldoor.FetchReply{}
	}
	out := &bluebelldoor.FetchReply{Held: true, Holders: slices.Clone(v.holders)}
	now := h.clock.Now()
	if ahead := h.sentUntil - now; h.bytesPerSecond > 0 && ahead > maxBacklog {
		out.RetryMs = max(1, (ahead - maxBacklog).Milliseconds())
		return out
	}
	e, err := h.encode(v, in)
	if err != nil {
		return &bluebelldoor.FetchReply{}
	}
	out.Encoding, out.EncodedBytes, out.Base = e.id, len(e.data), e.base
	if in.Encoding == e.id {
		out.Offset = min(max(0, in.Offset), len(e.data))
	}
	out.Data = e.data[out.Offset:min(len(e.data), out.Offset+chunkBytes)]
	if h.bytesPerSecond > 0 {
		h.sentUntil = max(h.sentUntil, now) + time.Duration(float64(len(out.Data))/h.bytesPerSecond*float64(time.Second))
	}
	if out.Offset+len(out.Data) == len(e.data) && len(in.Address) <= maxAddressLength {
		v.addHolder(in.Address)
	}
	return out
}

// addHolder records that a VM holds the value.
func (v *heldValue) addHolder(address string) {
	v.holders = slices.DeleteFunc(v.holders, func(held string) bool { return held == address })
	v.holders = append(v.holders, address)
	v.holders = v.holders[max(0, len(v.holders)-maxHolders):]
}

// encode returns the encoding of a value for a peer: the one of which it has a part, or one
// that refers to a value that it holds. The caller holds h.mu.
func (h *holder) encode(v *heldValue, in *bluebelldoor.FetchRequest) (*encoding, error) {
	base := h.commonBase(v, in.Bases)
	for i, e := range h.encodings {
		if bytes.Equal(e.digest, in.Digest) && (in.Encoding == e.id && in.Offset > 0 || in.Offset == 0 && bytes.Equal(e.base, base.digest())) {
			h.encodings = append(slices.Delete(h.encodings, i, i+1), e)
			return e, nil
		}
	}
	data, err := compress(v.value, base)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(data)
	e := &encoding{id: binary.BigEndian.Uint64(sum[:]), digest: v.reference.Digest, base: base.digest(), data: data}
	h.encodings = append(h.encodings, e)
	h.encodings = h.encodings[max(0, len(h.encodings)-maxEncodings):]
	return e, nil
}

// commonBase returns the first of the peer's values that this VM holds as well, nil if there
// is none. The caller holds h.mu.
func (h *holder) commonBase(v *heldValue, bases [][]byte) *heldValue {
	for _, digest := range bases[:min(len(bases), maxHeldValues)] {
		for _, held := range h.values {
			if held != v && bytes.Equal(held.reference.Digest, digest) {
				return held
			}
		}
	}
	return nil
}

func (v *heldValue) digest() []byte {
	if v == nil {
		return nil
	}
	return v.reference.Digest
}

func compress(value []byte, base *heldValue) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(maxValueBytes),
	}
	if base != nil {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base.value))
	}
	w, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "compress value")
	}
	return w.EncodeAll(value, nil), errors.Wrap(w.Close(), "compress value")
}

// decompress returns the value of an encoding that refers to base, nil for none, and checks
// it against its reference.
func decompress(data, base []byte, reference bluebelldoor.ValueReference) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(2 * maxValueBytes)}
	if base != nil {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	r, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "decompress value")
	}
	defer r.Close()
	value, err := r.DecodeAll(data, make([]byte, 0, reference.Bytes))
	if err != nil {
		return nil, errors.Wrap(err, "decompress value")
	}
	if !bytes.Equal(digestOf(value), reference.Digest) {
		return nil, errors.Errorf("value has another digest, %d bytes", len(value))
	}
	return value, nil
}

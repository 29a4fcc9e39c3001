package registrar

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"bluebelldoor"
)

const (
	// maxInlineValue bounds a value that messages between VMs hold.
	maxInlineValue = 2 << 10
	// maxDeltaBytes bounds the records in one message, unless a single one is larger.
	maxDeltaBytes = 16 << 10
	// recordOverhead is what a record takes in a message besides its key and value.
	recordOverhead = 40
	// missingReadDelay is how long a VM waits for peers to send it missing values before it
	// reads everything from the platform, and missingReadInterval how often it does.
	missingReadDelay    = time.Second
	missingReadInterval = 2 * time.Second
	// maxRecordsWait is how long a VM waits for the records of a delta before it asks for others:
	// the VMs that held them may be gone.
	maxRecordsWait = 4 * time.Second
)

// WithValues lets the registrar send large values by reference, and fetch those that peers
// refer to. Without it, messages hold all values.
func WithValues(values bluebelldoor.ValueKeeper) Option {
	return func(r *Registrar) { r.values = values }
}

// isMissing reports whether the value of a record has not arrived yet.
func isMissing(r bluebelldoor.Record) bool {
	return r.Reference != nil && len(r.Value) == 0 && !r.Removed
}

// resolve sets the reference of a record with a large value, and the value of one that only
// refers to it, if it is held.
func (s *state) resolve(r bluebelldoor.Record) bluebelldoor.Record {
	switch {
	case s.values == nil || r.Removed:
	case isMissing(r):
		r.Value = s.values.Value(r.Reference.Digest)
	case len(r.Value) > maxInlineValue:
		reference := s.values.Hold(r.Value)
		r.Reference = &reference
	}
	return r
}

// toReference returns a record as messages to VMs that fetch values hold it.
func (s *state) toReference(r bluebelldoor.Record) bluebelldoor.Record {
	if r.Reference != nil && len(r.Value) > 0 {
		// The value may no longer be held if others have been used since.
		s.values.Hold(r.Value)
		r.Value = nil
	}
	return r
}

// missingValues returns the references of the values that have not arrived.
func (s *state) missingValues() []bluebelldoor.ValueReference {
	var out []bluebelldoor.ValueReference
	for _, r := range s.awaited {
		out = append(out, *r.Reference)
	}
	if s.missingRouting != nil {
		out = append(out, *s.missingRouting.Reference)
	}
	if s.missingDelta != nil {
		out = append(out, *s.missingDelta.RecordsIn)
	}
	return out
}

// deliver applies the records that waited for a value, and reports whether the view changes.
func (s *state) deliver(reference bluebelldoor.ValueReference, value []byte, now time.Duration) bool {
	changed := false
	for key, r := range s.awaited {
		if bytes.Equal(r.Reference.Digest, reference.Digest) {
			r.Value = value
			delete(s.awaited, key)
			s.records[key] = r
			changed = s.applyChange(r, now) || changed
		}
	}
	if r := s.missingRouting; r != nil && bytes.Equal(r.Reference.Digest, reference.Digest) {
		r.Value = value
		changed = s.applyCarriedRouting(*r) || changed
	}
	return changed
}

// applyCarriedRouting puts a routing in force that the catalogue does not show, once its
// value is there, and reports whether the view changes.
func (s *state) applyCarriedRouting(r bluebelldoor.Record) bool {
	s.missingRouting = nil
	if r = s.resolve(r); isMissing(r) {
		s.missingRouting = &r
		return false
	}
	c := s.decode(r)
	return c.Err == nil && c.Routing != nil && s.setRouting(c.Routing, r)
}

// shorten makes a delta fit into a message: large values are sent by reference, further
// changes are left out, and a complete state is sent as a value of its own.
func (s *state) shorten(d *bluebelldoor.RecordDelta) error {
	size, sizes := 0, make([]int, len(d.Records))
	for i, r := range d.Records {
		d.Records[i] = s.toReference(r)
		sizes[i] = recordOverhead + len(r.Key) + len(d.Records[i].Value)
		size += sizes[i]
	}
	switch {
	case size <= maxDeltaBytes:
	case d.Base == 0 || d.CrossesEras:
		return s.moveRecords(d)
	default:
		s.cutRecords(d)
	}
	return nil
}

// moveRecords moves the records of a delta into a value. VMs at one position make the same
// value of them.
func (s *state) moveRecords(d *bluebelldoor.RecordDelta) error {
	slices.SortFunc(d.Records, func(a, b bluebelldoor.Record) int { return strings.Compare(a.Key, b.Key) })
	encoded, err := cbor.Marshal(d.Records)
	if err != nil {
		return errors.Wrap(err, "encode records")
	}
	reference := s.values.Hold(encoded)
	d.Records, d.RecordsIn = nil, &reference
	return nil
}

// cutRecords keeps the oldest changes of a delta.
func (s *state) cutRecords(d *bluebelldoor.RecordDelta) {
	slices.SortFunc(d.Records, func(a, b bluebelldoor.Record) int {
		if a.Position().After(b.Position()) {
			return 1
		}
		return -1
	})
	size := 0
	for i, r := range d.Records {
		size += recordOverhead + len(r.Key) + len(r.Value)
		if size > maxDeltaBytes && i > 0 && r.Position() != d.Records[i-1].Position() {
			last := d.Records[i-1].Position()
			d.Records, d.Era, d.Revision, d.More = d.Records[:i], last.Era, last.Revision, true
			return
		}
	}
}

// loadRecords sets the records of a delta that refers to them, and reports whether it could.
func (s *state) loadRecords(d *bluebelldoor.RecordDelta) bool {
	if d.RecordsIn == nil {
		return true
	}
	if s.values == nil {
		return false
	}
	encoded := s.values.Value(d.RecordsIn.Digest)
	if encoded == nil {
		return false
	}
	if err := cbor.Unmarshal(encoded, &d.Records); err != nil {
		s.log.Warn("cannot decode records of a peer", "error", err)
		return false
	}
	return true
}

// Deliver applies what waited for a value.
func (r *Registrar) Deliver(ctx context.Context, reference bluebelldoor.ValueReference, value []byte) {
	r.do(ctx, func() {
		before := r.state.position
		r.publish(r.state.deliver(reference, value, r.clock.Now()))
		if d := r.state.missingDelta; d != nil && bytes.Equal(d.RecordsIn.Digest, reference.Digest) {
			r.state.missingDelta = nil
			r.applyRecords(*d)
		}
		r.wantMissing()
		if r.state.position.After(before) {
			r.role.Changed()
		}
	})
}

// expireMissingDelta gives up a delta whose records have not arrived.
func (r *Registrar) expireMissingDelta(now time.Duration) {
	if s := r.state; s.missingDelta != nil && now-s.missingDeltaSince > maxRecordsWait {
		r.log.Warn("records of a peer have not arrived", "revision", s.missingDelta.Revision, "bytes", s.missingDelta.RecordsIn.Bytes)
		s.missingDelta = nil
		r.wantMissing()
	}
}

// wantMissing has the missing values fetched.
func (r *Registrar) wantMissing() {
	if r.values == nil {
		return
	}
	missing := r.state.missingValues()
	if len(missing) > 0 || r.wanted {
		r.values.Want(missing)
	}
	r.wanted = len(missing) > 0
	r.awaitsRecords.Store(r.state.missingDelta != nil)
}

// notePending updates whether a newer routing is known than the one in force. It is called
// before the position is published, so that evidence of that position does not count for the
// routing.
func (r *Registrar) notePending() {
	pending := len(r.state.awaited) > 0 || r.state.missingRouting != nil
	switch before := r.pending.Load(); {
	case pending && before == nil:
		r.pending.Store(&pendingValues{since: r.clock.Now(), evidence: r.evidence.Load()})
		for key, record := range r.state.awaited {
			r.log.Info("newer record known, its value is not here yet", "key", key, "revision", record.Revision, "bytes", record.Reference.Bytes)
		}
	case !pending && before != nil:
		r.log.Info("no value is missing any more", "forMs", (r.clock.Now() - before.since).Milliseconds())
		r.pending.Store(nil)
	}
}

// pendingValues tells since when a newer routing has been known than the one in force, and
// the newest evidence before that.
type pendingValues struct {
	since    time.Duration
	evidence int64
}

// RoutingEvidenceAge is EvidenceAge for the routing in force alone, which a large change
// reaches later than the targets.
func (r *Registrar) RoutingEvidenceAge() (time.Duration, bool) {
	p := r.pending.Load()
	switch {
	case p == nil:
		return r.EvidenceAge()
	case p.evidence < 0:
		return 0, false
	}
	return r.clock.Now() - time.Duration(p.evidence), true
}

// IsBehind reports whether a newer routing is known than the one in force.
func (r *Registrar) IsBehind() bool { return r.pending.Load() != nil }

// readsMissing reports whether it is time to read everything from the platform because
// peers do not send missing values.
func (r *Registrar) readsMissing(lastRead time.Duration) bool {
	p, now := r.pending.Load(), r.clock.Now()
	return p != nil && now-p.since > missingReadDelay && now-lastRead > missingReadInterval
}

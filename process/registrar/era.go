package registrar

import (
	"bytes"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"bluebelldoor"
)

const (
	// retainFor is how long the state of a lost history is kept where the copy from which
	// the catalogue has returned contradicts it. Targets that live renew their records
	// several times in that time, and the platform removes the records of others.
	retainFor = 10 * time.Second
	// departureMemory is how long a target that has left is remembered: longer than any
	// copy from which a catalogue returns is old.
	departureMemory = time.Minute
	// maxDepartures bounds the targets that are remembered.
	maxDepartures = 512
	// maxRetained bounds the records and the targets of each kind in one message.
	maxRetained = 128
)

// departure is the end of a target as the VM learnt it.
type departure struct {
	at time.Duration
	// leaving is set if the target had announced that it was leaving.
	leaving bool
}

// retention is what the VM keeps in force of an earlier era.
type retention struct {
	// departures are the latest targets that have left or started anew.
	departures map[bluebelldoor.TargetIncarnation]departure
	// withheld are targets that had left, but that the copy still names, by key.
	withheld map[string]retained
	// outOfService are data centres that the copy does not name as out of service.
	outOfService map[string]retained
	// leaving are the targets that were leaving when the era began.
	leaving map[bluebelldoor.TargetIncarnation]time.Duration
}

// retained is a record of an earlier era, or one that contradicts it, and until when that
// is retained.
type retained struct {
	record bluebelldoor.Record
	until  time.Duration
}

func newRetention() retention {
	return retention{
		departures:   map[bluebelldoor.TargetIncarnation]departure{},
		withheld:     map[string]retained{},
		outOfService: map[string]retained{},
		leaving:      map[bluebelldoor.TargetIncarnation]time.Duration{},
	}
}

// beginEra prepares the state for the records of a new era, in which the platform has answered
// since returnedAt. An era is the store's own word: it has lost records, silent or not.
func (s *state) beginEra(now, returnedAt time.Duration) {
	if s.position.Revision == 0 {
		return
	}
	s.restoring = true
	s.beginLapse(returnedAt)
	for _, t := range s.targets {
		if t.Leaving {
			s.retainLeaving(t.Incarnation(), now)
		}
	}
	for incarnation, d := range s.retention.departures {
		if d.leaving && now-d.at <= departureMemory {
			s.retainLeaving(incarnation, now)
		}
	}
}

// retainLeaving keeps a target closed that the new era may show as it was before it left.
func (s *state) retainLeaving(incarnation bluebelldoor.TargetIncarnation, now time.Duration) {
	s.leaveNotices[incarnation] = now
	s.retention.leaving[incarnation] = now + retainFor
}

// logEra logs the begin of an era, once the records of its first response have been applied.
func (s *state) logEra(p bluebelldoor.CatalogueReply, taken, dropped int) {
	source := "platform"
	if !p.Full {
		source = "peer"
	}
	version := uint64(0)
	if s.routing != nil {
		version = s.routing.Version()
	}
	s.log.Warn("platform returned from an older copy", "oldEra", s.position.Era, "era", p.Era, "oldRevision", s.position.Revision,
		"revision", p.Revision, "source", source, "taken", taken, "dropped", dropped, "kept", len(s.records)-taken,
		"lapsed", s.countLapsed(), "withheld", len(s.retention.withheld), "outOfServiceKept", len(s.retention.outOfService), "version", version)
}

func (s *state) countLapsed() int {
	n := 0
	for _, t := range s.targets {
		if t.Lapsed {
			n++
		}
	}
	return n
}

// sameRecord reports whether two records have the same revision and content.
func sameRecord(a, b bluebelldoor.Record) bool {
	if a.Revision != b.Revision || a.Removed != b.Removed {
		return false
	}
	if a.Reference != nil && b.Reference != nil {
		return bytes.Equal(a.Reference.Digest, b.Reference.Digest)
	}
	return bytes.Equal(a.Value, b.Value)
}

// recordDeparture remembers that a target has left.
func (s *state) recordDeparture(t *Target, now time.Duration) {
	maps.DeleteFunc(s.retention.departures, func(_ bluebelldoor.TargetIncarnation, d departure) bool { return now-d.at > departureMemory })
	if len(s.retention.departures) < maxDepartures {
		s.retention.departures[t.Incarnation()] = departure{now, t.Leaving}
	}
}

// withhold reports whether a record that a new era shows, or the first read of a VM, is
// that of a target that had left. The target is then not used until its record changes or
// retainFor has passed.
func (s *state) withhold(r bluebelldoor.Record, i *bluebelldoor.Instance, now time.Duration) bool {
	_, left := s.retention.departures[i.Incarnation()]
	if !s.restoring && s.position.Revision > 0 || !left {
		return false
	}
	s.retention.withheld[r.Key] = retained{r, now + retainFor}
	return true
}

// retainOutOfService keeps a data centre out of service whose record is missing in a new
// era, and reports whether it does.
func (s *state) retainOutOfService(key string, now time.Duration) bool {
	name, out := s.outOfService[key]
	if !s.restoring || !out {
		return false
	}
	s.retention.outOfService[key] = retained{s.replaced, now + retainFor}
	s.log.Info("data centre stays out of service", "dataCentre", name, "forMs", retainFor.Milliseconds())
	return true
}

// expireRetained ends what has been retained for long enough, and reports whether the view
// changes. provenAt is the latest time at which the records are known to have matched the
// platform's: only a platform that still contradicts what is retained ends it.
func (s *state) expireRetained(now, provenAt time.Duration) bool {
	changed := false
	for key, w := range s.retention.withheld {
		if provenAt < w.until {
			continue
		}
		delete(s.retention.withheld, key)
		if held, ok := s.records[key]; ok && sameRecord(held, w.record) {
			changed = s.applyChange(held, now) || changed
		}
	}
	for key, o := range s.retention.outOfService {
		if provenAt >= o.until {
			delete(s.retention.outOfService, key)
			s.log.Info("data centre back in service", "dataCentre", s.outOfService[key])
			delete(s.outOfService, key)
			changed = true
		}
	}
	maps.DeleteFunc(s.retention.leaving, func(_ bluebelldoor.TargetIncarnation, until time.Duration) bool { return now >= until })
	return changed
}

// retainedState returns what the VM retains and its digest, nil and 0 for nothing. What is
// kept only until the platform answers is left out, lest VMs keep it alive for each other.
func (s *state) retainedState(now time.Duration) (*bluebelldoor.RetainedState, uint64) {
	out, digest := &bluebelldoor.RetainedState{}, fnv.New64a()
	until := now
	add := func(kind, key string, at time.Duration) {
		until = max(until, at)
		digest.Write([]byte(kind + key + "\x00"))
	}
	current := func(m map[string]retained, kind string) (records []bluebelldoor.Record) {
		for _, key := range slices.Sorted(maps.Keys(m)) {
			if m[key].until > now && len(records) < maxRetained {
				records = append(records, m[key].record)
				add(kind, key, m[key].until)
			}
		}
		return records
	}
	out.Gone = current(s.retention.withheld, "gone ")
	out.OutOfService = current(s.retention.outOfService, "out ")
	for incarnation, at := range s.retention.leaving {
		if at > now && len(out.Leaving) < maxRetained {
			out.Leaving = append(out.Leaving, incarnation)
		}
	}
	slices.SortFunc(out.Leaving, func(a, b bluebelldoor.TargetIncarnation) int { return strings.Compare(a.ID, b.ID) })
	for _, incarnation := range out.Leaving {
		add("leaving ", incarnation.ID, s.retention.leaving[incarnation])
	}
	if until == now {
		return nil, 0
	}
	out.ForMs = (until - now).Milliseconds()
	return out, max(1, digest.Sum64())
}

// applyRetained applies what a peer retains of an earlier era, and reports whether the
// view changes. A VM that has started since can't know it.
func (s *state) applyRetained(in *bluebelldoor.RetainedState, now time.Duration) bool {
	if in.ForMs <= 0 {
		return false
	}
	remaining := time.Duration(min(in.ForMs, retainFor.Milliseconds())) * time.Millisecond
	changed := false
	for _, r := range in.Gone[:min(len(in.Gone), maxRetained)] {
		changed = s.applyGone(r, now, remaining) || changed
	}
	for _, r := range in.OutOfService[:min(len(in.OutOfService), maxRetained)] {
		c := s.decode(r)
		if _, out := s.outOfService[r.Key]; out || c.Err != nil || c.DataCentre == "" || r.Removed {
			continue
		}
		s.outOfService[r.Key] = c.DataCentre
		s.retention.outOfService[r.Key] = retained{r, now + remaining}
		s.log.Info("data centre out of service", "dataCentre", c.DataCentre, "source", "peer")
		changed = true
	}
	for _, incarnation := range in.Leaving[:min(len(in.Leaving), maxRetained)] {
		if _, known := s.retention.leaving[incarnation]; !known {
			s.retention.leaving[incarnation] = now + remaining
		}
		changed = s.markLeaving(incarnation, now) || changed
	}
	return changed
}

// applyGone closes a target that a peer knows to have left.
func (s *state) applyGone(r bluebelldoor.Record, now, remaining time.Duration) bool {
	c := s.decode(r)
	if _, known := s.retention.withheld[r.Key]; known || c.Err != nil || c.Instance == nil {
		return false
	}
	s.retention.departures[c.Instance.Incarnation()] = departure{at: now}
	held, ok := s.records[r.Key]
	t := s.targets[r.Key]
	if !ok || t == nil || !sameRecord(held, r) {
		return false
	}
	s.retention.withheld[r.Key] = retained{r, now + remaining}
	delete(s.targets, r.Key)
	if !t.Leaving {
		s.addClosed(t, "had left before the platform returned from an older copy")
	}
	return true
}

// carriedState returns what deltas carry beside the catalogue's records.
func (s *state) carriedState(now time.Duration) *carriedState {
	out := &carriedState{}
	out.retained, out.digest = s.retainedState(now)
	if s.routing == nil {
		return out
	}
	out.routingVersion = s.routing.Version()
	if held, ok := s.records[s.routingRecord.Key]; !ok || !sameRecord(held, s.routingRecord) && !isMissing(held) {
		record := s.routingRecord
		out.routing = &record
	}
	return out
}

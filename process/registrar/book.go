package registrar

import (
	"cmp"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebelldoor"
)

// maxTombstones bounds the removals that are kept for incremental updates of
// peers; a peer that lags further behind gets the full state.
const maxTombstones = 512

// maxRegisteredLines bounds the log lines about new targets per platform response.
const maxRegisteredLines = 8

// maxSpans bounds the spans that a VM knows to have crossed by full reads.
const maxSpans = 4

// span is the part of the catalogue's history between two positions.
type span struct{ from, to bluebelldoor.Position }

// closedTarget is a target that no longer takes new work.
type closedTarget struct {
	target *Target
	reason string
}

// state holds the platform's records and their decoded contents. It is owned by
// one goroutine.
type state struct {
	decode func(bluebelldoor.Record) bluebelldoor.Change
	log    hclog.Logger
	// values holds large values, nil if messages hold all values.
	values bluebelldoor.ValueKeeper
	// awaited are the records whose values have not arrived, by key. What they replace stays
	// in force until then.
	awaited map[string]bluebelldoor.Record
	// missingRouting is a routing that a peer keeps in force and whose value has not arrived,
	// and missingDelta a delta whose records have not, since missingDeltaSince.
	missingRouting    *bluebelldoor.Record
	missingDelta      *bluebelldoor.RecordDelta
	missingDeltaSince time.Duration

	position   bluebelldoor.Position
	records    map[string]bluebelldoor.Record
	tombstones []bluebelldoor.Record
	// pruned is the newest position among the discarded tombstones.
	pruned bluebelldoor.Position
	// unseen are the latest spans that the VM, or the peer that told it, crossed by a full
	// read. Records that came and went within one are not known.
	unseen []span
	// restoring is set while the records of a new era are applied.
	restoring bool
	// replaced is the record that the one being applied replaces.
	replaced  bluebelldoor.Record
	retention retention

	routing *bluebelldoor.Routing
	// routingRecord is the record of routing, which the catalogue may no longer show.
	routingRecord bluebelldoor.Record
	targets       map[string]*Target
	outOfService  map[string]string
	closed        []closedTarget
	// newlyRegistered are the targets that the current response added, for the log.
	newlyRegistered []*bluebelldoor.Instance

	lapseUntil time.Duration
	// verifiedAt is the latest time at which the state is known to have matched
	// the platform's.
	verifiedAt time.Duration
	// leaveNotices maps incarnations of targets that have announced that they are
	// leaving to the time at which the VM learnt this. They stay closed whatever
	// their records say.
	leaveNotices map[bluebelldoor.TargetIncarnation]time.Duration
}

func newState(decode func(bluebelldoor.Record) bluebelldoor.Change, log hclog.Logger) *state {
	return &state{
		decode:       decode,
		log:          log,
		records:      map[string]bluebelldoor.Record{},
		awaited:      map[string]bluebelldoor.Record{},
		retention:    newRetention(),
		targets:      map[string]*Target{},
		outOfService: map[string]string{},
		leaveNotices: map[bluebelldoor.TargetIncarnation]time.Duration{},
	}
}

// takeClosed returns the targets that have stopped taking work since the last
// call.
func (s *state) takeClosed() []closedTarget {
	out := s.closed
	s.closed = nil
	return out
}

func (s *state) addClosed(t *Target, reason string) {
	s.closed = append(s.closed, closedTarget{t, reason})
}

// beginLapse lets missing records be renewed until lapseFor after a time.
func (s *state) beginLapse(from time.Duration) { s.lapseUntil = max(s.lapseUntil, from+lapseFor) }

// apply applies a response and reports whether the view changes. verifiedAt is the latest time
// at which the state is known to have matched the platform's, and returnedAt since when, as far as
// the VM knows, the platform has answered in the era of the response.
func (s *state) apply(p bluebelldoor.CatalogueReply, now, verifiedAt, returnedAt time.Duration) bool {
	s.verifiedAt = verifiedAt
	changed := s.expireLapsed(now)
	if p.Era > s.position.Era {
		s.beginEra(now, returnedAt)
	}
	taken, dropped := 0, 0
	for _, r := range s.prepareRecords(p) {
		if s.wasRemoved(r, p) {
			continue
		}
		before := s.records[r.Key].Position()
		changed = s.applyRecord(r, now) || changed
		switch after := s.records[r.Key].Position(); {
		case after == before:
		case r.Removed:
			dropped++
		default:
			taken++
		}
	}
	unseen := p.Unseen
	if p.Full {
		unseen = p.Position()
		for _, r := range s.missing(p) {
			dropped++
			changed = s.applyRecord(r, now) || changed
		}
	}
	if s.restoring {
		s.logEra(p, taken, dropped)
		s.restoring = false
	}
	if unseen.After(s.position) {
		s.addUnseen(span{s.position, unseen})
	}
	if p.Position().After(s.position) {
		s.position = p.Position()
	}
	s.logRegistered()
	return changed
}

// wasRemoved reports whether the VM knows that a record of a response has been removed since:
// it holds every record up to its position, and this one, which is older, not. Sources race,
// and a response that was sent earlier may arrive after the changes that followed it.
func (s *state) wasRemoved(r bluebelldoor.Record, p bluebelldoor.CatalogueReply) bool {
	_, held := s.records[r.Key]
	overtaken := !p.Full || s.position.After(p.Position())
	return !held && !r.Removed && !s.restoring && overtaken && !r.Position().After(s.position)
}

// prepareRecords returns the records of a response in the order in which to apply them, and
// updates the era of held records that the response shows unchanged.
func (s *state) prepareRecords(p bluebelldoor.CatalogueReply) []bluebelldoor.Record {
	records := slices.Clone(p.Records)
	for i := range records {
		records[i] = s.resolve(records[i])
		r := records[i]
		if p.Full {
			// A peer may have held the record since an earlier era.
			records[i].Era = p.Era
			continue
		}
		if held := s.records[r.Key]; held.Era < r.Era && sameRecord(held, r) && isMissing(held) == isMissing(r) {
			// It was written again as it had been, under the same revision. Peers may not
			// have it yet.
			s.records[r.Key] = r
		}
	}
	if s.restoring {
		// A removal of the earlier era may come with a record of the new one.
		slices.SortStableFunc(records, func(a, b bluebelldoor.Record) int {
			return cmp.Or(cmp.Compare(a.Era, b.Era), cmp.Compare(a.Revision, b.Revision))
		})
	}
	return records
}

// missing returns removals of the records that are held and not in a full response.
func (s *state) missing(p bluebelldoor.CatalogueReply) []bluebelldoor.Record {
	if s.position.After(p.Position()) && !s.restoring {
		// What is held has been so since.
		return nil
	}
	present := map[string]bool{}
	for _, r := range p.Records {
		present[r.Key] = true
	}
	var out []bluebelldoor.Record
	for key, held := range s.records {
		if !present[key] && (s.restoring || !held.Position().After(p.Position())) {
			out = append(out, bluebelldoor.Record{Key: key, Era: p.Era, Revision: p.Revision, Removed: true})
		}
	}
	return out
}

// logRegistered logs the targets that a response has added: one line each, or one
// summary where there are many, as at startup.
func (s *state) logRegistered() {
	registered := s.newlyRegistered
	s.newlyRegistered = nil
	if len(registered) > maxRegisteredLines {
		count := map[string]int{}
		for _, i := range registered {
			count[i.Service]++
		}
		s.log.Info("targets registered", "count", len(registered), "byService", count, "era", s.position.Era, "revision", s.position.Revision)
		return
	}
	for _, i := range registered {
		s.log.Info("target registered", "target", i.ID, "service", i.Service, "dataCentre", i.DataCentre, "coldMs", i.ColdFor.Milliseconds(), "leaving", i.Leaving)
	}
}

// applyRecord applies one record unless the same or a newer revision of it is held.
func (s *state) applyRecord(r bluebelldoor.Record, now time.Duration) bool {
	held, ok := s.records[r.Key]
	if ok && isMissing(held) && !isMissing(r) && sameRecord(held, r) {
		return s.storeRecord(r, now)
	}
	if ok && (sameRecord(held, r) || !s.restoring && !r.Position().After(held.Position())) {
		return false
	}
	s.replaced = held
	return s.storeRecord(r, now)
}

// storeRecord replaces the record that is held, and reports whether the view changes.
func (s *state) storeRecord(r bluebelldoor.Record, now time.Duration) bool {
	delete(s.awaited, r.Key)
	switch {
	case r.Removed:
		delete(s.records, r.Key)
		s.addTombstone(r)
	case isMissing(r):
		s.records[r.Key], s.awaited[r.Key] = r, r
		return false
	default:
		s.records[r.Key] = r
	}
	return s.applyChange(r, now)
}

func (s *state) addTombstone(r bluebelldoor.Record) {
	s.tombstones = append(s.tombstones, bluebelldoor.Record{Key: r.Key, Era: r.Era, Revision: r.Revision, Removed: true})
	if len(s.tombstones) > maxTombstones {
		if pruned := s.tombstones[0].Position(); pruned.After(s.pruned) {
			s.pruned = pruned
		}
		s.tombstones = s.tombstones[1:]
	}
}

// delta returns the records after a position. If the changes since then are not known, it
// returns all records if full is set, and none otherwise.
func (s *state) delta(after bluebelldoor.Position, full bool) bluebelldoor.RecordDelta {
	out := bluebelldoor.RecordDelta{BaseEra: after.Era, Base: after.Revision, Era: s.position.Era, Revision: s.position.Revision}
	changed := func(r bluebelldoor.Record) bool { return r.Position().After(after) }
	switch {
	case after.Revision == 0 || !s.knowsRemovalsAfter(after):
		out.Base = 0
		if !full {
			out.BaseEra, out.Base = s.position.Era, s.position.Revision
			return out
		}
		changed = func(r bluebelldoor.Record) bool { return !r.Removed }
	case after.Era == 0:
		// A build without eras compares revisions.
		changed = func(r bluebelldoor.Record) bool { return r.Revision > after.Revision }
	default:
		out.CrossesEras = after.Era < s.position.Era
	}
	for _, u := range s.unseen {
		if to := (bluebelldoor.Position{Era: out.UnseenEra, Revision: out.Unseen}); u.to.After(after) && u.to.After(to) {
			out.UnseenEra, out.Unseen = u.to.Era, u.to.Revision
		}
	}
	for _, r := range s.records {
		if changed(r) {
			out.Records = append(out.Records, r)
		}
	}
	for _, r := range s.tombstones {
		if changed(r) {
			out.Records = append(out.Records, r)
		}
	}
	return out
}

// addUnseen records that the VM does not know what came and went within a span.
func (s *state) addUnseen(crossed span) {
	if crossed.from.Revision == 0 {
		s.pruned = crossed.to
		return
	}
	s.unseen = append(s.unseen, crossed)
	if len(s.unseen) > maxSpans {
		if to := s.unseen[0].to; to.After(s.pruned) {
			s.pruned = to
		}
		s.unseen = s.unseen[1:]
	}
}

// knowsRemovalsAfter reports whether the VM knows all removals after a position. That of a
// build without eras is compared by its revision.
func (s *state) knowsRemovalsAfter(after bluebelldoor.Position) bool {
	newer := func(a, b bluebelldoor.Position) bool {
		if after.Era == 0 {
			return a.Revision > b.Revision
		}
		return a.After(b)
	}
	if newer(s.pruned, after) {
		return false
	}
	return !slices.ContainsFunc(s.unseen, func(u span) bool { return newer(after, u.from) && newer(u.to, after) })
}

// applyChange applies a record and reports whether the view changes.
func (s *state) applyChange(r bluebelldoor.Record, now time.Duration) bool {
	key, c := r.Key, s.decode(r)
	delete(s.retention.withheld, key)
	switch {
	case c.Err != nil:
		s.log.Warn("cannot decode platform record", "key", key, "error", c.Err)
		return s.removeTarget(key, now, false)
	case c.Routing != nil:
		return s.setRouting(c.Routing, r)
	case c.DataCentre != "" && c.Removed:
		if s.retainOutOfService(key, now) {
			return false
		}
		s.log.Info("data centre back in service", "dataCentre", c.DataCentre)
		delete(s.outOfService, key)
		delete(s.retention.outOfService, key)
		return true
	case c.DataCentre != "":
		s.log.Info("data centre out of service", "dataCentre", c.DataCentre)
		s.outOfService[key] = c.DataCentre
		delete(s.retention.outOfService, key)
		return true
	case c.Instance != nil && s.withhold(r, c.Instance, now):
		t := s.targets[key]
		return s.removeTarget(key, now, t != nil && t.Incarnation() != c.Instance.Incarnation())
	case c.Instance != nil:
		return s.register(key, c.Instance, now)
	case c.Removed:
		return s.removeTarget(key, now, true)
	}
	return false
}

// setRouting puts routing in force if its version is higher than the current one.
func (s *state) setRouting(routing *bluebelldoor.Routing, r bluebelldoor.Record) bool {
	if s.routing != nil && routing.Version() <= s.routing.Version() {
		return false
	}
	s.log.Info("routing in force", "version", routing.Version(), "needsKey", routing.NeedsAPIKey(), "keys", routing.APIKeys())
	s.routing, s.routingRecord = routing, r
	return true
}

func (s *state) register(key string, i *bluebelldoor.Instance, now time.Duration) bool {
	t := &Target{Instance: i, ColdUntil: now + i.ColdFor}
	previous := s.targets[key]
	same := previous != nil && previous.StartedAt == i.StartedAt && previous.Address == i.Address
	_, announced := s.leaveNotices[i.Incarnation()]
	if announced || same && previous.Leaving {
		// Leaving is final for an incarnation, even if its record says ready again.
		leaving := *i
		leaving.Leaving = true
		t.Instance = &leaving
	}
	switch {
	case same && previous.Leaving:
		t.LeavingSince = previous.LeavingSince
	case t.Leaving:
		t.LeavingSince = s.verifiedAt
	}
	s.targets[key] = t
	delete(s.retention.departures, i.Incarnation())
	switch {
	case !same:
		if previous != nil {
			s.recordDeparture(previous, now)
		}
		if previous != nil && !previous.Leaving {
			s.addClosed(previous, "restarted")
		}
		s.newlyRegistered = append(s.newlyRegistered, i)
	case t.Leaving && !previous.Leaving:
		s.addClosed(t, "leaving")
	}
	return true
}

// removeTarget removes a target. With mayReturn, a target whose record has
// disappeared in an outage is kept as lapsed, as it may renew its record.
func (s *state) removeTarget(key string, now time.Duration, mayReturn bool) bool {
	t := s.targets[key]
	if t == nil {
		return false
	}
	if mayReturn && now < s.lapseUntil && !t.Leaving {
		lapsed := *t
		lapsed.Lapsed = true
		s.targets[key] = &lapsed
		s.log.Info("target may renew its record", "target", t.ID, "forMs", (s.lapseUntil - now).Milliseconds())
		return true
	}
	delete(s.targets, key)
	s.recordDeparture(t, now)
	if !t.Leaving {
		s.addClosed(t, "gone")
	}
	return true
}

// expireLapsed removes lapsed targets once the time to renew their records is over.
func (s *state) expireLapsed(now time.Duration) bool {
	if now < s.lapseUntil {
		return false
	}
	changed := false
	for key, t := range s.targets {
		if t.Lapsed {
			delete(s.targets, key)
			s.recordDeparture(t, now)
			s.addClosed(t, "did not come back")
			changed = true
		}
	}
	return changed
}

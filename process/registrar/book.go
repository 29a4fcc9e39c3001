package registrar

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebelldoor"
)

// maxTombstones bounds the removals that are kept for incremental updates of
// peers; a peer that lags further behind gets the full state.
const maxTombstones = 512

// maxRegisteredLines bounds the log lines about new targets per platform response.
const maxRegisteredLines = 8

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

	revision   uint64
	records    map[string]bluebelldoor.Record
	tombstones []bluebelldoor.Record
	// prunedRevision is the newest revision among the removals that are not known.
	prunedRevision uint64

	routing      *bluebelldoor.Routing
	targets      map[string]*Target
	outOfService map[string]string
	closed       []closedTarget
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

// apply applies a response and reports whether the view changes. silence is the
// age of the newest evidence of the platform's state, 0 if there was none.
func (s *state) apply(p bluebelldoor.CatalogueReply, now, silence time.Duration) bool {
	s.verifiedAt = now - silence
	if silence > outageAfter {
		s.lapseUntil = now + lapseFor
		s.log.Info("platform was silent", "forMs", silence.Milliseconds(), "lapsedUntilMs", lapseFor.Milliseconds())
	}
	changed := s.expireLapsed(now)
	present := map[string]bool{}
	for _, r := range p.Records {
		present[r.Key] = true
		changed = s.applyRecord(r, now) || changed
	}
	if p.Full {
		for key, held := range s.records {
			if !present[key] && held.Revision <= p.Revision {
				changed = s.applyRecord(bluebelldoor.Record{Key: key, Revision: p.Revision, Removed: true}, now) || changed
			}
		}
		// Records that came and went before the full read are not known.
		s.prunedRevision = max(s.prunedRevision, p.Revision)
	}
	s.revision = max(s.revision, p.Revision)
	s.logRegistered()
	return changed
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
		s.log.Info("targets registered", "count", len(registered), "byService", count, "revision", s.revision)
		return
	}
	for _, i := range registered {
		s.log.Info("target registered", "target", i.ID, "service", i.Service, "dataCentre", i.DataCentre, "coldMs", i.ColdFor.Milliseconds(), "leaving", i.Leaving)
	}
}

// applyRecord applies one record unless the same or a newer revision of it is held.
func (s *state) applyRecord(r bluebelldoor.Record, now time.Duration) bool {
	if held, ok := s.records[r.Key]; ok && held.Revision >= r.Revision {
		return false
	}
	if r.Removed {
		delete(s.records, r.Key)
		s.addTombstone(r)
	} else {
		s.records[r.Key] = r
	}
	return s.applyChange(r.Key, s.decode(r), now)
}

func (s *state) addTombstone(r bluebelldoor.Record) {
	s.tombstones = append(s.tombstones, bluebelldoor.Record{Key: r.Key, Revision: r.Revision, Removed: true})
	if len(s.tombstones) > maxTombstones {
		s.prunedRevision = max(s.prunedRevision, s.tombstones[0].Revision)
		s.tombstones = s.tombstones[1:]
	}
}

// delta returns the records after a revision. If some removals since then are not known,
// it returns all records if full is set, and none otherwise.
func (s *state) delta(after uint64, full bool) bluebelldoor.RecordDelta {
	out := bluebelldoor.RecordDelta{Base: after, Revision: s.revision}
	if after < s.prunedRevision {
		out.Base = 0
	}
	if out.Base == 0 && !full {
		out.Base = s.revision
		return out
	}
	for _, r := range s.records {
		if r.Revision > out.Base {
			out.Records = append(out.Records, r)
		}
	}
	if out.Base == 0 {
		return out
	}
	for _, r := range s.tombstones {
		if r.Revision > out.Base {
			out.Records = append(out.Records, r)
		}
	}
	return out
}

// applyChange applies a decoded record and reports whether the view changes.
func (s *state) applyChange(key string, c bluebelldoor.Change, now time.Duration) bool {
	switch {
	case c.Err != nil:
		s.log.Warn("cannot decode platform record", "key", key, "error", c.Err)
		return s.removeTarget(key, now, false)
	case c.Routing != nil:
		return s.setRouting(c.Routing)
	case c.DataCentre != "" && c.Removed:
		s.log.Info("data centre back in service", "dataCentre", c.DataCentre)
		delete(s.outOfService, key)
		return true
	case c.DataCentre != "":
		s.log.Info("data centre out of service", "dataCentre", c.DataCentre)
		s.outOfService[key] = c.DataCentre
		return true
	case c.Instance != nil:
		return s.register(key, c.Instance, now)
	case c.Removed:
		return s.removeTarget(key, now, true)
	}
	return false
}

// setRouting puts routing in force if its version is higher than the current one.
func (s *state) setRouting(routing *bluebelldoor.Routing) bool {
	if s.routing != nil && routing.Version() <= s.routing.Version() {
		return false
	}
	s.log.Info("routing in force", "version", routing.Version())
	s.routing = routing
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
	switch {
	case !same:
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
		return true
	}
	delete(s.targets, key)
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
			s.addClosed(t, "did not come back")
			changed = true
		}
	}
	return changed
}

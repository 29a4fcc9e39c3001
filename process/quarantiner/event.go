package quarantiner

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// sameEndWithin is within what time two ends of one start of a target are the same, where it
// is not known that the target has ended for good.
const sameEndWithin = 700 * time.Millisecond

// unknownStart ends the names of targets that do not tell when they started.
const unknownStart = "/0"

// event is an end of a target, or of its connections, that accuses the requests that it had.
// Several VMs notice it, each at its own time and perhaps late, and tell each other.
type event struct {
	service string
	// target names a target and its start.
	target string
	// at is the earliest time at which a VM noticed the event. It was not before since, which
	// differs if that VM had stood still.
	since, at time.Duration
	// undated is set if it may have been at any time before at, as messages that tell of it may
	// have waited.
	undated bool
	// ended is set if the target has ended for good: a start of a target does so once.
	ended bool
}

// isSame reports whether two reports are of one event.
func (e *event) isSame(other *event) bool {
	if e.service != other.service || e.target != other.target {
		return false
	}
	return e.ended && other.ended || e.undated || other.undated || e.since-other.at < sameEndWithin && other.since-e.at < sameEndWithin
}

// narrow applies another report of the event, and reports whether that changes it. Reports are
// never earlier than the event, whatever delayed them.
func (e *event) narrow(other *event) bool {
	before := *e
	e.at = min(e.at, other.at)
	switch {
	case e.undated:
		e.since = other.since
	case !other.undated:
		e.since = max(e.since, other.since)
	}
	e.since = min(e.since, e.at)
	e.undated = e.undated && other.undated
	e.ended = e.ended || other.ended
	return *e != before
}

// eventOf returns the known event that a report is of, or the report itself if it is of a new
// one. The caller holds q.mu.
func (q *Quarantiner) eventOf(report *event) *event {
	var same *event
	for _, known := range q.events[targetKey{report.service, report.target}] {
		if known.isSame(report) && (same == nil || !same.ended && (known.ended || known.at > same.at)) {
			same = known
		}
	}
	if same == nil {
		return report
	}
	if same.narrow(report) {
		q.digestValid, q.setsValid = false, false
	}
	return same
}

// attribute adjusts a report of this VM, whose requests show that the target lived at a time:
// without a sign of life since the last known event of a start, the report is of that event,
// noticed late. The caller holds q.mu.
func (q *Quarantiner) attribute(report *event, livedAt time.Duration) {
	if strings.HasSuffix(report.target, unknownStart) {
		report.ended = false
		return
	}
	for _, known := range q.events[targetKey{report.service, report.target}] {
		if known.at >= livedAt {
			report.since = min(report.since, known.since)
		}
	}
}

// targetKey identifies a start of a target of one service.
type targetKey struct{ service, target string }

// addEvent records a new event. The caller holds q.mu.
func (q *Quarantiner) addEvent(e *event) {
	k := targetKey{e.service, e.target}
	q.events[k] = append(q.events[k], e)
}

// indexEvents indexes the events of the crashes. The caller holds q.mu.
func (q *Quarantiner) indexEvents() {
	q.events = map[targetKey][]*event{}
	seen := map[*event]bool{}
	for _, c := range q.crashes {
		if !seen[c.event] {
			seen[c.event] = true
			q.addEvent(c.event)
		}
	}
}

// eventsOf returns the events of crashes, the oldest first.
func eventsOf(crashes []*crash) []*event {
	seen := map[*event]bool{}
	var out []*event
	for _, c := range crashes {
		if !seen[c.event] {
			seen[c.event] = true
			out = append(out, c.event)
		}
	}
	slices.SortStableFunc(out, func(a, b *event) int { return cmp.Compare(a.at, b.at) })
	return out
}

package registrar

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebelldoor"
)

// maxRemoved bounds the removals that are kept to tell peers of; a peer that
// lacks more is sent everything.
const maxRemoved = 512

// registeredLines bounds the lines on new targets in one answer of the platform.
const registeredLines = 8

// notice is a target that takes no new work any more.
type notice struct {
	target *Target
	why    string
}

// book holds the platform's entries and what they say. It belongs to one
// goroutine.
type book struct {
	decode func(bluebelldoor.Record) bluebelldoor.Change
	log    hclog.Logger

	revision uint64
	entries  map[string]bluebelldoor.Record
	removed  []bluebelldoor.Record
	// forgotten is the newest revision of a removal that is no longer kept.
	forgotten uint64

	routing *bluebelldoor.Routing
	targets map[string]*Target
	out     map[string]string
	pending []notice
	// registered are the targets that an answer has brought, for the log.
	registered []*bluebelldoor.Instance

	lapsing time.Duration
	// proved is when the platform was last known to have said what is held.
	proved time.Duration
	// left are the starts of targets that have said that they leave, and when the
	// VM heard of it. They stay out whatever their entries say.
	left map[bluebelldoor.TargetStart]time.Duration
}

func newBook(decode func(bluebelldoor.Record) bluebelldoor.Change, log hclog.Logger) *book {
	return &book{
		decode:  decode,
		log:     log,
		entries: map[string]bluebelldoor.Record{},
		targets: map[string]*Target{},
		out:     map[string]string{},
		left:    map[bluebelldoor.TargetStart]time.Duration{},
	}
}

// notices returns the targets that have stopped taking work since the last
// call.
func (b *book) notices() []notice {
	out := b.pending
	b.pending = nil
	return out
}

func (b *book) notify(t *Target, why string) { b.pending = append(b.pending, notice{t, why}) }

// apply takes an answer into force and reports whether the view changes. silence
// is the age of the newest proof of what the platform holds, 0 if there was none.
func (b *book) apply(p bluebelldoor.Published, now, silence time.Duration) bool {
	b.proved = now - silence
	if silence > outageAfter {
		b.lapsing = now + lapseFor
		b.log.Info("platform was silent", "forMs", silence.Milliseconds(), "lapsedUntilMs", lapseFor.Milliseconds())
	}
	changed := b.expire(now)
	present := map[string]bool{}
	for _, e := range p.Records {
		present[e.Key] = true
		changed = b.take(e, now) || changed
	}
	if p.Whole {
		for key, held := range b.entries {
			if !present[key] && held.Revision <= p.Revision {
				changed = b.take(bluebelldoor.Record{Key: key, Revision: p.Revision, Gone: true}, now) || changed
			}
		}
	}
	b.revision = max(b.revision, p.Revision)
	b.logRegistered()
	return changed
}

// logRegistered logs the targets that an answer has brought: a line each, or one
// for all where they are many, as at a start.
func (b *book) logRegistered() {
	registered := b.registered
	b.registered = nil
	if len(registered) > registeredLines {
		count := map[string]int{}
		for _, i := range registered {
			count[i.Service]++
		}
		b.log.Info("targets registered", "count", len(registered), "byService", count, "revision", b.revision)
		return
	}
	for _, i := range registered {
		b.log.Info("target registered", "target", i.ID, "service", i.Service, "dataCentre", i.DataCentre, "coldMs", i.ColdFor.Milliseconds(), "leaving", i.Leaving)
	}
}

// take applies one entry unless a newer state of it is held.
func (b *book) take(e bluebelldoor.Record, now time.Duration) bool {
	if held, ok := b.entries[e.Key]; ok && held.Revision >= e.Revision {
		return false
	}
	if e.Gone {
		delete(b.entries, e.Key)
		b.remember(e)
	} else {
		b.entries[e.Key] = e
	}
	return b.change(e.Key, b.decode(e), now)
}

func (b *book) remember(e bluebelldoor.Record) {
	b.removed = append(b.removed, bluebelldoor.Record{Key: e.Key, Revision: e.Revision, Gone: true})
	if len(b.removed) > maxRemoved {
		b.forgotten = max(b.forgotten, b.removed[0].Revision)
		b.removed = b.removed[1:]
	}
}

// since returns the entries after a revision, or, where removals since then are
// no longer known, all if the whole is wanted and else none.
func (b *book) since(after uint64, whole bool) bluebelldoor.RecordDelta {
	news := bluebelldoor.RecordDelta{Base: after, Revision: b.revision}
	if after < b.forgotten {
		news.Base = 0
	}
	if news.Base == 0 && !whole {
		news.Base = b.revision
		return news
	}
	for _, e := range b.entries {
		if e.Revision > news.Base {
			news.Records = append(news.Records, e)
		}
	}
	if news.Base == 0 {
		return news
	}
	for _, e := range b.removed {
		if e.Revision > news.Base {
			news.Records = append(news.Records, e)
		}
	}
	return news
}

// change applies what an entry says and reports whether the view changes.
func (b *book) change(key string, c bluebelldoor.Change, now time.Duration) bool {
	switch {
	case c.Err != nil:
		b.log.Warn("entry can't be read", "key", key, "error", c.Err)
		return b.remove(key, now, false)
	case c.Routing != nil:
		return b.adopt(c.Routing)
	case c.DataCentre != "" && c.Gone:
		b.log.Info("data centre back in service", "dataCentre", c.DataCentre)
		delete(b.out, key)
		return true
	case c.DataCentre != "":
		b.log.Info("data centre out of service", "dataCentre", c.DataCentre)
		b.out[key] = c.DataCentre
		return true
	case c.Instance != nil:
		return b.register(key, c.Instance, now)
	case c.Gone:
		return b.remove(key, now, true)
	}
	return false
}

// adopt takes routing into force if its version is higher.
func (b *book) adopt(routing *bluebelldoor.Routing) bool {
	if b.routing != nil && routing.Version() <= b.routing.Version() {
		return false
	}
	b.log.Info("routing in force", "version", routing.Version())
	b.routing = routing
	return true
}

func (b *book) register(key string, i *bluebelldoor.Instance, now time.Duration) bool {
	t := &Target{Instance: i, ColdUntil: now + i.ColdFor}
	before := b.targets[key]
	same := before != nil && before.Born == i.Born && before.Address == i.Address
	_, left := b.left[i.Start()]
	if left || same && before.Leaving {
		// A target that has said that it leaves stays out.
		leaving := *i
		leaving.Leaving = true
		t.Instance = &leaving
	}
	switch {
	case same && before.Leaving:
		t.LeavingSince = before.LeavingSince
	case t.Leaving:
		t.LeavingSince = b.proved
	}
	b.targets[key] = t
	switch {
	case !same:
		if before != nil && !before.Leaving {
			b.notify(before, "restarted")
		}
		b.registered = append(b.registered, i)
	case t.Leaving && !before.Leaving:
		b.notify(t, "leaving")
	}
	return true
}

// remove drops a target. One whose entry has gone in an outage is kept for a
// while, for it may be back.
func (b *book) remove(key string, now time.Duration, mayReturn bool) bool {
	t := b.targets[key]
	if t == nil {
		return false
	}
	if mayReturn && now < b.lapsing && !t.Leaving {
		lapsed := *t
		lapsed.Lapsed = true
		b.targets[key] = &lapsed
		return true
	}
	delete(b.targets, key)
	if !t.Leaving {
		b.notify(t, "gone")
	}
	return true
}

// expire drops targets whose entries have gone in an outage and did not come
// back.
func (b *book) expire(now time.Duration) bool {
	if now < b.lapsing {
		return false
	}
	changed := false
	for key, t := range b.targets {
		if t.Lapsed {
			delete(b.targets, key)
			b.notify(t, "did not come back")
			changed = true
		}
	}
	return changed
}

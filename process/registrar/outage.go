package registrar

import (
	"time"

	"bluebelldoor"
)

const (
	// minFailedReads is how many reads must fail in a row before the platform counts as having
	// been away: a single one fails where its connection has ended or fallen silent.
	minFailedReads = 2
	// tellOutageFor is how long peers are told of the end of an outage: longer than the time
	// for which missing records may be renewed, so that a peer that hears of it late knows
	// that this time is over.
	tellOutageFor = 10 * time.Second
)

// failedReads are reads of the platform by this VM that have failed in a row.
type failedReads struct {
	// since is when the first of them was sent.
	since time.Duration
	count int
}

// noteFailedRead counts a read that was sent at sentAt. What failed before the newest evidence
// says nothing about the time since.
func (r *Registrar) noteFailedRead(sentAt time.Duration) {
	f := r.failedReads.Load()
	if f == nil || int64(f.since) < r.evidence.Load() {
		f = &failedReads{since: sentAt}
	}
	r.failedReads.Store(&failedReads{f.since, f.count + 1})
}

// failedSinceEvidence returns how many reads have failed in a row since the newest evidence.
func (r *Registrar) failedSinceEvidence() int {
	f := r.failedReads.Load()
	if f == nil || int64(f.since) < r.evidence.Load() {
		return 0
	}
	return f.count
}

// Outages returns how many outages of the platform the VM has counted.
func (r *Registrar) Outages() int64 { return r.outages.Load() }

// silenceBefore returns the time without evidence before at, 0 if there has been none at all.
func (r *Registrar) silenceBefore(at time.Duration) time.Duration {
	evidence := r.evidence.Load()
	if evidence < 0 {
		return 0
	}
	return at - time.Duration(evidence)
}

// noteAnswer notes that the platform answered at a time, this VM or, if source is "peer", another
// one. The time without evidence before that was an outage if reads of this VM failed in it.
// Silence alone shows none: the VM may not have asked, as its peers do so on its behalf, or may
// have stood still. It must run on the control goroutine, before the evidence is renewed.
func (r *Registrar) noteAnswer(source string, at time.Duration) {
	silence := r.silenceBefore(at)
	if silence <= outageAfter {
		return
	}
	failed := r.failedSinceEvidence()
	if failed < minFailedReads {
		r.log.Info("view was not confirmed", "forMs", silence.Milliseconds(), "source", source, "failedReads", failed)
		return
	}
	r.countOutage(r.clock.Now(), source, silence, failed)
}

// notePeerAnswer does the same for a delta that shows that the platform answered a peer at a time.
// The peer may tell of an outage that this VM, which did not ask, has not seen.
func (r *Registrar) notePeerAnswer(delta bluebelldoor.RecordDelta, at time.Duration) {
	ended, told := r.outageEnd(delta)
	silence := r.silenceBefore(ended)
	if !told || silence <= outageAfter {
		r.noteAnswer("peer", at)
		return
	}
	// Messages take different times, so that one outage seems to end at different times.
	if ended-time.Duration(r.outageEnded.Load()) > outageAfter {
		r.countOutage(ended, "peer", silence, r.failedSinceEvidence())
	}
}

// outageEnd returns when, by this VM's clock, the outage ended of which a peer's delta tells, and
// false if it tells of none.
func (r *Registrar) outageEnd(delta bluebelldoor.RecordDelta) (time.Duration, bool) {
	if delta.OutageEndAgeMs <= 0 || delta.OutageEndAgeMs > tellOutageFor.Milliseconds() {
		return 0, false
	}
	return r.clock.Now() - time.Duration(delta.OutageEndAgeMs)*time.Millisecond, true
}

// countOutage lets missing records be renewed for lapseFor from the end of an outage.
func (r *Registrar) countOutage(ended time.Duration, source string, silence time.Duration, failed int) {
	r.outages.Add(1)
	r.state.beginLapse(ended)
	r.noteOutageEnd()
	r.log.Info("platform was silent", "forMs", silence.Milliseconds(), "lapsedUntilMs", (r.state.lapseUntil - r.clock.Now()).Milliseconds(),
		"source", source, "failedReads", failed)
}

// noteOutageEnd publishes the end of the latest outage or restore, which peers are told.
func (r *Registrar) noteOutageEnd() {
	if r.state.lapseUntil > 0 {
		r.outageEnded.Store(int64(r.state.lapseUntil - lapseFor))
	}
}

// outageEndAgeMs returns the age of the latest outage's end for a message to a peer, 0 for none.
func (r *Registrar) outageEndAgeMs() int64 {
	ended := r.outageEnded.Load()
	if age := r.clock.Now() - time.Duration(ended); ended > 0 && age < tellOutageFor {
		return max(1, age.Milliseconds())
	}
	return 0
}

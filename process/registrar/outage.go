package registrar

import (
	"time"
)

// minFailedReads is how many reads must fail in a row before the platform counts as having been
// away: a single one fails where its connection has ended or fallen silent.
const minFailedReads = 2

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

// Outages returns how often the VM has taken missing records for those of targets that may
// renew them, as the platform had been silent.
func (r *Registrar) Outages() int64 { return r.outages.Load() }

// noteSilence counts and logs that the VM has had no evidence for a time, if that exceeds
// outageAfter. source is who has answered now.
func (r *Registrar) noteSilence(source string) {
	silence, _ := r.EvidenceAge()
	if silence <= outageAfter {
		return
	}
	r.outages.Add(1)
	r.log.Info("platform was silent", "forMs", silence.Milliseconds(), "lapsedUntilMs", lapseFor.Milliseconds(), "source", source,
		"failedReads", r.failedSinceEvidence())
}

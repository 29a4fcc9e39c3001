package registrar

import (
	"context"
	"time"

	"bluebelldoor"
)

// Delta returns the changes after the position that a peer holds. references tells whether
// the peer accepts references to values. request is the peer's delta if this one replies to
// it, else nil. The full state is sent only if the request asks for it: it is large, and a
// VM that starts reads it from the platform.
func (r *Registrar) Delta(ctx context.Context, after bluebelldoor.Position, references bool, request *bluebelldoor.RecordDelta) bluebelldoor.RecordDelta {
	position := r.Position()
	full := request != nil && request.WantFull
	references = (references || request != nil && request.References) && r.values != nil
	out := bluebelldoor.RecordDelta{BaseEra: position.Era, Base: position.Revision, Era: position.Era, Revision: position.Revision}
	if after != position && (after.Revision > 0 || full) {
		r.do(ctx, func() { out = r.buildDelta(after, full, references) })
	}
	out.References = r.values != nil
	out.EvidenceAgeMs = -1
	if age, ok := r.EvidenceAge(); ok && !r.Position().After(out.Position()) {
		// The evidence is that of the position held, which a shortened delta does not reach.
		out.EvidenceAgeMs = age.Milliseconds() + 1
	}
	out.OutageEndAgeMs = r.outageEndAgeMs()
	out.Leaving = r.leavingIncarnations()
	out.WantFull = (position.Revision == 0 || r.gap.Load()) && r.clock.Now()-r.started > fullStateDelay && !r.awaitsRecords.Load()
	r.carry(&out, references, request)
	return out
}

// buildDelta returns the records after a position, as the peer accepts them.
func (r *Registrar) buildDelta(after bluebelldoor.Position, full, references bool) bluebelldoor.RecordDelta {
	if !references && len(r.state.awaited) > 0 {
		// The peer gets them once their values are here.
		return bluebelldoor.RecordDelta{BaseEra: after.Era, Base: after.Revision, Era: after.Era, Revision: after.Revision}
	}
	out := r.state.delta(after, full)
	if references {
		if err := r.state.shorten(&out); err != nil {
			r.log.Error("cannot shorten the records for a peer", "error", err)
		}
	}
	return out
}

// carry adds to a delta what the VM keeps in force that the catalogue may not show.
func (r *Registrar) carry(out *bluebelldoor.RecordDelta, references bool, request *bluebelldoor.RecordDelta) {
	c := r.carried.Load()
	out.RoutingVersion, out.RetainedDigest = c.routingVersion, c.digest
	if request == nil {
		return
	}
	if request.RoutingVersion < c.routingVersion && c.routing != nil {
		routing := *c.routing
		if references {
			routing = r.state.toReference(routing)
		}
		out.Routing = &routing
	}
	if request.RetainedDigest != c.digest {
		out.Retained = c.retained
	}
}

// ApplyDelta applies a peer's delta. Only a reply to a request sent at sentAt is
// evidence: the age of an unsolicited message is unknown.
func (r *Registrar) ApplyDelta(ctx context.Context, delta bluebelldoor.RecordDelta, sentAt time.Duration, isReply bool) {
	r.noteEra(delta.Era)
	if isReply && delta.Revision > 0 {
		r.peerAnswered.Store(true)
	}
	confirmedAt := sentAt - time.Duration(delta.EvidenceAgeMs)*time.Millisecond
	confirms := func() bool { return isReply && delta.EvidenceAgeMs >= 0 && delta.Position() == r.Position() }
	switch {
	case delta.Position().After(r.Position()):
		r.do(ctx, func() {
			r.applyRecords(delta)
			r.wantMissing()
		})
	case confirms() && r.silenceBefore(confirmedAt) > outageAfter:
		r.do(ctx, func() { r.notePeerAnswer(delta, confirmedAt) })
	}
	if delta.Routing != nil || delta.Retained != nil {
		r.do(ctx, func() { r.applyCarried(delta) })
	}
	if len(delta.Leaving) > 0 {
		r.markLeaving(ctx, delta.Leaving)
	}
	if confirms() {
		r.renewEvidence(confirmedAt)
	}
}

// applyRecords applies the records of a peer's delta, or notes that records before them
// are missing.
func (r *Registrar) applyRecords(delta bluebelldoor.RecordDelta) {
	held, base := r.state.position, bluebelldoor.Position{Era: delta.BaseEra, Revision: delta.Base}
	switch {
	case !delta.Position().After(held):
		return
	case base.Revision == 0:
	case delta.Era == held.Era && base.Era == held.Era && !base.After(held):
	case delta.CrossesEras && base == held:
	default:
		r.gap.Store(true)
		return
	}
	if !r.state.loadRecords(&delta) {
		if r.state.missingDelta == nil {
			r.state.missingDelta, r.state.missingDeltaSince = &delta, r.clock.Now()
		}
		return
	}
	r.state.missingDelta = nil
	r.gap.Store(false)
	now := r.clock.Now()
	r.notePeerAnswer(delta, now)
	returnedAt, told := r.outageEnd(delta)
	if !told {
		returnedAt = now
	}
	changed := r.state.apply(bluebelldoor.CatalogueReply{
		Era:      delta.Era,
		Revision: delta.Revision,
		Full:     base.Revision == 0,
		Records:  delta.Records,
		Unseen:   bluebelldoor.Position{Era: delta.UnseenEra, Revision: delta.Unseen},
	}, now, r.verifiedAt(now), returnedAt)
	r.noteOutageEnd()
	r.publish(changed)
}

// applyCarried applies what a peer keeps in force that the catalogue does not show.
func (r *Registrar) applyCarried(delta bluebelldoor.RecordDelta) {
	changed := false
	if delta.Routing != nil {
		changed = r.state.applyCarriedRouting(*delta.Routing)
		r.wantMissing()
	}
	if delta.Retained != nil {
		changed = r.state.applyRetained(delta.Retained, r.clock.Now()) || changed
	}
	r.publish(changed)
}

// MarkLeaving records that a target itself has announced that it is leaving, and passes
// the notice on to peers. When it returns, the view shows the target as leaving; no
// later record of the same incarnation reverts that.
func (r *Registrar) MarkLeaving(ctx context.Context, t *bluebelldoor.Instance) {
	r.markLeaving(ctx, []bluebelldoor.TargetIncarnation{t.Incarnation()})
}

func (r *Registrar) markLeaving(ctx context.Context, incarnations []bluebelldoor.TargetIncarnation) {
	r.do(ctx, func() {
		now, changed := r.clock.Now(), false
		if _, ok := r.EvidenceAge(); ok {
			r.state.verifiedAt = r.verifiedAt(now)
		}
		for _, incarnation := range incarnations {
			changed = r.state.markLeaving(incarnation, now) || changed
		}
		if !changed {
			return
		}
		notices := r.state.recentLeaveNotices(now)
		r.recentLeaveNotices.Store(&notices)
		r.publish(true)
		r.role.Changed()
	})
}

// leavingIncarnations returns the incarnations whose leave notices to send to peers.
func (r *Registrar) leavingIncarnations() []bluebelldoor.TargetIncarnation {
	if notices := r.recentLeaveNotices.Load(); notices != nil {
		return *notices
	}
	return nil
}

package viewer

import (
	"slices"
	"time"

	"bluebelldoor"
	"bluebelldoor/process/ranker"
)

// watchersPerDataCentre is how many VMs of a data centre read the platform's
// services on behalf of the others.
const watchersPerDataCentre = 2

// PeerView is the state of a peer's view, as the peer reports it.
type PeerView struct {
	Revision     uint64
	DocumentAge  time.Duration
	ListVersion  uint64
	ListAge      time.Duration
	HasConfirmed bool
}

// evidence holds the latest times at which a peer had no newer document and no
// newer list than this VM.
type evidence struct {
	document time.Time
	list     time.Time
	asked    bool // the peer has replied or failed at least once
}

// Viewer evaluates the evidence of one VM. It is not safe for concurrent use.
type Viewer struct {
	self   string
	view   View
	peers  map[string]*evidence
	voters []string // watchers whose majority confirms the view
	// notBefore is the earliest request time of valid evidence.
	notBefore time.Time
}

// New returns a viewer for the VM named self, with no document and no list.
func New(self string) *Viewer {
	return &Viewer{self: self, peers: map[string]*evidence{}}
}

// Adopt puts a document in force if its revision is higher than the one in
// force, and reports whether it did. A lower revision never replaces a higher
// one, whatever its source.
func (v *Viewer) Adopt(d *bluebelldoor.Document) bool {
	if v.view.document != nil && d.Revision() <= v.view.document.Revision() {
		return false
	}
	v.view.document = d
	v.view.documentConfirmed = time.Time{}
	for _, e := range v.peers {
		e.document = time.Time{}
	}
	return true
}

// AdoptList puts a VM list in force if its version is higher than that of the
// list in force, and reports whether it did.
func (v *Viewer) AdoptList(l *bluebelldoor.VMList) bool {
	if v.view.list != nil && l.Version() <= v.view.list.Version() {
		return false
	}
	v.view.list = l
	v.view.listConfirmed = time.Time{}
	for _, e := range v.peers {
		e.list = time.Time{}
	}
	v.voters = Watchers(l)
	return true
}

// Watchers returns the names of the VMs that read the platform's services on
// behalf of the others: a few in each data centre, none of them leaving.
func Watchers(l *bluebelldoor.VMList) []string {
	byDataCentre := map[string][]string{}
	for _, vm := range l.VMs() {
		if !vm.Leaving() {
			byDataCentre[vm.DataCentre()] = append(byDataCentre[vm.DataCentre()], vm.Name())
		}
	}
	var out []string
	for dataCentre, names := range byDataCentre {
		out = append(out, ranker.Top("watcher/"+dataCentre, names, watchersPerDataCentre)...)
	}
	slices.Sort(out)
	return out
}

// DiscardEvidence discards all evidence, and that of later replies to requests sent
// before now.
func (v *Viewer) DiscardEvidence(now time.Time) {
	v.notBefore = now
	v.view.documentConfirmed, v.view.listConfirmed = time.Time{}, time.Time{}
	for _, e := range v.peers {
		e.document, e.list = time.Time{}, time.Time{}
	}
}

// RecordRevision records that the configuration service held revision, in response
// to a request sent at requestedAt. A revision lower than the one in force is from
// a stale copy and is no evidence.
func (v *Viewer) RecordRevision(revision uint64, requestedAt time.Time) {
	if v.view.document != nil && revision == v.view.document.Revision() && !requestedAt.Before(v.notBefore) {
		advance(&v.view.documentConfirmed, requestedAt)
	}
	v.applyMajority()
}

// RecordListVersion records that the platform's VM list had version, in response to
// a request sent at requestedAt.
func (v *Viewer) RecordListVersion(version uint64, requestedAt time.Time) {
	if v.view.list != nil && version == v.view.list.Version() && !requestedAt.Before(v.notBefore) {
		advance(&v.view.listConfirmed, requestedAt)
	}
	v.applyMajority()
}

// RecordPeer records a peer's reply to a request sent at requestedAt. Ages are
// subtracted from that time, so that a late reply never seems more recent than it
// is.
func (v *Viewer) RecordPeer(name string, s PeerView, requestedAt time.Time) {
	e := v.peer(name)
	e.asked = true
	if requestedAt.Before(v.notBefore) {
		v.applyMajority()
		return
	}
	if d := v.view.document; d != nil && s.Revision <= d.Revision() {
		advance(&e.document, requestedAt)
		if s.Revision == d.Revision() && s.HasConfirmed {
			advance(&v.view.documentConfirmed, requestedAt.Add(-s.DocumentAge))
		}
	}
	if l := v.view.list; l != nil && s.ListVersion <= l.Version() {
		advance(&e.list, requestedAt)
		if s.ListVersion == l.Version() && s.HasConfirmed {
			advance(&v.view.listConfirmed, requestedAt.Add(-s.ListAge))
		}
	}
	v.applyMajority()
}

// RecordPeerFailure records that a peer was asked and did not reply.
func (v *Viewer) RecordPeerFailure(name string) {
	v.peer(name).asked = true
	v.applyMajority()
}

func (v *Viewer) peer(name string) *evidence {
	e := v.peers[name]
	if e == nil {
		e = &evidence{}
		v.peers[name] = e
	}
	return e
}

func advance(t *time.Time, to time.Time) {
	if to.After(*t) {
		*t = to
	}
}

// applyMajority confirms the view where the platform's services can't be read, as
// of the latest time at which more than half of the watchers held nothing newer.
// A partitioned minority never reaches a majority.
func (v *Viewer) applyMajority() {
	if v.view.list == nil {
		return
	}
	if t, ok := v.majority(func(e *evidence) time.Time { return e.document }); ok && v.view.document != nil {
		advance(&v.view.documentConfirmed, t)
	}
	if t, ok := v.majority(func(e *evidence) time.Time { return e.list }); ok {
		advance(&v.view.listConfirmed, t)
	}
	if !v.view.ready {
		v.view.ready = v.askedAll()
	}
}

// majority returns the latest time that the votes of more than half of the
// watchers reach. The vote of this VM, if it is a watcher, counts as the latest.
func (v *Viewer) majority(vote func(*evidence) time.Time) (time.Time, bool) {
	needed := len(v.voters)/2 + 1
	var times []time.Time
	for _, name := range v.voters {
		if name == v.self {
			needed--
			continue
		}
		if e := v.peers[name]; e != nil && !vote(e).IsZero() {
			times = append(times, vote(e))
		}
	}
	if needed < 1 || len(times) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[needed-1], true
}

// askedAll reports whether each watcher has replied or failed at least once. A
// VM that has just started waits for this, as a stale copy of the configuration
// service could otherwise make it use an old revision.
func (v *Viewer) askedAll() bool {
	for _, name := range v.voters {
		if name == v.self {
			continue
		}
		if e := v.peers[name]; e == nil || !e.asked {
			return false
		}
	}
	return v.view.document != nil
}

// View returns a copy of the current view.
func (v *Viewer) View() *View {
	view := v.view
	return &view
}

// Voters returns the names of the watchers that the majority rule counts.
// Callers must not change the slice.
func (v *Viewer) Voters() []string { return v.voters }

package viewer

import (
	"slices"
	"time"

	"bluebelldoor"
	"bluebelldoor/process/ranker"
)

// watchersPerDataCentre is how many VMs of a data centre read the platform on
// behalf of all of them.
const watchersPerDataCentre = 2

// Statement is what a peer says of its own view.
type Statement struct {
	Revision     uint64
	DocumentAge  time.Duration
	ListVersion  uint64
	ListAge      time.Duration
	HasConfirmed bool
}

// evidence is the newest time at which a peer held nothing newer than this VM.
type evidence struct {
	document time.Time
	list     time.Time
	asked    bool
}

// Viewer gathers evidence for one VM. It is not safe for concurrent use.
type Viewer struct {
	self     string
	view     View
	peers    map[string]*evidence
	electors []string
	// notBefore is the time before which questions are no evidence.
	notBefore time.Time
}

// New returns a viewer for the VM named self, with no document and no list.
func New(self string) *Viewer {
	return &Viewer{self: self, peers: map[string]*evidence{}}
}

// Adopt takes a document into force if its revision is higher than the one in
// force, and reports whether it did. A lower one never replaces a higher one,
// wherever it comes from.
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

// AdoptList takes a VM list into force if its version is higher, and reports
// whether it did.
func (v *Viewer) AdoptList(l *bluebelldoor.VMList) bool {
	if v.view.list != nil && l.Version() <= v.view.list.Version() {
		return false
	}
	v.view.list = l
	v.view.listConfirmed = time.Time{}
	for _, e := range v.peers {
		e.list = time.Time{}
	}
	v.electors = Watchers(l)
	return true
}

// Watchers returns the names of the VMs that read the platform for all: a few
// in each data centre, leaving ones left out.
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

// Forget drops all evidence; answers to questions asked before now count no
// more.
func (v *Viewer) Forget(now time.Time) {
	v.notBefore = now
	v.view.documentConfirmed, v.view.listConfirmed = time.Time{}, time.Time{}
	for _, e := range v.peers {
		e.document, e.list = time.Time{}, time.Time{}
	}
}

// Service notes that the configuration service, asked at asked, held revision.
// A stale copy, which holds less than is in force, proves nothing.
func (v *Viewer) Service(revision uint64, asked time.Time) {
	if v.view.document != nil && revision == v.view.document.Revision() && !asked.Before(v.notBefore) {
		advance(&v.view.documentConfirmed, asked)
	}
	v.settle()
}

// ListService notes that the platform's VM list, asked at asked, had version.
func (v *Viewer) ListService(version uint64, asked time.Time) {
	if v.view.list != nil && version == v.view.list.Version() && !asked.Before(v.notBefore) {
		advance(&v.view.listConfirmed, asked)
	}
	v.settle()
}

// Peer notes what a peer, asked at asked, said. Ages count back from the time
// of asking, so that a late answer never looks fresher than it is.
func (v *Viewer) Peer(name string, s Statement, asked time.Time) {
	e := v.peer(name)
	e.asked = true
	if asked.Before(v.notBefore) {
		v.settle()
		return
	}
	if d := v.view.document; d != nil && s.Revision <= d.Revision() {
		advance(&e.document, asked)
		if s.Revision == d.Revision() && s.HasConfirmed {
			advance(&v.view.documentConfirmed, asked.Add(-s.DocumentAge))
		}
	}
	if l := v.view.list; l != nil && s.ListVersion <= l.Version() {
		advance(&e.list, asked)
		if s.ListVersion == l.Version() && s.HasConfirmed {
			advance(&v.view.listConfirmed, asked.Add(-s.ListAge))
		}
	}
	v.settle()
}

// PeerFailed notes that a peer was asked and did not answer.
func (v *Viewer) PeerFailed(name string) {
	v.peer(name).asked = true
	v.settle()
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

// settle applies the majority rule: where the platform can't be read, the view
// counts as confirmed at the time since which more than half of the watchers
// were heard to hold nothing newer. A cut-off minority never reaches that.
func (v *Viewer) settle() {
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

// majority returns the oldest of the newest times that make up more than half
// of the watchers. This VM's own vote, if it is a watcher, is as new as the
// newest other vote.
func (v *Viewer) majority(of func(*evidence) time.Time) (time.Time, bool) {
	needed := len(v.electors)/2 + 1
	var times []time.Time
	for _, name := range v.electors {
		if name == v.self {
			needed--
			continue
		}
		if e := v.peers[name]; e != nil && !of(e).IsZero() {
			times = append(times, of(e))
		}
	}
	if needed < 1 || len(times) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[needed-1], true
}

// askedAll reports whether each watcher has answered or failed once. A VM that
// has just started waits for that, so that a stale service can't bring an old
// revision back through it.
func (v *Viewer) askedAll() bool {
	for _, name := range v.electors {
		if name == v.self {
			continue
		}
		if e := v.peers[name]; e == nil || !e.asked {
			return false
		}
	}
	return v.view.document != nil
}

// View returns a copy of what is in force.
func (v *Viewer) View() *View {
	view := v.view
	return &view
}

// Electors returns the names of the watchers that the majority rule counts.
// Callers must not change the slice.
func (v *Viewer) Electors() []string { return v.electors }

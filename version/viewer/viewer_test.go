package viewer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/version/viewer"
)

const fresh = 3 * time.Second

var start = time.Unix(1000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func document(revision uint64) *bluebelldoor.Document {
	return bluebelldoor.NewDocument(bluebelldoor.DocumentSpec{Revision: revision, Limits: bluebelldoor.Limits{FreshFor: fresh}})
}

// newFleetOfFive returns the viewer of vm-0 in a fleet of five watchers, with
// revision 5 and list 1 in force, after all peers were asked.
func newFleetOfFive() *viewer.Viewer {
	v := viewer.New("vm-0")
	var vms []*bluebelldoor.VM
	for _, name := range []string{"vm-0", "vm-1", "vm-2", "vm-3", "vm-4"} {
		vms = append(vms, bluebelldoor.NewVM(bluebelldoor.VMSpec{Name: name, DataCentre: name}))
	}
	v.AdoptList(bluebelldoor.NewVMList(1, vms))
	v.Adopt(document(5))
	for _, vm := range vms[1:] {
		v.RecordPeerFailure(vm.Name())
	}
	return v
}

func confirmed(revision uint64, age time.Duration) viewer.PeerView {
	return viewer.PeerView{Revision: revision, DocumentAge: age, ListVersion: 1, ListAge: age, HasConfirmed: true}
}

func unconfirmed(revision uint64) viewer.PeerView {
	return viewer.PeerView{Revision: revision, ListVersion: 1}
}

func TestFresh(t *testing.T) {
	for name, c := range map[string]struct {
		evidence func(*viewer.Viewer)
		until    float64 // time until which the view is fresh, in seconds; 0 for never
	}{
		"no evidence":                {func(*viewer.Viewer) {}, 0},
		"both services":              {func(v *viewer.Viewer) { v.RecordRevision(5, at(1)); v.RecordListVersion(1, at(1)) }, 4},
		"stale service":              {func(v *viewer.Viewer) { v.RecordRevision(4, at(1)); v.RecordListVersion(1, at(1)) }, 0},
		"configuration service only": {func(v *viewer.Viewer) { v.RecordRevision(5, at(1)) }, 0},
		"peer confirmed 1 s ago":     {func(v *viewer.Viewer) { v.RecordPeer("vm-1", confirmed(5, time.Second), at(2)) }, 4},
		"peer with document confirmed before list": {func(v *viewer.Viewer) {
			v.RecordPeer("vm-1", viewer.PeerView{Revision: 5, DocumentAge: 2 * time.Second, ListVersion: 1, HasConfirmed: true}, at(2))
		}, 3},
		"peer with list confirmed before document": {func(v *viewer.Viewer) {
			v.RecordPeer("vm-1", viewer.PeerView{Revision: 5, ListVersion: 1, ListAge: 2 * time.Second, HasConfirmed: true}, at(2))
		}, 3},
		"both services, then suspended": {func(v *viewer.Viewer) {
			v.RecordRevision(5, at(1))
			v.RecordListVersion(1, at(1))
			v.DiscardEvidence(at(1.5))
		}, 0},
		"asked before suspension": {func(v *viewer.Viewer) {
			v.DiscardEvidence(at(1.5))
			v.RecordRevision(5, at(1))
			v.RecordListVersion(1, at(1))
			v.RecordPeer("vm-1", confirmed(5, 0), at(1))
		}, 0},
		"asked after suspension":   {func(v *viewer.Viewer) { v.DiscardEvidence(at(1.5)); v.RecordPeer("vm-1", confirmed(5, 0), at(2)) }, 5},
		"peer with older revision": {func(v *viewer.Viewer) { v.RecordPeer("vm-1", confirmed(4, 0), at(2)) }, 0},
		"one unconfirmed peer":     {func(v *viewer.Viewer) { v.RecordPeer("vm-1", unconfirmed(5), at(2)) }, 0},
		"majority with nothing newer": {func(v *viewer.Viewer) {
			v.RecordPeer("vm-1", unconfirmed(5), at(2))
			v.RecordPeer("vm-2", unconfirmed(4), at(1))
		}, 4},
		"majority with one old reply": {func(v *viewer.Viewer) {
			v.RecordPeer("vm-1", unconfirmed(5), at(9))
			v.RecordPeer("vm-2", unconfirmed(5), at(0.5))
		}, 3.5},
		"peer with newer revision": {func(v *viewer.Viewer) {
			v.RecordPeer("vm-1", unconfirmed(6), at(1))
			v.RecordPeer("vm-2", unconfirmed(5), at(1))
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			v := newFleetOfFive()
			c.evidence(v)
			if c.until == 0 {
				assert.Assert(t, v.View().CheckFresh(at(2)) != nil)
				return
			}
			assert.Assert(t, v.View().CheckFresh(at(c.until)) == nil)
			assert.Assert(t, v.View().CheckFresh(at(c.until+0.001)) != nil)
		})
	}
}

// TestAdoptNeverGoesBack checks that late older revisions are not adopted.
func TestAdoptNeverGoesBack(t *testing.T) {
	v := newFleetOfFive()
	for _, revision := range []uint64{4, 6, 5, 1, 6, 8, 7} {
		v.Adopt(document(revision))
	}
	assert.Equal(t, v.View().Document().Revision(), uint64(8))
	v.AdoptList(bluebelldoor.NewVMList(3, nil))
	v.AdoptList(bluebelldoor.NewVMList(2, nil))
	assert.Equal(t, v.View().List().Version(), uint64(3))
}

// TestNewDocumentNeedsNewEvidence checks that evidence for the previous document
// does not confirm the new one.
func TestNewDocumentNeedsNewEvidence(t *testing.T) {
	v := newFleetOfFive()
	v.RecordRevision(5, at(1))
	v.RecordListVersion(1, at(1))
	v.Adopt(document(6))
	assert.Assert(t, v.View().CheckFresh(at(1)) != nil)
}

// TestStartsAfterAsking checks that the view is stale until each watcher has
// replied or failed.
func TestStartsAfterAsking(t *testing.T) {
	v := viewer.New("vm-0")
	v.AdoptList(bluebelldoor.NewVMList(1, []*bluebelldoor.VM{
		bluebelldoor.NewVM(bluebelldoor.VMSpec{Name: "vm-0"}), bluebelldoor.NewVM(bluebelldoor.VMSpec{Name: "vm-1"}),
	}))
	v.Adopt(document(5))
	v.RecordRevision(5, at(1))
	v.RecordListVersion(1, at(1))
	assert.Assert(t, v.View().CheckFresh(at(1)) != nil)
	v.RecordPeerFailure("vm-1")
	assert.Assert(t, v.View().CheckFresh(at(1)) == nil)
}

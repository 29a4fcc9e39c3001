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

// five returns a viewer of vm-0 in a fleet of five, all of them watchers, with
// revision 5 and list 1 in force and every peer asked.
func five() *viewer.Viewer {
	v := viewer.New("vm-0")
	var vms []*bluebelldoor.VM
	for _, name := range []string{"vm-0", "vm-1", "vm-2", "vm-3", "vm-4"} {
		vms = append(vms, bluebelldoor.NewVM(bluebelldoor.VMSpec{Name: name, DataCentre: name}))
	}
	v.AdoptList(bluebelldoor.NewVMList(1, vms))
	v.Adopt(document(5))
	for _, vm := range vms[1:] {
		v.PeerFailed(vm.Name())
	}
	return v
}

func says(revision uint64, age time.Duration) viewer.Statement {
	return viewer.Statement{Revision: revision, DocumentAge: age, ListVersion: 1, ListAge: age, HasConfirmed: true}
}

func unsure(revision uint64) viewer.Statement {
	return viewer.Statement{Revision: revision, ListVersion: 1}
}

func TestFresh(t *testing.T) {
	for name, c := range map[string]struct {
		evidence func(*viewer.Viewer)
		until    float64 // seconds until which the view is fresh; 0 is never
	}{
		"nothing":                                {func(*viewer.Viewer) {}, 0},
		"the platform":                           {func(v *viewer.Viewer) { v.Service(5, at(1)); v.ListService(1, at(1)) }, 4},
		"a stale copy":                           {func(v *viewer.Viewer) { v.Service(4, at(1)); v.ListService(1, at(1)) }, 0},
		"only the document":                      {func(v *viewer.Viewer) { v.Service(5, at(1)) }, 0},
		"a peer that was confirmed a second ago": {func(v *viewer.Viewer) { v.Peer("vm-1", says(5, time.Second), at(2)) }, 4},
		"a peer whose document is older than its list": {func(v *viewer.Viewer) {
			v.Peer("vm-1", viewer.Statement{Revision: 5, DocumentAge: 2 * time.Second, ListVersion: 1, HasConfirmed: true}, at(2))
		}, 3},
		"a peer whose list is older than its document": {func(v *viewer.Viewer) {
			v.Peer("vm-1", viewer.Statement{Revision: 5, ListVersion: 1, ListAge: 2 * time.Second, HasConfirmed: true}, at(2))
		}, 3},
		"the platform, before a suspension": {func(v *viewer.Viewer) { v.Service(5, at(1)); v.ListService(1, at(1)); v.Forget(at(1.5)) }, 0},
		"asked before a suspension": {func(v *viewer.Viewer) {
			v.Forget(at(1.5))
			v.Service(5, at(1))
			v.ListService(1, at(1))
			v.Peer("vm-1", says(5, 0), at(1))
		}, 0},
		"asked after a suspension":      {func(v *viewer.Viewer) { v.Forget(at(1.5)); v.Peer("vm-1", says(5, 0), at(2)) }, 5},
		"a peer with an older revision": {func(v *viewer.Viewer) { v.Peer("vm-1", says(4, 0), at(2)) }, 0},
		"one unsure peer":               {func(v *viewer.Viewer) { v.Peer("vm-1", unsure(5), at(2)) }, 0},
		"a majority that holds nothing newer": {func(v *viewer.Viewer) {
			v.Peer("vm-1", unsure(5), at(2))
			v.Peer("vm-2", unsure(4), at(1))
		}, 4},
		"a majority, one of it long ago": {func(v *viewer.Viewer) {
			v.Peer("vm-1", unsure(5), at(9))
			v.Peer("vm-2", unsure(5), at(0.5))
		}, 3.5},
		"a peer with a newer revision": {func(v *viewer.Viewer) {
			v.Peer("vm-1", unsure(6), at(1))
			v.Peer("vm-2", unsure(5), at(1))
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			v := five()
			c.evidence(v)
			if c.until == 0 {
				assert.Assert(t, v.View().Fresh(at(2)) != nil)
				return
			}
			assert.Assert(t, v.View().Fresh(at(c.until)) == nil)
			assert.Assert(t, v.View().Fresh(at(c.until+0.001)) != nil)
		})
	}
}

// TestAdoptNeverGoesBack keeps the highest revision, whatever comes late.
func TestAdoptNeverGoesBack(t *testing.T) {
	v := five()
	for _, revision := range []uint64{4, 6, 5, 1, 6, 8, 7} {
		v.Adopt(document(revision))
	}
	assert.Equal(t, v.View().Document().Revision(), uint64(8))
	v.AdoptList(bluebelldoor.NewVMList(3, nil))
	v.AdoptList(bluebelldoor.NewVMList(2, nil))
	assert.Equal(t, v.View().List().Version(), uint64(3))
}

// TestNewDocumentNeedsNewEvidence forgets what was said of the one before.
func TestNewDocumentNeedsNewEvidence(t *testing.T) {
	v := five()
	v.Service(5, at(1))
	v.ListService(1, at(1))
	v.Adopt(document(6))
	assert.Assert(t, v.View().Fresh(at(1)) != nil)
}

// TestStartsAfterAsking takes no work before each watcher answered or failed.
func TestStartsAfterAsking(t *testing.T) {
	v := viewer.New("vm-0")
	v.AdoptList(bluebelldoor.NewVMList(1, []*bluebelldoor.VM{
		bluebelldoor.NewVM(bluebelldoor.VMSpec{Name: "vm-0"}), bluebelldoor.NewVM(bluebelldoor.VMSpec{Name: "vm-1"}),
	}))
	v.Adopt(document(5))
	v.Service(5, at(1))
	v.ListService(1, at(1))
	assert.Assert(t, v.View().Fresh(at(1)) != nil)
	v.PeerFailed("vm-1")
	assert.Assert(t, v.View().Fresh(at(1)) == nil)
}

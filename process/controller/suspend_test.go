package controller

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/recorder"
	"bluebelldoor/version/viewer"
)

// TestSuspended checks that no work is taken under a view that was confirmed
// before the VM was suspended. The monotonic clock, which measures the age of the
// view, does not advance during a suspension, so that the view looks fresh.
func TestSuspended(t *testing.T) {
	var suspendedFor time.Duration
	c := New(bluebelldoor.NewSettings(bluebelldoor.SettingsSpec{Name: "vm-0"}), "i", Sources{
		Suspended: func() time.Duration { return suspendedFor },
	}, hclog.NewNullLogger(), recorder.NewMetrics())
	c.viewer.AdoptList(bluebelldoor.NewVMList(1, []*bluebelldoor.VM{
		bluebelldoor.NewVM(bluebelldoor.VMSpec{Name: "vm-0"}), bluebelldoor.NewVM(bluebelldoor.VMSpec{Name: "vm-1"}),
	}))
	c.viewer.Adopt(bluebelldoor.NewDocument(bluebelldoor.DocumentSpec{Revision: 5, Limits: bluebelldoor.Limits{FreshFor: time.Minute}}))
	c.viewer.RecordPeerFailure("vm-1")
	c.ready = true
	statement := viewer.PeerView{Revision: 5, ListVersion: 1, HasConfirmed: true}
	askedAt := time.Now()
	c.viewer.RecordPeer("vm-1", statement, askedAt)
	c.publish(time.Now())
	assert.Assert(t, c.State().CheckFresh(time.Now()) == nil)

	suspendedFor = 90 * time.Second
	assert.Assert(t, c.State().CheckFresh(time.Now()) != nil, "a state published before the suspension must be stale")
	c.detectSuspension()
	c.publish(time.Now())
	assert.Assert(t, c.State().CheckFresh(time.Now()) != nil, "evidence from before the suspension must be discarded")
	c.viewer.RecordPeer("vm-1", statement, askedAt)
	c.publish(time.Now())
	assert.Assert(t, c.State().CheckFresh(time.Now()) != nil, "a reply to a poll from before the suspension must not count")
	c.viewer.RecordPeer("vm-1", statement, time.Now())
	c.publish(time.Now())
	assert.Assert(t, c.State().CheckFresh(time.Now()) == nil)
}

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

// TestSuspended takes no work under a view that was confirmed before the VM was
// suspended: the steady clock, by which its age is told, stood still meanwhile.
func TestSuspended(t *testing.T) {
	var slept time.Duration
	c := New(bluebelldoor.NewSettings(bluebelldoor.SettingsSpec{Name: "vm-0"}), "i", Sources{
		Suspended: func() time.Duration { return slept },
	}, hclog.NewNullLogger(), recorder.NewMetrics())
	c.viewer.AdoptList(bluebelldoor.NewVMList(1, []*bluebelldoor.VM{
		bluebelldoor.NewVM(bluebelldoor.VMSpec{Name: "vm-0"}), bluebelldoor.NewVM(bluebelldoor.VMSpec{Name: "vm-1"}),
	}))
	c.viewer.Adopt(bluebelldoor.NewDocument(bluebelldoor.DocumentSpec{Revision: 5, Limits: bluebelldoor.Limits{FreshFor: time.Minute}}))
	c.viewer.PeerFailed("vm-1")
	c.ready = true
	says := viewer.Statement{Revision: 5, ListVersion: 1, HasConfirmed: true}
	asked := time.Now()
	c.viewer.Peer("vm-1", says, asked)
	c.publish(time.Now())
	assert.Assert(t, c.State().Fresh(time.Now()) == nil)

	slept = 90 * time.Second
	assert.Assert(t, c.State().Fresh(time.Now()) != nil, "what was published before the suspension is acted on")
	c.noticeSuspension()
	c.publish(time.Now())
	assert.Assert(t, c.State().Fresh(time.Now()) != nil, "the evidence outlives the suspension")
	c.viewer.Peer("vm-1", says, asked)
	c.publish(time.Now())
	assert.Assert(t, c.State().Fresh(time.Now()) != nil, "an answer to a question from before counts")
	c.viewer.Peer("vm-1", says, time.Now())
	c.publish(time.Now())
	assert.Assert(t, c.State().Fresh(time.Now()) == nil)
}

package executor

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/controller"
	"bluebelldoor/process/recorder"
)

// slowApplications calls Permit only after a delay, as if a connection were slow to
// open.
type slowApplications struct {
	wait time.Duration
	sent int
}

func (a *slowApplications) Do(_ context.Context, _ *bluebelldoor.Target, c bluebelldoor.Call) (bluebelldoor.Answer, error) {
	time.Sleep(a.wait)
	if err := c.Permit(); err != nil {
		return bluebelldoor.Answer{}, err
	}
	a.sent++
	return bluebelldoor.Answer{Status: 200}, nil
}

// platform is a configuration service and VM list that stop answering once down is
// set.
type platform struct {
	bluebelldoor.ConfigurationReader
	down atomic.Bool
	text []byte
}

func (p *platform) Read(ctx context.Context, after uint64, wait time.Duration) (bluebelldoor.Publication, error) {
	if p.down.Load() {
		<-ctx.Done()
		return bluebelldoor.Publication{}, ctx.Err()
	}
	if after >= 1 {
		time.Sleep(wait)
		return bluebelldoor.Publication{Revision: 1}, nil
	}
	return bluebelldoor.Publication{Revision: 1, Text: p.text}, nil
}

func (p *platform) List(ctx context.Context) (*bluebelldoor.VMList, error) {
	if p.down.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return bluebelldoor.NewVMList(1, []*bluebelldoor.VM{bluebelldoor.NewVM(bluebelldoor.VMSpec{Name: "vm-0", DataCentre: "a"})}), nil
}

type warmEngines struct{ bluebelldoor.EngineClient }

func (warmEngines) Report(context.Context, *bluebelldoor.Target) (bluebelldoor.LoadReport, error) {
	return bluebelldoor.LoadReport{Warm: true, Received: time.Now()}, nil
}

const document = `{
  "revision": 1, "dataCentres": [{"name": "a", "region": "r", "inService": true}], "models": ["m"],
  "classes": [{"name": "c", "priority": 1, "defaultWithin": "60s"}], "clientAccounts": [],
  "services": [{"name": "desk", "repeatable": ["GET"]}],
  "targets": [{"name": "desk-0", "kind": "application", "address": "127.0.0.1:1", "dataCentre": "a", "services": ["desk"]}],
  "limits": {"freshFor": "2s"},
}`

// TestLastCheckOfCalls checks that the view is checked again as the last step before
// a call is sent: it may become stale after the target is chosen.
func TestLastCheckOfCalls(t *testing.T) {
	for name, c := range map[string]struct {
		wait time.Duration
		sent int
	}{
		"sent at once":              {0, 1},
		"after the view went stale": {5 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := &platform{text: []byte(document)}
				control := controller.New(bluebelldoor.NewSettings(bluebelldoor.SettingsSpec{Name: "vm-0", DataCentre: "a"}), "i",
					controller.Sources{Configuration: source, VMList: source, Engines: warmEngines{}}, hclog.NewNullLogger(), recorder.NewMetrics())
				defer control.Start()()
				time.Sleep(3 * time.Second)
				assert.Assert(t, control.State().CheckFresh(time.Now()) == nil)
				applications := &slowApplications{wait: c.wait}
				x := &Executor{
					settings: bluebelldoor.NewSettings(bluebelldoor.SettingsSpec{Name: "vm-0", DataCentre: "a"}),
					control:  control, applications: applications, journal: recorder.NewJournal(), log: hclog.NewNullLogger(),
				}
				source.down.Store(true)
				out := x.sendOnce(t.Context(), "desk", bluebelldoor.Call{ID: "1"}, time.Now().Add(time.Minute))
				assert.Equal(t, applications.sent, c.sent)
				assert.Equal(t, out.Refusal == nil, c.sent == 1)
			})
		})
	}
}

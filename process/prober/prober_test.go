package prober_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/prober"
)

// fake is a registrar and a reporter for engines.
type fake struct {
	mu          sync.Mutex
	age         time.Duration
	hasEvidence bool
	probes      map[string]int
	leaving     map[string]bool
}

func (f *fake) EvidenceAge() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.age, f.hasEvidence
}

func (f *fake) MarkLeaving(_ context.Context, t *bluebelldoor.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving[t.ID] = true
}

func (f *fake) Leaving(_ context.Context, t *bluebelldoor.Instance) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probes[t.ID]++
	if t.ID == "silent" {
		return false, errors.New("no response")
	}
	return t.ID == "leaves", nil
}

// TestProber checks that engines are probed only while the platform does not answer,
// and that only an engine that says so is marked as leaving.
func TestProber(t *testing.T) {
	for name, c := range map[string]struct {
		age         time.Duration
		hasEvidence bool
		probed      bool
	}{
		"the platform answers": {time.Second, true, false},
		"it does not answer":   {2 * time.Second, true, true},
		"it never answered":    {0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fake{age: c.age, hasEvidence: c.hasEvidence, probes: map[string]int{}, leaving: map[string]bool{}}
				stop := prober.New(f, f, func() []*bluebelldoor.Instance {
					return []*bluebelldoor.Instance{{ID: "stays"}, {ID: "leaves"}, {ID: "silent"}}
				}, hclog.NewNullLogger())
				time.Sleep(time.Second)
				stop()
				assert.Equal(t, f.probes["stays"] > 0, c.probed)
				assert.Assert(t, f.probes["stays"] < 5, "probed %d times in a second", f.probes["stays"])
				assert.Equal(t, f.leaving["leaves"], c.probed)
				assert.Assert(t, !f.leaving["stays"] && !f.leaving["silent"])
			})
		})
	}
}

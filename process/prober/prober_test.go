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

// world is a registrar and its engines.
type world struct {
	mu     sync.Mutex
	age    time.Duration
	proved bool
	asked  map[string]int
	left   map[string]bool
}

func (w *world) Evidence() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.age, w.proved
}

func (w *world) Leaves(_ context.Context, t *bluebelldoor.Instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left[t.ID] = true
}

func (w *world) Leaving(_ context.Context, t *bluebelldoor.Instance) (bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked[t.ID]++
	if t.ID == "silent" {
		return false, errors.New("no answer")
	}
	return t.ID == "leaves", nil
}

// TestProber asks engines only while the platform is silent, and takes only
// their own word that they leave.
func TestProber(t *testing.T) {
	for name, c := range map[string]struct {
		age    time.Duration
		proved bool
		asks   bool
	}{
		"the platform answers": {time.Second, true, false},
		"it is silent":         {2 * time.Second, true, true},
		"it was never heard":   {0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &world{age: c.age, proved: c.proved, asked: map[string]int{}, left: map[string]bool{}}
				stop := prober.New(w, w, func() []*bluebelldoor.Instance {
					return []*bluebelldoor.Instance{{ID: "stays"}, {ID: "leaves"}, {ID: "silent"}}
				}, hclog.NewNullLogger())
				time.Sleep(time.Second)
				stop()
				assert.Equal(t, w.asked["stays"] > 0, c.asks)
				assert.Assert(t, w.asked["stays"] < 5, "asked %d times in a second", w.asked["stays"])
				assert.Equal(t, w.left["leaves"], c.asks)
				assert.Assert(t, !w.left["stays"] && !w.left["silent"])
			})
		})
	}
}

package slotter_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/slotter"
)

const lease = 5 * time.Second

var (
	start     = time.Unix(1000, 0)
	resources = []slotter.Resource{{Name: "engine", Slots: 3}}
)

func list(names ...string) *bluebelldoor.VMList {
	var vms []*bluebelldoor.VM
	for _, name := range names {
		vms = append(vms, bluebelldoor.NewVM(bluebelldoor.VMSpec{Name: name}))
	}
	return bluebelldoor.NewVMList(1, vms)
}

// TestOneHolder checks that each slot is assigned to exactly one VM of a list.
func TestOneHolder(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	holders := map[string]int{}
	for _, name := range names {
		s := slotter.New(name)
		s.Assign(resources, lease, list(names...), start)
		for i := range s.Held("engine") {
			holders[fmt.Sprint(i)]++
		}
	}
	assert.DeepEqual(t, holders, map[string]int{"0": 1, "1": 1, "2": 1})
}

func TestUsable(t *testing.T) {
	empty := func(at time.Duration) bluebelldoor.LoadReport {
		return bluebelldoor.LoadReport{Incarnation: "x", Received: start.Add(at)}
	}
	busy := empty(lease + time.Second)
	busy.Running = 1
	restarted := busy
	restarted.Incarnation = "y"
	for name, c := range map[string]struct {
		reports []bluebelldoor.LoadReport
		at      time.Duration
		want    bool
	}{
		"within the lease":          {nil, lease - 1, false},
		"no report after the lease": {[]bluebelldoor.LoadReport{empty(lease - time.Second)}, lease * 2, false},
		"idle after the lease":      {[]bluebelldoor.LoadReport{empty(lease + time.Second)}, lease * 2, true},
		"work of an earlier holder": {[]bluebelldoor.LoadReport{busy}, lease * 2, false},
		"engine restarted":          {[]bluebelldoor.LoadReport{empty(0), restarted}, lease * 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := slotter.New("a")
			s.Assign(resources, lease, list("a"), start)
			for _, r := range c.reports {
				s.Report("engine", r)
			}
			for _, slot := range s.Slots("engine") {
				assert.Equal(t, slot.Usable(start.Add(c.at)), c.want)
			}
		})
	}
}

// TestLostAndRegained checks that a VM that loses its slots and regains them
// waits for the lease again.
func TestLostAndRegained(t *testing.T) {
	s := slotter.New("a")
	s.Assign(resources, lease, list("a"), start)
	s.Assign(resources, lease, list("b"), start.Add(time.Minute))
	assert.Equal(t, len(s.Slots("engine")), 0)
	s.Assign(resources, lease, list("a"), start.Add(2*time.Minute))
	for _, slot := range s.Slots("engine") {
		assert.Equal(t, slot.UsableAt, start.Add(2*time.Minute+lease))
	}
}

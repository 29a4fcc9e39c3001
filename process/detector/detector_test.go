package detector_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/detector"
)

// testClock is the clock of the test's bubble.
type testClock struct{ start time.Time }

func (c testClock) Now() time.Duration { return time.Since(c.start) }

// TestEnds guards against a target that has ended and is not noticed, because of the point at
// which its connections ended, and against one that lives and is taken for ended because it
// has ended a connection.
func TestEnds(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		signs      []detector.SignOfLife // one after the other, the last one on and on
		idle       bool                  // the broken connection had been idle
		leaves     bool                  // the target is leaving
		replacedIn time.Duration         // 0 for never
		answersIn  time.Duration         // the other request is answered; 0 for never
		leavesIn   time.Duration         // the VM waits no more for the other request; 0 for never
		want       []string              // the requests that are accused in the end
	}{
		"refuses connections":          {signs: []detector.SignOfLife{detector.Refuses}, want: []string{"broken", "running"}},
		"refuses a little later":       {signs: []detector.SignOfLife{detector.Accepts, detector.Refuses}, want: []string{"broken", "running"}},
		"refuses, idle connection":     {signs: []detector.SignOfLife{detector.Refuses}, idle: true, want: []string{"broken", "running"}},
		"responds":                     {signs: []detector.SignOfLife{detector.Responds}},
		"responds, then another start": {signs: []detector.SignOfLife{detector.Responds}, replacedIn: 500 * ms, want: []string{"broken", "running"}},
		"another start, one answered":  {signs: []detector.SignOfLife{detector.Responds}, replacedIn: 500 * ms, answersIn: 200 * ms, want: []string{"broken"}},
		"another start, one left":      {signs: []detector.SignOfLife{detector.Responds}, replacedIn: 500 * ms, leavesIn: 200 * ms, want: []string{"broken"}},
		"another start much later":     {signs: []detector.SignOfLife{detector.Responds}, replacedIn: time.Minute},
		"accepts connections":          {signs: []detector.SignOfLife{detector.Accepts}, want: []string{"broken"}},
		"accepts, and answers":         {signs: []detector.SignOfLife{detector.Accepts}, answersIn: 40 * ms},
		"accepts, idle connection":     {signs: []detector.SignOfLife{detector.Accepts}, idle: true},
		"silent":                       {signs: []detector.SignOfLife{detector.Unknown}, want: []string{"broken"}},
		"leaves":                       {signs: []detector.SignOfLife{detector.Refuses}, leaves: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := testClock{time.Now()}
				accused := map[string]bool{}
				d, stop := detector.New(detector.Sources{
					Ask: func(context.Context, string, *bluebelldoor.Instance) detector.SignOfLife {
						sign := c.signs[0]
						c.signs = c.signs[min(1, len(c.signs)-1):]
						return sign
					},
					AcceptsNewWork: func(*bluebelldoor.Instance) bool { return !c.leaves },
					Replaced: func(string, *bluebelldoor.Instance) bool {
						return c.replacedIn > 0 && clock.Now() >= time.Second+c.replacedIn
					},
					Ended: func(end detector.End) {
						for _, r := range end.Requests {
							accused[r.Suspects[0]] = true
						}
					},
				}, clock)
				defer stop()
				instance := &bluebelldoor.Instance{ID: "t", StartedAt: 1}
				begin := func(name string) *detector.Exposure { return d.Begin("s", instance, "account", []string{name}) }
				answered, broken, running, left := begin("answered"), begin("broken"), begin("running"), begin("left")
				time.Sleep(time.Second)
				answered.Answered()
				left.Left()
				broken.Broken(c.idle)
				time.Sleep(ms)
				begin("later")
				if c.answersIn > 0 {
					time.AfterFunc(c.answersIn, running.Answered)
				}
				if c.leavesIn > 0 {
					time.AfterFunc(c.leavesIn, running.Left)
				}
				time.Sleep(10 * time.Second)
				synctest.Wait()
				var got []string
				for name := range accused {
					got = append(got, name)
				}
				slices.Sort(got)
				assert.DeepEqual(t, got, c.want)
			})
		})
	}
}

package runner_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bluebelldoor/standin/lender"
)

func (l *logTail) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(string(l.buffer), text)
}

// TestRelaySlowStart guards against answers and faults that the slow start of a target does
// not learn of, and against slow start where the routing doesn't call for it.
func TestRelaySlowStart(t *testing.T) {
	for name, c := range map[string]struct {
		behaviour lender.Behaviour
		why       string
	}{
		"refuses":                           {lender.Refuse, "refusal"},
		"fails":                             {lender.Fail, "status"},
		"closes the connection":             {lender.Drop, "connection"},
		"breaks off after the first events": {lender.Truncate, "connection"},
		"begins a stream and hangs":         {lender.Stall, "unanswered"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, engine := startEngine(t)
			vm := f.vms[0]
			other := f.targets.Add("engine-2", "second", "dc-0")
			t.Cleanup(other.Stop)
			engine.SetBehaviour(func(*http.Request) lender.Behaviour { return c.behaviour })
			vm.generateWithin(t, streamPath, "bad", 20, "1500")
			await(t, "the target enters slow start", func() bool {
				return vm.log.contains("target enters slow start: target=engine-1 why=" + c.why)
			})
			engine.SetBehaviour(nil)
			await(t, "answers end the slow start", func() bool {
				vm.generate(t, streamPath, "good", 2)
				return vm.log.contains("target leaves slow start: target=engine-1")
			})
			other.SetBehaviour(func(*http.Request) lender.Behaviour { return c.behaviour })
			vm.generateWithin(t, secondPath, "other", 20, "1500")
			assert.Assert(t, !vm.log.contains("slow start: target=engine-2"))
		})
	}
}

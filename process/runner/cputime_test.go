package runner_test

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// TestTrafficCost logs the CPU time of calls and events, for a VM, its caller and its
// target together, in one process. The figures serve to check those of the assessor.
func TestTrafficCost(t *testing.T) {
	if testing.Short() {
		t.Skip("CPU times are measured manually")
	}
	const calls, streams, events = 400, 4, 500
	f, _ := startEngine(t)
	idle := cpuTime(t, func() { time.Sleep(time.Second) })
	used := cpuTime(t, func() {
		for i := range calls {
			assert.Equal(t, f.vms[0].send(t, "GET", safePath+"x", fmt.Sprint("call-", i), nil).status, 200)
		}
	})
	t.Logf("idle %s a second, a call %s", idle, used/calls)
	used = cpuTime(t, func() {
		for i := range streams {
			assert.Assert(t, f.vms[0].generate(t, streamPath, fmt.Sprint("stream-", i), events).complete)
		}
	})
	t.Logf("an event %s", used/(streams*events))
}

// cpuTime returns the CPU time that the process uses while f runs.
func cpuTime(t *testing.T, f func()) time.Duration {
	t.Helper()
	used := func() time.Duration {
		var u unix.Rusage
		assert.NilError(t, unix.Getrusage(unix.RUSAGE_SELF, &u))
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	before := used()
	f()
	return used() - before
}

package runner_test

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// TestTrafficCost logs the processor time that calls and events take: that of a whole
// VM with its caller and its target, in one process. It is what the assessor's figures
// are held against.
func TestTrafficCost(t *testing.T) {
	if testing.Short() {
		t.Skip("times of processors are measured by hand")
	}
	const calls, streams, events = 400, 4, 500
	f, _ := startEngine(t)
	idle := processorTime(t, func() { time.Sleep(time.Second) })
	took := processorTime(t, func() {
		for i := range calls {
			assert.Equal(t, f.vms[0].ask(t, "GET", toSafe+"x", fmt.Sprint("call-", i), nil).status, 200)
		}
	})
	t.Logf("idle %s a second, a call %s", idle, took/calls)
	took = processorTime(t, func() {
		for i := range streams {
			assert.Assert(t, f.vms[0].generate(t, toStream, fmt.Sprint("stream-", i), events).whole)
		}
	})
	t.Logf("an event %s", took/(streams*events))
}

// processorTime returns the processor time of the process that f takes.
func processorTime(t *testing.T, f func()) time.Duration {
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

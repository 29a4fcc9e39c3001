package main_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestHangUpAtStart guards against a SIGHUP that ends a process in its first moments, from the
// one on in which the process handles signals at all. The settings are a FIFO without a writer,
// so that the process waits there.
func TestHangUpAtStart(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "settings")
	assert.NilError(t, syscall.Mkfifo(settings, 0o600))
	for delay := time.Duration(0); delay < 20*time.Millisecond; delay += 2 * time.Millisecond {
		cmd := exec.Command(program, "relay", "-settings", settings)
		assert.NilError(t, cmd.Start())
		ended := make(chan error, 1)
		go func() { ended <- cmd.Wait() }()
		for !handlesHangUp(t, cmd.Process.Pid) {
			time.Sleep(50 * time.Microsecond)
		}
		time.Sleep(delay)
		assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP))
		select {
		case err := <-ended:
			t.Errorf("%s after the start: %v", delay, err)
			continue
		case <-time.After(50 * time.Millisecond):
		}
		assert.NilError(t, cmd.Process.Kill())
		assert.Assert(t, <-ended != nil, "the process ended by itself")
	}
}

// handlesHangUp reports whether a process ignores or catches SIGHUP.
func handlesHangUp(t *testing.T, pid int) bool {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err)
	for _, line := range strings.Split(string(status), "\n") {
		var mask uint64
		for _, field := range []string{"SigIgn:\t%x", "SigCgt:\t%x"} {
			if _, err := fmt.Sscanf(line, field, &mask); err == nil && mask&(1<<(syscall.SIGHUP-1)) != 0 {
				return true
			}
		}
	}
	return false
}

package main_test

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor/process/runner"
)

// TestExitStatuses checks the exit status and the output of each command.
func TestExitStatuses(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.hujson")
	assert.NilError(t, os.WriteFile(bad, []byte("{\n  \"revision\": 0\n}"), 0o600))
	log := filepath.Join(t.TempDir(), "vm.log")
	assert.NilError(t, os.WriteFile(log, []byte(`{"@module":"vm-1.relayer","@message":"refused","id":"r-1","route":"report","code":204}`), 0o600))
	for name, c := range map[string]struct {
		args   []string
		status int
		output string
	}{
		"a good document":       {[]string{"check", "-document", "../../examples/instituto/document.hujson"}, 0, "ok"},
		"good settings":         {[]string{"check", "-settings", "../../examples/backupolo/vm-1.hujson"}, 0, "ok"},
		"a bad document":        {[]string{"check", "-document", bad}, 1, bad + ":2:15: revision: outOfRange (404)"},
		"bad settings to serve": {[]string{"serve", "-settings", bad}, 2, "unknownField (402)"},
		"no file":               {[]string{"check", "-document", "nowhere"}, 2, "nowhere"},
		"nothing to check":      {[]string{"check"}, 2, "bluebelldoor check"},
		"no VM at the address":  {[]string{"status", "-address", freeAddress(t)}, 1, "dial"},
		"no request":            {[]string{"explain", "-address", "127.0.0.1:1"}, 2, "REQUEST-ID"},
		"why requests failed":   {[]string{"explain", "-log", log}, 0, "refused, noTarget"},
		"a request in the logs": {[]string{"explain", "-log", log, "r-1"}, 0, "\"id\":\"r-1\""},
		"no line in the logs":   {[]string{"explain", "-log", log, "r-2"}, 1, "no line on r-2"},
		"no such log":           {[]string{"explain", "-log", "nowhere"}, 2, "nowhere"},
		"both a VM and a log":   {[]string{"explain", "-log", log, "-address", "127.0.0.1:1", "r-1"}, 2, "REQUEST-ID"},
		"the version":           {[]string{"version"}, 0, "bluebelldoor 0."},
		"unknown command":       {[]string{"fly"}, 2, ""},
	} {
		t.Run(name, func(t *testing.T) {
			out, err := exec.Command(program, c.args...).CombinedOutput()
			var exit *exec.ExitError
			status := 0
			if errors.As(err, &exit) {
				status = exit.ExitCode()
			}
			assert.Equal(t, status, c.status, "%s", out)
			assert.Assert(t, strings.Contains(string(out), c.output), "%s", out)
		})
	}
}

// TestSecondSignal checks that a second signal stops a draining VM at once, and that
// the VM logs how many requests were interrupted.
func TestSecondSignal(t *testing.T) {
	f := newFleet(t, 1, 1, 0)
	f.warmUp()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		_, _ = f.caller(0).Stream(ctx, f.vms[0].spec.CallerAddress, "gait", "len=3000", 3000, nil)
	}()
	f.waitStatus(f.vms[0], "streaming", func(s runner.Status) bool { return s.Streams == 1 })
	f.signal(f.vms[0], syscall.SIGTERM)
	f.waitStatus(f.vms[0], "draining", func(s runner.Status) bool { return s.Phase == runner.Draining })
	signalledAt := time.Now()
	f.signal(f.vms[0], syscall.SIGTERM)
	err := f.vms[0].cmd.Wait()
	var exit *exec.ExitError
	assert.Assert(t, errors.As(err, &exit))
	assert.Equal(t, exit.ExitCode(), 1)
	assert.Assert(t, time.Since(signalledAt) < 5*time.Second)
	log, err := os.ReadFile(f.vms[0].log.Name())
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(log), "cut=1"), "%s", log)
}

package main_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor/standin/lender"
)

// checkOutcomes checks the callers' responses and the targets' executions against
// the guarantees.
func (s *soak) checkOutcomes() {
	counts, uploads, owed, denied := map[int]int{}, map[int]int{}, 0, 0
	for _, o := range s.outcomes {
		counts[o.status]++
		if strings.HasSuffix(o.id, uploadSuffix) {
			uploads[o.status]++
		}
		if o.key != strangerKey && !s.mayBeUnauthorized(o) {
			owed++
			if isDenial(o.status) {
				denied++
			}
		}
		if err := s.violation(o); err != nil {
			s.t.Errorf("%s %s at %s: %v", o.path, o.id, o.sent.Format("15:04:05.000"), err)
		}
	}
	s.t.Logf("responses by status: %v, to uploads: %v", counts, uploads)
	assert.Check(s.t, denied <= maxDenied+len(s.outcomes)/deniedRatio, "DENIED: %d of %d requests with a valid key were refused for good", denied, owed)
	assert.Check(s.t, counts[200] > owed/4, "less than a quarter of the %d requests with a valid key succeeded", owed)
}

// isDenial reports whether a status tells the caller that the request is at fault. The requests
// of the soak are proper, and its targets answer none of these.
func isDenial(status int) bool {
	return status >= 300 && status < 500 && status != 408 && status != 421 && status != 429
}

// mayBeUnauthorized reports whether a version that may have been in force for a request did
// not hold its API key.
func (s *soak) mayBeUnauthorized(o outcome) bool {
	if o.status != 401 {
		return false
	}
	for _, l := range s.lockouts {
		if !o.sent.Before(l.from) && o.sent.Before(l.to.Add(configWithin)) {
			return true
		}
	}
	return o.key == secondKey && !s.secondKeyFirstRevokedAt.IsZero() && !o.sent.Before(s.secondKeyFirstRevokedAt)
}

// isLockedOut reports whether a request was sent so long after a version without any API key
// that no VM may run it, and ran before the next version, which holds keys again. An upload may
// take until then to arrive.
func (s *soak) isLockedOut(o outcome, r lender.Execution) bool {
	for _, l := range s.lockouts {
		if o.sent.After(l.from.Add(keyRevocationDelay)) && r.At.Before(l.to) {
			return true
		}
	}
	return false
}

// violation returns the guarantee that an outcome violates, if any.
func (s *soak) violation(o outcome) error {
	runs := s.targetSet.Executions(o.id)
	executions := 0
	for _, r := range runs {
		if r.Header.Get("Kv-From") == "" {
			executions++
		}
		if err := s.checkRun(o, r); err != nil {
			return err
		}
	}
	atMostOnce := o.path == "unsafe" || o.path == "stream"
	switch refused := o.status == 503 || o.status == 429; {
	case s.planned && o.status == 0 && executions > 0:
		return errors.New("accepted, executed and closed without an answer")
	case atMostOnce && executions > 1:
		return fmt.Errorf("executed %d times", executions)
	case refused && len(runs) > 0:
		return fmt.Errorf("status %d means that the request was not executed, but it was", o.status)
	case o.status == 200:
		return checkResponse(o)
	}
	return nil
}

// checkMemory checks that a VM's process has not exceeded the memory of a VM.
func (s *soak) checkMemory(v *soakVM) {
	v.mu.Lock()
	pid := v.cmd.Process.Pid
	v.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return // the process has ended
	}
	for _, line := range strings.Split(string(status), "\n") {
		var kilobytes int
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err == nil && kilobytes > vmMegabytes*memoryFactor<<10 {
			s.t.Errorf("%s took %d MB of memory", v.name, kilobytes>>10)
		}
	}
}

// checkOutages checks that no VM has counted an outage of a store that was sound all along.
func (s *soak) checkOutages() {
	if !s.soundStore {
		return
	}
	for _, v := range s.vms {
		log, err := os.ReadFile(filepath.Join(s.dir, v.name+".log"))
		assert.NilError(s.t, err)
		assert.Check(s.t, !strings.Contains(string(log), "platform was silent"), "%s counts an outage", v.name)
	}
}

// checkRepeats checks that in no window targets got more repeats of callers' requests than all
// VMs together may send. A window's requests are those of it, or of one that begins earlier by
// half of its length or by its length.
func (s *soak) checkRepeats() {
	requests, repeats := map[string][]time.Time{}, map[string][]time.Time{}
	for _, o := range s.outcomes {
		service := serviceOf(o.path)
		requests[service] = append(requests[service], o.sent)
		if runs := s.targetSet.Executions(o.id); len(runs) > 1 {
			for _, r := range runs[1:] {
				repeats[service] = append(repeats[service], r.At)
			}
		}
	}
	for service, times := range repeats {
		worst := 0.0
		for _, from := range times {
			counted := 0
			for _, earlier := range []time.Duration{0, retryWindow / 2, retryWindow} {
				counted = max(counted, countWithin(requests[service], from.Add(-earlier)))
			}
			worst = max(worst, float64(countWithin(times, from))/(retryRatio*float64(counted)+retryAllowance))
		}
		s.t.Logf("%s: %d requests, %d repeats, worst window %.2f of the allowed", service, len(requests[service]), len(times), worst)
		assert.Check(s.t, worst <= 1, "%s: %.2f of the repeats allowed in a window", service, worst)
	}
}

// serviceOf returns the service of a route.
func serviceOf(path string) string {
	if path == "stream" || path == "resume" {
		return "engine"
	}
	return "app"
}

// countWithin returns how many times are in the window that begins at from.
func countWithin(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(retryWindow)) {
			n++
		}
	}
	return n
}

// checkRun checks that a target executed the caller's request, under a valid key.
func (s *soak) checkRun(o outcome, r lender.Execution) error {
	switch {
	case o.key == strangerKey:
		return errors.New("executed with an API key that no version held")
	case s.isLockedOut(o, r):
		return errors.New("executed although no version in force held an API key")
	case r.Header.Get("Authorization") != "" || r.Header.Get("Tenant") != "account":
		return errors.New("the API key was forwarded, or the account is wrong")
	case r.Body != bodyOf(o.id) && !r.Early || r.Path != "/"+o.path+"/x":
		return fmt.Errorf("executed as %s with a body of %d bytes", r.Path, len(r.Body))
	case o.key == secondKey && !s.secondKeyRevokedAt.IsZero() && o.sent.After(s.secondKeyRevokedAt.Add(keyRevocationDelay)):
		return fmt.Errorf("sent %s after its key was revoked, but executed", o.sent.Sub(s.secondKeyRevokedAt))
	}
	return nil
}

// checkResponse checks that a successful response is the target's full response.
func checkResponse(o outcome) error {
	switch streamed := o.path == "stream" || o.path == "resume"; {
	case o.serverStamp == "":
		return errors.New("a success without the stamp of a target")
	case !o.complete:
		return nil
	case streamed:
		return checkEventOrder(o.body, 60, o.path == "stream")
	case o.body != "answer to "+o.id:
		return fmt.Errorf("the response is %q", o.body)
	}
	return nil
}

// checkEventOrder checks that a stream has each event once and in order, and that
// all come from one execution if the stream can't be resumed.
func checkEventOrder(body string, events int, singleRun bool) error {
	received := strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n")
	if len(received) != events {
		return fmt.Errorf("got %d of %d events", len(received), events)
	}
	first := ""
	for i, p := range received {
		var n int
		var run string
		if _, err := fmt.Sscanf(p, "id: %d\ndata: %s", &n, &run); err != nil || n != i+1 {
			return fmt.Errorf("event %d is %q", i+1, p)
		}
		if first == "" {
			first = run
		}
		if singleRun && run != first {
			return fmt.Errorf("event %d is from another execution", n)
		}
	}
	return nil
}

package main_test

import (
	"errors"
	"fmt"
	"strings"

	"gotest.tools/v3/assert"

	"bluebelldoor/standin/lender"
)

// checkOutcomes checks the callers' responses and the targets' executions against
// the guarantees.
func (s *soak) checkOutcomes() {
	counts, owed := map[int]int{}, 0
	for _, o := range s.outcomes {
		counts[o.status]++
		if o.status != 401 || o.key != secondKey || s.secondKeyRevokedAt.IsZero() || o.sent.Before(s.secondKeyRevokedAt) {
			owed++
		}
		if err := s.violation(o); err != nil {
			s.t.Errorf("%s %s at %s: %v", o.path, o.id, o.sent.Format("15:04:05.000"), err)
		}
	}
	s.t.Logf("responses by status: %v", counts)
	assert.Check(s.t, counts[200] > owed/4, "less than a quarter of the %d requests with a valid key succeeded", owed)
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
	case atMostOnce && executions > 1:
		return fmt.Errorf("executed %d times", executions)
	case refused && len(runs) > 0:
		return fmt.Errorf("status %d means that the request was not executed, but it was", o.status)
	case o.status == 200:
		return checkResponse(o)
	}
	return nil
}

// checkRun checks that a target executed the caller's request, under a valid key.
func (s *soak) checkRun(o outcome, r lender.Execution) error {
	switch {
	case r.Header.Get("Authorization") != "" || r.Header.Get("Tenant") != "account":
		return errors.New("the API key was forwarded, or the account is wrong")
	case r.Body != "body" || r.Path != "/"+o.path+"/x":
		return fmt.Errorf("executed as %s with body %q", r.Path, r.Body)
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

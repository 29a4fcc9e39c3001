package main_test

import (
	"errors"
	"fmt"
	"strings"

	"gotest.tools/v3/assert"

	"bluebelldoor/standin/lender"
)

// check holds what callers got and what targets ran to the promises.
func (s *soak) check() {
	counts := map[int]int{}
	for _, o := range s.outcomes {
		counts[o.status]++
		if err := s.broken(o); err != nil {
			s.t.Errorf("%s %s at %s: %v", o.path, o.id, o.sent.Format("15:04:05.000"), err)
		}
	}
	s.t.Logf("answers by status: %v", counts)
	assert.Check(s.t, counts[200] > len(s.outcomes)/4, "less than a quarter was served")
}

// broken returns which promise an outcome breaks.
func (s *soak) broken(o outcome) error {
	runs := s.yard.Runs(o.id)
	fresh := 0
	for _, r := range runs {
		if r.Header.Get("Kv-From") == "" {
			fresh++
		}
		if err := s.wrongRun(o, r); err != nil {
			return err
		}
	}
	once := o.path == "unsafe" || o.path == "stream"
	switch refused := o.status == 503 || o.status == 429; {
	case once && fresh > 1:
		return fmt.Errorf("ran %d times", fresh)
	case refused && len(runs) > 0:
		return fmt.Errorf("%d promises that it did not run; it did", o.status)
	case o.status == 200:
		return wrongAnswer(o)
	}
	return nil
}

// wrongRun returns why a run is not the caller's request.
func (s *soak) wrongRun(o outcome, r lender.Run) error {
	switch {
	case r.Header.Get("Authorization") != "" || r.Header.Get("Tenant") != "account":
		return errors.New("a key was passed on, or a wrong account")
	case r.Body != "body" || r.Path != "/"+o.path+"/x":
		return fmt.Errorf("ran as %s with %q", r.Path, r.Body)
	case o.key == secondKey && !s.taken.IsZero() && o.sent.After(s.taken.Add(keyGrace)):
		return fmt.Errorf("sent %s after its key was taken away and ran", o.sent.Sub(s.taken))
	}
	return nil
}

// wrongAnswer returns why a success is not the target's whole answer.
func wrongAnswer(o outcome) error {
	switch streamed := o.path == "stream" || o.path == "resume"; {
	case o.stamp == "":
		return errors.New("a success that no target gave")
	case !o.whole:
		return nil
	case streamed:
		return inOrder(o.body, 60, o.path == "stream")
	case o.body != "answer to "+o.id:
		return fmt.Errorf("the answer is %q", o.body)
	}
	return nil
}

// inOrder holds a stream to its events, each once and in order, and those of
// one that can't be resumed to one run.
func inOrder(body string, events int, oneRun bool) error {
	pieces := strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n")
	if len(pieces) != events {
		return fmt.Errorf("%d events of %d", len(pieces), events)
	}
	first := ""
	for i, p := range pieces {
		var n int
		var run string
		if _, err := fmt.Sscanf(p, "id: %d\ndata: %s", &n, &run); err != nil || n != i+1 {
			return fmt.Errorf("event %d is %q", i+1, p)
		}
		if first == "" {
			first = run
		}
		if oneRun && run != first {
			return fmt.Errorf("event %d is of another run", n)
		}
	}
	return nil
}

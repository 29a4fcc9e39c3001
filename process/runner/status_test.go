package runner_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor/standin/lender"
)

// TestRelayImpossibleStatus guards against a target's response whose status is none of HTTP's
// and that reaches a caller as an answer, or for which a caller waits until its deadline
// (MIXED).
func TestRelayImpossibleStatus(t *testing.T) {
	const maxTime = time.Second
	f := startRelays(t, 1)
	for _, service := range []string{"app", "engine"} {
		for i := range 2 {
			t.Cleanup(f.targets.Add(fmt.Sprintf("%s-%d", service, i), service, fmt.Sprintf("dc-%d", i)).Stop)
		}
	}
	f.awaitTargets(t)
	n := 0
	for _, line := range []string{"000 Trouble", "000", "001 Low", "099 Low", "600 High", "999 High", "0200 OK", "2OO OK", "-20 OK", ""} {
		for path, tokens := range map[string]string{safePath: "", unsafePath: "", streamPath: "40,6", resumePath: "40,6"} {
			for _, withBody := range []bool{true, false} {
				n++
				id := fmt.Sprintf("status-%d", n)
				t.Run(fmt.Sprintf("%s%s %t", path, line, withBody), func(t *testing.T) {
					f.targets.SetBehaviour(func(r *http.Request) lender.Behaviour {
						if r.Header.Get("Attempt-Id") != id {
							return lender.Serve
						}
						return lender.RespondWithStatus(line, withBody)
					})
					header := map[string]string{"Deadline-Ms": "2500"}
					if tokens != "" {
						header["Token-Count"], header["Prompt-Prefix"] = tokens, "own"+id+":40"
					}
					got := f.vms[0].send(t, "POST", path+id, id, header)
					assert.Equal(t, got.status, http.StatusBadGateway, got.body)
					assert.Equal(t, got.header.Get("Server-Stamp"), "")
					assert.Assert(t, !strings.Contains(got.body, "trouble"), got.body)
					assert.Assert(t, got.took < maxTime, "the final response took %s", got.took)
				})
			}
		}
	}
}

// TestRelayImpossibleStatusMidway guards against the same where a stream that has begun goes on
// at another target.
func TestRelayImpossibleStatusMidway(t *testing.T) {
	for name, line := range map[string]string{"000": "000 Trouble", "600": "600 High"} {
		t.Run(name, func(t *testing.T) {
			f := startRelays(t, 1)
			for i := range 2 {
				t.Cleanup(f.targets.Add(fmt.Sprintf("engine-%d", i), "engine", fmt.Sprintf("dc-%d", i)).Stop)
			}
			t.Cleanup(f.targets.Add("app", "app", "dc-0").Stop)
			f.awaitTargets(t)
			f.targets.SetBehaviour(func(r *http.Request) lender.Behaviour {
				if r.Header.Get("Last-Event-Id") != "" {
					return lender.RespondWithStatus(line, true)
				}
				return lender.Truncate
			})
			got := f.vms[0].send(t, "POST", resumePath+"x", "midway", map[string]string{"Token-Count": "40,8", "Deadline-Ms": "2500"})
			assert.Assert(t, got.status == 200 && !got.complete, "%d %t %s", got.status, got.complete, got.body)
			assert.Assert(t, !strings.Contains(got.body, "trouble"), got.body)
			assert.Assert(t, got.took < time.Second, "the stream took %s", got.took)
		})
	}
}

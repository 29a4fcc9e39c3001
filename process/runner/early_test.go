package runner_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bluebelldoor/standin/lender"
)

// TestRelayEarlyAnswers guards against MIXED: a target answers an upload before it has read it, without
// a length, and resets the connection in the middle of its answer; the caller got that part as a
// complete answer. Whole answers, given as early, reach the caller whole.
func TestRelayEarlyAnswers(t *testing.T) {
	const rounds, events = 10, 20
	f := startRelays(t, 1)
	for _, service := range []string{"app", "engine"} {
		for i := range 2 {
			t.Cleanup(f.targets.Add(fmt.Sprintf("%s-%d", service, i), service, fmt.Sprintf("dc-%d", i)).Stop)
		}
	}
	f.awaitTargets(t)
	for _, path := range []string{safePath, unsafePath, streamPath, resumePath} {
		for _, size := range []int{64 << 10, 1 << 20, 3 << 20} {
			for _, behaviour := range []lender.Behaviour{lender.EarlyReset, lender.EarlyClose} {
				t.Run(fmt.Sprintf("%s%s %d KB", path, behaviour, size>>10), func(t *testing.T) {
					f.targets.SetBehaviour(func(r *http.Request) lender.Behaviour {
						if r.ContentLength == int64(size) {
							return behaviour
						}
						return lender.Serve
					})
					for i := range rounds {
						id := fmt.Sprintf("early-%s-%d-%s-%d", strings.Trim(path, "/"), size, behaviour, i)
						// A request that many targets have failed is kept away from others.
						content := strings.Repeat(" ", size-len(id)) + id
						header := map[string]string{}
						streamed := path == streamPath || path == resumePath
						if streamed {
							header["Token-Count"], header["Prompt-Prefix"] = fmt.Sprintf("40,%d", events), "own"+id+":40"
						}
						got := f.vms[0].upload(t, "POST", path+"x", id, header, content)
						isWhole := got.body == "answer to "+id
						if streamed {
							isWhole = strings.Count(got.body, "\n\n") == events
						}
						complete := got.status == http.StatusOK && got.complete
						assert.Assert(t, !complete || isWhole, "%d bytes of an answer count as all", len(got.body))
						runs := f.targets.Executions(id)
						assert.Assert(t, len(runs) > 0 && runs[0].Early, "%d runs", len(runs))
						if behaviour == lender.EarlyClose {
							assert.Assert(t, complete, "a whole answer does not reach the caller: %d %q", got.status, got.body)
						}
					}
				})
			}
		}
	}
}

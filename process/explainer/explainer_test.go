package explainer_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bluebelldoor/process/explainer"
)

// line returns a line of a VM's log with a timestamp at the given second.
func line(second int, module, message, rest string) string {
	if rest != "" {
		rest = "," + rest
	}
	return fmt.Sprintf(`{"@timestamp":"2026-01-01T00:00:%02d.5Z","@module":%q,"@message":%q%s}`, second, module, message, rest)
}

func targetChosen(second int, id, target string) string {
	return line(second, "vm-1.relayer", "target chosen", fmt.Sprintf(`"id":%q,"route":"report","target":%q`, id, target))
}

func requestEnded(second int, id, message, rest string) string {
	return line(second, "vm-1.relayer", message, fmt.Sprintf(`"id":%q,"route":"report",%s`, id, rest))
}

// TestCauses checks the outcome that is derived from the log lines of a request.
func TestCauses(t *testing.T) {
	later := line(50, "vm-1.gossiper", "members alive", "")
	for name, c := range map[string]struct {
		lines []string
		want  string
	}{
		"whole":                  {[]string{targetChosen(1, "a", "t"), requestEnded(2, "a", "answered", `"code":0,"status":200`)}, "whole"},
		"a whole stream":         {[]string{targetChosen(1, "a", "t"), requestEnded(2, "a", "answered", `"code":0`)}, "whole"},
		"the target's failure":   {[]string{targetChosen(1, "a", "t"), requestEnded(2, "a", "answered", `"code":0,"status":500`)}, "the target failed"},
		"refused":                {[]string{requestEnded(2, "a", "refused", `"code":211`)}, "refused, enginesCrowded"},
		"a quarantined part":     {[]string{requestEnded(2, "a", "refused", `"code":113`)}, "refused, promptQuarantined"},
		"broken off":             {[]string{targetChosen(1, "a", "t"), requestEnded(2, "a", "broken off", `"code":301,"target":"t"`)}, "broken off, targetLost"},
		"its target is leaving":  {[]string{line(1, "vm-2.registrar", "target takes no new work", `"target":"t"`), targetChosen(1, "a", "t"), requestEnded(3, "a", "broken off", `"code":301,"target":"t"`)}, "broken off, targetLost, its target was leaving"},
		"its target left then":   {[]string{targetChosen(1, "a", "t"), requestEnded(3, "a", "broken off", `"code":301,"target":"t"`), line(4, "vm-2.registrar", "target takes no new work", `"target":"t"`)}, "broken off, targetLost"},
		"its VM starts again":    {[]string{targetChosen(1, "a", "t"), line(4, "vm-1", "starting", ""), later}, "its VM ended"},
		"its VM logs no more":    {[]string{targetChosen(1, "a", "t")}, "its VM ended"},
		"under way at the end":   {[]string{targetChosen(1, "a", "t"), later}, "no outcome in the logs"},
		"the caller left":        {[]string{targetChosen(1, "a", "t"), requestEnded(2, "a", "caller left", `"code":310`)}, "caller left"},
		"sent again, then whole": {[]string{targetChosen(1, "a", "t"), targetChosen(2, "a", "u"), requestEnded(3, "a", "answered", `"code":0,"status":200`)}, "whole"},
	} {
		t.Run(name, func(t *testing.T) {
			e := explainer.New()
			assert.NilError(t, e.Read(strings.NewReader(strings.Join(c.lines, "\n"))))
			assert.DeepEqual(t, e.Outcomes(), []explainer.OutcomeCount{{Route: "report", Outcome: c.want, Requests: 1, ExampleID: "a"}})
		})
	}
}

// TestSeveralLogs checks that the logs of several VMs are merged, that prefixes added
// by log collectors are ignored, and that malformed lines are counted as skipped.
func TestSeveralLogs(t *testing.T) {
	e := explainer.New()
	for _, log := range []string{
		"  -1.25 vm-1 " + targetChosen(1, "b", "t") + "\nnoise\n{\"@message\":\n",
		"  2.5 vm-1 " + requestEnded(2, "b", "answered", `"code":0`) + "\n" + requestEnded(2, "a", "answered", `"code":0`) + "\n" + requestEnded(3, "c", "refused", `"code":204`),
		"",
	} {
		assert.NilError(t, e.Read(strings.NewReader(log)))
	}
	assert.DeepEqual(t, e.Outcomes(), []explainer.OutcomeCount{
		{Route: "report", Outcome: "whole", Requests: 2, ExampleID: "a"},
		{Route: "report", Outcome: "refused, noTarget", Requests: 1, ExampleID: "c"},
	})
	assert.Equal(t, e.Skipped(), 2)
}

package explainer_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bluebelldoor/process/explainer"
)

// line writes a line of a VM's log at a second.
func line(second int, module, message, rest string) string {
	if rest != "" {
		rest = "," + rest
	}
	return fmt.Sprintf(`{"@timestamp":"2026-01-01T00:00:%02d.5Z","@module":%q,"@message":%q%s}`, second, module, message, rest)
}

func chosen(second int, id, target string) string {
	return line(second, "vm-1.relayer", "target chosen", fmt.Sprintf(`"id":%q,"route":"report","target":%q`, id, target))
}

func ended(second int, id, message, rest string) string {
	return line(second, "vm-1.relayer", message, fmt.Sprintf(`"id":%q,"route":"report",%s`, id, rest))
}

// TestCauses tells from the lines of a request how it ended and why.
func TestCauses(t *testing.T) {
	later := line(50, "vm-1.gossiper", "members alive", "")
	for name, c := range map[string]struct {
		lines []string
		want  string
	}{
		"whole":                  {[]string{chosen(1, "a", "t"), ended(2, "a", "answered", `"code":0,"status":200`)}, "whole"},
		"a whole stream":         {[]string{chosen(1, "a", "t"), ended(2, "a", "answered", `"code":0`)}, "whole"},
		"the target's failure":   {[]string{chosen(1, "a", "t"), ended(2, "a", "answered", `"code":0,"status":500`)}, "the target failed"},
		"refused":                {[]string{ended(2, "a", "refused", `"code":211`)}, "refused, enginesCrowded"},
		"broken off":             {[]string{chosen(1, "a", "t"), ended(2, "a", "broken off", `"code":301,"target":"t"`)}, "broken off, targetLost"},
		"its target leaves":      {[]string{line(1, "vm-2.registrar", "target takes no new work", `"target":"t"`), chosen(1, "a", "t"), ended(3, "a", "broken off", `"code":301,"target":"t"`)}, "broken off, targetLost, its target was leaving"},
		"its target left then":   {[]string{chosen(1, "a", "t"), ended(3, "a", "broken off", `"code":301,"target":"t"`), line(4, "vm-2.registrar", "target takes no new work", `"target":"t"`)}, "broken off, targetLost"},
		"its VM starts again":    {[]string{chosen(1, "a", "t"), line(4, "vm-1", "starting", ""), later}, "its VM ended"},
		"its VM says no more":    {[]string{chosen(1, "a", "t")}, "its VM ended"},
		"under way at the end":   {[]string{chosen(1, "a", "t"), later}, "no outcome in the logs"},
		"the caller left":        {[]string{chosen(1, "a", "t"), ended(2, "a", "caller left", `"code":310`)}, "caller left"},
		"sent again, then whole": {[]string{chosen(1, "a", "t"), chosen(2, "a", "u"), ended(3, "a", "answered", `"code":0,"status":200`)}, "whole"},
	} {
		t.Run(name, func(t *testing.T) {
			e := explainer.New()
			assert.NilError(t, e.Read(strings.NewReader(strings.Join(c.lines, "\n"))))
			assert.DeepEqual(t, e.Causes(), []explainer.Cause{{Route: "report", Ended: c.want, Requests: 1, Example: "a"}})
		})
	}
}

// TestSeveralLogs reads the logs of VMs one after the other, with what collectors put
// before a line, and passes over what is no line.
func TestSeveralLogs(t *testing.T) {
	e := explainer.New()
	for _, log := range []string{
		"  -1.25 vm-1 " + chosen(1, "b", "t") + "\nnoise\n{\"@message\":\n",
		"  2.5 vm-1 " + ended(2, "b", "answered", `"code":0`) + "\n" + ended(2, "a", "answered", `"code":0`) + "\n" + ended(3, "c", "refused", `"code":204`),
		"",
	} {
		assert.NilError(t, e.Read(strings.NewReader(log)))
	}
	assert.DeepEqual(t, e.Causes(), []explainer.Cause{
		{Route: "report", Ended: "whole", Requests: 2, Example: "a"},
		{Route: "report", Ended: "refused, noTarget", Requests: 1, Example: "c"},
	})
	assert.Equal(t, e.Skipped(), 2)
}

package relayer

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEvents(t *testing.T) {
	for name, c := range map[string]struct {
		parts  []string
		passed string
		lastID string
		count  int
	}{
		"one":                        {[]string{"id: 1\ndata: a\n\n"}, "id: 1\ndata: a\n\n", "1", 1},
		"two at once":                {[]string{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"}, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "2", 2},
		"in pieces":                  {[]string{"id: 1\nda", "ta: a\n", "\nid: 2"}, "id: 1\ndata: a\n\n", "1", 1},
		"cut in the separator":       {[]string{"id: 1\ndata: a\n\nid: 2\ndata: b\n"}, "id: 1\ndata: a\n\n", "1", 1},
		"without an ID":              {[]string{"data: a\n\n"}, "data: a\n\n", "", 0},
		"with a field before the ID": {[]string{"weight-versions: 3\nid: 7\ndata: a\n\n"}, "weight-versions: 3\nid: 7\ndata: a\n\n", "7", 1},
		"empty":                      {nil, "", "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			var e eventSplitter
			passed := ""
			for _, part := range c.parts {
				complete := e.feed([]byte(part))
				passed += string(complete)
				e.consume(len(complete))
			}
			assert.Equal(t, passed, c.passed)
			assert.Equal(t, e.lastID, c.lastID)
			assert.Equal(t, e.count, c.count)
		})
	}
}

// FuzzEvents checks that the output is a prefix of the input that ends with a
// complete event, for any chunk size.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3", 3)
	f.Add("\n\n\n\n", 1)
	f.Fuzz(func(t *testing.T, text string, size int) {
		if size < 1 {
			return
		}
		var e eventSplitter
		passed := ""
		for rest := text; rest != ""; {
			n := min(size, len(rest))
			complete := e.feed([]byte(rest[:n]))
			passed += string(complete)
			e.consume(len(complete))
			rest = rest[n:]
		}
		if !strings.HasPrefix(text, passed) || passed+string(e.partial) != text {
			t.Fatalf("%q became %q and %q", text, passed, e.partial)
		}
		if passed != "" && !strings.HasSuffix(passed, "\n\n") {
			t.Fatalf("%q ends within an event", passed)
		}
	})
}

package parser_test

import (
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/version/parser"
)

// memberPattern matches the member of an object whose value is neither an object nor a list
// of objects, with the comma after it.
var memberPattern = regexp.MustCompile(`"[A-Za-z0-9]+": ("[^"]*"|[0-9.]+|true|false|\[("[^"]*"(, )?)*\])(,|\}|\n)`)

// TestNullIsRefused guards against a null that counts as the absence of a limit or as an empty
// value, in the document and in settings.
func TestNullIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		parse func(string) error
	}{
		"document": {goodDocument, parseDocument},
		"settings": {goodSettings, parseSettings},
		"relay": {relaySettings, func(text string) error {
			_, err := parser.RelaySettings("vm.hujson", []byte(text))
			return err
		}},
	} {
		t.Run(name, func(t *testing.T) {
			members := memberPattern.FindAllStringSubmatchIndex(c.text, -1)
			assert.Assert(t, len(members) > 5)
			for _, m := range members {
				text := c.text[:m[2]] + "null" + c.text[m[3]:]
				assert.Assert(t, c.parse(text) != nil, "accepted: %s", c.text[m[0]:m[1]])
			}
		})
	}
}

// TestZeroIsKept guards against a zero or an empty list in the document that is taken for an
// absent field, whose default allows more.
func TestZeroIsKept(t *testing.T) {
	const limits, engine = `"freshFor": "3s"`, `"maxRunning": 32`
	for name, c := range map[string]struct {
		old, field, zero string
		zeroed, absent   any
		value            func(*bluebelldoor.Document) any
	}{
		"queueLength":  {limits, "queueLength", "0", 0, 256, func(d *bluebelldoor.Document) any { return d.Limits().QueueLength }},
		"retryPercent": {limits, "retryPercent", "0", 0, 10, func(d *bluebelldoor.Document) any { return d.Limits().RetryPercent }},
		"warmAfter":    {limits, "warmAfter", "0", 0, 3, func(d *bluebelldoor.Document) any { return d.Limits().WarmAfter }},
		"vmListLag":    {limits, "vmListLag", `"0s"`, time.Duration(0), 3 * time.Second, func(d *bluebelldoor.Document) any { return d.Limits().VMListLag }},
		"coldSlots":    {engine, "coldSlots", "0", 0, 1, func(d *bluebelldoor.Document) any { return d.Target("engine-1").ColdSlots() }},
		"weights":      {engine, "weights", "[]", false, true, func(d *bluebelldoor.Document) any { return d.Target("engine-1").Weights() == nil }},
	} {
		t.Run(name, func(t *testing.T) {
			for text, want := range map[string]any{
				goodDocument: c.absent,
				strings.Replace(goodDocument, c.old, fmt.Sprintf("%s, %q: %s", c.old, c.field, c.zero), 1): c.zeroed,
			} {
				document, err := parser.Document("document.hujson", []byte(text))
				assert.NilError(t, err)
				assert.Equal(t, c.value(document), want)
			}
		})
	}
}

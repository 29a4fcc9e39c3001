package parser

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/tailscale/hujson"

	"bluebelldoor"
)

type kind string

const (
	object   kind = "object"
	list     kind = "list"
	text     kind = "text"
	name     kind = "name"
	integer  kind = "whole number"
	number   kind = "number"
	boolean  kind = "true or false"
	duration kind = "duration"
	address  kind = "address"
	digest   kind = "digest"
)

// schema describes the valid values of a field. min and max are in nanoseconds
// for durations, items for lists and bytes for texts.
type schema struct {
	kind     kind
	required bool
	fields   map[string]schema
	item     *schema
	min, max int64
	oneOf    []string
	// allowUnknown, set in the root schema, ignores unknown fields of the whole
	// text, which may be written for a newer version of the program.
	allowUnknown bool
}

func (s schema) mandatory() schema {
	s.required = true
	return s
}

func integerBetween(lo, hi int64) schema { return schema{kind: integer, min: lo, max: hi} }

func durationBetween(lo, hi time.Duration) schema {
	return schema{kind: duration, min: int64(lo), max: int64(hi)}
}

func listOf(item schema, maxItems int64) schema {
	return schema{kind: list, item: &item, max: maxItems}
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,63}$`)

// walk validates v against s and records the offset of each field.
func (c *collector) walk(path string, v hujson.Value, s schema) {
	offset := v.StartOffset
	c.offsets[path] = offset
	switch s.kind {
	case object:
		obj, ok := v.Value.(*hujson.Object)
		if !ok {
			c.wrongType(path, offset, s)
			return
		}
		c.walkObject(path, offset, obj, s)
	case list:
		arr, ok := v.Value.(*hujson.Array)
		if !ok {
			c.wrongType(path, offset, s)
			return
		}
		c.walkList(path, offset, arr, s)
	default:
		lit, ok := v.Value.(hujson.Literal)
		if !ok {
			c.wrongType(path, offset, s)
			return
		}
		c.walkLiteral(path, offset, lit, s)
	}
}

func (c *collector) wrongType(path string, offset int, s schema) {
	c.addAt(offset, path, bluebelldoor.WrongType, "expected %s", s.kind)
}

func (c *collector) walkObject(path string, offset int, obj *hujson.Object, s schema) {
	seen := map[string]bool{}
	for _, member := range obj.Members {
		key := member.Name.Value.(hujson.Literal).String()
		field := join(path, key)
		known, ok := s.fields[key]
		switch {
		case seen[key]:
			c.addAt(member.Name.StartOffset, field, bluebelldoor.Duplicate, "duplicate field")
		case !ok:
			c.addAt(member.Name.StartOffset, field, bluebelldoor.UnknownField, "known fields are %s", fieldNames(s.fields))
		default:
			c.walk(field, member.Value, known)
		}
		seen[key] = true
	}
	for _, key := range sortedKeys(s.fields) {
		if s.fields[key].required && !seen[key] {
			c.addAt(offset, join(path, key), bluebelldoor.MissingField, "the field is required")
		}
	}
}

func (c *collector) walkList(path string, offset int, arr *hujson.Array, s schema) {
	n := int64(len(arr.Elements))
	if n < s.min || n > s.max {
		c.addAt(offset, path, bluebelldoor.OutOfRange, "has %d items, must have %d to %d", n, s.min, s.max)
		return
	}
	for i, element := range arr.Elements {
		c.walk(fmt.Sprintf("%s[%d]", path, i), element, *s.item)
	}
}

func (c *collector) walkLiteral(path string, offset int, lit hujson.Literal, s schema) {
	want := hujson.Kind('"')
	switch s.kind {
	case integer, number:
		want = '0'
	case boolean:
		want = 't'
	}
	got := lit.Kind()
	if got == 'f' {
		got = 't'
	}
	if got != want {
		c.wrongType(path, offset, s)
		return
	}
	switch s.kind {
	case integer:
		c.checkInteger(path, offset, lit, s)
	case number:
		c.checkNumber(path, offset, lit, s)
	case boolean:
	case duration:
		c.checkDuration(path, offset, lit.String(), s)
	default:
		c.checkText(path, offset, lit.String(), s)
	}
}

func (c *collector) checkInteger(path string, offset int, lit hujson.Literal, s schema) {
	n, err := strconv.ParseInt(string(lit), 10, 64)
	if err != nil {
		c.wrongType(path, offset, s)
		return
	}
	if n < s.min || n > s.max {
		c.addAt(offset, path, bluebelldoor.OutOfRange, "%d is not within %d to %d", n, s.min, s.max)
	}
}

func (c *collector) checkNumber(path string, offset int, lit hujson.Literal, s schema) {
	f, err := strconv.ParseFloat(string(lit), 64)
	if err != nil {
		c.wrongType(path, offset, s)
		return
	}
	if f < float64(s.min) || f > float64(s.max) {
		c.addAt(offset, path, bluebelldoor.OutOfRange, "%g is not within %d to %d", f, s.min, s.max)
	}
}

func (c *collector) checkDuration(path string, offset int, value string, s schema) {
	d, err := time.ParseDuration(value)
	if err != nil {
		c.addAt(offset, path, bluebelldoor.BadUnit, "%q is not a duration such as \"250ms\", \"3s\" or \"10m\"", value)
		return
	}
	lo, hi := time.Duration(s.min), time.Duration(s.max)
	if d < lo || d > hi {
		c.addAt(offset, path, bluebelldoor.OutOfRange, "%s is not within %s to %s", d, lo, hi)
	}
}

func (c *collector) checkText(path string, offset int, value string, s schema) {
	switch s.kind {
	case name:
		if !namePattern.MatchString(value) {
			c.addAt(offset, path, bluebelldoor.OutOfRange, "%q is not a name of 1 to 64 letters, digits, - or _", value)
		}
	case address:
		if a, err := netip.ParseAddrPort(value); err != nil || a.Port() == 0 {
			c.addAt(offset, path, bluebelldoor.BadAddress, "%q is not an address such as \"10.0.0.1:8100\"", value)
		}
	case digest:
		if b, err := hex.DecodeString(value); err != nil || len(b) != 32 {
			c.addAt(offset, path, bluebelldoor.BadSecret, "the value must be 64 hexadecimal digits")
		}
	}
	if len(s.oneOf) > 0 && !slices.Contains(s.oneOf, value) {
		c.addAt(offset, path, bluebelldoor.OutOfRange, "%q is not one of %v", value, s.oneOf)
	}
	if s.max > 0 && (int64(len(value)) < s.min || int64(len(value)) > s.max) {
		c.addAt(offset, path, bluebelldoor.OutOfRange, "the text has %d bytes, must have %d to %d", len(value), s.min, s.max)
	}
}

// decode validates the text against s and, if there is no finding, decodes it
// into out.
func (c *collector) decode(s schema, out any) error {
	if len(c.text) > maxDocumentBytes {
		c.addAt(0, "", bluebelldoor.DocumentTooLarge, "%d bytes, at most %d are allowed", len(c.text), maxDocumentBytes)
		return c.err()
	}
	value, err := hujson.Parse(slices.Clone(c.text))
	if err != nil {
		c.addAt(syntaxOffset(c.text, err), "", bluebelldoor.Syntax, "%v", err)
		return c.err()
	}
	value.UpdateOffsets()
	c.walk("", value, s)
	if s.allowUnknown {
		c.drop(bluebelldoor.UnknownField)
	}
	if err := c.err(); err != nil {
		return err
	}
	value.Standardize()
	if err := json.Unmarshal(value.Pack(), out); err != nil {
		c.addAt(0, "", bluebelldoor.WrongType, "%v", err)
	}
	return c.err()
}

// syntaxOffset returns the byte offset of a hujson error, which has line and
// column only in its message.
func syntaxOffset(data []byte, err error) int {
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		return 0
	}
	offset := 0
	for ; line > 1 && offset < len(data); offset++ {
		if data[offset] == '\n' {
			line--
		}
	}
	return offset + column - 1
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func sortedKeys(fields map[string]schema) []string {
	keys := make([]string, 0, len(fields))
	for key := range fields {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func fieldNames(fields map[string]schema) string {
	return fmt.Sprint(sortedKeys(fields))
}

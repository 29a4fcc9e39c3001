package parser

import (
	"bytes"
	"fmt"
	"slices"
	"sort"
	"strings"

	"bluebelldoor"
)

// Finding is one fault in a settings file or document.
type Finding struct {
	file   string
	line   int
	column int
	field  string
	code   bluebelldoor.Code
	detail string
}

// Line returns the line of the fault, counted from 1.
func (f Finding) Line() int { return f.line }

// Column returns the column of the fault in bytes, counted from 1.
func (f Finding) Column() int { return f.column }

// Field returns the path of the field, such as targets[3].address.
func (f Finding) Field() string { return f.field }

// Code returns the result code.
func (f Finding) Code() bluebelldoor.Code { return f.code }

// String returns file:line:column, field, code and detail on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s (%d): %s", f.file, f.line, f.column, f.field, f.code, int(f.code), f.detail)
}

// Findings is the error for a text with at least one fault. It is in text order.
type Findings []Finding

// Error implements error with one line per finding.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// collector collects findings and the offsets of fields.
type collector struct {
	file     string
	text     []byte
	findings Findings
	offsets  map[string]int // in bytes, by the path of the field
}

func newCollector(file string, text []byte) *collector {
	return &collector{file: file, text: text, offsets: map[string]int{}}
}

// addAt records a finding at a byte offset.
func (c *collector) addAt(offset int, field string, code bluebelldoor.Code, format string, args ...any) {
	if offset > len(c.text) {
		offset = len(c.text)
	}
	before := c.text[:offset]
	c.findings = append(c.findings, Finding{
		file:   c.file,
		line:   1 + bytes.Count(before, []byte("\n")),
		column: offset - bytes.LastIndexByte(before, '\n'),
		field:  field,
		code:   code,
		detail: fmt.Sprintf(format, args...),
	})
}

// addField records a finding at the offset of a field.
func (c *collector) addField(field string, code bluebelldoor.Code, format string, args ...any) {
	c.addAt(c.offsets[field], field, code, format, args...)
}

// drop removes the findings with a code.
func (c *collector) drop(code bluebelldoor.Code) {
	c.findings = slices.DeleteFunc(c.findings, func(f Finding) bool { return f.code == code })
}

// err returns the findings in text order, nil if there are none.
func (c *collector) err() error {
	if len(c.findings) == 0 {
		return nil
	}
	sort.SliceStable(c.findings, func(i, j int) bool {
		a, b := c.findings[i], c.findings[j]
		return a.line < b.line || a.line == b.line && a.column < b.column
	})
	return c.findings
}

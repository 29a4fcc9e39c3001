// Package explainer reads the logs of several VMs: how requests ended and why, by
// route, and the lines on one request in order.
//
// It decides nothing and asks no VM; logs that were cut short are read as far as
// they go.
package explainer

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bluebelldoor"
)

// maxLine bounds a line of a log.
const maxLine = 1 << 20

// Line is what is read of a line of a log.
type Line struct {
	Time    time.Time `json:"@timestamp"`
	Module  string    `json:"@module"`
	Message string    `json:"@message"`
	ID      string    `json:"id"`
	Route   string    `json:"route"`
	Code    int       `json:"code"`
	Status  int       `json:"status"`
	Target  string    `json:"target"`
	// Text is the whole line.
	Text string `json:"-"`
}

// VM returns the VM that wrote the line.
func (l *Line) VM() string {
	vm, _, _ := strings.Cut(l.Module, ".")
	return vm
}

// request is what the logs say of one request.
type request struct {
	route  string
	vm     string
	at     time.Time // of the last line
	target string
	ended  string // how, empty while no line says so
	code   bluebelldoor.Code
}

// Cause counts the requests of a route that ended in one way.
type Cause struct {
	Route string
	// Ended tells how and why.
	Ended    string
	Requests int
	// Example is the ID of one of them.
	Example string
}

// Explainer keeps what it has read. It is not safe for concurrent use.
type Explainer struct {
	requests map[string]*request
	starts   map[string][]time.Time // by VM
	last     map[string]time.Time   // by VM
	left     map[string]time.Time   // by target: when a VM first heard that it leaves
	skipped  int
}

// New returns an explainer that has read nothing.
func New() *Explainer {
	return &Explainer{
		requests: map[string]*request{},
		starts:   map[string][]time.Time{},
		last:     map[string]time.Time{},
		left:     map[string]time.Time{},
	}
}

// Lines hands each line of a log to each. What stands before the JSON of a line is
// passed over, for collectors put times and names there. It returns how many lines
// hold none.
func Lines(log io.Reader, each func(*Line)) (int, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	skipped := 0
	for scanner.Scan() {
		text := scanner.Bytes()
		line := Line{Text: string(text)}
		if start := bytes.IndexByte(text, '{'); start < 0 || json.Unmarshal(text[start:], &line) != nil {
			skipped++
			continue
		}
		each(&line)
	}
	return skipped, errors.Wrap(scanner.Err(), "read log")
}

// Read takes a log. Logs may be read in any order.
func (e *Explainer) Read(log io.Reader) error {
	skipped, err := Lines(log, e.take)
	e.skipped += skipped
	return err
}

// Skipped returns how many lines could not be read.
func (e *Explainer) Skipped() int { return e.skipped }

func (e *Explainer) take(l *Line) {
	vm := l.VM()
	if l.Time.After(e.last[vm]) {
		e.last[vm] = l.Time
	}
	switch l.Message {
	case "starting":
		e.starts[vm] = append(e.starts[vm], l.Time)
	case "target takes no new work":
		if at, known := e.left[l.Target]; !known || l.Time.Before(at) {
			e.left[l.Target] = l.Time
		}
	}
	if l.ID == "" || vm == l.Module {
		return
	}
	r := e.requests[l.ID]
	if r == nil {
		r = &request{}
		e.requests[l.ID] = r
	}
	r.vm, r.at = vm, l.Time
	r.route = cmp.Or(l.Route, r.route)
	r.target = cmp.Or(l.Target, r.target)
	switch l.Message {
	case "answered":
		r.ended = "whole"
		if l.Status >= 400 {
			r.ended = "the target failed"
		}
	case "refused", "broken off", "caller left":
		r.ended, r.code = l.Message, bluebelldoor.Code(l.Code)
	}
}

// Causes returns how many requests of each route ended in each way, the most first.
func (e *Explainer) Causes() []Cause {
	type key struct{ route, ended string }
	counts := map[key]*Cause{}
	for id, r := range e.requests {
		if r.route == "" && r.ended == "" {
			continue // lines on something that began before the logs
		}
		k := key{r.route, e.ended(r)}
		c := counts[k]
		if c == nil {
			c = &Cause{Route: k.route, Ended: k.ended, Example: id}
			counts[k] = c
		}
		c.Requests++
		c.Example = min(c.Example, id)
	}
	var out []Cause
	for _, c := range counts {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Ended, b.Ended))
	})
	return out
}

// ended returns how a request ended and why.
func (e *Explainer) ended(r *request) string {
	switch {
	case r.ended == "" && e.startedAgain(r):
		return "its VM ended"
	case r.ended == "":
		return "no outcome in the logs"
	case r.ended != "refused" && r.ended != "broken off":
		return r.ended
	}
	text := r.ended + ", " + r.code.String()
	if left, told := e.left[r.target]; r.ended == "broken off" && told && !left.After(r.at) {
		text += ", its target was leaving"
	}
	return text
}

// startedAgain reports whether the VM of a request began anew after its last line,
// or has written nothing since.
func (e *Explainer) startedAgain(r *request) bool {
	for _, at := range e.starts[r.vm] {
		if at.After(r.at) {
			return true
		}
	}
	return !e.last[r.vm].After(r.at)
}

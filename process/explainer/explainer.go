// Package explainer analyses the logs of several VMs: how the requests of each
// route ended and why, and the log lines of a single request.
//
// It works from the logs alone and contacts no VM. Truncated logs are read as far
// as possible.
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

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Line holds the fields of a log line that the analysis uses.
type Line struct {
	Time    time.Time `json:"@timestamp"`
	Module  string    `json:"@module"`
	Message string    `json:"@message"`
	ID      string    `json:"id"`
	Route   string    `json:"route"`
	Code    int       `json:"code"`
	Status  int       `json:"status"`
	Target  string    `json:"target"`
	// Text is the line as read, including any prefix.
	Text string `json:"-"`
}

// VM returns the VM that wrote the line.
func (l *Line) VM() string {
	vm, _, _ := strings.Cut(l.Module, ".")
	return vm
}

// request is the state of a request as far as its log lines show it.
type request struct {
	route      string
	vm         string
	lastLogged time.Time // time of the last line
	target     string
	outcome    string // empty until a line reports it
	code       bluebelldoor.Code
}

// OutcomeCount is the number of requests of a route with one outcome.
type OutcomeCount struct {
	Route string
	// Outcome describes how the requests ended and why.
	Outcome  string
	Requests int
	// ExampleID is the ID of one of the requests.
	ExampleID string
}

// Explainer accumulates the state of requests and VMs from logs. It is not safe
// for concurrent use.
type Explainer struct {
	requests     map[string]*request
	startTimes   map[string][]time.Time // by VM
	lastLogged   map[string]time.Time   // by VM: time of its last line
	leavingSince map[string]time.Time   // by target: when a VM first logged that it takes no new work
	skipped      int
}

// New returns an explainer with no logs read.
func New() *Explainer {
	return &Explainer{
		requests:     map[string]*request{},
		startTimes:   map[string][]time.Time{},
		lastLogged:   map[string]time.Time{},
		leavingSince: map[string]time.Time{},
	}
}

// Lines calls visit for each line of a log. Text before the JSON object of a line
// is ignored, since log collectors put timestamps and names there. It returns the
// number of lines without a valid JSON object.
func Lines(log io.Reader, visit func(*Line)) (int, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	skipped := 0
	for scanner.Scan() {
		text := scanner.Bytes()
		line := Line{Text: string(text)}
		if start := bytes.IndexByte(text, '{'); start < 0 || json.Unmarshal(text[start:], &line) != nil {
			skipped++
			continue
		}
		visit(&line)
	}
	return skipped, errors.Wrap(scanner.Err(), "read log")
}

// Read adds a log to the analysis. Logs may be read in any order.
func (e *Explainer) Read(log io.Reader) error {
	skipped, err := Lines(log, e.addLine)
	e.skipped += skipped
	return err
}

// Skipped returns how many lines had no valid JSON object.
func (e *Explainer) Skipped() int { return e.skipped }

func (e *Explainer) addLine(l *Line) {
	vm := l.VM()
	if l.Time.After(e.lastLogged[vm]) {
		e.lastLogged[vm] = l.Time
	}
	switch l.Message {
	case "starting":
		e.startTimes[vm] = append(e.startTimes[vm], l.Time)
	case "target takes no new work":
		if at, known := e.leavingSince[l.Target]; !known || l.Time.Before(at) {
			e.leavingSince[l.Target] = l.Time
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
	r.vm, r.lastLogged = vm, l.Time
	r.route = cmp.Or(l.Route, r.route)
	r.target = cmp.Or(l.Target, r.target)
	switch l.Message {
	case "answered":
		r.outcome = "whole"
		if l.Status >= 400 {
			r.outcome = "the target failed"
		}
	case "refused", "broken off", "caller left":
		r.outcome, r.code = l.Message, bluebelldoor.Code(l.Code)
	}
}

// Outcomes returns the number of requests by route and outcome, ordered by route
// and then by descending number.
func (e *Explainer) Outcomes() []OutcomeCount {
	type key struct{ route, outcome string }
	counts := map[key]*OutcomeCount{}
	for id, r := range e.requests {
		if r.route == "" && r.outcome == "" {
			continue // the logs begin after its first lines
		}
		k := key{r.route, e.outcome(r)}
		c := counts[k]
		if c == nil {
			c = &OutcomeCount{Route: k.route, Outcome: k.outcome, ExampleID: id}
			counts[k] = c
		}
		c.Requests++
		c.ExampleID = min(c.ExampleID, id)
	}
	var out []OutcomeCount
	for _, c := range counts {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b OutcomeCount) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Outcome, b.Outcome))
	})
	return out
}

// outcome describes how a request ended and why.
func (e *Explainer) outcome(r *request) string {
	switch {
	case r.outcome == "" && e.vmStopped(r):
		return "its VM ended"
	case r.outcome == "":
		return "no outcome in the logs"
	case r.outcome != "refused" && r.outcome != "broken off":
		return r.outcome
	}
	text := r.outcome + ", " + r.code.String()
	if since, known := e.leavingSince[r.target]; r.outcome == "broken off" && known && !since.After(r.lastLogged) {
		text += ", its target was leaving"
	}
	return text
}

// vmStopped reports whether the VM of a request restarted after the request's last
// line, or logged nothing after that line.
func (e *Explainer) vmStopped(r *request) bool {
	for _, at := range e.startTimes[r.vm] {
		if at.After(r.lastLogged) {
			return true
		}
	}
	return !e.lastLogged[r.vm].After(r.lastLogged)
}

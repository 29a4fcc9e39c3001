package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// maxRunTime ends a case that hangs.
const maxRunTime = 110 * time.Second

// caseFunc runs a case and reports whether its rule was broken.
type caseFunc func(e *environment) (broken bool, err error)

var cases = map[string]caseFunc{
	"restored-key": runRestoredKey,
	"late-answer":  runLateAnswer,
	"engine-crash": runEngineCrash,
	"late-drain":   runLateDrain,
}

// environment is what a case runs in.
type environment struct {
	program, template, dir string
	// trouble is not set if the disruption is left out.
	trouble bool
	started time.Time

	mu       sync.Mutex
	record   *bufio.Writer
	cleanups []func()
}

// logf writes a line to the record.
func (e *environment) logf(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.record, "%8.3f s  %s\n", time.Since(e.started).Seconds(), fmt.Sprintf(format, args...))
}

// onExit adds a clean-up function.
func (e *environment) onExit(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cleanups = append(e.cleanups, f)
}

func (e *environment) cleanUp() {
	e.mu.Lock()
	cleanups := e.cleanups
	e.cleanups = nil
	e.mu.Unlock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE PROGRAM TEMPLATE RECORD")
		return statusNotRun
	}
	file, err := os.Create(os.Args[4])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer func() { _ = file.Close() }()
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	e := &environment{
		program: os.Args[2], template: os.Args[3], dir: dir,
		trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: bufio.NewWriter(file),
	}
	status := e.runCase(cases[os.Args[1]])
	e.cleanUp()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir) // a temporary directory
	}
	if err := e.record.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	return status
}

// runCase runs a case and returns its exit status.
func (e *environment) runCase(run caseFunc) int {
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run(e)
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var r result
	select {
	case r = <-done:
	case <-time.After(maxRunTime):
		r.err = errors.New("the case took too long")
	case s := <-signals:
		r.err = errors.Errorf("ended by %s", s)
	}
	switch {
	case r.err != nil:
		e.logf("could not run: %v", r.err)
		fmt.Fprintln(os.Stderr, r.err)
		return statusNotRun
	case r.broken:
		e.logf("result: the rule was broken (trouble: %t)", e.trouble)
		return statusBroken
	}
	e.logf("result: the rule held (trouble: %t)", e.trouble)
	return statusHeld
}

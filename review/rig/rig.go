package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// rig holds the processes and stand-ins of one run.
type rig struct {
	program  string
	template string
	dir      string
	began    time.Time

	mu       sync.Mutex
	file     *os.File
	record   *bufio.Writer
	cleanups []func()
	once     sync.Once
}

// newRig returns a rig and a function that ends everything that it has started.
func newRig(program, template, record string) (*rig, func(), error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, nil, err
	}
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, nil, err
	}
	r := &rig{program: program, template: string(text), dir: dir, began: time.Now(), file: file, record: bufio.NewWriter(file)}
	return r, r.cleanUp, nil
}

func (r *rig) addCleanup(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cleanups = append(r.cleanups, f)
}

func (r *rig) cleanUp() {
	r.once.Do(func() {
		r.mu.Lock()
		cleanups := r.cleanups
		r.mu.Unlock()
		for i := len(cleanups) - 1; i >= 0; i-- {
			cleanups[i]()
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		_ = r.record.Flush()
		_ = r.file.Close()
		_ = os.RemoveAll(r.dir)
	})
}

// at returns the time since the start of the run.
func (r *rig) at() time.Duration { return time.Since(r.began) }

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	now := r.at()
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f s  %s\n", now.Seconds(), fmt.Sprintf(format, args...))
}

// waitFor waits until ready returns true, for at most limit.
func waitFor(what string, limit time.Duration, ready func() bool) error {
	for deadline := time.Now().Add(limit); !ready(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: not within %s", what, limit)
		}
	}
	return nil
}

package harness

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// maxDuration is how long a case may take.
const maxDuration = 116 * time.Second

// Case is one run of a case. It is safe for concurrent use.
type Case struct {
	// Trouble is false if the run leaves the disruption out.
	Trouble bool
	// Program is the path of the built program, and Dir a temporary folder.
	Program, Dir string

	began    time.Time
	mu       sync.Mutex
	record   *bufio.Writer
	cleanups []func()
}

// Run runs a case and exits: with 1 if it reports that the rule was broken, 0 if the rule
// held, and 2 if it could not run. It writes record.txt into the current folder.
func Run(run func(c *Case) (ruleBroken bool, err error)) {
	os.Exit(runCase(run))
}

func runCase(run func(c *Case) (bool, error)) int {
	program, err := filepath.Abs("../../target/bluebelldoor")
	if err != nil {
		return fail(err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return fail(err)
	}
	file, err := os.Create("record.txt")
	if err != nil {
		return fail(err)
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Program: program, Dir: dir, began: time.Now(), record: bufio.NewWriter(file)}
	c.Cleanup(func() { _ = os.RemoveAll(dir) }) // a temporary folder
	defer c.close(file)
	result := make(chan int, 1)
	go func() {
		ruleBroken, err := run(c)
		switch {
		case err != nil:
			c.Record("could not run: %v", err)
			result <- fail(err)
		case ruleBroken:
			result <- broken
		default:
			result <- held
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code := <-result:
		return code
	case <-signals:
		return fail(fmt.Errorf("interrupted"))
	case <-time.After(maxDuration):
		return fail(fmt.Errorf("not done after %s", maxDuration))
	}
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return failed
}

// Cleanup registers a function to call at the end of the run, the last one first.
func (c *Case) Cleanup(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cleanups = append(c.cleanups, f)
}

func (c *Case) close(file *os.File) {
	c.mu.Lock()
	cleanups := c.cleanups
	c.mu.Unlock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.record.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	_ = file.Close()
}

// Record writes a line to record.txt, with the time since the begin of the run.
func (c *Case) Record(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f  %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

// Result writes a line to record.txt and to the standard output.
func (c *Case) Result(format string, args ...any) {
	c.Record(format, args...)
	fmt.Printf(format+"\n", args...)
}

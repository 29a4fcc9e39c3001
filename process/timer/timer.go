// Package timer tells the time by which ages are measured: it goes on while a
// VM is suspended, which the runtime's steady clock does not, and does not
// follow jumps of the time of day.
//
// It is not for timers, which may fire late after a suspension; whoever wakes
// asks for the age before acting.
package timer

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"bluebelldoor"
)

// Boot is the clock that counts from the VM's start (CLOCK_BOOTTIME).
type Boot struct{}

var _ bluebelldoor.Clock = Boot{}

// New returns the VM's clock, or an error where the kernel has none.
func New() (Boot, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return Boot{}, errors.Wrap(err, "read the clock that counts suspension")
	}
	return Boot{}, nil
}

// Now implements bluebelldoor.Clock. It panics if the clock that New has read
// fails: ages can't be told without it.
func (Boot) Now() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		panic("the clock that counts suspension has failed")
	}
	return time.Duration(t.Nano())
}

// Suspended returns how long the VM has been suspended since its start: what
// the runtime's steady clock lacks. Only differences mean something.
func (b Boot) Suspended() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) != nil {
		panic("the steady clock has failed")
	}
	return b.Now() - time.Duration(t.Nano())
}

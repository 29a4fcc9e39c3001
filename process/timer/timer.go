// Package timer provides the clock by which ages are measured. Unlike the Go
// runtime's monotonic clock it advances while a VM is suspended, and it does not
// follow changes of the wall clock.
//
// It provides no timers. Those of the runtime may fire late after a suspension, so
// code that wakes must check ages before it acts.
package timer

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"bluebelldoor"
)

// BootClock is the clock that counts from the VM's boot (CLOCK_BOOTTIME).
type BootClock struct{}

var _ bluebelldoor.Clock = BootClock{}

// New returns the VM's clock, or an error if the kernel does not provide it.
func New() (BootClock, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return BootClock{}, errors.Wrap(err, "read CLOCK_BOOTTIME")
	}
	return BootClock{}, nil
}

// Now implements bluebelldoor.Clock. It panics if the clock can no longer be read:
// without it, ages are unknown.
func (BootClock) Now() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		panic("reading CLOCK_BOOTTIME failed")
	}
	return time.Duration(t.Nano())
}

// Suspended returns how long the VM has been suspended since its boot: the lead of
// CLOCK_BOOTTIME over CLOCK_MONOTONIC. Only differences are meaningful.
func (b BootClock) Suspended() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) != nil {
		panic("reading CLOCK_MONOTONIC failed")
	}
	return b.Now() - time.Duration(t.Nano())
}

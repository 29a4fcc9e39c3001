// Package catcher catches the signals of a process from its first moments. A signal that
// comes before has its default effect, and ends the process.
//
// It imports little, so that it is initialized before the other packages.
package catcher

import (
	"os"
	"os/signal"
	"syscall"
)

// queued is how many signals wait until they are received; further ones are dropped.
const queued = 16

var signals = notify()

func notify() chan os.Signal {
	c := make(chan os.Signal, queued)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return c
}

// Signals returns the channel of the signals that the process has got.
func Signals() <-chan os.Signal { return signals }

// Reset restores the default effect of signals, for programs that do not serve.
func Reset() { signal.Reset(syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP) }

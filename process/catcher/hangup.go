//go:build cgo

package catcher

// A hang-up that comes while the process is loaded tells it to read settings that it has not
// read yet. It is ignored from before the Go runtime starts until notify.

/*
#include <signal.h>

__attribute__((constructor)) static void ignoreHangUp(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"

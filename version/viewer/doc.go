// Package viewer decides which document and which VM list are in force on one
// VM, and until when they may be used.
//
// It is a state machine: its input is evidence with the time at which it was
// requested, its output an immutable View. It reads no clock, does no I/O and is
// independent of how evidence is collected.
package viewer

// Package detector decides whether a target has ended when it has ended a connection, and
// which requests of the VM it had then, at whatever point of their answers.
//
// A connection may end without its target: the target is asked for a sign of life. A target
// that gives one may still have started again in between, which is known once it registers.
package detector

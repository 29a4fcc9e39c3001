// Package ramper decides how many requests at once a target in slow start gets: one
// that has just started, has come back, or has given trouble.
//
// Each VM keeps a credit for each target incarnation, which grows by one for each good
// answer and is halved at trouble. The window of a target is a base plus the credits of
// all VMs. It never grows by elapsed time alone. When it reaches the slots of the
// target, the slow start is over, until the next trouble.
//
// The package does no I/O and reads no clock. It doesn't choose targets and doesn't know
// their load: the caller compares the window with the requests there, and passes what
// peers report. It isn't for targets whose number of slots is unknown.
package ramper

// Package auditor examines a routing before operators publish it: entries that can never be
// used, values that contradict each other, and the differences to the version in force.
//
// It does no I/O, knows no text form of a routing and changes nothing. What a VM does with a
// routing that has findings is not decided here.
package auditor

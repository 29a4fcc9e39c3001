// Package lender is a stand-in of the users' platform for tests: its store,
// which can only be read, and targets that register there, stream, move their
// generations and leave.
//
// It speaks the platform's wire format and keeps no promise beyond that.
package lender

// Package lender is a stand-in for the users' platform in tests: its metadata store,
// which is read-only over HTTP, and targets that register there, stream, move their
// generations and announce that they are leaving.
//
// It implements the platform's wire format and no other guarantees.
package lender

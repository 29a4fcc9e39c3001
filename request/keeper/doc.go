// Package keeper executes calls that must not be repeated at most once, without
// any store that outlives a process.
//
// A minted idempotency key names its home, one incarnation of one VM, and only
// that incarnation may ever send the call. Before sending, the home announces
// the call to a second VM, the witness. If the home dies, the witness can still
// say that a call has not run, provided that it was never announced. The types
// here are plain state machines; callers exchange the messages and send calls.
package keeper

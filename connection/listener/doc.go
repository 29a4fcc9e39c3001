// Package listener serves HTTP to callers and operators: the common JSON
// completions and chat API with server-sent events, and the operators' status
// endpoints. docs/INTERFACE.md describes the wire formats.
//
// It leaves all decisions to a bluebelldoor.Front.
package listener

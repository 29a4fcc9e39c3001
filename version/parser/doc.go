// Package parser validates and parses the settings of a VM and the operators'
// document, both written in JSON with comments.
//
// It reports all findings at once, each with its position, field and result
// code. It does not parse the wire formats of requests, and reads no files.
package parser

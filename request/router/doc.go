// Package router chooses the target of a request from the targets' latest load
// reports and from what this VM has sent them since.
//
// It reads no clock and does no I/O. The admitter decides whether a request may
// start, and in which order waiting requests are routed.
package router

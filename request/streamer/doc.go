// Package streamer serves one generation from arrival to its final response: it
// waits for a target, delivers each token once and in order, resumes after a
// broken connection, and retries on another target only while the caller has
// received no token.
//
// The admitter decides when and where a request starts; package dialer sends it.
package streamer

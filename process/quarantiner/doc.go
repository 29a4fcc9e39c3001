// Package quarantiner keeps requests away from targets that they would crash. What a crash
// accuses are the shared parts of the request's prompt and the request itself, by a digest.
// They are cleared by any answer to a request with them: for a stream, its first event. What
// VMs observe spreads with the gossip.
//
// It does not send requests, does not judge targets, and does not know what a request holds.
package quarantiner

// Package quarantiner keeps requests away from targets that they would crash. A target that
// ends accuses each request that it had, at whatever point of its answer: the shared parts of
// the prompt, and the request itself by a digest. Answers that were complete, and whose
// target lived on, speak for them. A part is quarantined by both counts, ends with it and
// answers with it, unless another part explains these ends. What VMs observe spreads with
// the gossip.
//
// It does not send requests, does not decide whether a target has ended, and does not know
// what a request holds.
package quarantiner

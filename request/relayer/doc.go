// Package relayer takes a request that the system passes on as it is from its
// arrival to its final answer: which route and client account it has, which
// target gets it, whether it may be sent again, and how a stream goes on at
// another engine when its own leaves.
//
// It reads no bodies but the frames of event streams, and knows no names of
// the wire; the codec does.
package relayer

// Package relayer handles a relayed request from its arrival to its final
// response: it finds the route and the client account, chooses a target, decides
// whether the request may be sent again, and continues a stream on another
// engine when the stream's own engine leaves.
//
// It parses no bodies other than the framing of event streams, and knows no
// header names: those belong to the codec.
package relayer

// Package messenger implements the RPCs between the system's processes over
// drpc. Messages are encoded as CBOR and authenticated by an HMAC with the
// fleet's secret, which is verified before a message is decoded.
//
// It holds no state of the fleet; handlers decide on requests.
package messenger

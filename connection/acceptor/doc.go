// Package acceptor is the HTTP/1.1 server for requests that are relayed to
// targets unchanged. It rejects requests whose framing is ambiguous (request
// smuggling), cancels a request's context when the caller disconnects, and ends
// a response such that the caller can tell a truncated one from a complete one.
//
// The system's own API is served by package listener. Routing and admission
// are up to the handler.
package acceptor

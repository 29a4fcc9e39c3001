// Package exchanger is an HTTP/1.1 client with a connection pool that sends
// requests to targets unchanged. Unlike net/http's client it never retries a
// request, and each error tells whether any byte of the request may have been
// sent.
//
// Choosing the target and retrying are up to the caller.
package exchanger

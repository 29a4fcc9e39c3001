// Package acceptor takes callers' HTTP/1.1 connections for requests that the
// system passes on as they are. It refuses messages whose framing two parsers
// could read differently, tells when the caller has left, and lets an answer
// end so that a broken one looks broken.
//
// It is not for the system's own interface, which the listener serves, and
// takes no decision on requests.
package acceptor

// Package exchanger sends requests to targets as they are and reads the
// answers, over HTTP/1.1 connections that it keeps. It knows of each failure
// whether a byte of the request may have left, which the client of a library
// does not tell, and never repeats a request.
//
// It takes no decision on where a request goes or whether it is sent again.
package exchanger

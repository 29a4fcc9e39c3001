// Package bluebelldoor defines the interfaces, result codes and types that all
// packages of the system share.
//
// It does no I/O, starts no goroutine and takes no decision; the packages below
// it do. They are grouped by the lifetime of their state: request, connection,
// version (one document revision) and process.
package bluebelldoor

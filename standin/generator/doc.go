// Package generator is a stand-in for a model engine: it serves the simulation of
// package batcher over HTTP, with server-sent events, delayed load reports,
// resume, cancel, orders with an optional fencing check, and fault injection.
//
// It is for tests and the demonstration and generates no real text.
package generator

// Package batcher simulates a model engine: continuous batching with bounded
// memory for running generations, preemption when memory is full, priorities and
// a cold start.
//
// It does no I/O and reads no clock, so that both a stand-in process and a
// benchmark in virtual time can drive it. It does not reproduce any particular
// engine.
package batcher

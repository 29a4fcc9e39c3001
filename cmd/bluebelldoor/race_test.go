//go:build race

package main_test

var raceFlags = []string{"-race"}

// memoryFactor is how many times the memory of a VM a process takes: the race detector keeps
// a shadow of it.
const memoryFactor = 12

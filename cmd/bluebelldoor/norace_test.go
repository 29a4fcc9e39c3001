//go:build !race

package main_test

var raceFlags []string

// memoryFactor is how many times the memory of a VM a process takes.
const memoryFactor = 1

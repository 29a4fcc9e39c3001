// Package harness runs the cases of the review: it starts VMs of a small deployment as
// separate processes, acts as their platform, and sends requests as their callers.
package harness

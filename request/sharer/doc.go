// Package sharer tracks how much each client account has used lately on this VM and on its
// peers, so that room can be shared by account where it is short. It also bounds how long an
// account can be overtaken by others.
//
// It does no I/O and reads no clock, and limits nobody: the queue that asks it decides only
// the order of those that wait.
package sharer

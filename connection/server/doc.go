// Package server starts and stops HTTP servers with limits common to all
// servers of the system.
//
// Routes and handlers belong to the packages that use it.
package server

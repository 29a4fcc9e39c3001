// Package limiter keeps the limits that targets in need name: the requests per second
// that a target accepts from all VMs together.
package limiter

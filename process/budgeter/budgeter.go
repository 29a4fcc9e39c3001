// Package budgeter limits repeated sends, so that all VMs together stay under a
// share of the requests for a service in any window. Each VM's budget is that share
// of its own requests plus its part of a fixed allowance, so that VMs need not
// coordinate.
package budgeter

import (
	"sync"
	"time"
)

const (
	// bucketsPerWindow is the resolution of the sliding window.
	bucketsPerWindow = 10
	// safetyFactor scales the budget down to allow for requests that the caller
	// abandoned before this VM read them, and for windows that begin within a bucket.
	safetyFactor = 0.8
)

// Settings limit repeated sends.
type Settings struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Ratio is the number of repeated sends allowed per request.
	Ratio float64
	// Allowance is the number of repeated sends per window that all VMs together may
	// make beyond Ratio.
	Allowance float64
}

// Budgeter counts the requests and repeated sends of one VM. It is safe for
// concurrent use.
type Budgeter struct {
	settings Settings
	// earlierUntil is until when an earlier process of the VM may have used the allowance,
	// below 0 if there was none.
	earlierUntil time.Duration
	mu           sync.Mutex
	services     map[string]*serviceCounts
}

type serviceCounts struct {
	bucket   int64
	requests [bucketsPerWindow + 1]int
	repeats  [bucketsPerWindow + 1]int
}

// Option configures a Budgeter.
type Option func(*Budgeter)

// WithEarlierProcess tells that an earlier process of the VM may have used its part of the
// allowance until a time. It is used again once that time has left the window.
func WithEarlierProcess(until time.Duration) Option {
	return func(b *Budgeter) { b.earlierUntil = until }
}

// New returns a budgeter.
func New(s Settings, options ...Option) *Budgeter {
	b := &Budgeter{settings: s, earlierUntil: -1, services: map[string]*serviceCounts{}}
	for _, o := range options {
		o(b)
	}
	return b
}

// allowance returns the allowance of all VMs together that may be used.
func (b *Budgeter) allowance(now time.Duration) float64 {
	if b.earlierUntil >= 0 && now-b.earlierUntil < b.settings.Window {
		return 0
	}
	return b.settings.Allowance
}

// Reload applies changed settings. It resets the counts if the length of the
// window changes.
func (b *Budgeter) Reload(s Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.Window != b.settings.Window {
		b.services = map[string]*serviceCounts{}
	}
	b.settings = s
}

// current returns the counts of a service after clearing the buckets that have left
// the window.
func (b *Budgeter) current(service string, now time.Duration) *serviceCounts {
	c := b.services[service]
	if c == nil {
		c = &serviceCounts{}
		b.services[service] = c
	}
	bucket := int64(now / (b.settings.Window / bucketsPerWindow))
	for step := min(bucket-c.bucket, bucketsPerWindow+1); step > 0; step-- {
		i := (bucket - step + 1) % (bucketsPerWindow + 1)
		c.requests[i], c.repeats[i] = 0, 0
	}
	c.bucket = max(c.bucket, bucket)
	return c
}

// CountRequest counts a caller's request for a service.
func (b *Budgeter) CountRequest(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.current(service, now)
	c.requests[c.bucket%(bucketsPerWindow+1)]++
}

// TryRepeat reports whether the budget allows another repeated send, and counts it if
// so. vmShare is the VM's part of the allowance, kindShare the part of the budget
// that this kind of repeated send may use; both are at most 1.
func (b *Budgeter) TryRepeat(service string, vmShare, kindShare float64, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.current(service, now)
	requests, repeats := 0, 0
	for i := range c.requests {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	allowed := safetyFactor * (b.settings.Ratio*float64(requests) + b.allowance(now)*vmShare)
	if float64(repeats+1) > kindShare*allowed {
		return false
	}
	c.repeats[c.bucket%(bucketsPerWindow+1)]++
	return true
}

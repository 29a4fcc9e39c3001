// Package budgeter holds back repeated sends, so that all VMs together stay
// under a share of the requests for a service in any window. Each VM spends
// its own requests' share and its part of a fixed allowance, so that no word
// between VMs is needed.
package budgeter

import (
	"sync"
	"time"
)

const (
	// buckets is how finely a window is counted.
	buckets = 10
	// safety is taken off the budget: requests that a caller gave up before
	// this VM read them, and windows that begin within a bucket.
	safety = 0.8
)

// Settings bound repeated sends.
type Settings struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Ratio is how many repeated sends are allowed for each request.
	Ratio float64
	// Allowance is how many all VMs together may add to that in a window.
	Allowance float64
}

// Budgeter counts the requests and repeated sends of one VM. It is safe for
// concurrent use.
type Budgeter struct {
	settings Settings
	mu       sync.Mutex
	services map[string]*counts
}

type counts struct {
	bucket   int64
	requests [buckets + 1]int
	repeats  [buckets + 1]int
}

// New returns a budgeter.
func New(s Settings) *Budgeter {
	return &Budgeter{settings: s, services: map[string]*counts{}}
}

// Reload takes changed bounds into force; the counts of a window of another
// length begin anew.
func (b *Budgeter) Reload(s Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.Window != b.settings.Window {
		b.services = map[string]*counts{}
	}
	b.settings = s
}

func (b *Budgeter) counts(service string, now time.Duration) *counts {
	c := b.services[service]
	if c == nil {
		c = &counts{}
		b.services[service] = c
	}
	at := int64(now / (b.settings.Window / buckets))
	for step := min(at-c.bucket, buckets+1); step > 0; step-- {
		i := (at - step + 1) % (buckets + 1)
		c.requests[i], c.repeats[i] = 0, 0
	}
	c.bucket = max(c.bucket, at)
	return c
}

// Request counts a caller's request for a service.
func (b *Budgeter) Request(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(service, now)
	c.requests[c.bucket%(buckets+1)]++
}

// Repeat counts a repeated send and reports whether the budget holds it. own is
// the VM's part of the allowance, kind the part of the budget that this kind of
// repeated send may use up; both are at most 1.
func (b *Budgeter) Repeat(service string, own, kind float64, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(service, now)
	requests, repeats := 0, 0
	for i := range c.requests {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	allowed := safety * (b.settings.Ratio*float64(requests) + b.settings.Allowance*own)
	if float64(repeats+1) > kind*allowed {
		return false
	}
	c.repeats[c.bucket%(buckets+1)]++
	return true
}

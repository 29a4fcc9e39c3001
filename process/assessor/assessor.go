// Package assessor tells what callers' traffic on a VM takes of it, from what is
// counted of that traffic.
//
// The processor time that the process used is no measure of it: that includes what
// VMs tell each other, which grows with the number of VMs that serve.
package assessor

import (
	"math"
	"time"

	"bluebelldoor"
)

const (
	// requestTime and eventTime are the processor time that a request
	// and an event of a stream take, rounded up (docs/CAPACITY.md).
	requestTime = time.Millisecond
	eventTime   = 100 * time.Microsecond
	// halfLife is how fast earlier traffic is forgotten: slower than bursts of some
	// hundred ms, faster than VMs that stand by step in.
	halfLife = time.Second
	// shortest is the least time between two counts that a rate is taken from.
	shortest = 100 * time.Millisecond
	// bitsInByte is for links, whose rate is in bits.
	bitsInByte = 8
)

// Assessor keeps the rate of one VM's traffic. It is not safe for concurrent use.
type Assessor struct {
	cores float64
	// link is what the VM's link carries, in bits a second, 0 if not known.
	link    float64
	at      time.Duration
	counted bluebelldoor.Traffic
	mean    float64
}

// New returns an assessor for a VM of so many cores and a link of so many bits a
// second, 0 if that is not known.
func New(cores, link float64) *Assessor { return &Assessor{cores: cores, link: link} }

// Use returns what callers' traffic took of the VM of late, in cores, from what was
// counted since the process's start up to now. The share of the link that it took
// counts as the same share of the cores, if that is more.
func (a *Assessor) Use(counted bluebelldoor.Traffic, now time.Duration) float64 {
	passed := now - a.at
	switch {
	case a.at == 0:
		a.at, a.counted = now, counted
		return 0
	case passed < shortest:
		return a.mean
	}
	rate := func(now, before uint64) float64 { return float64(now-before) / passed.Seconds() }
	use := rate(counted.Requests, a.counted.Requests)*requestTime.Seconds() +
		rate(counted.Events, a.counted.Events)*eventTime.Seconds()
	if a.link > 0 {
		use = max(use, rate(counted.Bytes, a.counted.Bytes)*bitsInByte/a.link*a.cores)
	}
	kept := math.Exp2(-float64(passed) / float64(halfLife))
	a.mean = kept*a.mean + (1-kept)*use
	a.at, a.counted = now, counted
	return a.mean
}

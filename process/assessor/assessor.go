// Package assessor estimates how much of a VM's capacity callers' traffic uses, from
// counts of that traffic.
//
// The CPU time of the process is not used: it includes the messages between VMs,
// which grow with the number of hubs.
package assessor

import (
	"math"
	"time"

	"bluebelldoor"
)

const (
	// requestCPUTime and eventCPUTime are the CPU time per request and per stream
	// event, rounded up (docs/CAPACITY.md).
	requestCPUTime = time.Millisecond
	eventCPUTime   = 100 * time.Microsecond
	// averageHalfLife is the half-life of the moving average: longer than bursts of
	// a few hundred ms, shorter than the time in which standbys become hubs.
	averageHalfLife = time.Second
	// minInterval is the shortest interval over which a rate is computed.
	minInterval = 100 * time.Millisecond
	bitsPerByte = 8
)

// Assessor keeps the moving average of one VM's use by callers' traffic. It is not
// safe for concurrent use.
type Assessor struct {
	cores float64
	// linkBitsPerSecond is the bandwidth of the VM's link, 0 if not known.
	linkBitsPerSecond float64
	countedAt         time.Duration
	counted           bluebelldoor.Traffic
	average           float64
}

// New returns an assessor for a VM. linkBitsPerSecond is 0 if it is not known.
func New(cores, linkBitsPerSecond float64) *Assessor {
	return &Assessor{cores: cores, linkBitsPerSecond: linkBitsPerSecond}
}

// Update returns the VM's recent use by callers' traffic, in cores. counted holds the
// totals since the process started. If traffic takes a larger share of the link than
// of the cores, the share of the link counts.
func (a *Assessor) Update(counted bluebelldoor.Traffic, now time.Duration) float64 {
	elapsed := now - a.countedAt
	switch {
	case a.countedAt == 0:
		a.countedAt, a.counted = now, counted
		return 0
	case elapsed < minInterval:
		return a.average
	}
	rate := func(now, before uint64) float64 { return float64(now-before) / elapsed.Seconds() }
	use := rate(counted.Requests, a.counted.Requests)*requestCPUTime.Seconds() +
		rate(counted.Events, a.counted.Events)*eventCPUTime.Seconds()
	if a.linkBitsPerSecond > 0 {
		use = max(use, rate(counted.Bytes, a.counted.Bytes)*bitsPerByte/a.linkBitsPerSecond*a.cores)
	}
	kept := math.Exp2(-float64(elapsed) / float64(averageHalfLife))
	a.average = kept*a.average + (1-kept)*use
	a.countedAt, a.counted = now, counted
	return a.average
}

package placer

import (
	"math"
	"slices"
	"time"
)

const (
	// departureWindow is for how long departures from the queue count.
	departureWindow = 5 * time.Second
	// maxDepartures bounds the departures and the promised returns that are kept.
	maxDepartures = 1024
	// minObservedTime is for how long generations must have waited without a break before the
	// departures tell how long others will wait.
	minObservedTime = time.Second
	// rateDeviations is by how many standard deviations the rate of departures is assumed to
	// be higher than observed, before a generation is refused at once.
	rateDeviations = 2
	// minExpectedRetryDelay is the shortest delay of a caller for which no room was found.
	minExpectedRetryDelay = 500 * time.Millisecond
	// retrySpread is the share of a delay by which it varies at random, to either side.
	retrySpread = 0.2
)

// Departures tracks how fast generations leave a queue for targets while some wait, and when
// refused callers were told to return. While none waits, it tells nothing: there is room. The
// zero value is ready to use. It is not safe for concurrent use.
type Departures struct {
	waiting bool
	// since is when generations began to wait, later by the time for which none waited because
	// all had been refused. pausedAt is when that began.
	since, pausedAt time.Duration
	paused          bool
	times           []time.Duration
	returns         []time.Duration
}

// RecordWaiting records that generations wait although all targets were tried at now.
func (d *Departures) RecordWaiting(now time.Duration) {
	switch {
	case !d.waiting:
		d.waiting, d.since = true, now
		d.times = d.times[:0]
	case d.paused:
		gap := now - d.pausedAt
		d.since += gap
		for i := range d.times {
			d.times[i] += gap
		}
	}
	d.paused = false
}

// RecordPlaced records that a generation got a target at now. One that didn't wait shows that
// there is room again.
func (d *Departures) RecordPlaced(now time.Duration) {
	if d.paused {
		d.waiting, d.paused = false, false
	}
	if !d.waiting {
		return
	}
	d.times = append(d.times, now)
	d.times = slices.Delete(d.times, 0, max(0, len(d.times)-maxDepartures))
}

// RecordEmpty records that none waits any more: the last one was placed, or was refused or
// left, which tells nothing of room.
func (d *Departures) RecordEmpty(placed bool, now time.Duration) {
	switch {
	case !d.waiting || d.paused:
	case placed:
		d.waiting = false
	default:
		d.paused, d.pausedAt = true, now
	}
}

// observed returns how many generations left the queue, and in what time.
func (d *Departures) observed(now time.Duration) (int, time.Duration) {
	if !d.waiting {
		return 0, 0
	}
	if d.paused {
		now = d.pausedAt
	}
	over := min(now-d.since, departureWindow)
	n := 0
	for _, at := range d.times {
		if now-at <= over {
			n++
		}
	}
	return n, over
}

// MinWait returns the time for which a generation with others ahead of it waits at least,
// 0 if nothing is known.
func (d *Departures) MinWait(ahead int, now time.Duration) time.Duration {
	n, over := d.observed(now)
	if over < minObservedTime || ahead == 0 {
		return 0
	}
	highest := float64(n) + rateDeviations*math.Sqrt(float64(n)) + rateDeviations
	return time.Duration(float64(ahead) / highest * float64(over))
}

// RetryDelay returns the delay after which a refused caller may return, when others wait: by
// then these, and the callers that were told to return before, are likely to have room. It
// varies at random, so that callers don't return all at once, and is at most that of
// RetryDelay. random returns numbers from 0 to 1.
func (d *Departures) RetryDelay(waiting int, remaining, objective, now time.Duration, random func() float64) time.Duration {
	d.returns = slices.DeleteFunc(d.returns, func(at time.Duration) bool { return at <= now })
	latest := RetryDelay(remaining, objective, random)
	n, over := d.observed(now)
	if over < minObservedTime {
		return latest
	}
	expected := float64(waiting+len(d.returns)+1) / (float64(n) + 0.5) * float64(over)
	spread := 1 + retrySpread*(2*random()-1)
	delay := max(minExpectedRetryDelay, time.Duration(min(expected, float64(maxRetryDelay))*spread))
	if delay >= latest {
		delay = latest
	}
	if delay == latest && latest < minRetryDelay {
		// The limit is the caller's remaining time, which many have in common.
		delay = time.Duration(float64(latest) * (1 - retrySpread*random()))
	}
	if len(d.returns) < maxDepartures {
		d.returns = append(d.returns, now+delay)
	}
	return delay
}

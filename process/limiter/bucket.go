package limiter

import "time"

const (
	// minPerSecond is the lowest rate of permits. Only responses show that a limit has
	// ended, so a target that accepts nothing is still asked now and then.
	minPerSecond = 0.2
	// maxBurst bounds the permits that accrue while none are requested: one, and one
	// more for rates of at least 2 a second. Two VMs that both grant for a while stay
	// within half of the limit, and five requests, beyond it.
	maxBurst = 2
	// maxPromise bounds for how long a VM that gets no permit does not ask again.
	maxPromise = 2 * time.Second
	// minToken is a token less the error of floating-point sums.
	minToken = 1 - 1e-9
)

// bucket is a token bucket. It starts empty: another VM may just have granted permits
// for the same target.
type bucket struct {
	tokens    float64
	updatedAt time.Duration
	// promised is the latest time at which a VM was told to ask again.
	promised time.Duration
}

func newBucket(now time.Duration) *bucket { return &bucket{updatedAt: now} }

// burst returns the most tokens that a bucket of this rate holds.
func burst(perSecond float64) float64 { return 1 + min(maxBurst-1, perSecond/2) }

// rateOf returns the rate of permits for a fraction of a limit.
func rateOf(limit, fraction float64) float64 { return max(limit, minPerSecond) * fraction }

// take takes a token if there is one. If there is none, it returns after what time to ask
// again: each VM that asks is told a different time, so that they take turns.
func (b *bucket) take(perSecond float64, now time.Duration) (bool, time.Duration) {
	b.tokens = min(burst(perSecond), b.tokens+perSecond*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens >= minToken {
		b.tokens = max(0, b.tokens-1)
		return true, 0
	}
	interval := min(maxPromise.Seconds(), 1/perSecond)
	next := now + time.Duration((1-b.tokens)*interval*float64(time.Second))
	b.promised = min(max(next, b.promised+time.Duration(interval*float64(time.Second))), now+maxPromise)
	return false, b.promised - now
}

// retryMs returns a time in milliseconds, rounded up: a VM that asks too early is told to
// wait for another turn.
func retryMs(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

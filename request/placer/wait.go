package placer

import "time"

const (
	// waitShare is the share of its maximum start delay that a generation waits
	// for room; the rest is for engines that are slower than estimated.
	waitShare = 0.5
	// minRetryDelay and maxRetryDelay bound when refused callers return: after most
	// of the running generations have ended, and spread out so that callers don't
	// return all at once.
	minRetryDelay = 8 * time.Second
	maxRetryDelay = 13 * time.Second
	// minStartMargin is the part of an urgent generation's objective that is left for a
	// target that is slower than estimated.
	minStartMargin = 400 * time.Millisecond
	// maxRetryShare is the share of a caller's remaining time that it waits at
	// most.
	maxRetryShare = 1.0 / 3
)

// MaxStartDelay returns how long after its arrival a generation can be sent and
// still begin within objective.
func MaxStartDelay(objective time.Duration, prompt int) time.Duration {
	return objective - maxPrefillBacklog - PrefillTime(prompt)
}

// MaxQueueTime returns how long a generation waits for room before its caller is
// refused. If it waited longer, it would begin late and take the room of one that
// arrives now.
func MaxQueueTime(objective time.Duration, prompt int) time.Duration {
	return max(0, time.Duration(waitShare*float64(MaxStartDelay(objective, prompt))))
}

// MaxUrgentQueueTime returns how long an urgent generation waits for room before its caller is
// refused: as long as it can begin in time. Its prompt takes longer to read the larger it is,
// but not its wait for memory.
func MaxUrgentQueueTime(objective time.Duration, prompt int) time.Duration {
	return max(0, objective-minStartMargin-PrefillTime(prompt))
}

// RetryDelay returns the delay after which a caller that was refused for want of
// room may retry: early enough for another attempt that begins within the
// objective. If the time remaining until the deadline is too short for that, it
// is the time by which engines are expected to have room. random returns numbers
// from 0 to 1.
func RetryDelay(remaining, objective time.Duration, random func() float64) time.Duration {
	delay := minRetryDelay + time.Duration(random()*float64(maxRetryDelay-minRetryDelay))
	if sooner := time.Duration(float64(remaining) * maxRetryShare); remaining-sooner > objective {
		delay = min(delay, sooner)
	}
	return delay
}

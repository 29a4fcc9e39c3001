package placer

import "time"

const (
	// waitShare is the part of the time until InTime that a generation waits for
	// room; the rest is for engines that take longer than is reckoned.
	waitShare = 0.5
	// soonestReturn and latestReturn are when callers that were refused come
	// back: when most of the generations that run now have ended, and spread
	// so that they do not come at once.
	soonestReturn = 8 * time.Second
	latestReturn  = 13 * time.Second
	// returnPart is the part of the time left that callers wait at most.
	returnPart = 1.0 / 3
)

// InTime returns until when a generation must be sent to begin by objective.
func InTime(objective time.Duration, prompt int) time.Duration {
	return objective - queueTime - ReadTime(prompt)
}

// WaitTime returns how long a generation waits for room before its caller is
// refused. Beyond it the generation would begin late, and take the room of one
// that comes now.
func WaitTime(objective time.Duration, prompt int) time.Duration {
	return max(0, time.Duration(waitShare*float64(InTime(objective, prompt))))
}

// ComeBack returns when a caller that is refused for want of room, and has so
// much time left, may come back: in time for another try that begins within the
// objective. One that has not the time for that is told when engines have room.
// random returns numbers from 0 to 1.
func ComeBack(left, objective time.Duration, random func() float64) time.Duration {
	d := soonestReturn + time.Duration(random()*float64(latestReturn-soonestReturn))
	if sooner := time.Duration(float64(left) * returnPart); left-sooner > objective {
		d = min(d, sooner)
	}
	return d
}

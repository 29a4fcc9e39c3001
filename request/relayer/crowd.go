package relayer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bluebelldoor"
	"bluebelldoor/request/placer"
)

const (
	// soonestReturn and latestReturn are when callers that were refused come
	// back: when most of the generations that run now have ended, and spread
	// so that they do not come at once.
	soonestReturn = 8 * time.Second
	latestReturn  = 13 * time.Second
	// returnPart is the part of the time left that callers wait at most.
	returnPart = 1.0 / 3
	// firstAttempt is how close to the route's timeout the caller's time is in
	// its first attempt; one that comes back has less.
	firstAttempt = 900 * time.Millisecond
	// longTokens is how many expected tokens make a generation that holds its
	// memory for seconds; shorter ones make room again soon.
	longTokens = 150
)

// crowded refuses a generation that no engine could begin in time, so that
// those which run are not slowed and the caller comes back when there is room.
// One that has come back is not refused again.
func (j *job) crowded(best placer.Choice) *bluebelldoor.Refusal {
	if j.service.Engine == nil || !j.route.Generates || j.runs > 0 || j.returning() || j.expected() < longTokens {
		return nil
	}
	wait, crowded := best.Crowded(j.route.Objective)
	if !crowded {
		return nil
	}
	detail := fmt.Sprintf("the emptiest engine would need %.2f of its memory and has %s of prompts to read", best.Share, wait.Round(time.Millisecond))
	return bluebelldoor.Refuse(bluebelldoor.EnginesCrowded, detail).WithRetryAfter(j.comeLater())
}

// returning reports whether the caller has been refused before.
func (j *job) returning() bool {
	return j.request.Within > 0 && j.route.Timeout > 0 && j.request.Within < j.route.Timeout-firstAttempt
}

// comeLater returns when a refused caller may come back.
func (j *job) comeLater() time.Duration {
	d := soonestReturn + time.Duration(rand.Int64N(int64(latestReturn-soonestReturn)))
	if left := j.left(); left > 0 {
		d = min(d, time.Duration(float64(left)*returnPart))
	}
	return d
}

package registrar

import (
	"time"

	"bluebelldoor"
)

const (
	// leftFor is how long it is kept that the start of a target leaves: longer
	// than any target takes to leave.
	leftFor = time.Hour
	// leftTold is how long peers are told of it, some rounds of all VMs, and
	// maxLeftTold how many are told at once.
	leftTold    = 3 * time.Second
	maxLeftTold = 32
)

// leaves takes a target's own word that it leaves, heard at now, and reports
// whether it is news.
func (b *book) leaves(start bluebelldoor.TargetStart, now time.Duration) bool {
	if _, known := b.left[start]; known {
		return false
	}
	b.forgetLeft(now)
	b.left[start] = now
	for key, t := range b.targets {
		if t.Start() != start || t.Leaving {
			continue
		}
		leaving := *t.Instance
		leaving.Leaving = true
		b.targets[key] = &Target{Instance: &leaving, ColdUntil: t.ColdUntil, Lapsed: t.Lapsed, LeavingSince: b.proved}
		b.notify(b.targets[key], "says that it leaves")
	}
	return true
}

// forgetLeft drops starts of targets that have ended long ago.
func (b *book) forgetLeft(now time.Duration) {
	for start, heard := range b.left {
		if now-heard > leftFor {
			delete(b.left, start)
		}
	}
}

// leftLately returns the starts that said so of late, for peers.
func (b *book) leftLately(now time.Duration) []bluebelldoor.TargetStart {
	var out []bluebelldoor.TargetStart
	for start, heard := range b.left {
		if now-heard <= leftTold && len(out) < maxLeftTold {
			out = append(out, start)
		}
	}
	return out
}

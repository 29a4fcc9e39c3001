package registrar

import (
	"time"

	"bluebelldoor"
)

const (
	// leaveNoticeRetention exceeds the time from any target's notice to its end.
	leaveNoticeRetention = time.Hour
	// leaveNoticeGossipFor is how long a notice is sent to peers: several gossip
	// rounds of all VMs.
	leaveNoticeGossipFor = 3 * time.Second
	// maxGossipedLeaveNotices bounds the notices in one message.
	maxGossipedLeaveNotices = 32
)

// markLeaving records that an incarnation of a target has announced that it is
// leaving, and reports whether that is new.
func (s *state) markLeaving(incarnation bluebelldoor.TargetIncarnation, now time.Duration) bool {
	if _, known := s.leaveNotices[incarnation]; known {
		return false
	}
	s.pruneLeaveNotices(now)
	s.leaveNotices[incarnation] = now
	for key, t := range s.targets {
		if t.Incarnation() != incarnation || t.Leaving {
			continue
		}
		leaving := *t.Instance
		leaving.Leaving = true
		s.targets[key] = &Target{Instance: &leaving, ColdUntil: t.ColdUntil, Lapsed: t.Lapsed, LeavingSince: s.verifiedAt}
		s.addClosed(s.targets[key], "says that it leaves")
	}
	return true
}

func (s *state) pruneLeaveNotices(now time.Duration) {
	for incarnation, noticedAt := range s.leaveNotices {
		if now-noticedAt > leaveNoticeRetention {
			delete(s.leaveNotices, incarnation)
		}
	}
}

// recentLeaveNotices returns the notices to send to peers.
func (s *state) recentLeaveNotices(now time.Duration) []bluebelldoor.TargetIncarnation {
	var out []bluebelldoor.TargetIncarnation
	for incarnation, noticedAt := range s.leaveNotices {
		if now-noticedAt <= leaveNoticeGossipFor && len(out) < maxGossipedLeaveNotices {
			out = append(out, incarnation)
		}
	}
	return out
}

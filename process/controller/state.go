package controller

import (
	"time"

	"bluebelldoor"
	"bluebelldoor/request/router"
	"bluebelldoor/version/viewer"
)

// controlStopped is how long the control goroutine may be silent before no new
// work is sent under what it published last.
const controlStopped = time.Second

// Peer is what this VM last heard of another one.
type Peer struct {
	Answered time.Time
	Draining bool
}

// State is what the control goroutine last published. It is immutable.
type State struct {
	view     *viewer.View
	table    *router.Table
	peers    map[string]Peer
	at       time.Time
	ready    bool
	draining bool
	rejected rejection
	// suspension is what suspended returned when the state was published.
	suspension time.Duration
	suspended  func() time.Duration
}

// View returns the view in force.
func (s *State) View() *viewer.View { return s.view }

// Table returns the routing table.
func (s *State) Table() *router.Table { return s.table }

// At returns when the state was published.
func (s *State) At() time.Time { return s.at }

// Draining reports whether this VM is leaving.
func (s *State) Draining() bool { return s.draining }

// Rejected returns why the newest document was refused, "" if it was not.
func (s *State) Rejected() string { return s.rejected.reason }

func (s *State) rejectedRevision() uint64 { return s.rejected.revision }

// Alive reports whether a VM answered not long ago and is not leaving.
func (s *State) Alive(name string, now time.Time) bool {
	p, ok := s.peers[name]
	return ok && !p.Draining && now.Sub(p.Answered) <= peerSilent
}

// Fresh returns nil if new work may be taken under this state at now.
func (s *State) Fresh(now time.Time) *bluebelldoor.Refusal {
	if refusal := s.view.Fresh(now); refusal != nil {
		return refusal
	}
	if slept := s.suspended() - s.suspension; slept > suspendedNoted {
		return bluebelldoor.Refuse(bluebelldoor.ViewStale, "this VM was suspended for "+slept.String()).WithRetryAfter(controlStopped)
	}
	if !s.ready {
		return bluebelldoor.Refuse(bluebelldoor.ViewStale, "the targets have not been asked yet").WithRetryAfter(controlStopped)
	}
	if silent := now.Sub(s.at); silent > controlStopped {
		return bluebelldoor.Refuse(bluebelldoor.ViewStale, "the control loop was silent for "+silent.String()).WithRetryAfter(controlStopped)
	}
	return nil
}

// MaySend is the last check before new work leaves for a target.
func (s *State) MaySend(target string, now time.Time) *bluebelldoor.Refusal {
	if refusal := s.Fresh(now); refusal != nil {
		return refusal
	}
	if refusal := s.view.MaySend(target, now); refusal != nil {
		return refusal
	}
	if c := s.table.Candidate(target); c == nil || c.Report.Leaving {
		return bluebelldoor.Refuse(bluebelldoor.NoTarget, "target "+target+" reports that it is leaving")
	}
	return nil
}

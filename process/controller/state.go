package controller

import (
	"time"

	"bluebelldoor"
	"bluebelldoor/request/router"
	"bluebelldoor/version/viewer"
)

// controlLoopTimeout is the age at which the last published state becomes too old
// for new work to be sent under it.
const controlLoopTimeout = time.Second

// Peer is the last known state of another VM.
type Peer struct {
	AnsweredAt time.Time
	Draining   bool
}

// State is a snapshot of the control state. It is immutable.
type State struct {
	view        *viewer.View
	table       *router.Table
	peers       map[string]Peer
	publishedAt time.Time
	ready       bool
	draining    bool
	rejected    rejection
	// suspendedAtPublish is the result of suspended when the state was published.
	suspendedAtPublish time.Duration
	suspended          func() time.Duration
}

// View returns the view in force.
func (s *State) View() *viewer.View { return s.view }

// Table returns the routing table.
func (s *State) Table() *router.Table { return s.table }

// PublishedAt returns when the state was published.
func (s *State) PublishedAt() time.Time { return s.publishedAt }

// Draining reports whether this VM is leaving.
func (s *State) Draining() bool { return s.draining }

// RejectionReason returns why the newest document was refused, or "" if it was not.
func (s *State) RejectionReason() string { return s.rejected.reason }

func (s *State) rejectedRevision() uint64 { return s.rejected.revision }

// Alive reports whether a VM answered within peerAliveTimeout and is not leaving.
func (s *State) Alive(name string, now time.Time) bool {
	p, ok := s.peers[name]
	return ok && !p.Draining && now.Sub(p.AnsweredAt) <= peerAliveTimeout
}

// CheckFresh returns nil if new work may be taken under this state at the given time.
func (s *State) CheckFresh(now time.Time) *bluebelldoor.Refusal {
	if refusal := s.view.CheckFresh(now); refusal != nil {
		return refusal
	}
	if suspendedFor := s.suspended() - s.suspendedAtPublish; suspendedFor > suspensionThreshold {
		return bluebelldoor.NewRefusal(bluebelldoor.ViewStale, "this VM was suspended for "+suspendedFor.String()).WithRetryAfter(controlLoopTimeout)
	}
	if !s.ready {
		return bluebelldoor.NewRefusal(bluebelldoor.ViewStale, "not every target has been polled yet").WithRetryAfter(controlLoopTimeout)
	}
	if age := now.Sub(s.publishedAt); age > controlLoopTimeout {
		return bluebelldoor.NewRefusal(bluebelldoor.ViewStale, "the control loop has not run for "+age.String()).WithRetryAfter(controlLoopTimeout)
	}
	return nil
}

// CheckSend is the last check before new work is sent to a target. It returns nil
// if the work may be sent.
func (s *State) CheckSend(target string, now time.Time) *bluebelldoor.Refusal {
	if refusal := s.CheckFresh(now); refusal != nil {
		return refusal
	}
	if refusal := s.view.CheckSend(target, now); refusal != nil {
		return refusal
	}
	if c := s.table.Candidate(target); c == nil || c.Report.Leaving {
		return bluebelldoor.NewRefusal(bluebelldoor.NoTarget, "target "+target+" reports that it is leaving")
	}
	return nil
}

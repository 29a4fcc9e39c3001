package relayer

import (
	"github.com/qmuntal/stateless"
)

// moveState is how far a move has come.
type moveState string

// The states of a move. Copied, kept, failed and dropped are its ends.
const (
	queued   moveState = "queued"   // waits for its turn
	copying  moveState = "copying"  // the generation runs, and is copied
	stopping moveState = "stopping" // the generation stops, and the rest is copied
	copied   moveState = "copied"   // goes on at the destination
	kept     moveState = "kept"     // stopped, and goes on at the source
	failed   moveState = "failed"   // no copy
	dropped  moveState = "dropped"  // the stream ended by itself
)

// moveStep is what takes a move from one state to the next.
type moveStep string

// The steps of a move.
const (
	turnCame      moveStep = "turnCame"
	firstCopied   moveStep = "firstCopied"
	firstFailed   moveStep = "firstFailed"
	noDestination moveStep = "noDestination"
	lastCopied    moveStep = "lastCopied"
	lastFailed    moveStep = "lastFailed"
	keptAtSource  moveStep = "keptAtSource"
	streamEnded   moveStep = "streamEnded"
)

// life is the life cycle of one move. It belongs to the goroutine that moves.
type life struct {
	job     *job
	machine *stateless.StateMachine
}

func newMoveMachine() *stateless.StateMachine {
	m := stateless.NewStateMachine(queued)
	m.Configure(queued).Permit(turnCame, copying)
	m.Configure(copying).
		Permit(firstCopied, stopping).
		PermitReentry(firstFailed).
		Permit(noDestination, failed).
		Permit(streamEnded, dropped)
	m.Configure(stopping).
		Permit(lastCopied, copied).
		Permit(keptAtSource, kept).
		Permit(lastFailed, failed)
	return m
}

func (j *job) newLife() *life { return &life{job: j, machine: newMoveMachine()} }

// step takes the move on and counts the state that it ends in.
func (l *life) step(s moveStep) {
	if err := l.machine.Fire(s); err != nil {
		l.job.log.Error("move out of step", "id", l.job.request.ID, "step", string(s), "error", err)
		return
	}
	if l.over() {
		l.job.Metrics.Moved(string(l.machine.MustState().(moveState)))
	}
}

// over reports whether the move has ended.
func (l *life) over() bool {
	switch l.machine.MustState().(moveState) {
	case copied, kept, failed, dropped:
		return true
	}
	return false
}

package relayer

import (
	"github.com/qmuntal/stateless"
)

// moveState is the state of a move.
type moveState string

// The states of a move. stateCopied, stateKept, stateFailed and stateDropped are
// final.
const (
	stateQueued   moveState = "queued"   // waits for its turn to copy
	stateCopying  moveState = "copying"  // first copy, while the generation runs
	stateStopping moveState = "stopping" // last copy, after the generation has stopped
	stateCopied   moveState = "copied"   // continues at the destination
	stateKept     moveState = "kept"     // stopped, continues at the source
	stateFailed   moveState = "failed"   // not copied
	stateDropped  moveState = "dropped"  // the stream ended before the last copy
)

// moveTrigger is an event that changes the state of a move.
type moveTrigger string

// The triggers of a move.
const (
	turnGranted     moveTrigger = "turnCame"
	firstCopyDone   moveTrigger = "firstCopied"
	firstCopyFailed moveTrigger = "firstFailed"
	noDestination   moveTrigger = "noDestination"
	lastCopyDone    moveTrigger = "lastCopied"
	lastCopyFailed  moveTrigger = "lastFailed"
	keptAtSource    moveTrigger = "keptAtSource"
	streamEnded     moveTrigger = "streamEnded"
)

// moveLifecycle tracks the state of one move. Only the goroutine that runs the
// move may use it.
type moveLifecycle struct {
	job     *job
	machine *stateless.StateMachine
}

func newMoveMachine() *stateless.StateMachine {
	m := stateless.NewStateMachine(stateQueued)
	m.Configure(stateQueued).Permit(turnGranted, stateCopying)
	m.Configure(stateCopying).
		Permit(firstCopyDone, stateStopping).
		PermitReentry(firstCopyFailed).
		Permit(noDestination, stateFailed).
		Permit(streamEnded, stateDropped)
	m.Configure(stateStopping).
		Permit(lastCopyDone, stateCopied).
		Permit(keptAtSource, stateKept).
		Permit(lastCopyFailed, stateFailed)
	return m
}

func (j *job) newLifecycle() *moveLifecycle {
	return &moveLifecycle{job: j, machine: newMoveMachine()}
}

// fire applies a trigger, and counts the move once it has reached a final state.
func (l *moveLifecycle) fire(trigger moveTrigger) {
	if err := l.machine.Fire(trigger); err != nil {
		l.job.log.Error("invalid transition of a move", "id", l.job.request.ID, "step", string(trigger), "error", err)
		return
	}
	if l.ended() {
		l.job.Metrics.CountMoveStep(string(l.machine.MustState().(moveState)))
	}
}

// ended reports whether the move is in a final state.
func (l *moveLifecycle) ended() bool {
	switch l.machine.MustState().(moveState) {
	case stateCopied, stateKept, stateFailed, stateDropped:
		return true
	}
	return false
}

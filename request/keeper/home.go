package keeper

import (
	"context"
	"time"

	"github.com/qmuntal/stateless"

	"bluebelldoor"
)

// State is the state of a key at its home.
type State string

// The states of a key at its home. The call of a dead key has not run and never
// will. A call that was sent ends as Answered or Unknown, or as Dead if it is
// known not to have run.
const (
	Minted     State = "minted"
	Announcing State = "announcing"
	Sending    State = "sending"
	Answered   State = "answered"
	Unknown    State = "unknown"
	Dead       State = "dead"
)

type trigger string

const (
	begin    trigger = "begin"
	confirm  trigger = "confirm"
	giveUp   trigger = "giveUp"
	complete trigger = "complete"
	lose     trigger = "lose"
)

// maxRecords bounds the memory of a home; at the limit no key is minted.
const maxRecords = 100_000

// Step is what the caller of Home must do next.
type Step int

// The steps. Only Announce and Send start work; each is returned once per key.
const (
	// Announce: announce the call to the witness, then call
	// RecordConfirmation.
	Announce Step = iota + 1
	// Send: send the call, then call Finish.
	Send
	// Wait: wait for the outcome of the attempt in progress.
	Wait
	// Reply: return the outcome to the client.
	Reply
)

// Outcome is how a call ended.
type Outcome struct {
	Answer  bluebelldoor.Answer
	Refusal *bluebelldoor.Refusal
}

type record struct {
	machine     *stateless.StateMachine
	fingerprint string
	outcome     Outcome
	done        chan struct{}
	expires     time.Duration
}

// Home holds the state of the keys minted by one incarnation of one VM. It is
// not safe for concurrent use. Times are durations since the process started.
type Home struct {
	name        string
	incarnation string
	records     map[string]*record
}

// NewHome returns the home for one incarnation of a VM.
func NewHome(name, incarnation string) *Home {
	return &Home{name: name, incarnation: incarnation, records: map[string]*record{}}
}

func newMachine() *stateless.StateMachine {
	m := stateless.NewStateMachine(Minted)
	m.Configure(Minted).Permit(begin, Announcing).Permit(giveUp, Dead)
	m.Configure(Announcing).Permit(confirm, Sending).Permit(giveUp, Dead)
	m.Configure(Sending).Permit(complete, Answered).Permit(lose, Unknown).Permit(giveUp, Dead)
	return m
}

// Full reports whether the limit of keys is reached and no more may be minted.
func (h *Home) Full() bool { return len(h.records) >= maxRecords }

// Owns reports whether only this process may send the key's call.
func (h *Home) Owns(k Key) bool {
	return k.Home == h.name && k.HomeIncarnation == h.incarnation
}

// Begin starts a call, or joins the call in progress with the same key. The
// fingerprint distinguishes different requests that reuse a key. The channel is
// closed when the outcome is final.
func (h *Home) Begin(k Key, fingerprint string, now time.Duration) (Step, Outcome, <-chan struct{}) {
	r := h.records[k.Nonce]
	if r == nil {
		if now.Milliseconds() >= k.ExpiresMs {
			// The call may have run and its record may have been removed since.
			return Reply, refused(bluebelldoor.KeyExpired, bluebelldoor.ExecutedUnknown, "the key has expired"), nil
		}
		r = &record{
			machine:     newMachine(),
			fingerprint: fingerprint,
			done:        make(chan struct{}),
			expires:     time.Duration(k.ExpiresMs) * time.Millisecond,
		}
		h.records[k.Nonce] = r
	}
	if r.fingerprint != fingerprint {
		return Reply, refused(bluebelldoor.KeyReused, bluebelldoor.ExecutedNo, "the key was already used with a different request"), nil
	}
	switch r.state() {
	case Minted:
		r.fire(begin)
		return Announce, Outcome{}, r.done
	case Announcing, Sending:
		return Wait, Outcome{}, r.done
	default:
		return Reply, r.outcome, r.done
	}
}

// RecordConfirmation records whether the witness confirmed the announcement. It
// returns Send at most once per key; without a confirmation the key becomes dead.
func (h *Home) RecordConfirmation(k Key, confirmed bool) (Step, Outcome) {
	r := h.records[k.Nonce]
	if r == nil || r.state() != Announcing {
		return Reply, refused(bluebelldoor.KeyDead, bluebelldoor.ExecutedNo, "the key is not being announced")
	}
	if !confirmed {
		h.settle(r, giveUp, refused(bluebelldoor.NoWitness, bluebelldoor.ExecutedNo, "the witness did not confirm; use a new key"))
		return Reply, r.outcome
	}
	r.fire(confirm)
	return Send, Outcome{}
}

// Finish records the outcome of a call that was sent. If the refusal says that
// the call did not run, the key becomes dead so that it can never run later.
func (h *Home) Finish(k Key, o Outcome) {
	r := h.records[k.Nonce]
	if r == nil || r.state() != Sending {
		return
	}
	switch {
	case o.Refusal == nil:
		h.settle(r, complete, o)
	case o.Refusal.Executed() == bluebelldoor.ExecutedNo:
		h.settle(r, giveUp, o)
	default:
		h.settle(r, lose, o)
	}
}

func (h *Home) settle(r *record, t trigger, o Outcome) {
	r.fire(t)
	r.outcome = o
	close(r.done)
}

// Outcome returns the outcome of a key's call, and whether there is one yet.
func (h *Home) Outcome(k Key) (Outcome, bool) {
	r := h.records[k.Nonce]
	if r == nil {
		return Outcome{}, false
	}
	switch r.state() {
	case Minted, Announcing, Sending:
		return Outcome{}, false
	default:
		return r.outcome, true
	}
}

// State returns the state of a key, Minted if it was never used.
func (h *Home) State(k Key) State {
	if r := h.records[k.Nonce]; r != nil {
		return r.state()
	}
	return Minted
}

// Expire removes keys that have expired and have no call in progress.
func (h *Home) Expire(now time.Duration) {
	for nonce, r := range h.records {
		s := r.state()
		if now >= r.expires && s != Announcing && s != Sending {
			delete(h.records, nonce)
		}
	}
}

// InProgress returns the number of calls in progress.
func (h *Home) InProgress() int {
	n := 0
	for _, r := range h.records {
		if s := r.state(); s == Announcing || s == Sending {
			n++
		}
	}
	return n
}

func (r *record) state() State { return r.machine.MustState().(State) }

func (r *record) fire(t trigger) {
	if err := r.machine.FireCtx(context.Background(), t); err != nil {
		panic(err) // all callers check the state first
	}
}

func refused(code bluebelldoor.Code, e bluebelldoor.Executed, detail string) Outcome {
	return Outcome{Refusal: bluebelldoor.NewRefusal(code, detail).WithExecuted(e)}
}

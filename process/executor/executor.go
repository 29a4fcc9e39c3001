// Package executor runs calls to application runners. Calls that may be repeated
// are retried until their deadline. All others carry an idempotency key and run
// through the key's home and witness, whose rules are in package keeper.
//
// It does not itself decide whether a call may be sent.
package executor

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebelldoor"
	"bluebelldoor/process/controller"
	"bluebelldoor/process/recorder"
	"bluebelldoor/request/keeper"
)

const (
	peerTimeout    = time.Second
	expiryInterval = time.Second
	maxAttempts    = 3
	retryAfter     = time.Second
	answerMargin   = 500 * time.Millisecond
	witnessMargin  = 5 * time.Second
)

// Executor runs the calls of one VM. It is safe for concurrent use.
type Executor struct {
	settings     *bluebelldoor.Settings
	control      *controller.Controller
	peers        bluebelldoor.PeerClient
	applications bluebelldoor.ApplicationClient
	journal      *recorder.Journal
	log          hclog.Logger

	mu      sync.Mutex
	home    *keeper.Home
	witness *keeper.Witness
}

// New returns an executor and a clean-up function.
func New(settings *bluebelldoor.Settings, control *controller.Controller, peers bluebelldoor.PeerClient, applications bluebelldoor.ApplicationClient, journal *recorder.Journal, log hclog.Logger) (*Executor, func()) {
	x := &Executor{
		settings:     settings,
		control:      control,
		peers:        peers,
		applications: applications,
		journal:      journal,
		log:          log,
		home:         keeper.NewHome(settings.Name(), control.Incarnation()),
		witness:      keeper.NewWitness(settings.Name(), control.Incarnation()),
	}
	ctx, cancel := context.WithCancel(context.Background())
	go x.expire(ctx)
	return x, cancel
}

func (x *Executor) expire(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			x.mu.Lock()
			x.home.Expire(x.control.Uptime())
			x.witness.Expire(x.control.Uptime())
			x.mu.Unlock()
		}
	}
}

// InFlight returns the number of keyed calls that are in progress.
func (x *Executor) InFlight() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.home.InProgress()
}

// Execute runs a call. A call with a key runs at most once.
func (x *Executor) Execute(ctx context.Context, account, service string, c bluebelldoor.Call, deadline time.Time) keeper.Outcome {
	if c.Key == "" {
		return x.executeRepeatable(ctx, service, c, deadline)
	}
	k, err := keeper.ParseKey(x.settings.FleetSecret(), c.Key)
	if err != nil || k.Account != account {
		return refusedOutcome(bluebelldoor.KeyInvalid, bluebelldoor.ExecutedNo, "invalid key: it must be minted by this system for the same client account")
	}
	if x.home.Owns(k) {
		return x.executeAtHome(ctx, k, service, c, deadline)
	}
	return x.forwardToHome(ctx, k, account, service, c, deadline)
}

func refusedOutcome(code bluebelldoor.Code, e bluebelldoor.Executed, detail string) keeper.Outcome {
	return keeper.Outcome{Refusal: bluebelldoor.NewRefusal(code, detail).WithExecuted(e).WithRetryAfter(retryAfter)}
}

func fingerprint(service string, c bluebelldoor.Call) string {
	h := sha256.New()
	for _, s := range []string{service, c.Method, c.Path} {
		_, _ = io.WriteString(h, s)
		h.Write([]byte{0})
	}
	h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// executeAtHome runs a call on its key's home, the only process that may send it.
// The call continues if the caller disconnects, so that a retry gets the outcome.
func (x *Executor) executeAtHome(ctx context.Context, k keeper.Key, service string, c bluebelldoor.Call, deadline time.Time) keeper.Outcome {
	x.mu.Lock()
	step, out, done := x.home.Begin(k, fingerprint(service, c), x.control.Uptime())
	x.mu.Unlock()
	if step == keeper.Reply {
		return out
	}
	if step == keeper.Announce {
		go x.announceAndSend(k, service, c, deadline)
	}
	select {
	case <-done:
	case <-ctx.Done():
	case <-time.After(time.Until(deadline) + answerMargin):
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if out, ended := x.home.Outcome(k); ended {
		return out
	}
	return refusedOutcome(bluebelldoor.OutcomeUnknown, bluebelldoor.ExecutedUnknown, "the call is still in progress; retry with the same key")
}

func (x *Executor) announceAndSend(k keeper.Key, service string, c bluebelldoor.Call, deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	confirmed := x.announceToWitness(ctx, k)
	x.mu.Lock()
	step, _ := x.home.RecordConfirmation(k, confirmed)
	x.mu.Unlock()
	x.journal.Record(c.ID, "witness %q confirmed: %t", k.Witness, confirmed)
	if step != keeper.Send {
		return
	}
	result := x.sendOnce(ctx, service, c, deadline)
	x.mu.Lock()
	x.home.Finish(k, result)
	x.mu.Unlock()
}

func (x *Executor) announceToWitness(ctx context.Context, k keeper.Key) bool {
	if k.Witness == "" {
		return true
	}
	vm := x.vm(k.Witness)
	if vm == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := x.peers.Announce(ctx, vm.PeerAddress(), &bluebelldoor.KeyRequest{Key: k.Sign(x.settings.FleetSecret())})
	return err == nil && reply.Confirmed
}

func (x *Executor) vm(name string) *bluebelldoor.VM {
	l := x.control.State().View().List()
	if l == nil {
		return nil
	}
	return l.VM(name)
}

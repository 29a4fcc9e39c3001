package streamer

import (
	"context"
	"sync"
	"time"

	"bluebelldoor"
	"bluebelldoor/process/controller"
	"bluebelldoor/request/admitter"
	"bluebelldoor/request/router"
)

var _ bluebelldoor.LoadExchange = (*Gate)(nil)

const gateTick = 20 * time.Millisecond

// Gate serializes access to the admitter of one VM and blocks requests until it
// decides on them. Only traffic goroutines lock it; the control goroutine never
// waits for it.
type Gate struct {
	mu       sync.Mutex
	admitter *admitter.Admitter
	peers    *router.PeerLoads
	// onStart is called, and must not block, when a generation starts.
	onStart   func()
	waiting   map[string]chan admitter.Decision
	state     func() *controller.State
	lastState *controller.State
}

// NewGate returns a gate and a function that stops its periodic ticks. The
// admitter's router must use the same peers.
func NewGate(a *admitter.Admitter, peers *router.PeerLoads, state func() *controller.State) (*Gate, func()) {
	g := &Gate{admitter: a, peers: peers, onStart: func() {}, waiting: map[string]chan admitter.Decision{}, state: state}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(gateTick)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				g.step(g.admitter.Tick)
			}
		}
	}()
	return g, func() {
		close(stop)
		<-done
	}
}

// OnStart sets the function that is called when a generation starts. It must not
// block.
func (g *Gate) OnStart(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onStart = f
}

// step updates the admitter to the newest state, runs an action on it and
// delivers the decisions to the waiting requests.
func (g *Gate) step(action func(now time.Time) []admitter.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.state(); s != g.lastState {
		g.lastState = s
		g.admitter.SetTable(s.Table(), s.View().Document())
	}
	for _, d := range action(time.Now()) {
		if d.Target != nil {
			g.onStart()
		}
		if ch := g.waiting[d.Request.ID]; ch != nil {
			delete(g.waiting, d.Request.ID)
			ch <- d
		}
	}
}

// Enter blocks until the request may start at a target, or is refused.
func (g *Gate) Enter(ctx context.Context, r *admitter.Request) (*bluebelldoor.Target, *bluebelldoor.Refusal) {
	ch := make(chan admitter.Decision, 1)
	g.step(func(now time.Time) []admitter.Decision {
		g.waiting[r.ID] = ch
		return g.admitter.Arrive(r, now)
	})
	select {
	case d := <-ch:
		return d.Target, d.Refusal
	case <-ctx.Done():
		g.step(func(now time.Time) []admitter.Decision {
			delete(g.waiting, r.ID)
			return g.admitter.Abandon(r.ID, now)
		})
		return nil, bluebelldoor.NewRefusal(bluebelldoor.DeadlinePassed, "the caller disconnected or the deadline passed in the queue")
	}
}

// Produced records the progress of a generation.
func (g *Gate) Produced(id string, tokens int, gap time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admitter.Produced(id, tokens, gap)
}

// Done records that a generation has completed.
func (g *Gate) Done(id string) {
	g.step(func(now time.Time) []admitter.Decision { return g.admitter.Done(id, now) })
}

// Abandon records that a generation ended without completing and without a
// failure of its target.
func (g *Gate) Abandon(id string) {
	g.step(func(now time.Time) []admitter.Decision { return g.admitter.Abandon(id, now) })
}

// Failed records that a generation ended by a failure of its target.
func (g *Gate) Failed(id string) {
	g.step(func(now time.Time) []admitter.Decision { return g.admitter.Failed(id, now) })
}

// Loads implements bluebelldoor.LoadExchange.
func (g *Gate) Loads() []bluebelldoor.TargetLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitter.Loads()
}

// ReceiveLoads implements bluebelldoor.LoadExchange.
func (g *Gate) ReceiveLoads(vm string, loads []bluebelldoor.TargetLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers.Replace(vm, loads, time.Now())
}

// PeerRequests returns how many generations other VMs report to have on a target.
// Call it only within Inspect, which holds the lock.
func (g *Gate) PeerRequests(target string, now time.Time) int {
	return g.peers.OnTarget(target, now).Requests
}

// Counts returns the numbers of waiting and of running requests.
func (g *Gate) Counts() (waiting, active int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitter.Waiting(), g.admitter.Active()
}

// Inspect calls f under the lock, so that no decision is made meanwhile.
func (g *Gate) Inspect(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

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

var _ bluebelldoor.LoadBook = (*Gate)(nil)

const gateTick = 20 * time.Millisecond

// Gate lets the requests of one VM through in the order of the admitter. It is
// shared by traffic goroutines only; the control goroutine never waits for it.
type Gate struct {
	mu       sync.Mutex
	admitter *admitter.Admitter
	peers    *router.PeerLoads
	started  func()
	waiting  map[string]chan admitter.Decision
	state    func() *controller.State
	seen     *controller.State
}

// NewGate returns a gate and a clean-up function that stops its ticks. The
// admitter's router goes by peers.
func NewGate(a *admitter.Admitter, peers *router.PeerLoads, state func() *controller.State) (*Gate, func()) {
	g := &Gate{admitter: a, peers: peers, started: func() {}, waiting: map[string]chan admitter.Decision{}, state: state}
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
				g.do(g.admitter.Tick)
			}
		}
	}()
	return g, func() {
		close(stop)
		<-done
	}
}

// OnStart sets what is called, and must not block, when a generation starts.
func (g *Gate) OnStart(started func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.started = started
}

// do runs one step of the admitter under the newest state and hands out the
// decisions.
func (g *Gate) do(step func(now time.Time) []admitter.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.state(); s != g.seen {
		g.seen = s
		g.admitter.SetTable(s.Table(), s.View().Document())
	}
	for _, d := range step(time.Now()) {
		if d.Target != nil {
			g.started()
		}
		if ch := g.waiting[d.Request.ID]; ch != nil {
			delete(g.waiting, d.Request.ID)
			ch <- d
		}
	}
}

// Enter waits until the request may start at a target, or is refused.
func (g *Gate) Enter(ctx context.Context, r *admitter.Request) (*bluebelldoor.Target, *bluebelldoor.Refusal) {
	ch := make(chan admitter.Decision, 1)
	g.do(func(now time.Time) []admitter.Decision {
		g.waiting[r.ID] = ch
		return g.admitter.Arrive(r, now)
	})
	select {
	case d := <-ch:
		return d.Target, d.Refusal
	case <-ctx.Done():
		g.do(func(now time.Time) []admitter.Decision {
			delete(g.waiting, r.ID)
			return g.admitter.Abandon(r.ID, now)
		})
		return nil, bluebelldoor.Refuse(bluebelldoor.DeadlinePassed, "the caller is gone")
	}
}

// Produced notes the progress of a generation.
func (g *Gate) Produced(id string, tokens int, gap time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admitter.Produced(id, tokens, gap)
}

// Done notes that a generation ended whole.
func (g *Gate) Done(id string) {
	g.do(func(now time.Time) []admitter.Decision { return g.admitter.Done(id, now) })
}

// Abandon notes that a generation ended without fault of its target.
func (g *Gate) Abandon(id string) {
	g.do(func(now time.Time) []admitter.Decision { return g.admitter.Abandon(id, now) })
}

// Failed notes that the target broke a generation.
func (g *Gate) Failed(id string) {
	g.do(func(now time.Time) []admitter.Decision { return g.admitter.Failed(id, now) })
}

// Loads implements bluebelldoor.LoadBook.
func (g *Gate) Loads() []bluebelldoor.TargetLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitter.Loads()
}

// Hear implements bluebelldoor.LoadBook.
func (g *Gate) Hear(vm string, loads []bluebelldoor.TargetLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers.Hear(vm, loads, time.Now())
}

// Elsewhere returns how many generations other VMs told that they have on a
// target. It is for use within Inspect.
func (g *Gate) Elsewhere(target string, now time.Time) int { return g.peers.OnTarget(target, now).Requests }

// Counts returns how many requests wait and how many run.
func (g *Gate) Counts() (waiting, active int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitter.Waiting(), g.admitter.Active()
}

// Inspect runs look while no decision is taken.
func (g *Gate) Inspect(look func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	look()
}

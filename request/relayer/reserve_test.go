package relayer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/limiter"
	"bluebelldoor/process/pauser"
	"bluebelldoor/process/recorder"
	"bluebelldoor/process/registrar"
)

// newReserving returns a relayer with a target whose memory is nearly full with a peer's
// generations, and its routing: labels are urgent, letters deferrable if deferrable is set.
func newReserving(t *testing.T, deferrable bool) (*Relayer, *bluebelldoor.Routing) {
	objective := 1500 * time.Millisecond
	if deferrable {
		objective = 4 * time.Second
	}
	shares := []bluebelldoor.ServiceShare{{Service: "s", Weight: 1}}
	spec := bluebelldoor.RoutingSpec{
		Version: 1,
		Routes: []bluebelldoor.RouteSpec{
			{Name: "labels", Host: "h", Prefix: "/labels/", Shares: shares, Generates: true, Streamed: true, LatencyObjective: 1500 * time.Millisecond, Timeout: 6 * time.Second},
			{Name: "letters", Host: "h", Prefix: "/letters/", Shares: shares, Generates: true, Streamed: true, LatencyObjective: objective, Timeout: 39 * time.Second, Priority: 2},
		},
		Services: []bluebelldoor.ServiceKind{{Name: "s", Engine: &bluebelldoor.EngineKind{MemoryTokens: 26_856}}},
	}
	clock, log := testClock{time.Now()}, hclog.NewNullLogger()
	reg := registrar.New(routingCatalogue{fakeCatalogue{"x"}, spec}, clock, registrar.Role{
		ReadsForPeers: func() bool { return true }, Standby: func() bool { return false }, Changed: func() {},
	}, log)
	t.Cleanup(reg.Start())
	synctest.Wait()
	r := New(Settings{VM: "vm", DataCentre: "dc"}, Sources{View: reg.View, EvidenceAge: reg.EvidenceAge, Share: func() float64 { return 1 }}, Dependencies{
		Pauses: pauser.New(clock, log), Limits: limiter.New(limiter.Fleet{}, clock, log), Metrics: recorder.NewRelayMetrics(),
	}, clock, log)
	r.hold(22_000)
	return r, bluebelldoor.NewRouting(spec)
}

// hold sets the memory that a peer's generations hold on the target.
func (r *Relayer) hold(tokens int) {
	r.ApplyPeerLoads("peer", bluebelldoor.LoadDelta{Loads: []bluebelldoor.TargetLoad{{Target: "x", Requests: 5, Tokens: tokens, HeldTokens: tokens}}})
}

// reservedTokens returns the memory that the VM tells its peers to have reserved.
func (r *Relayer) reservedTokens() int {
	n := 0
	for _, l := range r.Loads() {
		n += l.Reserved
	}
	return n
}

// TestReservedPlaced checks that the reservation of the only one in the queue ends when it is
// placed.
func TestReservedPlaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, routing := newReserving(t, true)
		placed := make(chan bool, 1)
		go func() {
			target, _, _ := r.newWaiting(t.Context(), routing, "/labels/a", 0, 5000).waitForTarget()
			placed <- target != nil
		}()
		synctest.Wait()
		assert.Equal(t, r.reservedTokens(), 5000)
		r.hold(18_000)
		assert.Assert(t, <-placed)
		assert.Equal(t, r.reservedTokens(), 0)
		time.Sleep(time.Second) // the poller ends
	})
}

// newWaiting returns a generation that arrives now on a route, with an account's priority.
func (r *Relayer) newWaiting(ctx context.Context, routing *bluebelldoor.Routing, path string, priority, prompt int) *job {
	j := &job{
		Relayer: r, ctx: ctx, arrived: r.clock.Now(), excluded: map[string]bool{}, serviceName: "s", service: routing.Service("s"),
		request: &bluebelldoor.RelayRequest{Host: "h", Path: path, PromptTokens: prompt, ExpectedTokens: 12}, route: routing.Route("h", path), priority: priority,
	}
	j.setDeadline()
	return j
}

// TestReservedFor checks for which queued generations memory is reserved.
func TestReservedFor(t *testing.T) {
	for name, c := range map[string]struct {
		deferrable bool
		path       string
		priority   int
		within     time.Duration // that the caller still waits, 0 for all
		prompt     int
		want       int
	}{
		"urgent":                            {true, "/labels/a", 0, 0, 5000, 5000},
		"deferrable":                        {true, "/letters/a", 2, 0, 5000, 0},
		"deferrable, of an account before":  {true, "/letters/a", 0, 0, 5000, 0},
		"urgent, of an account behind":      {true, "/labels/a", 2, 0, 5000, 0},
		"urgent, a retry that is late":      {true, "/labels/a", 0, 4 * time.Second, 5000, 0},
		"urgent, larger than the memory":    {true, "/labels/a", 0, 0, 25_000, 0},
		"urgent, beside none that can wait": {false, "/labels/a", 0, 0, 5000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, routing := newReserving(t, c.deferrable)
				ctx, cancel := context.WithCancel(t.Context())
				j := r.newWaiting(ctx, routing, c.path, c.priority, c.prompt)
				j.request.Within = c.within
				go func() { _, _, _ = j.waitForTarget() }()
				synctest.Wait()
				assert.Equal(t, r.reservedTokens(), c.want)
				assert.Equal(t, r.Headroom().Reserved, c.want)
				cancel()
				synctest.Wait()
				assert.Equal(t, r.reservedTokens(), 0)
				time.Sleep(time.Second) // the poller ends
			})
		})
	}
}

// TestReservedUntil checks that a reservation ends with the wait of its owner, however that
// ends, and that the next one in the queue gets one then. Memory that stays reserved would be
// lost until the VM stops.
func TestReservedUntil(t *testing.T) {
	for name, c := range map[string]struct {
		end    func(r *Relayer, leave func())
		after  time.Duration
		placed bool
	}{
		"the caller leaves": {func(_ *Relayer, leave func()) { leave() }, 100 * time.Millisecond, false},
		"room":              {func(r *Relayer, _ func()) { r.hold(18_000) }, 100 * time.Millisecond, true},
		"refused":           {func(*Relayer, func()) {}, 620 * time.Millisecond, false},
		"the VM drains":     {func(r *Relayer, _ func()) { r.Drain() }, 100 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, routing := newReserving(t, true)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				first, second := r.newWaiting(ctx, routing, "/labels/a", 0, 5000), r.newWaiting(t.Context(), routing, "/labels/b", 0, 4000)
				placed := make(chan bool, 2)
				wait := func(j *job) {
					target, _, _ := j.waitForTarget()
					placed <- target != nil
				}
				go wait(first)
				synctest.Wait()
				time.Sleep(20 * time.Millisecond)
				go wait(second)
				time.Sleep(20 * time.Millisecond)
				assert.Equal(t, r.reservedTokens(), 5000)
				c.end(r, cancel)
				time.Sleep(c.after)
				assert.Equal(t, <-placed, c.placed)
				if r.draining.Load() {
					assert.Equal(t, r.reservedTokens(), 0)
				} else {
					assert.Equal(t, r.reservedTokens(), 4000, "the next in the queue")
				}
				time.Sleep(2 * time.Second)
				assert.Equal(t, r.reservedTokens(), 0)
				assert.Equal(t, len(r.reservations), 0)
			})
		})
	}
}

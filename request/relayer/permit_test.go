package relayer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/connection/acceptor"
	"bluebelldoor/process/limiter"
	"bluebelldoor/process/pauser"
	"bluebelldoor/process/quarantiner"
)

// slowGrantor answers each request for a permit after a time.
type slowGrantor struct {
	bluebelldoor.FleetClient
	after   time.Duration
	granted bool
}

func (g slowGrantor) Permit(ctx context.Context, _ string, in *bluebelldoor.PermitRequest) (*bluebelldoor.PermitReply, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(g.after):
		return &bluebelldoor.PermitReply{Granted: g.granted, RetryMs: 400, Limit: in.Limit}, nil
	}
}

// newLimited returns a relayer whose targets, by name, are limited except for "free".
func newLimited(t *testing.T, grantor slowGrantor, names string) *Relayer {
	clock, log := testClock{time.Now()}, hclog.NewNullLogger()
	reg := startRegistrar(t, names, clock)
	limits := limiter.New(limiter.Fleet{
		Self: "vm", Peers: grantor, Hubs: func() []bluebelldoor.MemberState {
			return []bluebelldoor.MemberState{{Name: "peer", PeerAddress: "peer"}}
		},
		Coverage: func() float64 { return 1 }, Share: func() float64 { return 0.01 }, Registered: func(bluebelldoor.TargetIncarnation) bool { return true },
		Changed: func() {}, Counted: func(string) {},
	}, clock, log)
	for _, target := range reg.View().ServiceTargets("s") {
		if target.ID != "free" {
			limits.Observe(target.Instance, bluebelldoor.RateLimit{Named: true, PerSecond: 1000})
		}
	}
	return New(Settings{}, Sources{View: reg.View, EvidenceAge: reg.EvidenceAge, Share: func() float64 { return 0.01 }}, Dependencies{
		Pauses: pauser.New(clock, log), Limits: limits, Parts: quarantiner.New(clock, func() {}, log),
	}, clock, log)
}

// TestPermitTime guards against requests that are refused late, or sent late although a target
// has no limit, because they ask for a permit for one target after the other while grantors
// are slow.
func TestPermitTime(t *testing.T) {
	const requests, within = 20, 500 * time.Millisecond
	for name, c := range map[string]struct {
		grantor   slowGrantor
		targets   string
		unlimited bool
	}{
		"granted":                      {slowGrantor{after: 140 * time.Millisecond, granted: true}, "a b c", false},
		"denied":                       {slowGrantor{after: 140 * time.Millisecond}, "a b c d e f", false},
		"no answer":                    {slowGrantor{after: time.Hour}, "a b c d e f", false},
		"granted, one is not limited":  {slowGrantor{after: 140 * time.Millisecond, granted: true}, "a b c free", true},
		"denied, one is not limited":   {slowGrantor{after: 140 * time.Millisecond}, "a b c d e f free", true},
		"no answer, one isn't limited": {slowGrantor{after: time.Hour}, "a b c d e f free", true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newLimited(t, c.grantor, c.targets)
				done := make(chan *bluebelldoor.Refusal, requests)
				began := time.Now()
				for range requests {
					go func() {
						j := &job{Relayer: r, ctx: t.Context(), call: &acceptor.Call{}, request: &bluebelldoor.RelayRequest{}, excluded: map[string]bool{}}
						j.serviceName, j.service, j.route = "s", &bluebelldoor.ServiceKind{}, &bluebelldoor.RouteSpec{}
						_, _, refusal := j.placePermitted()
						done <- refusal
					}()
				}
				refused := 0
				for range requests {
					if refusal := <-done; refusal != nil {
						refused++
						assert.Check(t, refusal.Code() == bluebelldoor.TargetsLimited, "%v", refusal)
						assert.Check(t, refusal.RetryAfter() > 0)
					}
					assert.Check(t, time.Since(began) <= within, "a request is told after %s", time.Since(began))
				}
				assert.Check(t, !c.unlimited || refused == 0, "%d were refused", refused)
			})
		})
	}
}

// TestQueuedPermitTime checks that a generation that queues may ask for permits until its
// latest start, however long the answers take.
func TestQueuedPermitTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newLimited(t, slowGrantor{after: 140 * time.Millisecond}, "a")
		j := &job{Relayer: r, ctx: t.Context(), call: &acceptor.Call{}, request: &bluebelldoor.RelayRequest{}}
		j.service, j.route = &bluebelldoor.ServiceKind{Engine: &bluebelldoor.EngineKind{}}, &bluebelldoor.RouteSpec{Generates: true}
		target := r.sources.View().Target("a")
		for range 5 {
			assert.Assert(t, !j.acquireInTime(target))
			time.Sleep(j.unavailableFor(target))
			assert.Equal(t, j.unavailableFor(target), time.Duration(0))
		}
	})
}

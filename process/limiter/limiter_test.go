package limiter_test

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/limiter"
)

type clock struct{ start time.Time }

func (c clock) Now() time.Duration { return time.Since(c.start) }

func named(perSecond float64) bluebelldoor.RateLimit {
	return bluebelldoor.RateLimit{Named: true, PerSecond: perSecond}
}

// TestObserve checks which limit applies after a series of responses.
func TestObserve(t *testing.T) {
	none, unknown := bluebelldoor.RateLimit{}, bluebelldoor.RateLimit{Unknown: true}
	type response struct {
		after time.Duration
		said  bluebelldoor.RateLimit
	}
	for name, c := range map[string]struct {
		responses []response
		want      float64
		limited   bool
	}{
		"none":                     {[]response{{0, none}}, 0, false},
		"named":                    {[]response{{0, named(3)}}, 3, true},
		"zero":                     {[]response{{0, named(0)}}, 0, true},
		"ended":                    {[]response{{0, named(3)}, {time.Second, none}}, 0, false},
		"overtaken end":            {[]response{{0, named(3)}, {10 * time.Millisecond, none}}, 3, true},
		"lowered":                  {[]response{{0, named(3)}, {time.Millisecond, named(2)}}, 2, true},
		"raised":                   {[]response{{0, named(3)}, {time.Second, named(5)}}, 5, true},
		"overtaken rise":           {[]response{{0, named(3)}, {time.Millisecond, named(5)}}, 3, true},
		"named again":              {[]response{{0, named(3)}, {time.Second, named(3)}, {10 * time.Millisecond, none}}, 3, true},
		"silent for long":          {[]response{{0, named(3)}, {time.Hour, unknown}}, 3, true},
		"unknown before any":       {[]response{{0, unknown}}, 0, false},
		"named after it has ended": {[]response{{0, named(3)}, {time.Second, none}, {time.Second, named(4)}}, 4, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				registered := true
				l := limiter.New(limiter.Fleet{
					Registered: func(bluebelldoor.TargetIncarnation) bool { return registered }, Changed: func() {},
				}, clock{time.Now()}, hclog.NewNullLogger())
				target := &bluebelldoor.Instance{ID: "a", StartedAt: 1}
				for _, r := range c.responses {
					time.Sleep(r.after)
					l.Observe(target, r.said)
				}
				got, limited := l.Limit(target)
				assert.Equal(t, got, c.want)
				assert.Equal(t, limited, c.limited)
				_, restartedLimited := l.Limit(&bluebelldoor.Instance{ID: "a", StartedAt: 2})
				assert.Assert(t, !restartedLimited, "the limit applies to another start of the target")
				registered = false
				time.Sleep(5 * time.Minute)
				l.Limits(0)
				assert.Equal(t, l.Count(), 0)
			})
		})
	}
}

// peers answers requests for permits with a function.
type peers struct {
	bluebelldoor.FleetClient
	permit func(ctx context.Context) (*bluebelldoor.PermitReply, error)
}

func (p peers) Permit(ctx context.Context, _ string, _ *bluebelldoor.PermitRequest) (*bluebelldoor.PermitReply, error) {
	return p.permit(ctx)
}

// newLimiter returns the limiter of a VM whose permits another VM grants.
func newLimiter(p peers) *limiter.Limiter {
	return limiter.New(limiter.Fleet{
		Self: "self", Peers: p, Changed: func() {}, Counted: func(string) {},
		Hubs: func() []bluebelldoor.MemberState {
			return []bluebelldoor.MemberState{{Name: "peer", PeerAddress: "peer"}}
		},
		Coverage:   func() float64 { return 1 },
		Share:      func() float64 { return 0.5 },
		Registered: func(bluebelldoor.TargetIncarnation) bool { return true },
	}, clock{time.Now()}, hclog.NewNullLogger())
}

// TestInvalidLimits checks that limits in messages that no target can have named change
// nothing.
func TestInvalidLimits(t *testing.T) {
	for name, in := range map[string]bluebelldoor.TargetLimit{
		"not a number":  {PerSecond: math.NaN()},
		"infinite":      {PerSecond: math.Inf(1)},
		"negative":      {PerSecond: -1},
		"from tomorrow": {PerSecond: 1, AgeMs: -1},
		"age overflows": {PerSecond: 1, AgeMs: math.MaxInt64},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLimiter(peers{})
			in.Target = bluebelldoor.TargetIncarnation{ID: "a"}
			l.Merge("peer", []bluebelldoor.TargetLimit{in})
			assert.Equal(t, l.Count(), 0)
			assert.Assert(t, !l.Permit(&bluebelldoor.PermitRequest{From: "peer", Limit: in}).Granted)
			assert.Equal(t, l.Count(), 0)
		})
	}
}

// TestAcquire checks what a VM may send to a limited target by the grantor's reply.
func TestAcquire(t *testing.T) {
	limit := bluebelldoor.TargetLimit{Target: bluebelldoor.TargetIncarnation{ID: "a"}, PerSecond: 4}
	target := &bluebelldoor.Instance{ID: "a"}
	reply := func(granted bool, retryMs int64) func(context.Context) (*bluebelldoor.PermitReply, error) {
		return func(context.Context) (*bluebelldoor.PermitReply, error) {
			return &bluebelldoor.PermitReply{Granted: granted, RetryMs: retryMs, Limit: limit}, nil
		}
	}
	for name, c := range map[string]struct {
		permit    func(context.Context) (*bluebelldoor.PermitReply, error)
		granted   bool
		remaining time.Duration
	}{
		"granted":               {reply(true, 0), true, 0},
		"denied":                {reply(false, 300), false, 300 * time.Millisecond},
		"denied without a time": {reply(false, 0), false, 20 * time.Millisecond},
		"denied for a day":      {reply(false, math.MaxInt64), false, 2 * time.Second},
		// A share of 2 a second has its first permit after half a second.
		"no answer": {func(ctx context.Context) (*bluebelldoor.PermitReply, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}, false, 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLimiter(peers{permit: c.permit})
				l.Observe(target, named(4))
				permit, granted := l.Acquire(t.Context(), target)
				assert.Equal(t, granted, c.granted)
				assert.Equal(t, l.Allows(permit, target), c.granted)
				assert.Equal(t, l.Remaining(target), c.remaining)
				assert.Assert(t, !l.Allows(limiter.Permit{}, target))
				time.Sleep(time.Second)
				assert.Assert(t, !l.Allows(permit, target), "the permit does not end")
			})
		})
	}
}

// TestDenialIsLongEnough guards against a VM that is denied a permit, asks again when it was
// told to, and is denied once more for a fraction of a millisecond: it then loses its turn.
func TestDenialIsLongEnough(t *testing.T) {
	target := &bluebelldoor.Instance{ID: "a", StartedAt: 1}
	shareAlone := peers{permit: func(context.Context) (*bluebelldoor.PermitReply, error) { return nil, errors.New("no path") }}
	for _, perSecond := range []float64{1, 1.1, 1.9, 2.7, 3, 4, 6, 7, 13, 29, 45, 49} {
		for name, grants := range map[string]bool{"as the grantor": true, "from its share": false} {
			t.Run(fmt.Sprintf("%v a second %s", perSecond, name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l := newLimiter(shareAlone)
					l.Observe(target, named(perSecond))
					take := func() (bool, time.Duration) {
						if grants {
							reply := l.Permit(&bluebelldoor.PermitRequest{From: "peer", Limit: bluebelldoor.TargetLimit{Target: target.Incarnation(), PerSecond: perSecond}})
							return reply.Granted, time.Duration(reply.RetryMs) * time.Millisecond
						}
						_, granted := l.Acquire(t.Context(), target)
						return granted, l.Remaining(target)
					}
					for range 20 {
						granted, wait := take()
						for i := 0; !granted; i++ {
							assert.Assert(t, i == 0, "denied again when it was told to ask, for %s", wait)
							time.Sleep(wait)
							granted, wait = take()
						}
					}
				})
			})
		}
	}
}

// TestCallerLeavesWhileAsking guards against a caller that disconnects while its VM asks
// for a permit: the VM must not take the grantor for silent and send its own share beside
// the permits that it still gets.
func TestCallerLeavesWhileAsking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := 0
		l := newLimiter(peers{permit: func(ctx context.Context) (*bluebelldoor.PermitReply, error) {
			asked++
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		target := &bluebelldoor.Instance{ID: "a"}
		l.Observe(target, named(4))
		for range 3 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			_, granted := l.Acquire(ctx, target)
			cancel()
			assert.Assert(t, !granted)
			time.Sleep(50 * time.Millisecond)
		}
		assert.Equal(t, asked, 3)
	})
}

// TestLimitsOfOthers checks that a VM which no response has told of a limit learns it from
// a peer's message, and as the grantor from a request for a permit.
func TestLimitsOfOthers(t *testing.T) {
	limit := bluebelldoor.TargetLimit{Target: bluebelldoor.TargetIncarnation{ID: "a"}, PerSecond: 4, AgeMs: 10}
	for name, tell := range map[string]func(*limiter.Limiter){
		"message": func(l *limiter.Limiter) { l.Merge("peer", []bluebelldoor.TargetLimit{limit}) },
		"request": func(l *limiter.Limiter) { l.Permit(&bluebelldoor.PermitRequest{From: "peer", Limit: limit}) },
	} {
		t.Run(name, func(t *testing.T) {
			l := newLimiter(peers{})
			tell(l)
			perSecond, limited := l.Limit(&bluebelldoor.Instance{ID: "a"})
			assert.Assert(t, limited)
			assert.Equal(t, perSecond, 4.0)
		})
	}
}

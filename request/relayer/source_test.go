package relayer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/budgeter"
	"bluebelldoor/process/limiter"
	"bluebelldoor/process/turner"
)

const (
	safeInterval   = 20 * time.Millisecond // the expected gap is 100 ms of 180
	unsafeInterval = 40 * time.Millisecond
)

// crowdedStream returns a stream on the safe engine source that has just begun beside another
// protected one. Engine fast is safe; slow is not, nor is limited, which has a limit.
func crowdedStream(t *testing.T, route int, copier *scriptedCopier) *stream {
	j := protectedJob(t, route, "limited")
	j.excluded = map[string]bool{}
	j.Mover = copier
	j.Turns = turner.New("vm", nil, func() []bluebelldoor.MemberState { return nil }, hclog.NewNullLogger())
	j.Budget = budgeter.New(budgeter.Settings{Window: time.Minute, Allowance: 10})
	j.Limits = limiter.New(limiter.Fleet{
		Self: "vm", Hubs: func() []bluebelldoor.MemberState { return nil }, Coverage: func() float64 { return 1 },
		Registered: func(bluebelldoor.TargetIncarnation) bool { return true }, Changed: func() {}, Counted: func(string) {},
	}, j.clock, hclog.NewNullLogger())
	for target, interval := range map[string]time.Duration{"source": safeInterval, "slow": unsafeInterval, "fast": safeInterval, "limited": unsafeInterval} {
		j.ledger.RecordStreamIntervals("s", target, []time.Duration{interval, interval, interval, interval})
	}
	j.HandleResponseHead(j.sources.View().Target("limited").Instance, bluebelldoor.ResponseHead{Limit: bluebelldoor.RateLimit{Named: true, PerSecond: 2}})
	for range 2 {
		j.ledger.Start("source", 0, 0).Protect()
	}
	return &stream{job: j, target: j.sources.View().Target("source"), forwarded: 1, mixes: true}
}

// streamsByTarget returns the protected streams of the VM on each engine.
func streamsByTarget(j *job) map[string]int {
	out := map[string]int{}
	for _, load := range j.Loads() {
		if load.Requests > 0 {
			out[load.Target] = load.Streams
		}
	}
	return out
}

// TestContinuedAtSource guards against a stream that continues on its engine after a failed move
// and is counted nowhere, so that the engine gets too many others.
func TestContinuedAtSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := crowdedStream(t, 0, &scriptedCopier{})
		reservation := s.job.reserveAtSource(s, s.target)
		assert.DeepEqual(t, streamsByTarget(s.job), map[string]int{"source": 3})
		s.job.endReservation(reservation)
		assert.DeepEqual(t, streamsByTarget(s.job), map[string]int{"source": 2})
	})
}

// TestExcludeDuringMove guards against a stream that is sent again, and excludes its target, while
// a move looks for a destination: unguarded, that ends the process.
func TestExcludeDuringMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := crowdedStream(t, 0, &scriptedCopier{}).job
		go j.exclude(j.sources.View().Target("slow"))
		_, reservation := j.reserveDestination(j.sources.View().Target("source"), map[string]bool{"source": true}, 100)
		j.endReservation(reservation)
	})
}

package relayer

import (
	"sync/atomic"
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

// budgetUsed returns how much of the retry budget of crowdedStream has been used. It uses up the
// rest.
func budgetUsed(j *job) int {
	rest := 0
	for j.takeRetryBudget(1) {
		rest++
	}
	return 8 - rest
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

func moveCount(t *testing.T, j *job, outcome string) float64 {
	return counterValue(t, j, "bluebelldoor_moves_total", map[string]string{"outcome": outcome})
}

// copyID returns the copy from which the stream is to continue, "" if there is none yet.
func copyID(s *stream) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.move == nil {
		return ""
	}
	select {
	case <-s.move.done:
		return s.move.copyID
	default:
		return ""
	}
}

// TestRelief guards against safe engines that stay crowded, streams that are moved although
// nothing is gained, moves that the retry budget does not count or counts without a move, load
// that remains where the stream does not run, and moves counted as lost generations.
func TestRelief(t *testing.T) {
	refuse := func(string) error { return copyError(503, "") }
	for name, c := range map[string]struct {
		route   int
		copier  scriptedCopier
		prepare func(s *stream)
		copied  string
		streams map[string]int
		used    int
		freed   int
		outcome string // counted, if any
	}{
		"crowded": {copied: "copy", streams: map[string]int{"source": 2, "slow": 1}, used: 1, outcome: "reliefCopied"},
		"a prompt on each other engine": {prepare: func(s *stream) {
			s.job.ledger.Start("slow", 1000, 1000)
		}, streams: map[string]int{"source": 2, "slow": 0}},
		"no memory elsewhere but for moves off leaving engines": {prepare: func(s *stream) {
			s.job.ledger.Start("slow", 0, 0).UpdateMemory(8000, 8000)
		}, streams: map[string]int{"source": 2, "slow": 0}},
		"the other engine pauses": {prepare: func(s *stream) {
			s.job.HandleResponseHead(s.job.sources.View().Target("slow").Instance, bluebelldoor.ResponseHead{PauseFor: time.Second})
		}, streams: map[string]int{"source": 2}},
		"the other engine has a limit": {prepare: func(s *stream) {
			s.job.HandleResponseHead(s.job.sources.View().Target("slow").Instance, bluebelldoor.ResponseHead{Limit: bluebelldoor.RateLimit{Named: true, PerSecond: 2}})
		}, streams: map[string]int{"source": 2}},
		"budget used up": {prepare: func(s *stream) { budgetUsed(s.job) }, streams: map[string]int{"source": 2}, used: 8},
		"service without engines": {prepare: func(s *stream) {
			s.job.service = &bluebelldoor.ServiceKind{}
		}, streams: map[string]int{"source": 2}},
		"engines that cannot copy": {prepare: func(s *stream) {
			s.job.service = &bluebelldoor.ServiceKind{Engine: &bluebelldoor.EngineKind{TokensPerEvent: 4, MemoryTokens: 10_000}}
		}, streams: map[string]int{"source": 2}},
		"short request":           {route: 1, streams: map[string]int{"source": 2}},
		"on an engine of no pace": {prepare: func(s *stream) { s.job.ledger.Forget("source"); s.job.ledger.Forget("fast") }, streams: map[string]int{"source": 2}},
		"source leaves already": {prepare: func(s *stream) {
			s.job.HandleResponseHead(s.target.Instance, bluebelldoor.ResponseHead{Leaving: true})
		}, streams: map[string]int{"source": 2}},
		"no engine accepts it": {copier: scriptedCopier{first: refuse}, streams: map[string]int{"source": 2}, used: 1, outcome: "reliefFailed"},
		"source gone at the stop": {
			copier: scriptedCopier{last: func(string) error { return copyError(0, "") }}, streams: map[string]int{"source": 2}, used: 1, outcome: "reliefFailed",
		},
		"destination gone at the stop": {
			copier: scriptedCopier{last: func(string) error { return copyError(503, "at source") }}, copied: "at source",
			streams: map[string]int{"source": 2}, used: 1, outcome: "reliefKept",
		},
		"stream ends during the copy": {prepare: func(s *stream) {
			time.AfterFunc(15*time.Millisecond, func() { s.job.removeStream(s) })
		}, streams: map[string]int{"source": 2}, used: 1, freed: 1, outcome: "reliefDropped"},
		"stream ends and is kept at the source": {
			copier: scriptedCopier{last: func(string) error { return copyError(503, "at source") }},
			prepare: func(s *stream) {
				time.AfterFunc(25*time.Millisecond, func() { s.job.removeStream(s) })
			}, copied: "at source", streams: map[string]int{"source": 2}, used: 1, outcome: "reliefKept",
		},
		"stream ends during the last copy": {prepare: func(s *stream) {
			time.AfterFunc(25*time.Millisecond, func() { s.job.removeStream(s) })
		}, copied: "copy", streams: map[string]int{"source": 2}, used: 1, outcome: "reliefCopied"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := crowdedStream(t, c.route, &c.copier)
				j := s.job
				if c.prepare != nil {
					c.prepare(s)
				}
				synctest.Wait()
				s.relieveTarget()
				time.Sleep(time.Second)
				assert.Equal(t, copyID(s), c.copied)
				assert.DeepEqual(t, streamsByTarget(j), c.streams)
				assert.Equal(t, c.copier.freed, c.freed)
				if c.outcome != "" {
					assert.Equal(t, moveCount(t, j, c.outcome), 1.0)
					assert.Assert(t, protectedCount(t, j, "relief", "unsafe") >= 1)
				}
				assert.Equal(t, moveCount(t, j, "failed"), 0.0)
				assert.Equal(t, budgetUsed(j), c.used)
			})
		})
	}
}

// TestReliefOfLeaving guards against a stream that two moves copy at once, and one that is cut
// because its engine leaves while the relief waits, has just failed, or finds no destination.
func TestReliefOfLeaving(t *testing.T) {
	for name, c := range map[string]struct {
		// lastFails fails that many last copies, without stopping the generation for certain.
		lastFails int
		// firstTakes is how long the first copy takes beside the usual 10 ms.
		firstTakes time.Duration
		// turnHeld is how long another generation holds the turn to copy off the source. A
		// third, larger one waits for it as well, and never releases it.
		turnHeld time.Duration
		leavesAt time.Duration
		// reads makes all engines read prompts from then on, so that only a stream that has to
		// move finds a destination.
		reads  bool
		copies int
	}{
		"before the first event is known": {copies: 2},
		"during the first copy":           {leavesAt: 15 * time.Millisecond, copies: 2},
		"during the last copy":            {leavesAt: 25 * time.Millisecond, copies: 2},
		// A turn expires after 1.2 s.
		"during a copy longer than a turn": {firstTakes: 1300 * time.Millisecond, leavesAt: 15 * time.Millisecond, copies: 2},
		"while the relief waits":           {turnHeld: 500 * time.Millisecond, leavesAt: 50 * time.Millisecond, copies: 2},
		"while it waits, prompts all over": {
			turnHeld: 500 * time.Millisecond, leavesAt: 50 * time.Millisecond, reads: true, copies: 2,
		},
		"after the last copy has failed": {lastFails: 1, leavesAt: 100 * time.Millisecond, copies: 4},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var copies atomic.Int32
				fails := c.lastFails
				copier := &scriptedCopier{
					first: func(string) error {
						copies.Add(1)
						time.Sleep(c.firstTakes)
						return nil
					},
					last: func(string) error {
						copies.Add(1)
						if fails--; fails >= 0 {
							return copyError(0, "")
						}
						return nil
					},
				}
				s := crowdedStream(t, 0, copier)
				j := s.job
				if c.turnHeld > 0 {
					time.AfterFunc(c.turnHeld, j.Turns.Acquire(t.Context(), "source", "other", 1))
					time.AfterFunc(20*time.Millisecond, func() { j.Turns.Acquire(t.Context(), "source", "third", 1000) })
				}
				began := time.Now()
				leave := func() {
					if c.reads {
						j.mu.Lock()
						j.ledger.Start("slow", 1000, 1000)
						j.ledger.Start("fast", 1000, 1000)
						j.mu.Unlock()
					}
					j.HandleResponseHead(s.target.Instance, bluebelldoor.ResponseHead{Leaving: true})
					if s.runsOn(s.target) {
						j.moveGeneration(s, s.target)
					}
				}
				if c.leavesAt == 0 {
					go leave()
				} else {
					time.AfterFunc(c.leavesAt, leave)
				}
				s.relieveTarget()
				for copyID(s) == "" && time.Since(began) < 5*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				// The shortest notice.
				assert.Assert(t, time.Since(began)-c.leavesAt < 1500*time.Millisecond, "%v", time.Since(began))
				time.Sleep(5 * time.Second)
				assert.Equal(t, int(copies.Load()), c.copies)
				assert.Equal(t, copyID(s), "copy")
				total := 0
				for _, n := range streamsByTarget(j) {
					total += n
				}
				assert.Equal(t, total, 3, "the two on the source and the copy: %v", streamsByTarget(j))
			})
		})
	}
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

// TestReliefLeavesRetries guards against streams that are moved only to free an engine and use
// up the retries of requests whose target failed.
func TestReliefLeavesRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := crowdedStream(t, 0, &scriptedCopier{}).job
		j.Budget = budgeter.New(budgeter.Settings{Window: time.Minute, Allowance: 100})
		reliefs := 0
		for j.takeRetryBudget(reliefBudgetShare) {
			reliefs++
		}
		assert.Assert(t, reliefs > 0)
		assert.Assert(t, j.takeRetryBudget(retryBudgetShare))
	})
}

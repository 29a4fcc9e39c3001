package quarantiner_test

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/quarantiner"
)

// report is a report of the end of a target, of this VM or told by a peer, some time after the
// report before. Each accuses a request with the part p.
type report struct {
	after  time.Duration
	engine int
	// ago is how long before the report the end was noticed, and span how much earlier it may
	// have been.
	ago, span time.Duration
	// livedAgo is how long before the report the target last took a request of this VM.
	livedAgo time.Duration
	ended    bool
	told     bool
	undated  bool // the message may have waited
	noStart  bool // the target does not tell when it started
}

// TestOneEnd guards against one end of a start of a target that is counted several times,
// because VMs notice or hear of it at other times (DENIED), and against several ends that are
// taken for one (BUDGET).
func TestOneEnd(t *testing.T) {
	const ms, s = time.Millisecond, time.Second
	for name, c := range map[string]struct {
		reports []report
		want    bool
	}{
		"told again as later ones":          {[]report{{ended: true, told: true, ago: 2554 * ms}, {ended: true, told: true, ago: 1459 * ms}, {ended: true, told: true, ago: 742 * ms}, {ended: true, told: true}}, false},
		"noticed late":                      {[]report{{ended: true, told: true}, {after: 2700 * ms, ended: true, livedAgo: 3 * s}, {after: 2 * s, ended: true, livedAgo: 5 * s}}, false},
		"noticed late, by a VM that stood":  {[]report{{span: 3500 * ms, livedAgo: 4 * s}, {told: true, ago: 2700 * ms}, {told: true, ago: 2700 * ms}}, false},
		"connections, noticed late":         {[]report{{told: true}, {after: 2700 * ms, livedAgo: 3 * s}, {after: 2 * s, livedAgo: 5 * s}}, false},
		"connections, then the target":      {[]report{{told: true}, {after: 200 * ms, ended: true, livedAgo: s}, {after: 3 * s, ended: true, livedAgo: 4 * s}}, false},
		"connections, a request after each": {[]report{{}, {after: s, livedAgo: 100 * ms}, {after: s, livedAgo: 100 * ms}}, true},
		"connections, told of three":        {[]report{{told: true}, {after: s, told: true}, {after: s, told: true}}, true},
		"connections, told undated":         {[]report{{told: true, ago: 3 * s}, {told: true, undated: true}, {after: s, told: true, undated: true}}, false},
		"connections, told undated first":   {[]report{{told: true, undated: true}, {after: s, told: true, ago: 4 * s}, {after: s, told: true, ago: 5 * s}}, false},
		"undated, then two more":            {[]report{{told: true, undated: true}, {told: true, ago: 3 * s}, {told: true, ago: 2 * s}, {told: true, ago: s}}, true},
		"three starts, undated":             {[]report{{engine: 1, ended: true, told: true, undated: true}, {after: s, engine: 2, ended: true, told: true, undated: true}, {after: s, engine: 3, ended: true, told: true, undated: true}}, true},
		"three starts":                      {[]report{{engine: 1, ended: true}, {after: s, engine: 2, ended: true}, {after: s, engine: 3, ended: true, told: true}}, true},
		"three starts, told late":           {[]report{{engine: 1, ended: true, told: true, ago: 3 * s}, {engine: 2, ended: true, told: true, ago: 2 * s}, {engine: 3, ended: true, told: true, ago: s}}, true},
		"no start, apart":                   {[]report{{noStart: true}, {after: s, noStart: true, livedAgo: 100 * ms}, {after: s, noStart: true, livedAgo: 100 * ms}}, true},
		"no start, ended, apart":            {[]report{{noStart: true, ended: true}, {after: s, noStart: true, ended: true}, {after: s, noStart: true, ended: true}}, true},
		"no start, together":                {[]report{{noStart: true}, {after: 200 * ms, noStart: true}, {after: 200 * ms, noStart: true}}, false},
		"a common cause, noticed late":      {[]report{{engine: 1, ended: true}, {engine: 2, ended: true}, {after: 2700 * ms, engine: 3, ended: true, span: 3500 * ms}, {engine: 4, ended: true, span: 3500 * ms}}, false},
		"a common cause, then another end":  {[]report{{engine: 1, ended: true}, {engine: 2, ended: true}, {after: 2700 * ms, engine: 3, ended: true}, {engine: 4, ended: true}}, true},
		"noticed late, different causes":    {[]report{{engine: 1, ended: true}, {after: s, engine: 2, ended: true}, {after: 2 * s, engine: 3, ended: true, span: 500 * ms}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			clock := &testClock{now: time.Hour}
			q := newVM(clock)
			for i, r := range c.reports {
				clock.now += r.after
				parts := []string{"p", string(rune('a' + i))}
				start := bluebelldoor.TargetIncarnation{ID: string(rune('0' + r.engine)), StartedAt: 1}
				if r.noStart {
					start.StartedAt = 0
				}
				if !r.told {
					q.RecordCrash(quarantiner.Crash{
						Service: "s", Target: start, Ago: r.ago, Span: r.span, LivedAgo: r.livedAgo, Ended: r.ended,
						Requests: []quarantiner.Request{{Account: "a", Parts: parts}},
					})
					continue
				}
				q.Merge("peer", []bluebelldoor.PromptCrash{{
					Service: "s", Target: start.ID + "/1", Account: "a", AgeMs: r.ago.Milliseconds(), SpanMs: r.span.Milliseconds(), Undated: r.undated, Ended: r.ended,
					Parts: []bluebelldoor.PromptPart{{ID: parts[0]}, {ID: parts[1]}},
				}})
			}
			_, quarantined := q.Check("s", "a", []string{"p"})
			assert.Equal(t, quarantined, c.want)
		})
	}
}

// TestEarliestReport guards against an end that VMs date differently for good: the report that
// dates it earliest holds, whichever comes first.
func TestEarliestReport(t *testing.T) {
	for name, ages := range map[string][]int64{"earlier one first": {2000, 500}, "later one first": {500, 2000}} {
		t.Run(name, func(t *testing.T) {
			clock := &testClock{now: time.Hour}
			q := newVM(clock)
			for _, age := range ages {
				q.Merge("peer", []bluebelldoor.PromptCrash{{Service: "s", Target: "1/1", Account: "a", AgeMs: age, Ended: true, Parts: []bluebelldoor.PromptPart{{ID: "p"}}}})
			}
			_, crashes := q.Crashes(0)
			assert.Equal(t, len(crashes), 1)
			assert.Equal(t, crashes[0].AgeMs, int64(2000))
		})
	}
}

// TestOldAnswers guards against a deadly part that is set free by answers from before it ended
// targets, which a VM reads or hears of late and takes for later ones (BUDGET).
func TestOldAnswers(t *testing.T) {
	for name, answer := range map[string]func(q *quarantiner.Quarantiner, clock *testClock, stoodAt *time.Duration){
		"read by a VM that stood still": func(q *quarantiner.Quarantiner, clock *testClock, stoodAt *time.Duration) {
			*stoodAt = clock.now - 6*time.Second
			q.RecordSound("s", []string{"p"})
			*stoodAt = 0
		},
		"told again with its true age": func(q *quarantiner.Quarantiner, _ *testClock, _ *time.Duration) {
			for _, age := range []int64{10, 6000} {
				q.Merge("peer", []bluebelldoor.PromptCrash{{
					Service: "s", Target: "1/1", Account: "a", AgeMs: 3000, Ended: true,
					Parts: []bluebelldoor.PromptPart{{ID: "p", Proofs: []bluebelldoor.PartProof{{ID: 7, AgeMs: age}}}},
				}})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			clock, stoodAt := &testClock{now: time.Hour}, time.Duration(0)
			q := quarantiner.New(clock, func() {}, hclog.NewNullLogger(), quarantiner.WithEarliest(func() time.Duration {
				if stoodAt > 0 {
					return stoodAt
				}
				return clock.now
			}))
			for i := range 3 {
				q.RecordCrash(quarantiner.Crash{Service: "s", Target: target(i + 1), Ended: true, Requests: []quarantiner.Request{{Account: "a", Parts: []string{"p"}}}})
				clock.now += time.Second
			}
			answer(q, clock, &stoodAt)
			clock.now += time.Second
			_, quarantined := q.Check("s", "a", []string{"p"})
			assert.Assert(t, quarantined)
		})
	}
}

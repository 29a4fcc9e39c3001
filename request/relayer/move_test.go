package relayer

import (
	"context"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/connection/exchanger"
	"bluebelldoor/process/limiter"
	"bluebelldoor/process/pauser"
	"bluebelldoor/process/recorder"
	"bluebelldoor/process/registrar"
	"bluebelldoor/process/turner"
)

// TestMoveMachine checks the allowed transitions of a move.
func TestMoveMachine(t *testing.T) {
	for name, c := range map[string]struct {
		steps []moveTrigger
		want  moveState
		fails bool // the last step is not allowed
	}{
		"moved":                              {[]moveTrigger{turnGranted, firstCopyDone, lastCopyDone}, stateCopied, false},
		"second destination":                 {[]moveTrigger{turnGranted, firstCopyFailed, firstCopyFailed, firstCopyDone, lastCopyDone}, stateCopied, false},
		"no destination accepts it":          {[]moveTrigger{turnGranted, firstCopyFailed, noDestination}, stateFailed, false},
		"stream ended before the copy":       {[]moveTrigger{turnGranted, streamEnded}, stateDropped, false},
		"destination gone after stop":        {[]moveTrigger{turnGranted, firstCopyDone, keptAtSource}, stateKept, false},
		"source gone":                        {[]moveTrigger{turnGranted, firstCopyDone, lastCopyFailed}, stateFailed, false},
		"no copy without a turn":             {[]moveTrigger{firstCopyDone}, stateQueued, true},
		"no last copy without a first":       {[]moveTrigger{turnGranted, lastCopyDone}, stateCopying, true},
		"no second destination once stopped": {[]moveTrigger{turnGranted, firstCopyDone, firstCopyFailed}, stateStopping, true},
		"no transition once ended":           {[]moveTrigger{turnGranted, firstCopyDone, lastCopyDone, firstCopyDone}, stateCopied, true},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMoveMachine()
			var err error
			for _, step := range c.steps {
				assert.NilError(t, err)
				err = m.Fire(step)
			}
			assert.Equal(t, err != nil, c.fails)
			assert.Equal(t, m.MustState().(moveState), c.want)
		})
	}
}

// scriptedCopier is a GenerationCopier whose first and last copies fail as scripted.
type scriptedCopier struct {
	first, last func(destination string) error
	freed       int
}

func (e *scriptedCopier) Copy(_ context.Context, _, destination *bluebelldoor.Instance, _ string, stop bool) (bluebelldoor.CopyResult, error) {
	time.Sleep(10 * time.Millisecond)
	script := e.first
	if stop {
		script = e.last
	}
	if script != nil {
		if err := script(destination.ID); err != nil {
			return bluebelldoor.CopyResult{}, err
		}
	}
	return bluebelldoor.CopyResult{CopyID: "copy", Handle: "h"}, nil
}

func (e *scriptedCopier) Free(context.Context, *bluebelldoor.Instance, string) error {
	e.freed++
	return nil
}

// fakeCatalogue publishes engines by name, separated by spaces.
type fakeCatalogue struct{ names string }

func (c fakeCatalogue) Read(context.Context) (bluebelldoor.CatalogueReply, error) {
	out := bluebelldoor.CatalogueReply{Revision: 1, Full: true}
	for _, name := range strings.Fields(c.names) {
		out.Records = append(out.Records, bluebelldoor.Record{Key: name, Revision: 1})
	}
	return out, nil
}

func (c fakeCatalogue) Watch(ctx context.Context, after bluebelldoor.Position, _ time.Duration) (bluebelldoor.CatalogueReply, error) {
	<-ctx.Done()
	return bluebelldoor.CatalogueReply{Era: after.Era, Revision: after.Revision}, ctx.Err()
}

func (c fakeCatalogue) Decode(r bluebelldoor.Record) bluebelldoor.Change {
	return bluebelldoor.Change{Instance: &bluebelldoor.Instance{ID: r.Key, Service: "s", DataCentre: "dc", Slots: 24}}
}

type testClock struct{ start time.Time }

func (s testClock) Now() time.Duration { return time.Since(s.start) + time.Second }

func copyError(n int, stopped string) error {
	return &bluebelldoor.CopyError{Status: n, StoppedCopyID: stopped, Cause: errors.New("no")}
}

// TestMoveLeavesNothing checks for each course of a move that no load remains on
// targets where the generation does not run.
func TestMoveLeavesNothing(t *testing.T) {
	for name, c := range map[string]struct {
		copier scriptedCopier
		ends   bool   // the stream ends during the first copy
		copied string // the copy to continue from
		loads  int    // targets with load after the move
		freed  int
	}{
		"moved":              {scriptedCopier{}, false, "copy", 1, 0},
		"no such generation": {scriptedCopier{first: func(string) error { return copyError(404, "") }}, false, "", 0, 0},
		"no room anywhere":   {scriptedCopier{first: func(string) error { return copyError(503, "") }}, false, "", 0, 0},
		"room at the second": {scriptedCopier{first: func() func(string) error {
			n := 0
			return func(string) error {
				if n++; n == 1 {
					return copyError(503, "")
				}
				return nil
			}
		}()}, false, "copy", 1, 0},
		"source gone at the stop":        {scriptedCopier{last: func(string) error { return copyError(0, "") }}, false, "", 0, 0},
		"destination gone at the stop":   {scriptedCopier{last: func(string) error { return copyError(503, "at source") }}, false, "at source", 0, 0},
		"stream ends during the copy":    {scriptedCopier{}, true, "", 0, 1},
		"stream ends and the copy fails": {scriptedCopier{first: func(string) error { return copyError(404, "") }}, true, "", 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := testClock{time.Now()}
				reg := registrar.New(fakeCatalogue{"source one two"}, clock, registrar.Role{
					ReadsForPeers: func() bool { return true }, Standby: func() bool { return false }, Changed: func() {},
				}, hclog.NewNullLogger())
				defer reg.Start()()
				time.Sleep(10 * time.Millisecond)
				r := New(Settings{DataCentre: "dc"}, Sources{View: reg.View, EvidenceAge: reg.EvidenceAge, Share: func() float64 { return 1 }}, Dependencies{
					Pauses: pauser.New(clock, hclog.NewNullLogger()), Limits: limiter.New(limiter.Fleet{}, clock, hclog.NewNullLogger()),
					Mover: &c.copier, Turns: turner.New("vm", nil, func() []bluebelldoor.MemberState { return nil }, hclog.NewNullLogger()), Metrics: recorder.NewRelayMetrics(),
				}, clock, hclog.NewNullLogger())
				source := reg.View().Target("source")
				j := &job{
					Relayer: r, ctx: t.Context(), serviceName: "s", request: &bluebelldoor.RelayRequest{ID: "1", PromptTokens: 100},
					route:   &bluebelldoor.RouteSpec{Generates: true, Streamed: true},
					service: &bluebelldoor.ServiceKind{Engine: &bluebelldoor.EngineKind{CanCopy: true, TokensPerEvent: 4, MemoryTokens: 1000}},
				}
				s := &stream{job: j, target: source, forwarded: 3}
				if c.ends {
					time.AfterFunc(15*time.Millisecond, func() { j.removeStream(s) })
				}
				j.moveGeneration(s, source)
				copied := ""
				if s.move != nil {
					copied = s.move.copyID
				}
				assert.Equal(t, copied, c.copied)
				assert.Equal(t, len(r.Loads()), c.loads, "%+v", r.Loads())
				assert.Equal(t, c.copier.freed, c.freed)
			})
		})
	}
}

// TestForgets checks that no state is kept of targets that have been removed. New
// targets, each with its own ID, start every few seconds, so that the state would
// grow.
func TestForgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := testClock{time.Now()}
		targets, closeIdle := exchanger.New(nil)
		defer closeIdle()
		r := New(Settings{}, Sources{}, Dependencies{Targets: targets, Limits: limiter.New(limiter.Fleet{}, clock, hclog.NewNullLogger()), Metrics: recorder.NewRelayMetrics()}, clock, hclog.NewNullLogger())
		for i := range 100 {
			gone := &registrar.Target{Instance: &bluebelldoor.Instance{ID: string(rune('A' + i)), DataCentre: "dc"}}
			r.mu.Lock()
			r.ledger.RecordOutcome(gone.ID, true)
			r.ledger.RecordCold(gone.ID, clock.Now())
			r.mu.Unlock()
			r.HandleLeaving(gone)
			r.mu.Lock()
			// Requests that ran there end after the target has announced that it is leaving.
			r.ledger.RecordOutcome(gone.ID, true)
			r.ledger.RecordUnreachable(gone.ID, clock.Now())
			r.ledger.RecordStall(gone.ID, "dc", clock.Now())
			r.mu.Unlock()
		}
		time.Sleep(forgetDelay + time.Second)
		r.mu.Lock()
		defer r.mu.Unlock()
		assert.Equal(t, r.ledger.TargetCount(), 0)
	})
}

// TestPausedIsAskedNothing checks that an engine that has asked for a pause is
// asked neither for copies nor whether it is leaving.
func TestPausedIsAskedNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := testClock{time.Now()}
		reg := startRegistrar(t, "source other", clock)
		copies := 0
		copier := &scriptedCopier{first: func(string) error {
			copies++
			return nil
		}}
		r := New(Settings{}, Sources{View: reg.View}, Dependencies{Mover: copier, Pauses: pauser.New(clock, hclog.NewNullLogger()), Limits: limiter.New(limiter.Fleet{}, clock, hclog.NewNullLogger())}, clock, hclog.NewNullLogger())
		source, other := reg.View().Target("source"), reg.View().Target("other")
		j := &job{Relayer: r, ctx: t.Context(), request: &bluebelldoor.RelayRequest{ID: "1"}, service: &bluebelldoor.ServiceKind{Engine: &bluebelldoor.EngineKind{}}}
		r.streams[&stream{job: j, target: source}] = struct{}{}
		assert.Equal(t, len(r.StreamingTargets()), 1)
		r.HandleResponseHead(source.Instance, bluebelldoor.ResponseHead{PauseFor: time.Second})
		assert.Equal(t, len(r.StreamingTargets()), 0)
		_, err := j.copyWithRetry(source, other, false)
		assert.ErrorIs(t, err, errPaused)
		assert.Equal(t, copies, 0)
		time.Sleep(2 * time.Second)
		_, err = j.copyWithRetry(source, other, false)
		assert.NilError(t, err)
		assert.Equal(t, len(r.StreamingTargets()), 1)
	})
}

// protectingRouting has a protected route, and a short one that ranks below it and sets no
// event gap of its own.
func protectingRouting() bluebelldoor.RoutingSpec {
	shares := []bluebelldoor.ServiceShare{{Service: "s", Weight: 1}}
	return bluebelldoor.RoutingSpec{Version: 1, Routes: []bluebelldoor.RouteSpec{
		{Name: "long", Host: "h", Prefix: "/long/", Streamed: true, Generates: true, Timeout: 39 * time.Second, MaxEventGap: 180 * time.Millisecond, Shares: shares},
		{Name: "short", Host: "h", Prefix: "/short/", Streamed: true, Generates: true, Timeout: 6 * time.Second, Priority: 1, Shares: shares},
	}}
}

// protectedJob returns a job on a route of protectingRouting with engines source, slow, fast and more.
func protectedJob(t *testing.T, route int, more ...string) *job {
	clock := testClock{time.Now()}
	routing := protectingRouting()
	reg := registrar.New(routingCatalogue{fakeCatalogue{strings.Join(append([]string{"source slow fast"}, more...), " ")}, routing}, clock, registrar.Role{
		ReadsForPeers: func() bool { return true }, Standby: func() bool { return false }, Changed: func() {},
	}, hclog.NewNullLogger())
	t.Cleanup(reg.Start())
	synctest.Wait()
	r := New(Settings{DataCentre: "dc"}, Sources{
		View: reg.View, EvidenceAge: reg.EvidenceAge, Share: func() float64 { return 1 },
		MarkLeaving: func(i *bluebelldoor.Instance) { reg.MarkLeaving(t.Context(), i) },
	}, Dependencies{
		Pauses: pauser.New(clock, hclog.NewNullLogger()), Limits: limiter.New(limiter.Fleet{}, clock, hclog.NewNullLogger()), Metrics: recorder.NewRelayMetrics(),
	}, clock, hclog.NewNullLogger())
	return &job{
		Relayer: r, ctx: t.Context(), serviceName: "s", request: &bluebelldoor.RelayRequest{ID: "1", PromptTokens: 100}, route: &routing.Routes[route],
		service: &bluebelldoor.ServiceKind{Engine: &bluebelldoor.EngineKind{CanCopy: true, TokensPerEvent: 4, MemoryTokens: 10_000}},
	}
}

// TestProtectedMove guards against a protected stream that moves to an engine where a prompt
// would make it late although another has room, and against such moves that go uncounted.
func TestProtectedMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := protectedJob(t, 0)
		for target, interval := range map[string]time.Duration{"slow": 40 * time.Millisecond, "fast": 20 * time.Millisecond} {
			s := &stream{job: j, target: j.sources.View().Target(target), mixes: true}
			s.recordIntervals([]time.Duration{interval, interval, interval, interval})
		}
		j.ledger.Start("fast", 1000, 0)
		destination, reservation := j.reserveDestination(j.sources.View().Target("source"), map[string]bool{"source": true}, 500)
		assert.Equal(t, destination.ID, "fast")
		for _, load := range j.Loads() {
			assert.Equal(t, load.Streams, map[string]int{"fast": 1}[load.Target], load.Target)
		}
		reservation.End()
		assert.Equal(t, protectedCount(t, j, "move", "safe"), 1.0)
	})
}

// TestStreamSamples guards against an engine whose pace stays unknown because its streams have
// only a few events, or because nothing is recorded before the sixteenth.
func TestStreamSamples(t *testing.T) {
	for name, c := range map[string]struct {
		route, events int
		ends          bool
		wantMs        int // reported interval
	}{
		"a long one before its first sample":    {0, 4, false, 0},
		"a long one with its first sample":      {0, 5, false, 20},
		"a short one that ended":                {1, 3, true, 20},
		"an ended one of two events, the last":  {1, 2, true, 0},
		"a short one that has not ended":        {1, 3, false, 0},
		"a long one that ended after a sample":  {0, 6, true, 20},
		"a long one that ended without a cause": {0, 1, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				j := protectedJob(t, c.route)
				s := &stream{job: j, target: j.sources.View().Target("slow"), mixes: true}
				reservation := j.ledger.Start("slow", 1000, 100)
				for range c.events {
					time.Sleep(20 * time.Millisecond)
					s.events.count++
					s.recordTiming()
					if s.isSampleDue() {
						j.updateReservation(s, reservation)
					}
					s.forwarded = s.events.count
				}
				if c.ends {
					s.recordShortStream()
				}
				loads := j.Loads()
				assert.Equal(t, len(loads), 1)
				assert.Equal(t, loads[0].EventIntervalMs, c.wantMs)
			})
		})
	}
}

// TestShortDemand guards against a short request that disturbs protected streams because its
// own route sets no event gap.
func TestShortDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		long, short := protectedJob(t, 0).demand(), protectedJob(t, 1).demand()
		assert.Assert(t, long.MixesStreams && long.Protected && short.MixesStreams && !short.Protected)
		assert.Equal(t, short.MaxEventGap, long.MaxEventGap)
	})
}

// protectedCount returns a value of the counter of protected streams.
func protectedCount(t *testing.T, j *job, step, target string) float64 {
	return counterValue(t, j, "bluebelldoor_protected_streams_total", map[string]string{"step": step, "target": target})
}

// counterValue returns the value of a counter, 0 if it has none with these labels.
func counterValue(t *testing.T, j *job, name string, want map[string]string) float64 {
	families, err := j.Metrics.Registry().Gather()
	assert.NilError(t, err)
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			labels := map[string]string{}
			for _, label := range metric.GetLabel() {
				labels[label.GetName()] = label.GetValue()
			}
			if maps.Equal(labels, want) {
				return metric.GetCounter().GetValue()
			}
		}
	}
	return 0
}

// TestProtectedChoiceIsLogged guards against an operator who cannot see whether protected
// streams run on safe targets.
func TestProtectedChoiceIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := protectedJob(t, 0)
		var out strings.Builder
		j.log = hclog.New(&hclog.LoggerOptions{Output: &out})
		for _, target := range []string{"source", "slow", "fast"} {
			s := &stream{job: j, target: j.sources.View().Target(target), mixes: true}
			s.recordIntervals(slices.Repeat([]time.Duration{40 * time.Millisecond}, 4))
		}
		target, reservation, refusal := j.place()
		assert.Assert(t, target != nil && refusal == nil)
		reservation.End()
		assert.Assert(t, strings.Contains(out.String(), "target chosen") && strings.Contains(out.String(), "gapMs=200 safe=false"), out.String())
		assert.Equal(t, protectedCount(t, j, "start", "unsafe"), 1.0)
		assert.Equal(t, protectedCount(t, j, "start", "safe"), 0.0)
	})
}

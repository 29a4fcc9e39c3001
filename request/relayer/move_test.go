package relayer

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/connection/exchanger"
	"bluebelldoor/process/pauser"
	"bluebelldoor/process/recorder"
	"bluebelldoor/process/registrar"
	"bluebelldoor/process/turner"
)

// TestMoveMachine holds the life cycle of a move to its table.
func TestMoveMachine(t *testing.T) {
	for name, c := range map[string]struct {
		steps []moveStep
		want  moveState
		fails bool // the last step is not allowed
	}{
		"moved":                              {[]moveStep{turnCame, firstCopied, lastCopied}, copied, false},
		"second destination":                 {[]moveStep{turnCame, firstFailed, firstFailed, firstCopied, lastCopied}, copied, false},
		"none takes it":                      {[]moveStep{turnCame, firstFailed, noDestination}, failed, false},
		"ended before its turn's copy":       {[]moveStep{turnCame, streamEnded}, dropped, false},
		"destination gone after stop":        {[]moveStep{turnCame, firstCopied, keptAtSource}, kept, false},
		"source gone":                        {[]moveStep{turnCame, firstCopied, lastFailed}, failed, false},
		"no copy without a turn":             {[]moveStep{firstCopied}, queued, true},
		"no last copy without a first":       {[]moveStep{turnCame, lastCopied}, copying, true},
		"no second destination once stopped": {[]moveStep{turnCame, firstCopied, firstFailed}, stopping, true},
		"nothing after the end":              {[]moveStep{turnCame, firstCopied, lastCopied, firstCopied}, copied, true},
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

// engines is a mover that follows a script.
type engines struct {
	first, last func(destination string) error
	freed       int
}

func (e *engines) Copy(_ context.Context, _, destination *bluebelldoor.Instance, _ string, stop bool) (bluebelldoor.CopyResult, error) {
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
	return bluebelldoor.CopyResult{Copy: "copy", Handle: "h"}, nil
}

func (e *engines) Free(context.Context, *bluebelldoor.Instance, string) error {
	e.freed++
	return nil
}

// catalogue publishes engines by name.
type catalogue struct{ names string }

func (c catalogue) Read(context.Context) (bluebelldoor.Published, error) {
	out := bluebelldoor.Published{Revision: 1, Whole: true}
	for _, name := range strings.Fields(c.names) {
		out.Records = append(out.Records, bluebelldoor.Record{Key: name, Revision: 1})
	}
	return out, nil
}

func (c catalogue) Watch(ctx context.Context, after uint64, _ time.Duration) (bluebelldoor.Published, error) {
	<-ctx.Done()
	return bluebelldoor.Published{Revision: after}, ctx.Err()
}

func (c catalogue) Decode(r bluebelldoor.Record) bluebelldoor.Change {
	return bluebelldoor.Change{Instance: &bluebelldoor.Instance{ID: r.Key, Service: "s", DataCentre: "dc", Slots: 24}}
}

type steady struct{ start time.Time }

func (s steady) Now() time.Duration { return time.Since(s.start) + time.Second }

func status(n int, stopped string) error {
	return &bluebelldoor.CopyError{Status: n, Stopped: stopped, Cause: errors.New("no")}
}

// TestMoveLeavesNothing moves a generation in each way that a move may go, and
// leaves no load on targets where it does not run.
func TestMoveLeavesNothing(t *testing.T) {
	for name, c := range map[string]struct {
		engines engines
		ends    bool   // the stream ends during the first copy
		copied  string // the copy to go on from
		loads   int    // targets with load after the move
		freed   int
	}{
		"moved":            {engines{}, false, "copy", 1, 0},
		"no such run":      {engines{first: func(string) error { return status(404, "") }}, false, "", 0, 0},
		"no room anywhere": {engines{first: func(string) error { return status(503, "") }}, false, "", 0, 0},
		"room at the second": {engines{first: func() func(string) error {
			n := 0
			return func(string) error {
				if n++; n == 1 {
					return status(503, "")
				}
				return nil
			}
		}()}, false, "copy", 1, 0},
		"source gone at the stop":      {engines{last: func(string) error { return status(0, "") }}, false, "", 0, 0},
		"destination gone at the stop": {engines{last: func(string) error { return status(503, "at source") }}, false, "at source", 0, 0},
		"ends meanwhile":               {engines{}, true, "", 0, 1},
		"ends, and the copy fails":     {engines{first: func(string) error { return status(404, "") }}, true, "", 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := steady{time.Now()}
				held := registrar.New(catalogue{"source one two"}, clock, registrar.Role{
					Reads: func() bool { return true }, Served: func() bool { return false }, Changed: func() {},
				}, hclog.NewNullLogger())
				defer held.Start()()
				time.Sleep(10 * time.Millisecond)
				r := New(Settings{DataCentre: "dc"}, Sources{View: held.View, Evidence: held.Evidence, Share: func() float64 { return 1 }}, Parts{
					Pauses: pauser.New(clock, hclog.NewNullLogger()),
					Mover:  &c.engines, Turns: turner.New("vm", nil, func() []bluebelldoor.MemberState { return nil }, hclog.NewNullLogger()), Metrics: recorder.NewRelayMetrics(),
				}, clock, hclog.NewNullLogger())
				source := held.View().Target("source")
				j := &job{
					Relayer: r, ctx: t.Context(), name: "s", request: &bluebelldoor.RelayRequest{ID: "1", PromptTokens: 100},
					route:   &bluebelldoor.RouteSpec{Generates: true, Streamed: true},
					service: &bluebelldoor.ServiceKind{Engine: &bluebelldoor.EngineKind{Moves: true, TokensPerEvent: 4, MemoryTokens: 1000}},
				}
				s := &stream{job: j, target: source, made: 3}
				if c.ends {
					time.AfterFunc(15*time.Millisecond, func() { j.drop(s) })
				}
				j.moveOne(s, source)
				copied := ""
				if s.move != nil {
					copied = s.move.copied
				}
				assert.Equal(t, copied, c.copied)
				assert.Equal(t, len(r.Loads()), c.loads, "%+v", r.Loads())
				assert.Equal(t, c.engines.freed, c.freed)
			})
		})
	}
}

// TestForgets keeps nothing of targets that have gone: new ones come every few
// seconds, each with an ID of its own.
func TestForgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := steady{time.Now()}
		targets, closeIdle := exchanger.New(nil)
		defer closeIdle()
		r := New(Settings{}, Sources{}, Parts{Targets: targets, Metrics: recorder.NewRelayMetrics()}, clock, hclog.NewNullLogger())
		for i := range 100 {
			gone := &registrar.Target{Instance: &bluebelldoor.Instance{ID: string(rune('A' + i)), DataCentre: "dc"}}
			r.mu.Lock()
			r.ledger.Outcome(gone.ID, true)
			r.ledger.SentCold(gone.ID, clock.Now())
			r.mu.Unlock()
			r.Leaving(gone)
			r.mu.Lock()
			// What ran there ends after the notice.
			r.ledger.Outcome(gone.ID, true)
			r.ledger.Unreachable(gone.ID, clock.Now())
			r.ledger.Stall(gone.ID, "dc", clock.Now())
			r.mu.Unlock()
		}
		time.Sleep(forgetAfter + time.Second)
		r.mu.Lock()
		defer r.mu.Unlock()
		assert.Equal(t, r.ledger.Targets(), 0)
	})
}

// TestPausedIsAskedNothing makes no copies off an engine that wants a pause, and does
// not ask it whether it leaves.
func TestPausedIsAskedNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := steady{time.Now()}
		held := published(t, "source other", clock)
		asked := 0
		mover := &engines{first: func(string) error {
			asked++
			return nil
		}}
		r := New(Settings{}, Sources{View: held.View}, Parts{Mover: mover, Pauses: pauser.New(clock, hclog.NewNullLogger())}, clock, hclog.NewNullLogger())
		source, other := held.View().Target("source"), held.View().Target("other")
		j := &job{Relayer: r, ctx: t.Context(), request: &bluebelldoor.RelayRequest{ID: "1"}, service: &bluebelldoor.ServiceKind{Engine: &bluebelldoor.EngineKind{}}}
		r.streams[&stream{job: j, target: source}] = struct{}{}
		assert.Equal(t, len(r.Streaming()), 1)
		r.Heard(source.Instance, bluebelldoor.AnswerHead{PauseFor: time.Second})
		assert.Equal(t, len(r.Streaming()), 0)
		_, err := j.copy(source, other, false)
		assert.ErrorIs(t, err, errPaused)
		assert.Equal(t, asked, 0)
		time.Sleep(2 * time.Second)
		_, err = j.copy(source, other, false)
		assert.NilError(t, err)
		assert.Equal(t, len(r.Streaming()), 1)
	})
}

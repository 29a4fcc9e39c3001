package registrar_test

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/registrar"
)

// steady is a clock for tests in virtual time; it may jump over a suspension.
type steady struct {
	start time.Time
	extra atomic.Int64
}

func (s *steady) Now() time.Duration {
	return time.Since(s.start) + time.Duration(s.extra.Load()) + time.Second
}

// catalogue holds entries whose text says what they are: "v7" is routing,
// "ready", "draining", "ready/2" (born) targets, "out" a data centre.
type catalogue struct {
	mu       sync.Mutex
	revision uint64
	records  map[string]bluebelldoor.Record
	failing  error
	lost     bool
	calls    int
	changed  chan struct{}
}

func newCatalogue() *catalogue {
	return &catalogue{revision: 1, records: map[string]bluebelldoor.Record{}, changed: make(chan struct{})}
}

func (c *catalogue) put(key, value string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision++
	c.records[key] = bluebelldoor.Record{Key: key, Revision: c.revision, Value: []byte(value), Gone: value == ""}
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *catalogue) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failing = err
}

func (c *catalogue) Read(context.Context) (bluebelldoor.Published, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.failing != nil {
		return bluebelldoor.Published{}, c.failing
	}
	c.lost = false
	out := bluebelldoor.Published{Revision: c.revision, Whole: true}
	for _, r := range c.records {
		if !r.Gone {
			out.Records = append(out.Records, r)
		}
	}
	return out, nil
}

func (c *catalogue) Watch(ctx context.Context, after uint64, wait time.Duration) (bluebelldoor.Published, error) {
	timeout := time.After(wait)
	c.mu.Lock()
	c.calls++
	c.mu.Unlock()
	for {
		c.mu.Lock()
		changed, failing, lost := c.changed, c.failing, c.lost
		out := bluebelldoor.Published{Revision: c.revision}
		for _, r := range c.records {
			if r.Revision > after {
				out.Records = append(out.Records, r)
			}
		}
		c.mu.Unlock()
		switch {
		case failing != nil:
			return bluebelldoor.Published{}, failing
		case lost:
			return bluebelldoor.Published{}, bluebelldoor.ErrHistoryLost
		case len(out.Records) > 0:
			return out, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return out, nil
		case <-ctx.Done():
			return bluebelldoor.Published{}, ctx.Err()
		}
	}
}

func (c *catalogue) Decode(r bluebelldoor.Record) bluebelldoor.Change {
	out := bluebelldoor.Change{Gone: r.Gone}
	value := string(r.Value)
	switch {
	case strings.HasPrefix(r.Key, "out/"):
		out.DataCentre = strings.TrimPrefix(r.Key, "out/")
	case r.Gone:
	case strings.HasPrefix(value, "v"):
		version, err := strconv.ParseUint(value[1:], 10, 64)
		if err != nil {
			out.Err = err
			break
		}
		out.Routing = bluebelldoor.NewRouting(bluebelldoor.RoutingSpec{Version: version})
	case strings.HasPrefix(value, "ready"), strings.HasPrefix(value, "draining"):
		state, born, _ := strings.Cut(value, "/")
		n, _ := strconv.ParseInt(born, 10, 64)
		out.Instance = &bluebelldoor.Instance{
			ID: strings.TrimPrefix(r.Key, "t/"), Born: n, Service: "s", Address: "a", DataCentre: "dc", Leaving: state == "draining",
		}
	default:
		out.Err = errors.New("noise")
	}
	return out
}

type vm struct {
	*registrar.Registrar
	clock *steady
	mu    sync.Mutex
	gone  []string
}

// left returns the targets that observers were told of.
func (v *vm) left() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.gone)
}

func start(t *testing.T, c bluebelldoor.Catalogue, reads bool, options ...registrar.Option) *vm {
	t.Helper()
	v := &vm{clock: &steady{start: time.Now()}}
	v.Registrar = registrar.New(c, v.clock, registrar.Role{
		Reads:   func() bool { return reads },
		Served:  func() bool { return false },
		Changed: func() {},
	}, hclog.NewNullLogger(), options...)
	v.Observe(func(t *registrar.Target) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.gone = append(v.gone, fmt.Sprintf("%s/%d", t.ID, t.Born))
	})
	t.Cleanup(v.Start())
	return v
}

func (v *vm) open(id string) bool {
	t := v.View().Target(id)
	return t != nil && v.View().Open(t.Instance)
}

func TestTargets(t *testing.T) {
	for name, c := range map[string]struct {
		values []string // of t/x, one after the other; "" removes it
		open   bool
		left   []string
	}{
		"ready":                   {[]string{"ready"}, true, nil},
		"draining":                {[]string{"ready", "draining"}, false, []string{"x/0"}},
		"draining from the start": {[]string{"draining"}, false, nil},
		"removed":                 {[]string{"ready", ""}, false, []string{"x/0"}},
		"drains and is removed":   {[]string{"ready", "draining", ""}, false, []string{"x/0"}},
		"comes back":              {[]string{"ready", "", "ready/1"}, true, []string{"x/0"}},
		"starts again":            {[]string{"ready/1", "ready/2"}, true, []string{"x/1"}},
		"drains, says ready":      {[]string{"ready/1", "draining/1", "ready/1"}, false, []string{"x/1"}},
		"drains, starts again":    {[]string{"ready/1", "draining/1", "ready/2"}, true, []string{"x/1"}},
		"can't be read":           {[]string{"ready", "?"}, false, []string{"x/0"}},
		"can be read again":       {[]string{"ready", "?", "ready"}, true, []string{"x/0"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newCatalogue()
				v := start(t, store, true)
				for _, value := range c.values {
					store.put("t/x", value)
					synctest.Wait()
				}
				assert.Equal(t, v.open("x"), c.open)
				assert.DeepEqual(t, v.left(), c.left)
			})
		})
	}
}

// TestOpen closes an earlier start of a target to those that still hold it.
func TestOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		v := start(t, store, true)
		store.put("t/x", "ready/1")
		synctest.Wait()
		held := v.View().Target("x").Instance
		assert.Assert(t, v.View().Open(held))
		store.put("t/x", "ready/2")
		synctest.Wait()
		assert.Assert(t, v.open("x"))
		assert.Assert(t, !v.View().Open(held))
		moved := *v.View().Target("x").Instance
		moved.Address = "127.0.0.1:1"
		assert.Assert(t, !v.View().Open(&moved))
	})
}

// TestVersions never goes back, whatever the platform says.
func TestVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		v := start(t, store, true)
		highest := uint64(0)
		for _, value := range []string{"v3", "v7", "v5", "vx", "v8", "", "v2"} {
			store.put("config", value)
			synctest.Wait()
			assert.Assert(t, v.View().Routing().Version() >= highest)
			highest = v.View().Routing().Version()
		}
		assert.Equal(t, highest, uint64(8))
	})
}

func TestOutOfService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		v := start(t, store, true)
		store.put("t/x", "ready")
		store.put("out/dc", "out")
		synctest.Wait()
		assert.Assert(t, !v.open("x"))
		assert.Equal(t, len(v.left()), 0)
		store.put("out/dc", "")
		synctest.Wait()
		assert.Assert(t, v.open("x"))
	})
}

// TestHistoryLost reads everything anew, and notices what has gone meanwhile.
func TestHistoryLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		v := start(t, store, true)
		store.put("t/x", "ready")
		store.put("t/y", "ready")
		synctest.Wait()
		store.mu.Lock()
		store.lost = true
		delete(store.records, "t/x")
		store.revision++
		close(store.changed)
		store.changed = make(chan struct{})
		store.mu.Unlock()
		time.Sleep(time.Second)
		assert.Assert(t, !v.open("x"))
		assert.Assert(t, v.open("y"))
		assert.DeepEqual(t, v.left(), []string{"x/0"})
	})
}

// TestLapse keeps targets whose entries have gone in an outage for as long as
// they may come back.
func TestLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		v := start(t, store, true)
		store.put("t/x", "ready")
		store.put("t/y", "ready")
		synctest.Wait()
		store.fail(errors.New("down"))
		time.Sleep(4 * time.Second)
		store.put("t/x", "")
		store.put("t/y", "")
		store.fail(nil)
		time.Sleep(time.Second)
		assert.Assert(t, v.open("x") && v.open("y"), "gone at once after an outage")
		assert.Assert(t, v.View().Target("x").Lapsed)
		store.put("t/x", "ready")
		time.Sleep(3 * time.Second)
		assert.Assert(t, v.open("x"))
		assert.Assert(t, !v.open("y"), "kept for good")
		assert.DeepEqual(t, v.left(), []string{"y/0"})
	})
}

// TestQuietPeers lets a VM that reads nothing itself hear from a peer, for longer
// than an outage takes, that nothing has changed. A target that goes then has gone:
// the platform was not silent, and the entry will not be back.
func TestQuietPeers(t *testing.T) {
	const round = 500 * time.Millisecond
	for name, c := range map[string]struct {
		quiet  time.Duration // the peer confirms what is held
		silent time.Duration // then it does not
		open   bool
	}{
		"news at once":           {0, 0, false},
		"quiet for five seconds": {5 * time.Second, 0, false},
		"an outage":              {5 * time.Second, 4 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newCatalogue()
				store.put("t/x", "ready")
				v := start(t, store, false)
				synctest.Wait()
				assert.Assert(t, v.open("x"))
				store.fail(errors.New("only the peer reads"))
				for range c.quiet / round {
					time.Sleep(round)
					v.Receive(t.Context(), bluebelldoor.RecordDelta{Base: 2, Revision: 2, EvidenceAgeMs: 100}, v.clock.Now(), true)
				}
				time.Sleep(c.silent)
				gone := bluebelldoor.Record{Key: "t/x", Revision: 3, Gone: true}
				v.Receive(t.Context(), bluebelldoor.RecordDelta{Base: 2, Revision: 3, Records: []bluebelldoor.Record{gone}, EvidenceAgeMs: 100}, v.clock.Now(), true)
				assert.Equal(t, v.open("x"), c.open)
			})
		})
	}
}

// TestEvidence counts its age from the moment of asking, also over a
// suspension of the VM, and knows none while the platform is silent.
func TestEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		v := start(t, store, true)
		_, proved := v.Evidence()
		assert.Assert(t, !proved)
		time.Sleep(5 * time.Second)
		age, proved := v.Evidence()
		assert.Assert(t, proved && age < 2*time.Second, "%s", age)
		v.clock.extra.Add(int64(7 * time.Second))
		age, _ = v.Evidence()
		assert.Assert(t, age > 7*time.Second, "a suspension does not count: %s", age)
		store.fail(errors.New("down"))
		before := age
		time.Sleep(3 * time.Second)
		age, _ = v.Evidence()
		assert.Assert(t, age >= 3*time.Second && age < before+4*time.Second, "%s", age)
	})
}

// TestEvidenceFor keeps the evidence of a VM that reads, from a platform where nothing
// changes, of use for as long as its keys need it, with what the way to peers takes.
func TestEvidenceFor(t *testing.T) {
	for name, c := range map[string]struct{ needed, most time.Duration }{
		"seconds":        {3750 * time.Millisecond, 1400 * time.Millisecond},
		"about a second": {1200 * time.Millisecond, 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := start(t, newCatalogue(), true, registrar.WithEvidenceFor(c.needed))
				synctest.Wait()
				for range 500 {
					time.Sleep(10 * time.Millisecond)
					age, proved := v.Evidence()
					assert.Assert(t, proved && age <= c.most, "%s", age)
				}
			})
		})
	}
}

// TestPeers shows what a VM takes from a peer, and what it takes as evidence.
func TestPeers(t *testing.T) {
	rec := func(key, value string, revision uint64) bluebelldoor.Record {
		return bluebelldoor.Record{Key: key, Value: []byte(value), Revision: revision, Gone: value == ""}
	}
	for name, c := range map[string]struct {
		news   bluebelldoor.RecordDelta
		answer bool
		open   bool // target y, which the news adds
		proved bool // the evidence is as old as the peer's
	}{
		"an answer":            {bluebelldoor.RecordDelta{Base: 2, Revision: 9, Records: []bluebelldoor.Record{rec("t/y", "ready", 9)}, EvidenceAgeMs: 100}, true, true, true},
		"unasked":              {bluebelldoor.RecordDelta{Base: 2, Revision: 9, Records: []bluebelldoor.Record{rec("t/y", "ready", 9)}, EvidenceAgeMs: 100}, false, true, false},
		"a gap before it":      {bluebelldoor.RecordDelta{Base: 5, Revision: 9, Records: []bluebelldoor.Record{rec("t/y", "ready", 9)}, EvidenceAgeMs: 100}, true, false, false},
		"everything":           {bluebelldoor.RecordDelta{Revision: 9, Records: []bluebelldoor.Record{rec("t/x", "ready", 2), rec("t/y", "ready", 9)}, EvidenceAgeMs: 100}, true, true, true},
		"older than held":      {bluebelldoor.RecordDelta{Base: 1, Revision: 1, EvidenceAgeMs: 100}, true, false, false},
		"no evidence":          {bluebelldoor.RecordDelta{Base: 2, Revision: 9, Records: []bluebelldoor.Record{rec("t/y", "ready", 9)}, EvidenceAgeMs: -1}, true, true, false},
		"nothing new, younger": {bluebelldoor.RecordDelta{Base: 2, Revision: 2, EvidenceAgeMs: 100}, true, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newCatalogue()
				store.put("t/x", "ready")
				v := start(t, store, true)
				time.Sleep(10 * time.Millisecond)
				assert.Equal(t, v.Revision(), uint64(2))
				store.fail(errors.New("cut off"))
				time.Sleep(5 * time.Second)
				v.Receive(t.Context(), c.news, v.clock.Now()-50*time.Millisecond, c.answer)
				assert.Equal(t, v.open("y"), c.open)
				assert.Assert(t, v.open("x"))
				age, _ := v.Evidence()
				assert.Equal(t, age == 150*time.Millisecond, c.proved, "%s", age)
			})
		})
	}
}

// TestNewsBetweenPeers brings a VM that reads nothing itself up to date from
// one that does, with removals, and its evidence with it.
func TestNewsBetweenPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		reader, other := start(t, store, true), start(t, newCatalogue(), false)
		for i := range 40 {
			store.put(fmt.Sprintf("t/%d", i%7), []string{"ready", "draining", ""}[i%3])
			synctest.Wait()
			asked := other.clock.Now()
			other.Receive(t.Context(), reader.Delta(t.Context(), other.Revision(), true), asked, true)
			for n := range 7 {
				id := strconv.Itoa(n)
				assert.Equal(t, reader.open(id), other.open(id), "step %d, target %s", i, id)
			}
		}
	})
}

// TestReadsAlone leaves reading to its peers while they bring evidence, and
// reads for itself when they do not.
func TestReadsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		v := start(t, store, false)
		time.Sleep(10 * time.Millisecond)
		calls := func() int {
			store.mu.Lock()
			defer store.mu.Unlock()
			return store.calls
		}
		first := calls()
		for range 20 {
			time.Sleep(250 * time.Millisecond)
			v.Receive(t.Context(), bluebelldoor.RecordDelta{Base: 1, Revision: 1, EvidenceAgeMs: 300}, v.clock.Now(), true)
		}
		assert.Equal(t, calls(), first)
		time.Sleep(3 * time.Second)
		assert.Assert(t, calls() > first)
	})
}

// TestWhole sends everything only to a peer that asks for it, which one that
// can't read the platform does, but not at its start.
func TestWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newCatalogue()
		store.put("t/x", "ready")
		down := newCatalogue()
		down.fail(errors.New("down"))
		reader, other := start(t, store, true), start(t, down, false)
		time.Sleep(100 * time.Millisecond)
		ask := func() bluebelldoor.RecordDelta {
			question := other.Delta(t.Context(), 0, false)
			answer := reader.Delta(t.Context(), question.Revision, question.Want)
			other.Receive(t.Context(), answer, other.clock.Now(), true)
			return answer
		}
		assert.Equal(t, len(ask().Records), 0, "everything to a VM that has just started")
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(ask().Records), 1)
		assert.Assert(t, other.open("x"))
		assert.Equal(t, len(ask().Records), 0, "everything once more")
	})
}

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
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"bluebelldoor"
	"bluebelldoor/process/registrar"
)

// fakeClock follows the virtual time of a test; skipped adds the time of a suspension.
type fakeClock struct {
	start   time.Time
	skipped atomic.Int64
}

func (c *fakeClock) Now() time.Duration {
	return time.Since(c.start) + time.Duration(c.skipped.Load()) + time.Second
}

// catalogue is a fake platform. The value of a record determines its kind: "v7" is
// routing of version 7, "ready", "draining" or "ready/2" a target (started at 2), and "out" a
// data centre that is out of service. What follows a line break is ignored.
type catalogue struct {
	mu       sync.Mutex
	revision uint64
	records  map[string]bluebelldoor.Record
	err      error
	// historyLost makes watches fail until the next read.
	historyLost bool
	// era increases with each restore. Watches from another era fail.
	era   uint64
	calls int
	// reads is the number of full reads.
	reads   int
	changed chan struct{}
}

func newCatalogue() *catalogue {
	return &catalogue{revision: 1, records: map[string]bluebelldoor.Record{}, changed: make(chan struct{})}
}

func (c *catalogue) put(key, value string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision++
	c.records[key] = bluebelldoor.Record{Key: key, Revision: c.revision, Value: []byte(value), Removed: value == ""}
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *catalogue) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
}

func (c *catalogue) Read(context.Context) (bluebelldoor.CatalogueReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.err != nil {
		return bluebelldoor.CatalogueReply{}, c.err
	}
	c.historyLost = false
	c.reads++
	out := bluebelldoor.CatalogueReply{Era: c.era, Revision: c.revision, Full: true}
	for _, r := range c.records {
		if !r.Removed {
			r.Era = c.era
			out.Records = append(out.Records, r)
		}
	}
	return out, nil
}

func (c *catalogue) Watch(ctx context.Context, after bluebelldoor.Position, wait time.Duration) (bluebelldoor.CatalogueReply, error) {
	timeout := time.After(wait)
	c.mu.Lock()
	c.calls++
	c.mu.Unlock()
	for {
		c.mu.Lock()
		changed, err, historyLost := c.changed, c.err, c.historyLost || after.Era != c.era || c.era > 0 && after.Revision > c.revision
		out := bluebelldoor.CatalogueReply{Era: c.era, Revision: c.revision}
		for _, r := range c.records {
			if r.Revision > after.Revision {
				r.Era = c.era
				out.Records = append(out.Records, r)
			}
		}
		c.mu.Unlock()
		switch {
		case err != nil:
			return bluebelldoor.CatalogueReply{}, err
		case historyLost:
			time.Sleep(time.Millisecond) // responses take time
			return bluebelldoor.CatalogueReply{}, bluebelldoor.ErrHistoryLost
		case len(out.Records) > 0:
			return out, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return out, nil
		case <-ctx.Done():
			return bluebelldoor.CatalogueReply{}, ctx.Err()
		}
	}
}

func (c *catalogue) Decode(r bluebelldoor.Record) bluebelldoor.Change {
	out := bluebelldoor.Change{Removed: r.Removed}
	value, _, _ := strings.Cut(string(r.Value), "\n")
	switch {
	case strings.HasPrefix(r.Key, "out/"):
		out.DataCentre = strings.TrimPrefix(r.Key, "out/")
	case r.Removed:
	case strings.HasPrefix(value, "v"):
		version, err := strconv.ParseUint(value[1:], 10, 64)
		if err != nil {
			out.Err = err
			break
		}
		out.Routing = bluebelldoor.NewRouting(bluebelldoor.RoutingSpec{Version: version})
	case strings.HasPrefix(value, "ready"), strings.HasPrefix(value, "draining"):
		state, startedAt, _ := strings.Cut(value, "/")
		n, _ := strconv.ParseInt(startedAt, 10, 64)
		out.Instance = &bluebelldoor.Instance{
			ID: strings.TrimPrefix(r.Key, "t/"), StartedAt: n, Service: "s", Address: "a", DataCentre: "dc", Leaving: state == "draining",
		}
	default:
		out.Err = errors.New("unknown value")
	}
	return out
}

type vm struct {
	*registrar.Registrar
	clock *fakeClock
	mu    sync.Mutex
	// closed are the targets that the observer was called with, lapsed those of them whose
	// records had only disappeared.
	closed []string
	lapsed map[string]bool
}

func (v *vm) closedTargets() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.closed)
}

func start(t *testing.T, c bluebelldoor.Catalogue, reads bool, options ...registrar.Option) *vm {
	t.Helper()
	v, stop := startStoppable(c, reads, options...)
	t.Cleanup(stop)
	return v
}

// startStandby starts a VM that is a standby and hears nothing from peers.
func startStandby(t *testing.T, c bluebelldoor.Catalogue, options ...registrar.Option) *vm {
	t.Helper()
	v, stop := startInRole(c, registrar.Role{ReadsForPeers: func() bool { return false }, Standby: func() bool { return true }, Changed: func() {}}, options...)
	t.Cleanup(stop)
	return v
}

func startStoppable(c bluebelldoor.Catalogue, reads bool, options ...registrar.Option) (*vm, func()) {
	return startInRole(c, registrar.Role{ReadsForPeers: func() bool { return reads }, Standby: func() bool { return false }, Changed: func() {}}, options...)
}

func startInRole(c bluebelldoor.Catalogue, role registrar.Role, options ...registrar.Option) (*vm, func()) {
	v := &vm{clock: &fakeClock{start: time.Now()}, lapsed: map[string]bool{}}
	v.Registrar = registrar.New(c, v.clock, role, hclog.NewNullLogger(), options...)
	v.Observe(func(t *registrar.Target) {
		v.mu.Lock()
		defer v.mu.Unlock()
		incarnation := fmt.Sprintf("%s/%d", t.ID, t.StartedAt)
		v.closed = append(v.closed, incarnation)
		v.lapsed[incarnation] = t.Lapsed
	})
	return v, v.Start()
}

// hasLapsed reports whether a closed target's record had only disappeared.
func (v *vm) hasLapsed(incarnation string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lapsed[incarnation]
}

func (v *vm) open(id string) bool {
	t := v.View().Target(id)
	return t != nil && v.View().AcceptsNewWork(t.Instance)
}

// linkedCatalogue is a catalogue behind a link that may be cut, or delay replies.
type linkedCatalogue struct {
	bluebelldoor.Catalogue
	cut atomic.Bool
	// delay is the time that each reply takes, in nanoseconds.
	delay atomic.Int64
}

// receive returns a reply once it has arrived.
func (c *linkedCatalogue) receive(ctx context.Context, reply bluebelldoor.CatalogueReply, err error) (bluebelldoor.CatalogueReply, error) {
	delay := time.Duration(c.delay.Load())
	if delay == 0 {
		return reply, err
	}
	select {
	case <-time.After(delay):
		return reply, err
	case <-ctx.Done():
		return bluebelldoor.CatalogueReply{}, ctx.Err()
	}
}

func (c *linkedCatalogue) Read(ctx context.Context) (bluebelldoor.CatalogueReply, error) {
	if c.cut.Load() {
		return bluebelldoor.CatalogueReply{}, errors.New("cut off")
	}
	reply, err := c.Catalogue.Read(ctx)
	return c.receive(ctx, reply, err)
}

func (c *linkedCatalogue) Watch(ctx context.Context, after bluebelldoor.Position, wait time.Duration) (bluebelldoor.CatalogueReply, error) {
	if c.cut.Load() {
		return bluebelldoor.CatalogueReply{}, errors.New("cut off")
	}
	reply, err := c.Catalogue.Watch(ctx, after, wait)
	return c.receive(ctx, reply, err)
}

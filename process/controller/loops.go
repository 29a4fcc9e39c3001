package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bluebelldoor"
	"bluebelldoor/version/parser"
	"bluebelldoor/version/viewer"
)

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// freshFor returns how long a confirmed view may be acted on. The polls that
// confirm it run several times within that time.
func (c *Controller) freshFor() time.Duration {
	if d := c.State().View().Document(); d != nil {
		return d.Limits().FreshFor
	}
	return initialFreshFor
}

func retryDelay() time.Duration { return minRetryDelay + rand.N(maxRetryJitter) }

// jittered returns d changed at random by up to 10% either way, so that VMs do
// not poll in step.
func jittered(d time.Duration) time.Duration { return d*9/10 + rand.N(d/5) }

// readsPlatform reports whether this VM reads the platform itself: it is one of
// the few watchers of its data centre, or the watchers do not keep its view fresh.
func (c *Controller) readsPlatform(now time.Time) bool {
	view := c.State().View()
	if view.List() == nil || view.Document() == nil {
		return true
	}
	if slices.Contains(viewer.Watchers(view.List()), c.settings.Name()) {
		return true
	}
	half := view.Document().Limits().FreshFor / 2
	return now.Sub(view.DocumentConfirmed()) > half || now.Sub(view.ListConfirmed()) > half
}

// watchDocument reads the configuration service while readsPlatform returns true.
func (c *Controller) watchDocument(ctx context.Context) {
	failed := false
	for ctx.Err() == nil {
		if !c.readsPlatform(time.Now()) {
			sleep(ctx, retryDelay())
			continue
		}
		err := c.readDocument(ctx)
		if err != nil && !failed && ctx.Err() == nil {
			c.log.Warn("configuration service unreachable", "error", err)
		}
		failed = err != nil
		if failed {
			sleep(ctx, retryDelay())
		}
	}
}

func (c *Controller) readDocument(ctx context.Context) error {
	after, wait := uint64(0), time.Duration(0)
	if d := c.State().View().Document(); d != nil {
		after, wait = d.Revision(), c.freshFor()/pollsPerFreshFor
	}
	after = max(after, c.State().rejectedRevision())
	askedAt := time.Now()
	p, err := c.sources.Configuration.Read(ctx, after, wait)
	if err != nil {
		return err
	}
	e := documentRead{askedAt: askedAt, revision: p.Revision}
	if p.Text != nil {
		e.document, e.err = parse(p.Text, p.Revision)
	}
	c.post(ctx, e)
	if p.Revision < after {
		sleep(ctx, c.freshFor()/pollsPerFreshFor) // the service returned a stale copy
	}
	return nil
}

func parse(text []byte, revision uint64) (*bluebelldoor.Document, error) {
	d, err := parser.Document("document", text)
	if err != nil {
		return nil, err
	}
	if d.Revision() != revision {
		return nil, errors.Errorf("document revision mismatch: the document says %d, the service %d", d.Revision(), revision)
	}
	return d, nil
}

// watchList reads the platform's VM list while readsPlatform returns true.
func (c *Controller) watchList(ctx context.Context) {
	for ctx.Err() == nil {
		if c.readsPlatform(time.Now()) {
			askedAt := time.Now()
			if l, err := c.sources.VMList.List(ctx); err == nil {
				c.post(ctx, listRead{askedAt: askedAt, list: l})
			}
		}
		sleep(ctx, jittered(c.freshFor()/pollsPerFreshFor))
	}
}

// pollPeers asks peers for their state in a loop.
func (c *Controller) pollPeers(ctx context.Context) {
	for ctx.Err() == nil {
		var group sync.WaitGroup
		for _, vm := range c.peersToPoll(time.Now()) {
			group.Go(func() { c.pollPeer(ctx, vm) })
		}
		group.Wait()
		sleep(ctx, jittered(c.freshFor()/pollsPerFreshFor))
	}
}

// peersToPoll returns the VMs to poll now: the watchers of this data centre, or
// all watchers while the view is poorly confirmed, and one other VM at random.
func (c *Controller) peersToPoll(now time.Time) []*bluebelldoor.VM {
	view := c.State().View()
	if view.List() == nil {
		return nil
	}
	poorlyConfirmed := view.CheckFresh(now) != nil || now.Sub(view.DocumentConfirmed()) > c.freshFor()/2
	var out, others []*bluebelldoor.VM
	watchers := viewer.Watchers(view.List())
	for _, vm := range view.List().VMs() {
		switch {
		case vm.Name() == c.settings.Name():
		case slices.Contains(watchers, vm.Name()) && (poorlyConfirmed || vm.DataCentre() == c.settings.DataCentre()):
			out = append(out, vm)
		default:
			others = append(others, vm)
		}
	}
	if len(others) > 0 {
		out = append(out, others[rand.IntN(len(others))])
	}
	return out
}

func (c *Controller) pollPeer(ctx context.Context, vm *bluebelldoor.VM) {
	ctx, cancel := context.WithTimeout(ctx, peerPollTimeout)
	defer cancel()
	view := c.State().View()
	in := &bluebelldoor.StateRequest{From: c.settings.Name(), ListVersion: view.List().Version()}
	if view.Document() != nil {
		in.Revision = view.Document().Revision()
	}
	askedAt := time.Now()
	reply, err := c.sources.Peers.State(ctx, vm.PeerAddress(), in)
	if err != nil || reply.Name != vm.Name() {
		c.post(ctx, peerFailed{vm.Name()})
		return
	}
	e := peerAnswered{askedAt: askedAt, reply: reply}
	if reply.Text != nil {
		e.document, err = parse(reply.Text, reply.Revision)
		if err != nil {
			c.log.Warn("document from peer refused", "peer", vm.Name(), "error", err)
		}
	}
	if reply.List != nil {
		e.list = listFromMessage(reply.List)
	}
	c.post(ctx, e)
}

func listFromMessage(m *bluebelldoor.ListMessage) *bluebelldoor.VMList {
	vms := make([]*bluebelldoor.VM, len(m.VMs))
	for i, spec := range m.VMs {
		vms[i] = bluebelldoor.NewVM(spec)
	}
	return bluebelldoor.NewVMList(m.Version, vms)
}

// Answer replies to a peer's poll from the last published state.
func (c *Controller) Answer(in *bluebelldoor.StateRequest) *bluebelldoor.StateReply {
	s := c.State()
	now := time.Now()
	out := &bluebelldoor.StateReply{
		Name:        c.settings.Name(),
		Incarnation: c.incarnation,
		UptimeMs:    c.Uptime().Milliseconds(),
		Draining:    s.Draining(),
	}
	d, l := s.View().Document(), s.View().List()
	if d == nil || l == nil {
		return out
	}
	out.HasConfirmed = s.CheckFresh(now) == nil
	out.Revision = d.Revision()
	out.DocumentAgeMs = ceilMs(now.Sub(s.View().DocumentConfirmed()))
	out.ListVersion = l.Version()
	out.ListAgeMs = ceilMs(now.Sub(s.View().ListConfirmed()))
	if d.Revision() > in.Revision {
		out.Text = d.Text()
	}
	if l.Version() > in.ListVersion {
		out.List = messageFromList(l)
	}
	return out
}

// ceilMs rounds up, so that an age is never understated.
func ceilMs(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

func messageFromList(l *bluebelldoor.VMList) *bluebelldoor.ListMessage {
	m := &bluebelldoor.ListMessage{Version: l.Version()}
	for _, vm := range l.VMs() {
		m.VMs = append(m.VMs, vm.Spec())
	}
	return m
}

// pollReports asks the targets for their load reports in a loop. A target that is
// slow to answer does not delay the others; it is polled again once it answers.
func (c *Controller) pollReports(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	var inFlight sync.Map
	for ctx.Err() == nil {
		d := c.State().View().Document()
		for _, t := range targetsOf(d) {
			if _, busy := inFlight.LoadOrStore(t.Name(), true); busy {
				continue
			}
			group.Go(func() {
				defer inFlight.Delete(t.Name())
				r, err := c.sources.Engines.Report(ctx, t)
				c.post(ctx, reportReceived{target: t.Name(), report: r, failed: err != nil})
			})
		}
		sleep(ctx, jittered(reportInterval))
	}
}

func targetsOf(d *bluebelldoor.Document) []*bluebelldoor.Target {
	if d == nil {
		return nil
	}
	return d.Targets()
}

// MarkPeerDraining records that a peer announced that it is leaving.
func (c *Controller) MarkPeerDraining(ctx context.Context, name string) {
	c.post(ctx, peerDraining{name})
}

// Drain marks this VM as leaving and notifies every peer. It returns when each
// peer has answered or failed to.
func (c *Controller) Drain(ctx context.Context) {
	done := make(chan struct{})
	c.post(ctx, drainStarted{done})
	select {
	case <-done:
	case <-ctx.Done():
		return
	}
	l := c.State().View().List()
	if l == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, vm := range l.VMs() {
		if vm.Name() == c.settings.Name() {
			continue
		}
		group.Go(func() {
			in := &bluebelldoor.LeaveRequest{Name: c.settings.Name(), Incarnation: c.incarnation}
			if _, err := c.sources.Peers.Leave(ctx, vm.PeerAddress(), in); err != nil {
				c.log.Debug("leave notification to peer failed", "peer", vm.Name(), "error", fmt.Sprint(err))
			}
		})
	}
	group.Wait()
}

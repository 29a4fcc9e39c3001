package orderer

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebelldoor"
	"bluebelldoor/process/controller"
)

const roundInterval = time.Second

// Orderer sends a planner's orders to the engines.
type Orderer struct {
	orders bluebelldoor.OrderClient
	state  func() *controller.State
	log    hclog.Logger

	mu      sync.Mutex
	planner *Planner
	list    *bluebelldoor.VMList
}

// New starts an orderer for the VM named self, and returns a clean-up function.
func New(self string, orders bluebelldoor.OrderClient, state func() *controller.State, log hclog.Logger) func() {
	o := &Orderer{orders: orders, state: state, log: log, planner: NewPlanner(self)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func (o *Orderer) run(ctx context.Context) {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.round(ctx)
		}
	}
}

// round sends the next order, if any, to each engine that this VM issues orders
// for.
func (o *Orderer) round(ctx context.Context) {
	s := o.state()
	now := time.Now()
	if s.CheckFresh(now) != nil || s.Draining() {
		return
	}
	d := s.View().Document()
	o.assignSlots(d, s.View().List(), now)
	var group sync.WaitGroup
	for _, t := range d.Targets() {
		if t.Kind() == bluebelldoor.KindEngine && o.isIssuer(t, now) {
			group.Go(func() { o.sendNext(ctx, t, d.Revision()) })
		}
	}
	group.Wait()
}

func (o *Orderer) assignSlots(d *bluebelldoor.Document, l *bluebelldoor.VMList, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.list != l || o.planner.Revision() != d.Revision() {
		o.list = l
		o.planner.Assign(d, l, now)
	}
}

func (o *Orderer) isIssuer(t *bluebelldoor.Target, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	managed := t.Weights() != nil || t.Role() != ""
	return managed && o.planner.IsIssuer(t, now)
}

// sendNext reads an engine's state and sends it at most one order.
func (o *Orderer) sendNext(ctx context.Context, t *bluebelldoor.Target, revision uint64) {
	engine, err := o.orders.EngineState(ctx, t)
	if err != nil {
		return
	}
	o.mu.Lock()
	next, ok := o.planner.Next(t, engine, time.Now())
	o.mu.Unlock()
	if !ok {
		return
	}
	next.Permit = func() error { return o.checkPermit(revision) }
	err = o.orders.Order(ctx, t, next)
	o.log.Info("order", "target", t.Name(), "kind", string(next.Kind), "weights", next.Weights.Name, "fence", next.Fence, "error", err)
}

// checkPermit is the last check before an order is sent: the view must be fresh,
// and the document must be the one under which the order was planned. It stops an
// issuer that was paused, whose view is stale by then.
func (o *Orderer) checkPermit(revision uint64) error {
	s := o.state()
	if refusal := s.CheckFresh(time.Now()); refusal != nil {
		return refusal
	}
	if s.View().Document().Revision() != revision {
		return bluebelldoor.NewRefusal(bluebelldoor.ViewStale, "the document changed after the order was planned")
	}
	return nil
}

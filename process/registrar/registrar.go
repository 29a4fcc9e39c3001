package registrar

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"bluebelldoor"
)

const (
	// watchWait is how long a watch may stay without an answer. Only answers
	// are evidence of what is in force, and keys need evidence that is a few
	// seconds old at most.
	watchWait = 1200 * time.Millisecond
	// retryFirst and retryMost bound the pause after a failed read.
	retryFirst = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// outageAfter is the silence of the platform after which entries that have
	// gone may be back: targets renew them about every second.
	outageAfter = 2500 * time.Millisecond
	// lapseFor is how long after an outage missing entries may come back; the
	// platform's pages say about two seconds.
	lapseFor = 2500 * time.Millisecond
)

// Observer is told of targets that take no new work any more. It is called by
// the control goroutine and must not block.
type Observer func(t *Target)

// Registrar keeps the state of one VM.
type Registrar struct {
	catalogue bluebelldoor.Catalogue
	clock     bluebelldoor.Clock
	log       hclog.Logger
	view      atomic.Pointer[View]
	evidence  atomic.Int64
	observers []Observer

	// The fields below belong to the control goroutine.
	routing   *bluebelldoor.Routing
	entries   map[string]*Target
	out       map[string]string
	revision  uint64
	answered  time.Duration
	lapsing   time.Duration
	connected bool
}

// New returns a registrar that has read nothing yet.
func New(catalogue bluebelldoor.Catalogue, clock bluebelldoor.Clock, log hclog.Logger) *Registrar {
	r := &Registrar{
		catalogue: catalogue,
		clock:     clock,
		log:       log,
		entries:   map[string]*Target{},
		out:       map[string]string{},
	}
	r.view.Store(&View{})
	r.evidence.Store(-1)
	return r
}

// Observe adds an observer; call it before Start.
func (r *Registrar) Observe(o Observer) { r.observers = append(r.observers, o) }

// View returns what is in force.
func (r *Registrar) View() *View { return r.view.Load() }

// Evidence returns how old the newest proof is that the view was what the
// platform held, and false if there never was one. The age counts from the
// moment of asking.
func (r *Registrar) Evidence() (time.Duration, bool) {
	at := r.evidence.Load()
	if at < 0 {
		return 0, false
	}
	return r.clock.Now() - time.Duration(at), true
}

// Start reads the platform until the clean-up function is called.
func (r *Registrar) Start() func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func (r *Registrar) run(ctx context.Context) {
	pause := retryFirst
	for ctx.Err() == nil {
		asked := r.clock.Now()
		published, err := r.ask(ctx)
		if err == nil {
			r.regained()
			r.Apply(published, asked)
			pause = retryFirst
			continue
		}
		if errors.Is(err, bluebelldoor.ErrHistoryLost) {
			r.log.Info("history lost, reading all", "revision", r.revision)
			r.revision = 0
			continue
		}
		r.lost(err)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, retryMost)
	}
}

func (r *Registrar) ask(ctx context.Context) (bluebelldoor.Published, error) {
	if r.revision == 0 {
		return r.catalogue.Read(ctx)
	}
	return r.catalogue.Watch(ctx, r.revision, watchWait)
}

func (r *Registrar) lost(err error) {
	if r.connected {
		age, _ := r.Evidence()
		r.log.Warn("platform lost", "error", err, "ageMs", age.Milliseconds(), "revision", r.revision)
	}
	r.connected = false
}

func (r *Registrar) regained() {
	if !r.connected {
		r.log.Info("platform answers", "revision", r.revision)
	}
	r.connected = true
}

// Apply takes an answer of the platform, asked at asked, into force.
func (r *Registrar) Apply(p bluebelldoor.Published, asked time.Duration) {
	now := r.clock.Now()
	if r.answered > 0 && now-r.answered > outageAfter {
		r.lapsing = now + lapseFor
	}
	r.answered = now
	changed := r.expire(now)
	kept := map[string]bool{}
	for _, c := range p.Changes {
		kept[c.Key] = true
		changed = r.change(c, now) || changed
	}
	if p.Whole {
		changed = r.dropMissing(kept, now) || changed
	}
	r.revision = p.Revision
	if changed {
		r.publish()
	}
	r.evidence.Store(int64(asked))
}

// change applies one entry and reports whether the view changes.
func (r *Registrar) change(c bluebelldoor.Change, now time.Duration) bool {
	switch {
	case c.Err != nil:
		r.log.Warn("entry can't be read", "key", c.Key, "error", c.Err)
		return r.remove(c.Key, now, false)
	case c.Routing != nil:
		return r.adopt(c.Routing)
	case c.DataCentre != "" && c.Gone:
		r.log.Info("data centre back in service", "dataCentre", c.DataCentre)
		delete(r.out, c.Key)
		return true
	case c.DataCentre != "":
		r.log.Info("data centre out of service", "dataCentre", c.DataCentre)
		r.out[c.Key] = c.DataCentre
		return true
	case c.Instance != nil:
		return r.register(c.Key, c.Instance, now)
	case c.Gone:
		return r.remove(c.Key, now, true)
	}
	return false
}

// adopt takes routing into force if its version is higher.
func (r *Registrar) adopt(routing *bluebelldoor.Routing) bool {
	if r.routing != nil && routing.Version() <= r.routing.Version() {
		return false
	}
	r.log.Info("routing in force", "version", routing.Version())
	r.routing = routing
	return true
}

func (r *Registrar) register(key string, i *bluebelldoor.Instance, now time.Duration) bool {
	t := &Target{Instance: i, ColdUntil: now + i.ColdFor}
	before := r.entries[key]
	r.entries[key] = t
	switch {
	case before == nil || before.Born != i.Born || before.Address != i.Address:
		if before != nil && !before.Leaving {
			r.tell(before, "restarted")
		}
		r.log.Info("target registered", "target", i.ID, "service", i.Service, "dataCentre", i.DataCentre, "coldMs", i.ColdFor.Milliseconds(), "leaving", i.Leaving)
	case i.Leaving && !before.Leaving:
		r.tell(t, "leaving")
	}
	return true
}

// remove drops an entry. One that has gone in an outage is kept for a while,
// for it may be back.
func (r *Registrar) remove(key string, now time.Duration, mayReturn bool) bool {
	t := r.entries[key]
	if t == nil {
		return false
	}
	if mayReturn && now < r.lapsing && !t.Leaving {
		lapsed := *t
		lapsed.Lapsed = true
		r.entries[key] = &lapsed
		return true
	}
	delete(r.entries, key)
	if !t.Leaving {
		r.tell(t, "gone")
	}
	return true
}

func (r *Registrar) dropMissing(kept map[string]bool, now time.Duration) bool {
	changed := false
	for key := range r.entries {
		if !kept[key] {
			changed = r.remove(key, now, true) || changed
		}
	}
	for key := range r.out {
		if !kept[key] {
			delete(r.out, key)
			changed = true
		}
	}
	return changed
}

// expire drops entries that have gone in an outage and did not come back.
func (r *Registrar) expire(now time.Duration) bool {
	if now < r.lapsing {
		return false
	}
	changed := false
	for key, t := range r.entries {
		if t.Lapsed {
			delete(r.entries, key)
			r.tell(t, "did not come back")
			changed = true
		}
	}
	return changed
}

func (r *Registrar) tell(t *Target, why string) {
	r.log.Info("target takes no new work", "target", t.ID, "why", why)
	for _, o := range r.observers {
		o(t)
	}
}

func (r *Registrar) publish() {
	v := &View{
		routing:  r.routing,
		services: map[string][]*Target{},
		targets:  map[string]*Target{},
		out:      map[string]bool{},
	}
	for _, t := range r.entries {
		v.services[t.Service] = append(v.services[t.Service], t)
		v.targets[t.ID] = t
	}
	for _, targets := range v.services {
		slices.SortFunc(targets, func(a, b *Target) int { return strings.Compare(a.ID, b.ID) })
	}
	for _, dataCentre := range r.out {
		v.out[dataCentre] = true
	}
	r.view.Store(v)
}

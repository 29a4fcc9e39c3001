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
	// maxWatchWait bounds the time that a watch waits for changes. Only responses
	// are evidence of the state in force, and checks of API keys need evidence that
	// is at most a few seconds old.
	maxWatchWait = 700 * time.Millisecond
	// watchesPerEvidence is how many watches must fit into the time for which
	// evidence is valid: evidence dates from the start of one watch and is renewed
	// at the end of the next.
	watchesPerEvidence = 4
	// minRetryDelay and maxRetryDelay bound the back-off after a failed read.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// standbyMaxRetryDelay replaces maxRetryDelay on a standby: platform calls are
	// billed, and the hubs pass changes on.
	standbyMaxRetryDelay = 2 * time.Second
	// staleAfter is the evidence age at which a VM that relies on its peers reads
	// the platform itself: one watch, one gossip round, and a margin.
	staleAfter = 1300 * time.Millisecond
	// standbyStaleAfter replaces staleAfter on a standby, which asks its peers
	// only every third round.
	standbyStaleAfter = 3 * time.Second
	// evidenceCheckInterval is how often a VM that relies on its peers checks the
	// age of its evidence.
	evidenceCheckInterval = 100 * time.Millisecond
	// outageAfter is the evidence age from which missing records may reappear:
	// targets renew theirs about once a second.
	outageAfter = 2500 * time.Millisecond
	// lapseFor is how long missing records may be renewed after an outage; the
	// platform's documentation says about two seconds.
	lapseFor = 2500 * time.Millisecond
	// fullStateDelay is how long after its start a VM that could not read the
	// platform asks its peers for the full state.
	fullStateDelay = time.Second
	// controlInterval is the time between checks for expired state.
	controlInterval = 200 * time.Millisecond
)

// Observer is called with each target that no longer takes new work. It runs on
// the control goroutine and must not block.
type Observer func(t *Target)

// Registrar keeps the published state on one VM.
type Registrar struct {
	catalogue bluebelldoor.Catalogue
	clock     bluebelldoor.Clock
	log       hclog.Logger
	role      Role
	observers []Observer

	view     atomic.Pointer[View]
	evidence atomic.Int64
	revision atomic.Uint64
	updates  chan func()
	state    *state
	started  time.Duration
	// watchWait is maxWatchWait or less, depending on the VM's settings.
	watchWait time.Duration
	// gap is set if a peer's delta was based on a revision newer than the one held.
	gap atomic.Bool
	// recentLeaveNotices are the leave notices to send to peers.
	recentLeaveNotices atomic.Pointer[[]bluebelldoor.TargetIncarnation]
	// controlDone is closed when the control goroutine has ended.
	controlDone chan struct{}
}

// Role is a VM's part in reading the platform.
type Role struct {
	// ReadsForPeers reports whether the VM reads the platform on behalf of its peers.
	ReadsForPeers func() bool
	// Standby reports whether the VM is a standby; it then asks its peers less often.
	Standby func() bool
	// Changed is called when there are changes to send to peers.
	Changed func()
}

// Option configures a registrar.
type Option func(*Registrar)

// WithEvidenceValidity shortens watches so that evidence that is valid for d is renewed
// in time.
func WithEvidenceValidity(d time.Duration) Option {
	return func(r *Registrar) { r.watchWait = min(r.watchWait, d/watchesPerEvidence) }
}

// New returns a registrar with an empty view; Start begins reading the platform.
func New(catalogue bluebelldoor.Catalogue, clock bluebelldoor.Clock, role Role, log hclog.Logger, options ...Option) *Registrar {
	r := &Registrar{
		catalogue:   catalogue,
		clock:       clock,
		log:         log,
		role:        role,
		updates:     make(chan func()),
		started:     clock.Now(),
		controlDone: make(chan struct{}),
	}
	r.watchWait = maxWatchWait
	for _, o := range options {
		o(r)
	}
	r.state = newState(catalogue.Decode, log)
	r.view.Store(&View{})
	r.evidence.Store(-1)
	return r
}

// Observe adds an observer; call it before Start.
func (r *Registrar) Observe(o Observer) { r.observers = append(r.observers, o) }

// View returns the current view.
func (r *Registrar) View() *View { return r.view.Load() }

// Revision returns the platform revision that the VM holds.
func (r *Registrar) Revision() uint64 { return r.revision.Load() }

// EvidenceAge returns the age of the newest evidence that the view matched the
// platform's state, and false if there has been none. The age counts from the
// sending of the request.
func (r *Registrar) EvidenceAge() (time.Duration, bool) {
	at := r.evidence.Load()
	if at < 0 {
		return 0, false
	}
	return r.clock.Now() - time.Duration(at), true
}

// renewEvidence records that the view matched the platform's state at a time.
func (r *Registrar) renewEvidence(at time.Duration) {
	if int64(at) > r.evidence.Load() {
		r.evidence.Store(int64(at))
	}
}

// Start reads the platform until the returned clean-up function is called.
func (r *Registrar) Start() func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() {
		r.control(ctx)
		done <- struct{}{}
	}()
	go func() {
		r.readPlatform(ctx)
		done <- struct{}{}
	}()
	return func() {
		cancel()
		<-done
		<-done
	}
}

// control owns the state: it runs updates and expires lapsed targets.
func (r *Registrar) control(ctx context.Context) {
	defer close(r.controlDone)
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case update := <-r.updates:
			update()
		case <-ticker.C:
			now := r.clock.Now()
			r.publish(r.state.expireLapsed(now))
			notices := r.state.recentLeaveNotices(now)
			r.recentLeaveNotices.Store(&notices)
		}
	}
}

// do runs f on the control goroutine and waits for it.
func (r *Registrar) do(ctx context.Context, f func()) {
	done := make(chan struct{})
	select {
	case r.updates <- func() { f(); close(done) }:
		<-done
	case <-ctx.Done():
	case <-r.controlDone:
	}
}

// readPlatform reads the platform whenever this VM reads for its peers or the
// evidence from them is stale.
func (r *Registrar) readPlatform(ctx context.Context) {
	delay := minRetryDelay
	connected := false
	history := true
	era := uint64(0)
	for ctx.Err() == nil {
		if age, ok := r.EvidenceAge(); ok && age < r.staleAfter() && !r.role.ReadsForPeers() {
			sleep(ctx, evidenceCheckInterval)
			continue
		}
		sentAt := r.clock.Now()
		reply, err := r.fetch(ctx, history)
		switch {
		case err == nil:
			if !connected {
				r.log.Info("platform answers", "revision", reply.Revision)
			}
			if reply.Era != era || reply.Revision < r.Revision() {
				r.log.Warn("platform has another history", "era", reply.Era, "heldEra", era, "revision", reply.Revision, "heldRevision", r.Revision(), "full", reply.Full)
			}
			era = reply.Era
			connected, history, delay = true, true, minRetryDelay
			r.do(ctx, func() { r.applyReply(reply, sentAt) })
			continue
		case errors.Is(err, bluebelldoor.ErrHistoryLost):
			r.log.Info("history lost, reading all", "revision", r.Revision())
			history = false
			continue
		case connected:
			age, _ := r.EvidenceAge()
			r.log.Warn("platform lost", "error", err, "ageMs", age.Milliseconds(), "revision", r.Revision())
			connected = false
		}
		sleep(ctx, delay)
		delay = min(2*delay, r.maxRetryDelay())
	}
}

func (r *Registrar) staleAfter() time.Duration {
	if r.role.Standby() {
		return standbyStaleAfter
	}
	return staleAfter
}

func (r *Registrar) maxRetryDelay() time.Duration {
	if r.role.Standby() {
		return standbyMaxRetryDelay
	}
	return maxRetryDelay
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (r *Registrar) fetch(ctx context.Context, history bool) (bluebelldoor.CatalogueReply, error) {
	if revision := r.Revision(); revision > 0 && history {
		return r.catalogue.Watch(ctx, revision, r.watchWait)
	}
	return r.catalogue.Read(ctx)
}

func (r *Registrar) applyReply(p bluebelldoor.CatalogueReply, sentAt time.Duration) {
	before := r.state.revision
	r.gap.Store(false)
	silence, _ := r.EvidenceAge()
	changed := r.state.apply(p, r.clock.Now(), silence)
	r.publish(changed)
	if p.Revision >= r.state.revision {
		r.renewEvidence(sentAt)
	}
	if r.state.revision > before {
		r.role.Changed()
	}
}

// Delta returns the changes after the revision that a peer holds. The full state
// is sent only if full is set: it is large, and a VM that starts reads it from the
// platform.
func (r *Registrar) Delta(ctx context.Context, after uint64, full bool) bluebelldoor.RecordDelta {
	revision := r.Revision()
	out := bluebelldoor.RecordDelta{Base: revision, Revision: revision}
	if after != revision && (after > 0 || full) {
		r.do(ctx, func() { out = r.state.delta(after, full) })
	}
	out.EvidenceAgeMs = -1
	if age, ok := r.EvidenceAge(); ok {
		out.EvidenceAgeMs = age.Milliseconds() + 1
	}
	out.Leaving = r.leavingIncarnations()
	out.WantFull = (revision == 0 || r.gap.Load()) && r.clock.Now()-r.started > fullStateDelay
	return out
}

// ApplyDelta applies a peer's delta. Only a reply to a request sent at sentAt is
// evidence: the age of an unsolicited message is unknown.
func (r *Registrar) ApplyDelta(ctx context.Context, delta bluebelldoor.RecordDelta, sentAt time.Duration, isReply bool) {
	if delta.Revision > r.Revision() {
		r.do(ctx, func() {
			if delta.Base > r.state.revision {
				r.gap.Store(true)
				return
			}
			r.gap.Store(false)
			silence, _ := r.EvidenceAge()
			r.publish(r.state.apply(bluebelldoor.CatalogueReply{
				Revision: delta.Revision,
				Full:     delta.Base == 0,
				Records:  delta.Records,
			}, r.clock.Now(), silence))
		})
	}
	if len(delta.Leaving) > 0 {
		r.markLeaving(ctx, delta.Leaving)
	}
	if isReply && delta.EvidenceAgeMs >= 0 && delta.Revision == r.Revision() {
		r.renewEvidence(sentAt - time.Duration(delta.EvidenceAgeMs)*time.Millisecond)
	}
}

// MarkLeaving records that a target itself has announced that it is leaving, and passes
// the notice on to peers. When it returns, the view shows the target as leaving; no
// later record of the same incarnation reverts that.
func (r *Registrar) MarkLeaving(ctx context.Context, t *bluebelldoor.Instance) {
	r.markLeaving(ctx, []bluebelldoor.TargetIncarnation{t.Incarnation()})
}

func (r *Registrar) markLeaving(ctx context.Context, incarnations []bluebelldoor.TargetIncarnation) {
	r.do(ctx, func() {
		now, changed := r.clock.Now(), false
		if age, ok := r.EvidenceAge(); ok {
			r.state.verifiedAt = now - age
		}
		for _, incarnation := range incarnations {
			changed = r.state.markLeaving(incarnation, now) || changed
		}
		if !changed {
			return
		}
		notices := r.state.recentLeaveNotices(now)
		r.recentLeaveNotices.Store(&notices)
		r.publish(true)
		r.role.Changed()
	})
}

// leavingIncarnations returns the incarnations whose leave notices to send to peers.
func (r *Registrar) leavingIncarnations() []bluebelldoor.TargetIncarnation {
	if notices := r.recentLeaveNotices.Load(); notices != nil {
		return *notices
	}
	return nil
}

func (r *Registrar) notifyObservers(t *Target, reason string) {
	age, _ := r.EvidenceAge()
	r.log.Info("target takes no new work", "target", t.ID, "why", reason, "viewAgeMs", age.Milliseconds())
	for _, o := range r.observers {
		o(t)
	}
}

func (r *Registrar) publish(changed bool) {
	r.revision.Store(r.state.revision)
	if !changed {
		return
	}
	s := r.state
	v := &View{
		routing:      s.routing,
		services:     map[string][]*Target{},
		targets:      map[string]*Target{},
		outOfService: map[string]bool{},
	}
	for _, t := range s.targets {
		v.services[t.Service] = append(v.services[t.Service], t)
		v.targets[t.ID] = t
	}
	for _, targets := range v.services {
		slices.SortFunc(targets, func(a, b *Target) int { return strings.Compare(a.ID, b.ID) })
	}
	for _, dataCentre := range s.outOfService {
		v.outOfService[dataCentre] = true
	}
	r.view.Store(v)
	for _, closed := range s.takeClosed() {
		r.notifyObservers(closed.target, closed.reason)
	}
}

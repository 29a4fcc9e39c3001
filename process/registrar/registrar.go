package registrar

import (
	"context"
	"math/rand/v2"
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
	// lostAfter is how many reads in a row fail before peers are told that the VM cannot read
	// the platform.
	lostAfter = 2
	// lostRetryInterval is how often a hub whose reads have failed tries again if it does not
	// read otherwise, so that it can read on behalf of its peers once more.
	lostRetryInterval = 4 * time.Second
	// standbyMaxRetryDelay replaces maxRetryDelay on a standby: platform calls are
	// billed, and the hubs pass changes on.
	standbyMaxRetryDelay = 2 * time.Second
	// maxStaleAfter is the greatest evidence age at which a VM that relies on its peers
	// reads the platform itself: one watch, one gossip round, and a margin.
	maxStaleAfter = 1300 * time.Millisecond
	// standbyMaxStaleAfter replaces maxStaleAfter on a standby, which asks its peers
	// only every third round.
	standbyMaxStaleAfter = 3 * time.Second
	// evidenceCheckInterval is how often a VM that relies on its peers checks the
	// age of its evidence.
	evidenceCheckInterval = 100 * time.Millisecond
	// outageAfter is how long the platform must have been away before missing records may
	// reappear: targets renew theirs about once a second.
	outageAfter = 2500 * time.Millisecond
	// lapseFor is how long missing records may be renewed after an outage; the
	// platform's documentation says about two seconds.
	lapseFor = 2500 * time.Millisecond
	// fullStateDelay is how long after its start a VM that could not read the
	// platform asks its peers for the full state.
	fullStateDelay = time.Second
	// maxPeerWait bounds two waits for peers: after a restore of the platform's store, a VM
	// that does not read on behalf of its peers waits for at least half of it for their records
	// before it reads everything itself; and a VM that starts takes the store's state as
	// proven only once a peer has answered, or after this time.
	maxPeerWait = 700 * time.Millisecond
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
	position atomic.Pointer[bluebelldoor.Position]
	// newestEra is the newest era that the VM has heard of. Until it holds that era, nothing
	// proves its view.
	newestEra atomic.Uint64
	// peerAnswered is set once a peer that holds records has answered.
	peerAnswered atomic.Bool
	// carried is what deltas carry beside the catalogue's records.
	carried atomic.Pointer[carriedState]
	updates chan func()
	state   *state
	started time.Duration
	// watchWait is maxWatchWait or less, depending on the VM's settings.
	watchWait atomic.Int64
	// maxEvidenceAge is the evidence age at which the VM reads the platform itself at the
	// latest, 0 if its settings do not bound it.
	maxEvidenceAge atomic.Int64
	// values holds and fetches large values, nil if messages hold all values.
	values bluebelldoor.ValueKeeper
	// wanted is set if values were missing when last looked. It belongs to the control
	// goroutine.
	wanted bool
	// pending is nil if no newer routing is known than the one in force.
	pending atomic.Pointer[pendingValues]
	// lost is set if the latest reads of the platform failed.
	lost atomic.Bool
	// failedReads is nil if the latest read succeeded.
	failedReads atomic.Pointer[failedReads]
	outages     atomic.Int64
	// outageEnded is when the latest outage or restore of the platform ended, 0 for none.
	outageEnded atomic.Int64
	// awaitsRecords is set while the records of a peer's delta are fetched.
	awaitsRecords atomic.Bool
	// gap is set if a peer's delta was based on a revision newer than the one held.
	gap atomic.Bool
	// recentLeaveNotices are the leave notices to send to peers.
	recentLeaveNotices atomic.Pointer[[]bluebelldoor.TargetIncarnation]
	// controlDone is closed when the control goroutine has ended.
	controlDone chan struct{}
}

// carriedState is what a VM keeps in force that the catalogue may not show.
type carriedState struct {
	routingVersion uint64
	// routing is the record of the routing in force if the catalogue shows another, else nil.
	routing  *bluebelldoor.Record
	retained *bluebelldoor.RetainedState
	digest   uint64
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
	return func(r *Registrar) { r.watchWait.Store(int64(min(maxWatchWait, d/watchesPerEvidence))) }
}

// WithMaxEvidenceAge makes the VM read the platform itself once its evidence is older than d,
// whatever its peers do, so that it learns what is published in time.
func WithMaxEvidenceAge(d time.Duration) Option {
	return func(r *Registrar) { r.maxEvidenceAge.Store(int64(d)) }
}

// Reload applies changed options. Those that name other parts of the process can't change.
func (r *Registrar) Reload(options ...Option) {
	for _, o := range options {
		o(r)
	}
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
	r.watchWait.Store(int64(maxWatchWait))
	for _, o := range options {
		o(r)
	}
	r.state = newState(catalogue.Decode, log)
	r.state.values = r.values
	r.view.Store(&View{})
	r.evidence.Store(-1)
	r.position.Store(&bluebelldoor.Position{})
	r.carried.Store(&carriedState{})
	return r
}

// Observe adds an observer; call it before Start.
func (r *Registrar) Observe(o Observer) { r.observers = append(r.observers, o) }

// View returns the current view.
func (r *Registrar) View() *View { return r.view.Load() }

// Position returns the position of the platform's records that the VM holds.
func (r *Registrar) Position() bluebelldoor.Position { return *r.position.Load() }

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

// PlatformLost reports whether the latest reads of the platform failed.
func (r *Registrar) PlatformLost() bool { return r.lost.Load() }

// renewEvidence records that the view matched the platform's state at a time.
func (r *Registrar) renewEvidence(at time.Duration) {
	position := r.Position()
	if position.Era < r.newestEra.Load() {
		return
	}
	if position.Era > 0 && !r.peerAnswered.Load() && r.clock.Now()-r.started < maxPeerWait {
		// The store may have returned from a copy that lacks what peers know.
		return
	}
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
			r.expireMissingDelta(now)
			changed := r.state.expireRetained(now, time.Duration(r.evidence.Load()))
			r.publish(r.state.expireLapsed(now) || changed)
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

// reading is the state of the reads of the platform.
type reading struct {
	// connected is set if the last read succeeded.
	connected bool
	// full makes the next read return every record.
	full bool
	// lost counts the watches that failed for lack of history since one succeeded.
	lost int
	// failures counts the reads that failed since one succeeded, and triedAt is when the latest
	// read began.
	failures int
	triedAt  time.Duration
	// delay is the time before the next read after a failure.
	delay time.Duration
	// missingRead is when everything was last read because values were missing.
	missingRead time.Duration
}

// readPlatform reads the platform whenever this VM reads for its peers or the
// evidence from them is stale.
func (r *Registrar) readPlatform(ctx context.Context) {
	state := reading{delay: minRetryDelay}
	for ctx.Err() == nil {
		age, ok := r.EvidenceAge()
		switch {
		case r.readsMissing(state.missingRead):
			state.full, state.missingRead = true, r.clock.Now()
		case ok && age < r.staleAfter() && !r.role.ReadsForPeers() && !r.retriesLost(state.triedAt):
			sleep(ctx, evidenceCheckInterval)
			continue
		}
		sentAt := r.clock.Now()
		state.triedAt = sentAt
		reply, err := r.fetch(ctx, state.full)
		switch {
		case err == nil:
			r.handleReply(ctx, &state, reply, sentAt)
		case errors.Is(err, bluebelldoor.ErrHistoryLost):
			r.handleHistoryLost(ctx, &state, err)
		default:
			r.noteFailedRead(sentAt)
			r.handleReadFailure(ctx, &state, err)
		}
	}
}

func (r *Registrar) handleReply(ctx context.Context, state *reading, reply bluebelldoor.CatalogueReply, sentAt time.Duration) {
	held := r.Position()
	if !state.connected {
		r.log.Info("platform answers", "era", reply.Era, "revision", reply.Revision)
	}
	if reply.Era == held.Era && reply.Revision < held.Revision {
		r.log.Warn("platform's revision went back in one era", "era", reply.Era, "revision", reply.Revision, "heldRevision", held.Revision)
	}
	if !reply.Full {
		state.lost = 0
	}
	state.connected, state.full, state.delay, state.failures = true, false, minRetryDelay, 0
	r.lost.Store(false)
	r.do(ctx, func() { r.applyReply(reply, sentAt) })
	r.failedReads.Store(nil)
}

// retriesLost reports whether it is time for another read although peers renew the evidence.
func (r *Registrar) retriesLost(triedAt time.Duration) bool {
	return r.lost.Load() && !r.role.Standby() && r.clock.Now()-triedAt > lostRetryInterval
}

// handleHistoryLost makes the next read a full one, unless a peer tells the changes first.
func (r *Registrar) handleHistoryLost(ctx context.Context, state *reading, err error) {
	held := r.Position()
	r.log.Info("history lost, reading all", "cause", err.Error(), "era", held.Era, "revision", held.Revision)
	if state.lost++; state.lost > 1 {
		// The full read did not help: the store's revisions are below the one held.
		sleep(ctx, r.maxRetryDelay())
	}
	r.awaitPeers(ctx, held)
	state.full = !r.Position().After(held)
}

func (r *Registrar) handleReadFailure(ctx context.Context, state *reading, err error) {
	if state.connected {
		held := r.Position()
		age, _ := r.EvidenceAge()
		r.log.Warn("platform lost", "error", err, "ageMs", age.Milliseconds(), "era", held.Era, "revision", held.Revision)
		state.connected = false
	}
	state.failures++
	if state.failures == lostAfter {
		r.log.Warn("peers are told that the VM cannot read the platform", "error", err)
		r.lost.Store(true)
	}
	sleep(ctx, state.delay)
	state.delay = min(2*state.delay, r.maxRetryDelay())
}

// awaitPeers waits at random between half and all of maxPeerWait until a peer has told the changes after the
// held position, unless the VM reads the platform on behalf of its peers.
func (r *Registrar) awaitPeers(ctx context.Context, held bluebelldoor.Position) {
	until := r.clock.Now() + maxPeerWait/2 + rand.N(maxPeerWait/2)
	for !r.role.ReadsForPeers() && !r.Position().After(held) && r.clock.Now() < until && ctx.Err() == nil {
		sleep(ctx, minRetryDelay)
	}
}

// staleAfter returns the evidence age at which a VM that relies on its peers reads the platform.
func (r *Registrar) staleAfter() time.Duration {
	limit := maxStaleAfter
	if r.role.Standby() {
		limit = standbyMaxStaleAfter
	}
	if bound := time.Duration(r.maxEvidenceAge.Load()); bound > 0 {
		limit = min(limit, bound)
	}
	return limit
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

// fetch reads every record, or waits for changes after the position held. Changes of
// another era are an error.
func (r *Registrar) fetch(ctx context.Context, full bool) (bluebelldoor.CatalogueReply, error) {
	position := r.Position()
	if full || position.Revision == 0 {
		reply, err := r.catalogue.Read(ctx)
		return reply, olderEra(reply, position, err)
	}
	reply, err := r.catalogue.Watch(ctx, position, time.Duration(r.watchWait.Load()))
	if err == nil && reply.Era > position.Era {
		return reply, errors.Wrapf(bluebelldoor.ErrHistoryLost, "platform is in era %d", reply.Era)
	}
	return reply, olderEra(reply, position, err)
}

// olderEra returns err, or an error if a reply is from an older era than the position held.
func olderEra(reply bluebelldoor.CatalogueReply, held bluebelldoor.Position, err error) error {
	if err == nil && reply.Era < held.Era {
		return errors.Errorf("platform replied from era %d, the VM holds era %d", reply.Era, held.Era)
	}
	return err
}

func (r *Registrar) applyReply(p bluebelldoor.CatalogueReply, sentAt time.Duration) {
	before := r.state.position
	if p.Era < before.Era || p.Era > before.Era && !p.Full {
		// The VM has heard of a new era from a peer while the platform replied.
		return
	}
	r.noteEra(p.Era)
	r.gap.Store(false)
	now := r.clock.Now()
	r.noteAnswer("platform", now)
	changed := r.state.apply(p, now, r.verifiedAt(now), now)
	r.noteOutageEnd()
	r.publish(changed)
	r.wantMissing()
	if !r.state.position.After(p.Position()) {
		r.renewEvidence(sentAt)
	}
	if r.state.position.After(before) {
		r.role.Changed()
	}
}

// verifiedAt returns the latest time at which the state is known to have matched the platform's.
func (r *Registrar) verifiedAt(now time.Duration) time.Duration {
	silence, _ := r.EvidenceAge()
	return now - silence
}

// noteEra records that the platform is in an era, or in a later one.
func (r *Registrar) noteEra(era uint64) {
	for known := r.newestEra.Load(); era > known && !r.newestEra.CompareAndSwap(known, era); {
		known = r.newestEra.Load()
	}
}

func (r *Registrar) notifyObservers(t *Target, reason string) {
	age, _ := r.EvidenceAge()
	r.log.Info("target takes no new work", "target", t.ID, "why", reason, "viewAgeMs", age.Milliseconds())
	for _, o := range r.observers {
		o(t)
	}
}

func (r *Registrar) publish(changed bool) {
	r.notePending()
	position := r.state.position
	r.position.Store(&position)
	r.carried.Store(r.state.carriedState(r.clock.Now()))
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

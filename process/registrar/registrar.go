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
	// watchWait is how long a watch may stay without an answer, at most. Only
	// answers are evidence of what is in force, and keys need evidence that is a
	// few seconds old at most.
	watchWait = 700 * time.Millisecond
	// watchesInEvidence is how many watches may end while evidence is of use: it
	// counts from the start of one and is renewed at the end of the next.
	watchesInEvidence = 4
	// retryFirst and retryMost bound the pause after a failed read.
	retryFirst = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// servedRetryMost bounds it for a VM that stands by: each call is paid for,
	// and the VMs that serve will tell it.
	servedRetryMost = 2 * time.Second
	// staleAfter is the age of the evidence at which a VM that leaves reading
	// to its peers reads for itself: a watch, a round between peers, and slack.
	staleAfter = 1300 * time.Millisecond
	// servedStaleAfter is the same for a VM that stands by and asks its peers
	// every three rounds.
	servedStaleAfter = 3 * time.Second
	// lookAgain is how often a VM that leaves reading to its peers looks at the
	// age of its evidence.
	lookAgain = 100 * time.Millisecond
	// outageAfter is the age of the evidence from which on entries that have gone
	// may be back: targets renew them about every second.
	outageAfter = 2500 * time.Millisecond
	// lapseFor is how long after an outage missing entries may come back; the
	// platform's pages say about two seconds.
	lapseFor = 2500 * time.Millisecond
	// wantAfter is how long after its start a VM asks peers for everything that
	// it could not read itself.
	wantAfter = time.Second
	// tick is how often the control goroutine looks at what has run out.
	tick = 200 * time.Millisecond
)

// Observer is told of targets that take no new work any more. It is called by
// the control goroutine and must not block.
type Observer func(t *Target)

// Registrar keeps the state of one VM.
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
	book     *book
	started  time.Duration
	// watchWait is that of this VM's settings.
	watchWait time.Duration
	// gap tells that news of a peer followed a revision that is not held.
	gap atomic.Bool
	// leftLately are the starts of targets that have said of late that they leave.
	leftLately atomic.Pointer[[]bluebelldoor.TargetStart]
	// ended is closed when nobody owns the book any more.
	ended chan struct{}
}

// Role is a VM's part in reading the platform.
type Role struct {
	// Reads tells whether the VM reads on behalf of others.
	Reads func() bool
	// Served tells whether the VM stands by, and asks its peers less often.
	Served func() bool
	// Changed is called when there is news for peers.
	Changed func()
}

// Option changes a registrar.
type Option func(*Registrar)

// WithEvidenceFor makes watches end often enough for evidence that is of use for so
// long.
func WithEvidenceFor(d time.Duration) Option {
	return func(r *Registrar) { r.watchWait = min(r.watchWait, d/watchesInEvidence) }
}

// New returns a registrar that has read nothing yet.
func New(catalogue bluebelldoor.Catalogue, clock bluebelldoor.Clock, role Role, log hclog.Logger, options ...Option) *Registrar {
	r := &Registrar{
		catalogue: catalogue,
		clock:     clock,
		log:       log,
		role:      role,
		updates:   make(chan func()),
		started:   clock.Now(),
		ended:     make(chan struct{}),
	}
	r.watchWait = watchWait
	for _, o := range options {
		o(r)
	}
	r.book = newBook(catalogue.Decode, log)
	r.view.Store(&View{})
	r.evidence.Store(-1)
	return r
}

// Observe adds an observer; call it before Start.
func (r *Registrar) Observe(o Observer) { r.observers = append(r.observers, o) }

// View returns what is in force.
func (r *Registrar) View() *View { return r.view.Load() }

// Revision returns the revision of the platform's entries that the VM holds.
func (r *Registrar) Revision() uint64 { return r.revision.Load() }

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

// prove notes that what is held was the platform's newest at a time.
func (r *Registrar) prove(at time.Duration) {
	if int64(at) > r.evidence.Load() {
		r.evidence.Store(int64(at))
	}
}

// Start reads the platform until the clean-up function is called.
func (r *Registrar) Start() func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() {
		r.control(ctx)
		done <- struct{}{}
	}()
	go func() {
		r.read(ctx)
		done <- struct{}{}
	}()
	return func() {
		cancel()
		<-done
		<-done
	}
}

// control owns the book.
func (r *Registrar) control(ctx context.Context) {
	defer close(r.ended)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case update := <-r.updates:
			update()
		case <-ticker.C:
			now := r.clock.Now()
			r.publish(r.book.expire(now))
			lately := r.book.leftLately(now)
			r.leftLately.Store(&lately)
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
	case <-r.ended:
	}
}

// read asks the platform, for as long as this VM reads for others or hears too
// little from them.
func (r *Registrar) read(ctx context.Context) {
	pause := retryFirst
	connected := false
	history := true
	for ctx.Err() == nil {
		if age, proved := r.Evidence(); proved && age < r.staleAfter() && !r.role.Reads() {
			sleep(ctx, lookAgain)
			continue
		}
		asked := r.clock.Now()
		published, err := r.ask(ctx, history)
		switch {
		case err == nil:
			if !connected {
				r.log.Info("platform answers", "revision", published.Revision)
			}
			connected, history, pause = true, true, retryFirst
			r.do(ctx, func() { r.fromPlatform(published, asked) })
			continue
		case errors.Is(err, bluebelldoor.ErrHistoryLost):
			r.log.Info("history lost, reading all", "revision", r.Revision())
			history = false
			continue
		case connected:
			age, _ := r.Evidence()
			r.log.Warn("platform lost", "error", err, "ageMs", age.Milliseconds(), "revision", r.Revision())
			connected = false
		}
		sleep(ctx, pause)
		pause = min(2*pause, r.retryMost())
	}
}

func (r *Registrar) staleAfter() time.Duration {
	if r.role.Served() {
		return servedStaleAfter
	}
	return staleAfter
}

func (r *Registrar) retryMost() time.Duration {
	if r.role.Served() {
		return servedRetryMost
	}
	return retryMost
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (r *Registrar) ask(ctx context.Context, history bool) (bluebelldoor.Published, error) {
	if revision := r.Revision(); revision > 0 && history {
		return r.catalogue.Watch(ctx, revision, r.watchWait)
	}
	return r.catalogue.Read(ctx)
}

func (r *Registrar) fromPlatform(p bluebelldoor.Published, asked time.Duration) {
	before := r.book.revision
	r.gap.Store(false)
	silence, _ := r.Evidence()
	changed := r.book.apply(p, r.clock.Now(), silence)
	r.publish(changed)
	if p.Revision >= r.book.revision {
		r.prove(asked)
	}
	if r.book.revision > before {
		r.role.Changed()
	}
}

// Delta returns what a peer that holds a revision lacks. Where that is
// everything, the peer gets it only if it has asked: the whole is large, and a
// VM that starts reads it from the platform.
func (r *Registrar) Delta(ctx context.Context, after uint64, whole bool) bluebelldoor.RecordDelta {
	now := r.Revision()
	out := bluebelldoor.RecordDelta{Base: now, Revision: now}
	if after != now && (after > 0 || whole) {
		r.do(ctx, func() { out = r.book.since(after, whole) })
	}
	out.EvidenceAgeMs = -1
	if age, proved := r.Evidence(); proved {
		out.EvidenceAgeMs = age.Milliseconds() + 1
	}
	out.Leaving = r.leaving()
	out.Want = (now == 0 || r.gap.Load()) && r.clock.Now()-r.started > wantAfter
	return out
}

// Receive takes news from a peer. Only an answer to a question that was asked at
// a known time is evidence: what a peer sends unasked may have been long on
// its way.
func (r *Registrar) Receive(ctx context.Context, news bluebelldoor.RecordDelta, asked time.Duration, answer bool) {
	if news.Revision > r.Revision() {
		r.do(ctx, func() {
			if news.Base > r.book.revision {
				r.gap.Store(true)
				return
			}
			r.gap.Store(false)
			silence, _ := r.Evidence()
			r.publish(r.book.apply(bluebelldoor.Published{
				Revision: news.Revision,
				Whole:    news.Base == 0,
				Records:  news.Records,
			}, r.clock.Now(), silence))
		})
	}
	if len(news.Leaving) > 0 {
		r.leave(ctx, news.Leaving)
	}
	if answer && news.EvidenceAgeMs >= 0 && news.Revision == r.Revision() {
		r.prove(asked - time.Duration(news.EvidenceAgeMs)*time.Millisecond)
	}
}

// Leaves notes that a target itself says that it leaves, and has peers told. It
// returns when the view says so, and holds whatever the platform says of that
// start of the target.
func (r *Registrar) Leaves(ctx context.Context, t *bluebelldoor.Instance) {
	r.leave(ctx, []bluebelldoor.TargetStart{t.Start()})
}

func (r *Registrar) leave(ctx context.Context, starts []bluebelldoor.TargetStart) {
	r.do(ctx, func() {
		now, news := r.clock.Now(), false
		if age, proved := r.Evidence(); proved {
			r.book.proved = now - age
		}
		for _, start := range starts {
			news = r.book.leaves(start, now) || news
		}
		if !news {
			return
		}
		lately := r.book.leftLately(now)
		r.leftLately.Store(&lately)
		r.publish(true)
		r.role.Changed()
	})
}

// leaving returns the starts of targets that peers are told of.
func (r *Registrar) leaving() []bluebelldoor.TargetStart {
	if lately := r.leftLately.Load(); lately != nil {
		return *lately
	}
	return nil
}

func (r *Registrar) tell(t *Target, why string) {
	age, _ := r.Evidence()
	r.log.Info("target takes no new work", "target", t.ID, "why", why, "viewAgeMs", age.Milliseconds())
	for _, o := range r.observers {
		o(t)
	}
}

func (r *Registrar) publish(changed bool) {
	r.revision.Store(r.book.revision)
	if !changed {
		return
	}
	b := r.book
	v := &View{
		routing:  b.routing,
		services: map[string][]*Target{},
		targets:  map[string]*Target{},
		out:      map[string]bool{},
	}
	for _, t := range b.targets {
		v.services[t.Service] = append(v.services[t.Service], t)
		v.targets[t.ID] = t
	}
	for _, targets := range v.services {
		slices.SortFunc(targets, func(a, b *Target) int { return strings.Compare(a.ID, b.ID) })
	}
	for _, dataCentre := range b.out {
		v.out[dataCentre] = true
	}
	r.view.Store(v)
	for _, notice := range b.notices() {
		r.tell(notice.target, notice.why)
	}
}

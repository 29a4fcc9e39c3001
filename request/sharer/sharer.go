package sharer

import (
	"math"
	"time"
)

const (
	// defaultHalfLife is the half-life of use. It is longer than most generations run, so that
	// those under way still count, and short enough that a burst is forgotten within minutes.
	defaultHalfLife = 20 * time.Second
	// defaultMaxAccounts bounds the accounts that are kept of this VM, and of each peer.
	defaultMaxAccounts = 256
	// defaultReportTTL is the age at which what a peer has reported of an account expires. By
	// then an eighth of it would count.
	defaultReportTTL = 3 * defaultHalfLife
	// defaultMaxOvertaken is for how long an account can be overtaken on this VM, and not be
	// served on any, before one of its requests comes first. Peers report within seconds.
	defaultMaxOvertaken = 5 * time.Second
	// defaultAheadInterval is the number of placements of which at most one comes first for
	// that reason. Otherwise such requests would set the order in a long overload.
	defaultAheadInterval = 8
	// overtakenTTL is how long an account counts as overtaken without a further request that
	// is overtaken. Refused callers return within 13 s.
	overtakenTTL = 30 * time.Second
	// totalsInterval is the least time between two additions of the reports of all peers. It is
	// short compared with the half-life.
	totalsInterval = 100 * time.Millisecond
	// expiryInterval is the time between two checks for reports that have expired.
	expiryInterval = time.Second
)

// decaying is a number of tokens that halves every half-life.
type decaying struct {
	at     time.Duration
	tokens float64
}

func (d decaying) valueAt(now, halfLife time.Duration) float64 {
	return d.tokens * math.Exp2(-max(0, float64(now-d.at))/float64(halfLife))
}

// account is the state of a client account on this VM.
type account struct {
	used decaying
	// overtaken is set if a later request of another account was placed first since the
	// account was last served, here or, by what peers report, there: first at overtakenSince,
	// last at overtakenAt.
	overtaken                   bool
	overtakenSince, overtakenAt time.Duration
}

// Sharer tracks the use of client accounts. It is not safe for concurrent use.
type Sharer struct {
	halfLife, reportTTL, maxOvertaken time.Duration
	maxAccounts, aheadInterval        int

	accounts map[string]*account
	peers    map[string]map[string]decaying
	// told is what each peer has been told.
	told map[string]*telling
	// totals is the use on all peers as of totalsAt, out of date if dirty.
	totals   map[string]float64
	totalsAt time.Duration
	dirty    bool
	// sinceAhead counts the placements since one came first because its account had been
	// overtaken for too long.
	sinceAhead int
	aheadCount int
}

// Option configures a Sharer.
type Option func(*Sharer)

// WithHalfLife sets the half-life of use. All VMs must have the same.
func WithHalfLife(d time.Duration) Option { return func(s *Sharer) { s.halfLife = d } }

// WithMaxAccounts sets how many accounts are kept of this VM, and of each peer.
func WithMaxAccounts(n int) Option { return func(s *Sharer) { s.maxAccounts = n } }

// WithReportTTL sets the age at which what a peer has reported expires.
func WithReportTTL(d time.Duration) Option { return func(s *Sharer) { s.reportTTL = d } }

// WithMaxOvertaken sets for how long an account can be overtaken before one of its requests
// comes first, and the number of placements of which at most one comes first for that reason.
func WithMaxOvertaken(d time.Duration, placements int) Option {
	return func(s *Sharer) { s.maxOvertaken, s.aheadInterval = d, placements }
}

// New returns a sharer that knows of no use.
func New(options ...Option) *Sharer {
	s := &Sharer{
		halfLife: defaultHalfLife, reportTTL: defaultReportTTL, maxOvertaken: defaultMaxOvertaken,
		maxAccounts: defaultMaxAccounts, aheadInterval: defaultAheadInterval,
		accounts: map[string]*account{}, peers: map[string]map[string]decaying{}, told: map[string]*telling{}, totals: map[string]float64{},
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Record records that an account has used tokens on this VM.
func (s *Sharer) Record(name string, tokens int, now time.Duration) {
	if tokens <= 0 {
		return
	}
	a := s.account(name, now)
	a.used = decaying{now, a.used.valueAt(now, s.halfLife) + float64(tokens)}
}

// account returns the state of an account on this VM. If there are too many, the one that has
// used least is removed.
func (s *Sharer) account(name string, now time.Duration) *account {
	a := s.accounts[name]
	if a != nil {
		return a
	}
	if len(s.accounts) >= s.maxAccounts {
		least, leastUse := "", math.Inf(1)
		for other, a := range s.accounts {
			if use := a.used.valueAt(now, s.halfLife); use < leastUse {
				least, leastUse = other, use
			}
		}
		delete(s.accounts, least)
	}
	a = &account{used: decaying{at: now}}
	s.accounts[name] = a
	return a
}

// Use returns what an account has used lately on all VMs, in tokens.
func (s *Sharer) Use(name string, now time.Duration) float64 {
	s.updateTotals(now)
	use := decaying{s.totalsAt, s.totals[name]}.valueAt(now, s.halfLife)
	if a := s.accounts[name]; a != nil {
		use += a.used.valueAt(now, s.halfLife)
	}
	return use
}

// updateTotals adds up the reports of the peers if any has changed or may have expired.
func (s *Sharer) updateTotals(now time.Duration) {
	interval := totalsInterval
	if !s.dirty {
		interval = expiryInterval
	}
	if len(s.peers) == 0 && !s.dirty || now-s.totalsAt < interval && s.totalsAt > 0 {
		return
	}
	s.removeExpired(now)
	clear(s.totals)
	for _, uses := range s.peers {
		for name, used := range uses {
			s.totals[name] += used.valueAt(now, s.halfLife)
		}
	}
	s.totalsAt, s.dirty = now, false
}

// removeExpired removes what peers reported too long ago.
func (s *Sharer) removeExpired(now time.Duration) {
	for peer, uses := range s.peers {
		for name, used := range uses {
			if now-used.at > s.reportTTL {
				delete(uses, name)
			}
		}
		if len(uses) == 0 {
			delete(s.peers, peer)
		}
	}
}

// MarkOvertaken records that a later request of another account was placed before a waiting
// one of this account.
func (s *Sharer) MarkOvertaken(name string, now time.Duration) {
	a := s.account(name, now)
	if !a.overtaken || now-a.overtakenAt > overtakenTTL {
		a.overtaken, a.overtakenSince = true, now
	}
	a.overtakenAt = now
}

// MarkServed records that a request of the account was placed, and whether it came first
// because the account had been overtaken for too long.
func (s *Sharer) MarkServed(name string, ahead bool) {
	if a := s.accounts[name]; a != nil {
		a.overtaken = false
	}
	s.sinceAhead++
	if ahead {
		s.sinceAhead = 0
		s.aheadCount++
	}
}

// Overtaken returns for how long the account has been overtaken, and whether one of its
// requests comes first for that reason.
func (s *Sharer) Overtaken(name string, now time.Duration) (time.Duration, bool) {
	a := s.accounts[name]
	if a == nil || !a.overtaken || now-a.overtakenAt > overtakenTTL {
		return 0, false
	}
	since := now - a.overtakenSince
	return since, since > s.maxOvertaken && s.sinceAhead >= s.aheadInterval-1
}

// Summary describes the use of all accounts, and how many requests came first because their
// account had been overtaken for too long.
type Summary struct {
	// Accounts is the number of accounts with recent use.
	Accounts int
	// LargestShare is the share of the use that the largest one has.
	LargestShare    float64
	OvertakenServed int
}

// Summary returns a summary of what the accounts have used lately on all VMs.
func (s *Sharer) Summary(now time.Duration) Summary {
	s.updateTotals(now)
	names := map[string]bool{}
	for name := range s.accounts {
		names[name] = true
	}
	for name := range s.totals {
		names[name] = true
	}
	out, sum, largest := Summary{OvertakenServed: s.aheadCount}, 0.0, 0.0
	for name := range names {
		use := s.Use(name, now)
		if use >= 1 {
			out.Accounts++
		}
		sum, largest = sum+use, max(largest, use)
	}
	if sum >= 1 {
		out.LargestShare = largest / sum
	}
	return out
}

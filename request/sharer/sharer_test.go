package sharer_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/request/sharer"
)

// TestUse checks that use halves every half-life and adds up over VMs, and that the reports of
// a silent peer expire.
func TestUse(t *testing.T) {
	const halfLife = 10 * time.Second
	s := sharer.New(sharer.WithHalfLife(halfLife), sharer.WithReportTTL(3*halfLife))
	s.Record("a", 1000, 0)
	s.Apply("peer", []bluebelldoor.AccountUse{{Account: "a", Tokens: 3000}, {Account: "b", Tokens: 500}}, 0)
	for _, c := range []struct {
		account string
		at      time.Duration
		want    float64
	}{{"a", 0, 4000}, {"c", 0, 0}, {"a", halfLife, 2000}, {"b", halfLife, 250}, {"a", 2 * halfLife, 1000}} {
		assert.Assert(t, math.Abs(s.Use(c.account, c.at)-c.want) < 1, "%s at %s: %.1f", c.account, c.at, s.Use(c.account, c.at))
	}
	expired := 3*halfLife + time.Second
	assert.Assert(t, math.Abs(s.Use("a", expired)-1000*math.Exp2(-3.1)) < 1, "%.1f", s.Use("a", expired))
	assert.Equal(t, s.Use("b", expired), 0.0)
}

// TestReplaced guards against reports that add to earlier ones of the same peer.
func TestReplaced(t *testing.T) {
	s := sharer.New()
	for range 3 {
		s.Apply("x", []bluebelldoor.AccountUse{{Account: "a", Tokens: 100}}, time.Second)
	}
	s.Apply("y", []bluebelldoor.AccountUse{{Account: "a", Tokens: 10}}, time.Second)
	assert.Equal(t, s.Use("a", time.Second), 110.0)
}

// TestMalformedReport guards against reports of a faulty peer that distort the order or take
// memory without bound.
func TestMalformedReport(t *testing.T) {
	s := sharer.New(sharer.WithMaxAccounts(10))
	s.Apply("x", []bluebelldoor.AccountUse{{Account: "a", Tokens: -5}, {Account: "b", Tokens: math.MaxInt64}, {Account: strings.Repeat("c", 1000), Tokens: 5}}, 1)
	for i := range 1000 {
		s.Apply("x", []bluebelldoor.AccountUse{{Account: fmt.Sprint(i), Tokens: 5}}, 1)
	}
	assert.Equal(t, s.Use("a", 1), 0.0)
	assert.Equal(t, s.Use("b", 1), 0.0)
	assert.Equal(t, s.Summary(1).Accounts, 10)
}

// TestBounded guards against memory without bound where there are many accounts: those that
// have used least are forgotten.
func TestBounded(t *testing.T) {
	s := sharer.New(sharer.WithMaxAccounts(10))
	s.Record("largest", 1000, 0)
	for i := range 1000 {
		s.Record(fmt.Sprint(i), 5, time.Duration(i))
		s.MarkOvertaken(fmt.Sprint("overtaken", i), time.Duration(i))
	}
	assert.Assert(t, s.Summary(1000).Accounts <= 10)
	assert.Assert(t, s.Use("largest", 1000) > 999)
}

// TestReport checks that a peer is told the largest users, only what has grown, in bounded
// messages and not in each of them.
func TestReport(t *testing.T) {
	s := sharer.New()
	for i := range 10 {
		s.Record(fmt.Sprint(i), 100*(i+1), 0)
	}
	names := func(report []bluebelldoor.AccountUse) string {
		out := ""
		for _, use := range report {
			out += use.Account
		}
		return out
	}
	assert.Equal(t, names(s.Report("x", 0)), "987654")
	assert.Equal(t, names(s.Report("x", time.Second)), "")
	assert.Equal(t, names(s.Report("y", time.Second)), "987654")
	assert.Equal(t, names(s.Report("x", 3*time.Second)), "3210")
	assert.Equal(t, names(s.Report("x", 6*time.Second)), "")
	s.Record("2", 100, 7*time.Second)
	s.Record("9", 10, 7*time.Second)
	assert.Equal(t, names(s.Report("x", 8*time.Second)), "2")
}

// TestReportRate guards against reports that take a share of the messages that grows with the
// fleet.
func TestReportRate(t *testing.T) {
	const peers, seconds, maxPerSecond = 400, 120, 10 + 1
	s := sharer.New()
	sent := 0
	for now := time.Duration(0); now < seconds*time.Second; now += 250 * time.Millisecond {
		for i := range 24 {
			s.Record(fmt.Sprint(i), 1000, now)
		}
		for peer := range peers {
			if len(s.Report(fmt.Sprint(peer), now)) > 0 && now >= seconds/2*time.Second {
				sent++
			}
		}
	}
	assert.Assert(t, sent <= maxPerSecond*seconds/2, "%d reports in %d s", sent, seconds/2)
	assert.Assert(t, sent >= peers, "%d reports to %d peers", sent, peers)
}

// TestOvertaken checks for how long an account can be overtaken, and how often one comes first
// for that reason.
func TestOvertaken(t *testing.T) {
	const bound, interval = 5 * time.Second, 3
	s := sharer.New(sharer.WithMaxOvertaken(bound, interval))
	due := func(account string, now time.Duration) bool {
		_, due := s.Overtaken(account, now)
		return due
	}
	for range interval {
		s.MarkServed("b", false)
	}
	s.MarkOvertaken("a", 0)
	s.MarkOvertaken("a", 4*time.Second)
	assert.Assert(t, !due("a", bound))
	assert.Assert(t, due("a", bound+1))
	assert.Assert(t, !due("b", bound+1))
	s.MarkServed("a", true)
	assert.Assert(t, !due("a", bound+1))
	s.MarkOvertaken("a", bound+2)
	s.MarkServed("b", false)
	assert.Assert(t, !due("a", 2*bound+3), "another one came first two placements ago")
	s.MarkServed("b", false)
	assert.Assert(t, due("a", 2*bound+3))
	assert.Assert(t, !due("a", 2*bound+3+time.Minute), "none of its requests was overtaken for a minute")
	now := 2*bound + 4 + time.Minute
	s.MarkOvertaken("a", now)
	s.MarkOvertaken("a", now+bound)
	assert.Assert(t, due("a", now+bound+1))
	s.Apply("peer", []bluebelldoor.AccountUse{{Account: "a", Tokens: 5}}, now+bound+2)
	assert.Assert(t, !due("a", now+bound+3), "a peer has served it")
	assert.Equal(t, s.Summary(0).OvertakenServed, 1)
}

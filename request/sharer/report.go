package sharer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bluebelldoor"
)

const (
	// minReportInterval is the least time between two reports to a peer, and reportSpacing the
	// least time between two to any of them, on average. It bounds the bytes per second that
	// the reports take in a fleet of any size.
	minReportInterval = 2 * time.Second
	reportSpacing     = 100 * time.Millisecond
	// maxReported bounds the accounts in a report.
	maxReported = 6
	// minGrowth is by how much the use of an account must exceed what the peer has been told
	// to be reported again. Peers let it decay themselves.
	minGrowth = 1.0 / 8
	// maxTokens and maxNameBytes bound what a malformed report may say.
	maxTokens    = 1 << 40
	maxNameBytes = 256
)

// telling is what a peer has been told.
type telling struct {
	at   time.Duration
	used map[string]decaying
}

// Report returns the accounts that a peer is to be told in the next message: those whose use
// has grown since, the largest first, nil for none. A message that is lost is made up for
// once the account has used more.
func (s *Sharer) Report(peer string, now time.Duration) []bluebelldoor.AccountUse {
	interval := max(minReportInterval, time.Duration(len(s.told))*reportSpacing)
	told := s.told[peer]
	if told != nil && now-told.at < interval {
		return nil
	}
	if told == nil {
		maps.DeleteFunc(s.told, func(_ string, t *telling) bool { return now-t.at > s.reportTTL })
		told = &telling{used: map[string]decaying{}}
		s.told[peer] = told
	}
	told.at = now
	var out []bluebelldoor.AccountUse
	for name, a := range s.accounts {
		used := a.used.valueAt(now, s.halfLife)
		if used < 1 || len(name) > maxNameBytes {
			continue
		}
		if used > told.used[name].valueAt(now, s.halfLife)*(1+minGrowth) {
			out = append(out, bluebelldoor.AccountUse{Account: name, Tokens: int64(used)})
		}
	}
	slices.SortFunc(out, func(a, b bluebelldoor.AccountUse) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Account, b.Account))
	})
	out = out[:min(len(out), maxReported)]
	maps.DeleteFunc(told.used, func(name string, _ decaying) bool { return s.accounts[name] == nil })
	for _, use := range out {
		told.used[use.Account] = decaying{now, float64(use.Tokens)}
	}
	return out
}

// Apply applies a peer's report of what accounts have used there. Each value replaces the one
// reported before, and shows that the account was served there. Invalid ones are ignored.
func (s *Sharer) Apply(peer string, report []bluebelldoor.AccountUse, now time.Duration) {
	for _, use := range report {
		if use.Tokens < 0 || use.Tokens > maxTokens || len(use.Account) > maxNameBytes {
			continue
		}
		if a := s.accounts[use.Account]; a != nil {
			a.overtaken = false
		}
		uses := s.peers[peer]
		if uses == nil {
			uses = map[string]decaying{}
			s.peers[peer] = uses
		}
		if _, known := uses[use.Account]; !known && len(uses) >= s.maxAccounts {
			continue
		}
		uses[use.Account] = decaying{now, float64(use.Tokens)}
		s.dirty = true
	}
}

package admitter

import (
	"fmt"
	"time"

	"bluebelldoor"
	"bluebelldoor/request/placer"
	"bluebelldoor/request/router"
)

func (a *Admitter) check(r *Request, now time.Time) *bluebelldoor.Refusal {
	if a.table == nil {
		return bluebelldoor.Refuse(bluebelldoor.ViewStale, "nothing is known of the targets yet").WithRetryAfter(minRetryAfter)
	}
	if a.naive {
		return nil
	}
	limit := a.accountLimit(r.Account)
	if running := a.accounts[r.Account.Name()]; running >= limit {
		return bluebelldoor.Refuse(bluebelldoor.AccountLimit,
			fmt.Sprintf("the account has %d requests on this VM, its share of %d is %d", running, r.Account.MaxStreams(), limit)).
			WithRetryAfter(minRetryAfter)
	}
	if refusal := a.open(r, now); refusal != nil {
		return refusal
	}
	if longest, waiting := a.document.Limits().QueueLength, a.Waiting(); waiting >= longest && longest > 0 {
		return bluebelldoor.Refuse(bluebelldoor.QueueFull, fmt.Sprintf("%d requests wait", waiting)).
			WithRetryAfter(placer.ComeBack(r.Deadline.Sub(now), objective, a.share))
	}
	return a.onTime(r, now)
}

// open refuses a request whose targets are all closed, or are all cold while
// this VM holds no slot of them; other VMs do.
func (a *Admitter) open(r *Request, now time.Time) *bluebelldoor.Refusal {
	why := "no target serves the model"
	cold := false
	for _, c := range a.table.Candidates(r.Model) {
		switch {
		case c.Why(now) != bluebelldoor.OK:
			why = "every target is closed, the last one because " + closedBecause(c)
		case c.WarmAt(now) || len(c.Slots) > 0:
			return nil
		default:
			cold = true
		}
	}
	if cold {
		return bluebelldoor.Refuse(bluebelldoor.ColdTargets, "every open target is cold, and this VM holds no slot; ask which VM to use").WithRetryAfter(minRetryAfter)
	}
	return bluebelldoor.Refuse(bluebelldoor.NoTarget, why).WithRetryAfter(minRetryAfter)
}

func closedBecause(c *router.Candidate) string {
	switch {
	case c.Closed != "":
		return c.Closed
	case !c.Reported:
		return "target " + c.Target.Name() + " has not reported"
	case c.Report.Leaving:
		return "target " + c.Target.Name() + " reports that it is leaving"
	default:
		return "target " + c.Target.Name() + " failed several times in a row"
	}
}

// onTime refuses a request that can't end by its deadline.
func (a *Admitter) onTime(r *Request, now time.Time) *bluebelldoor.Refusal {
	runs := a.runs(r)
	if late := now.Add(runs).Sub(r.Deadline); late > 0 {
		return bluebelldoor.Refuse(bluebelldoor.DeadlineTooNear,
			fmt.Sprintf("an expected run of %s ends %s after the deadline", runs.Round(time.Millisecond), late.Round(time.Millisecond))).
			WithRetryAfter(max(late, minRetryAfter))
	}
	return nil
}

// accountLimit returns the part of an account's limit that this VM grants. No
// state is shared: the account is spread over a known number of VMs, and each
// of them grants an equal part.
func (a *Admitter) accountLimit(account *bluebelldoor.ClientAccount) int {
	shard := Shard(account, a.table.VMs)
	return (account.MaxStreams() + shard - 1) / shard
}

// Shard returns how many of vms VMs serve an account.
func Shard(account *bluebelldoor.ClientAccount, vms int) int {
	if account.Large() {
		return max(vms, 1)
	}
	return max(min(smallShard, vms), 1)
}

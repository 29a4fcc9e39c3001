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
		return bluebelldoor.NewRefusal(bluebelldoor.ViewStale, "no view of the targets has been published yet").WithRetryAfter(minRetryAfter)
	}
	if a.naive {
		return nil
	}
	limit := a.accountLimit(r.Account)
	if requests := a.accountRequests[r.Account.Name()]; requests >= limit {
		return bluebelldoor.NewRefusal(bluebelldoor.AccountLimit,
			fmt.Sprintf("account has %d requests on this VM; this VM's share of its limit of %d is %d", requests, r.Account.MaxStreams(), limit)).
			WithRetryAfter(minRetryAfter)
	}
	if refusal := a.checkTargets(r, now); refusal != nil {
		return refusal
	}
	if maxLength, waiting := a.document.Limits().QueueLength, a.Waiting(); waiting >= maxLength && maxLength > 0 {
		return bluebelldoor.NewRefusal(bluebelldoor.QueueFull, fmt.Sprintf("queue limit reached: %d requests are waiting", waiting)).
			WithRetryAfter(placer.RetryDelay(r.Deadline.Sub(now), firstTokenObjective, a.randomFraction))
	}
	return a.checkDeadline(r, now)
}

// checkTargets refuses a request whose targets are all closed, or whose open
// targets are all cold while other VMs hold all of their slots.
func (a *Admitter) checkTargets(r *Request, now time.Time) *bluebelldoor.Refusal {
	reason := "no target serves the model"
	cold := false
	for _, c := range a.table.Candidates(r.Model) {
		switch {
		case c.AvailabilityCode(now) != bluebelldoor.OK:
			reason = "all targets are closed; reason for the last one: " + closedReason(c)
		case c.WarmAt(now) || len(c.Slots) > 0:
			return nil
		default:
			cold = true
		}
	}
	if cold {
		return bluebelldoor.NewRefusal(bluebelldoor.ColdTargets, "all open targets are cold and this VM holds no slot for them; look up the VM to use").WithRetryAfter(minRetryAfter)
	}
	return bluebelldoor.NewRefusal(bluebelldoor.NoTarget, reason).WithRetryAfter(minRetryAfter)
}

func closedReason(c *router.Candidate) string {
	switch {
	case c.ClosedReason != "":
		return c.ClosedReason
	case !c.HasReport:
		return "target " + c.Target.Name() + " has not reported"
	case c.Report.Leaving:
		return "target " + c.Target.Name() + " has announced that it is leaving"
	default:
		return "target " + c.Target.Name() + " failed several times in a row"
	}
}

// checkDeadline refuses a request that is expected to end after its deadline.
func (a *Admitter) checkDeadline(r *Request, now time.Time) *bluebelldoor.Refusal {
	duration := a.expectedDuration(r)
	if late := now.Add(duration).Sub(r.Deadline); late > 0 {
		return bluebelldoor.NewRefusal(bluebelldoor.DeadlineTooNear,
			fmt.Sprintf("request is expected to take %s and end %s after the deadline", duration.Round(time.Millisecond), late.Round(time.Millisecond))).
			WithRetryAfter(max(late, minRetryAfter))
	}
	return nil
}

// accountLimit returns this VM's share of an account's limit. The VMs share no
// state: the number of VMs that serve an account is known, and each of them
// enforces an equal share.
func (a *Admitter) accountLimit(account *bluebelldoor.ClientAccount) int {
	vms := AccountVMs(account, a.table.VMs)
	return (account.MaxStreams() + vms - 1) / vms
}

// AccountVMs returns how many of vms VMs serve an account.
func AccountVMs(account *bluebelldoor.ClientAccount, vms int) int {
	if account.Large() {
		return max(vms, 1)
	}
	return max(min(smallAccountVMs, vms), 1)
}

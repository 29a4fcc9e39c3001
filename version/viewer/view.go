package viewer

import (
	"fmt"
	"time"

	"bluebelldoor"
)

// staleRetryAfter is when a caller may retry after a refusal for a stale view, at
// another VM or at this one once it has asked its peers again.
const staleRetryAfter = time.Second

// View holds the document and VM list in force on one VM. It is immutable.
type View struct {
	document          *bluebelldoor.Document
	list              *bluebelldoor.VMList
	documentConfirmed time.Time
	listConfirmed     time.Time
	ready             bool
}

// Document returns the document in force, nil before the first one.
func (v *View) Document() *bluebelldoor.Document { return v.document }

// List returns the VM list in force, nil before the first one.
func (v *View) List() *bluebelldoor.VMList { return v.list }

// DocumentConfirmed returns the latest time at which the document in force is
// known to have been the newest.
func (v *View) DocumentConfirmed() time.Time { return v.documentConfirmed }

// ListConfirmed returns the same time for the VM list.
func (v *View) ListConfirmed() time.Time { return v.listConfirmed }

// CheckFresh returns nil if the view may be used at now, else a refusal with code
// ViewStale.
func (v *View) CheckFresh(now time.Time) *bluebelldoor.Refusal {
	if v.document == nil || v.list == nil {
		return staleRefusal("no document or VM list has been read yet")
	}
	if !v.ready {
		return staleRefusal("the peers have not been asked yet")
	}
	limit := v.document.Limits().FreshFor
	if age := now.Sub(v.documentConfirmed); age > limit {
		return staleRefusal(fmt.Sprintf("revision %d was confirmed %s ago, the limit is %s", v.document.Revision(), age.Round(time.Millisecond), limit))
	}
	if age := now.Sub(v.listConfirmed); age > limit {
		return staleRefusal(fmt.Sprintf("the VM list was confirmed %s ago, the limit is %s", age.Round(time.Millisecond), limit))
	}
	return nil
}

func staleRefusal(detail string) *bluebelldoor.Refusal {
	return bluebelldoor.NewRefusal(bluebelldoor.ViewStale, detail).WithRetryAfter(staleRetryAfter)
}

// CheckSend is the last check before new work is sent to a target. It returns nil,
// or a refusal with code ViewStale or NoTarget.
func (v *View) CheckSend(target string, now time.Time) *bluebelldoor.Refusal {
	if refusal := v.CheckFresh(now); refusal != nil {
		return refusal
	}
	if reason := v.ClosedReason(target); reason != "" {
		return bluebelldoor.NewRefusal(bluebelldoor.NoTarget, reason)
	}
	return nil
}

// ClosedReason returns why the document allows no new work for a target, "" if it
// does.
func (v *View) ClosedReason(target string) string {
	t := v.document.Target(target)
	if t == nil {
		return "target " + target + " is not in the document"
	}
	if t.Leaving() {
		return "target " + target + " is leaving"
	}
	if !v.document.DataCentre(t.DataCentre()).InService() {
		return "data centre " + t.DataCentre() + " is out of service"
	}
	return ""
}

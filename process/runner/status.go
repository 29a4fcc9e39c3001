package runner

import (
	"time"

	"bluebelldoor"
	"bluebelldoor/process/recorder"
	"bluebelldoor/request/router"
)

// Status is the state of a VM as reported to operators.
type Status struct {
	VM          string                   `json:"vm"`
	DataCentre  string                   `json:"dataCentre"`
	Incarnation string                   `json:"incarnation"`
	Phase       Phase                    `json:"life"`
	Fresh       string                   `json:"fresh"`
	Document    DocumentStatus           `json:"document"`
	VMList      ListStatus               `json:"vmList"`
	Streams     int                      `json:"streams"`
	Calls       int                      `json:"calls"`
	Waiting     int                      `json:"waiting"`
	Targets     []TargetStatus           `json:"targets"`
	Refusals    []recorder.RefusalRecord `json:"refusals"`
}

// DocumentStatus describes the document in force.
type DocumentStatus struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	AgeMs    int64  `json:"ageMs"`
	Rejected string `json:"rejected,omitempty"`
}

// ListStatus describes the VM list in force and the state of its VMs.
type ListStatus struct {
	Version uint64     `json:"version"`
	AgeMs   int64      `json:"ageMs"`
	VMs     []VMStatus `json:"vms"`
}

// VMStatus is the state of one VM on the list.
type VMStatus struct {
	Name  string `json:"name"`
	Alive bool   `json:"alive"`
}

// TargetStatus describes a target and, if it gets no new work, the reason.
type TargetStatus struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	State      string `json:"state"`
	Reason     string `json:"why,omitempty"`
	Inflight   int    `json:"inflight"`
	// PeerInflight is the number of generations in flight from other VMs, as
	// they report it.
	PeerInflight int   `json:"elsewhere"`
	Running      int   `json:"running"`
	Waiting      int   `json:"waiting"`
	MemoryUsed   int   `json:"memoryUsed"`
	ReportAgeMs  int64 `json:"reportAgeMs"`
	SlotsHeld    int   `json:"slotsHeld"`
	SlotsUsable  int   `json:"slotsUsable"`
}

// Status returns the VM's current state.
func (r *Runner) Status() Status {
	s := r.control.State()
	now := time.Now()
	out := Status{
		VM:          r.settings.Name(),
		DataCentre:  r.settings.DataCentre(),
		Incarnation: r.control.Incarnation(),
		Phase:       r.Phase(),
		Fresh:       "yes",
		Streams:     r.streamer.Active(),
		Calls:       r.executor.InFlight(),
		Refusals:    r.journal.Refusals(),
	}
	out.Waiting, _ = r.gate.Counts()
	if refusal := s.CheckFresh(now); refusal != nil {
		out.Fresh = refusal.Detail()
	}
	if l := s.View().List(); l != nil {
		out.VMList = ListStatus{Version: l.Version(), AgeMs: now.Sub(s.View().ListConfirmed()).Milliseconds()}
		for _, vm := range l.VMs() {
			alive := vm.Name() == r.settings.Name() || s.Alive(vm.Name(), now)
			out.VMList.VMs = append(out.VMList.VMs, VMStatus{Name: vm.Name(), Alive: alive})
		}
	}
	d := s.View().Document()
	if d == nil {
		return out
	}
	out.Document = DocumentStatus{
		Revision: d.Revision(),
		Digest:   d.Digest(),
		AgeMs:    now.Sub(s.View().DocumentConfirmed()).Milliseconds(),
		Rejected: s.RejectionReason(),
	}
	r.gate.Inspect(func() {
		for _, t := range d.Targets() {
			if c := s.Table().Candidate(t.Name()); c != nil {
				out.Targets = append(out.Targets, targetStatus(c, r.gate.PeerRequests(t.Name(), now), now))
			}
		}
	})
	return out
}

func targetStatus(c *router.Candidate, peerInflight int, now time.Time) TargetStatus {
	out := TargetStatus{
		Name:         c.Target.Name(),
		DataCentre:   c.Target.DataCentre(),
		State:        "cold",
		Reason:       c.ClosedReason,
		Inflight:     c.Load.Inflight(),
		PeerInflight: peerInflight,
		Running:      c.Report.Running,
		Waiting:      c.Report.Waiting,
		MemoryUsed:   c.Report.MemoryUsed,
		ReportAgeMs:  now.Sub(c.Report.Received).Milliseconds(),
		SlotsHeld:    len(c.Slots),
	}
	for _, s := range c.Slots {
		if s.Usable(now) {
			out.SlotsUsable++
		}
	}
	switch {
	case c.AvailabilityCode(now) != bluebelldoor.OK:
		out.State = "closed"
	case c.WarmAt(now):
		out.State = "warm"
	}
	if out.State == "closed" && out.Reason == "" {
		out.Reason = closedReason(c)
	}
	return out
}

func closedReason(c *router.Candidate) string {
	switch {
	case !c.HasReport:
		return "no load report yet"
	case c.Report.Leaving:
		return "reports that it is leaving"
	default:
		return "failed several times in a row"
	}
}

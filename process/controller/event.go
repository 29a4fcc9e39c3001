package controller

import (
	"time"

	"bluebelldoor"
	"bluebelldoor/process/slotter"
	"bluebelldoor/version/viewer"
)

// event is an input of the control goroutine. apply reports whether the resulting
// state must be published at once.
type event interface{ apply(c *Controller) bool }

// documentRead is a response of the configuration service.
type documentRead struct {
	askedAt  time.Time
	revision uint64
	document *bluebelldoor.Document
	err      error
}

func (e documentRead) apply(c *Controller) bool {
	urgent := c.viewStale()
	switch {
	case e.err != nil:
		c.reject(e.revision, e.err)
		urgent = true
	case e.document != nil:
		urgent = c.adopt(e.document, "configuration service") || urgent
	}
	if e.revision == c.rejected.revision {
		// The service's document was refused; the one in force stays.
		if d := c.viewer.View().Document(); d != nil {
			c.viewer.RecordRevision(d.Revision(), e.askedAt)
		}
		return urgent
	}
	c.viewer.RecordRevision(e.revision, e.askedAt)
	return urgent
}

// viewStale reports whether the view is too old for new work to be taken; any new
// evidence is then published at once.
func (c *Controller) viewStale() bool {
	return c.viewer.View().CheckFresh(time.Now()) != nil
}

func (c *Controller) reject(revision uint64, err error) {
	if revision <= c.rejected.revision {
		return
	}
	c.rejected = rejection{revision: revision, reason: err.Error()}
	c.metrics.DocumentRejected()
	c.log.Error("document refused", "revision", revision, "findings", err.Error())
}

// adopt puts a document into force if it is newer, and reports whether it is.
func (c *Controller) adopt(d *bluebelldoor.Document, source string) bool {
	if !c.viewer.Adopt(d) {
		return false
	}
	c.log.Info("document in force", "revision", d.Revision(), "digest", d.Digest(), "from", source)
	if d.Revision() > c.rejected.revision {
		c.rejected = rejection{}
	}
	c.assignSlots()
	return true
}

// assignSlots recomputes the slots of cold targets.
func (c *Controller) assignSlots() {
	view := c.viewer.View()
	if view.Document() != nil && view.List() != nil {
		d := view.Document()
		c.slotter.Assign(slotter.EngineResources(d), slotter.Lease(d.Limits()), view.List(), time.Now())
	}
}

// listRead is a VM list read from the platform.
type listRead struct {
	askedAt time.Time
	list    *bluebelldoor.VMList
}

func (e listRead) apply(c *Controller) bool {
	urgent := c.viewStale()
	urgent = c.adoptList(e.list) || urgent
	c.viewer.RecordListVersion(e.list.Version(), e.askedAt)
	return urgent
}

// adoptList puts a VM list into force if it is newer, and reports whether it is.
func (c *Controller) adoptList(l *bluebelldoor.VMList) bool {
	if !c.viewer.AdoptList(l) {
		return false
	}
	c.log.Debug("VM list in force", "version", l.Version(), "vms", len(l.VMs()))
	for name := range c.peers {
		if l.VM(name) == nil {
			delete(c.peers, name)
		}
	}
	c.assignSlots()
	return true
}

// peerAnswered is a peer's reply, with the document and VM list that it sent.
type peerAnswered struct {
	askedAt  time.Time
	reply    *bluebelldoor.StateReply
	document *bluebelldoor.Document
	list     *bluebelldoor.VMList
}

func (e peerAnswered) apply(c *Controller) bool {
	urgent := c.viewStale()
	if e.document != nil {
		urgent = c.adopt(e.document, e.reply.Name) || urgent
	}
	if e.list != nil {
		urgent = c.adoptList(e.list) || urgent
	}
	c.peers[e.reply.Name] = Peer{
		AnsweredAt: time.Now(),
		Draining:   e.reply.Draining,
	}
	c.viewer.RecordPeer(e.reply.Name, viewer.PeerView{
		Revision:     e.reply.Revision,
		DocumentAge:  time.Duration(e.reply.DocumentAgeMs) * time.Millisecond,
		ListVersion:  e.reply.ListVersion,
		ListAge:      time.Duration(e.reply.ListAgeMs) * time.Millisecond,
		HasConfirmed: e.reply.HasConfirmed,
	}, e.askedAt)
	return urgent
}

// peerFailed reports that a peer did not answer.
type peerFailed struct{ name string }

func (e peerFailed) apply(c *Controller) bool {
	c.viewer.RecordPeerFailure(e.name)
	return c.viewStale()
}

// peerDraining reports that a peer announced that it is leaving.
type peerDraining struct{ name string }

func (e peerDraining) apply(c *Controller) bool {
	p := c.peers[e.name]
	p.Draining = true
	c.peers[e.name] = p
	return true
}

// reportReceived is a target's load report; failed if it did not answer.
type reportReceived struct {
	target string
	report bluebelldoor.LoadReport
	failed bool
}

func (e reportReceived) apply(c *Controller) bool {
	urgent := c.markPolled(e.target)
	if known := c.reports[e.target]; e.failed || e.report.Received.Before(known.Received) {
		return urgent
	}
	c.reports[e.target] = e.report
	c.slotter.Report(e.target, e.report)
	return urgent
}

// markPolled records that a target has answered or failed once, and reports
// whether it was the last target of the document to do so. This VM becomes ready
// only then: earlier, it would refuse requests that it could serve a moment later.
func (c *Controller) markPolled(target string) bool {
	d := c.viewer.View().Document()
	if c.ready || d == nil {
		return false
	}
	c.polled[target] = true
	for _, t := range d.Targets() {
		if !c.polled[t.Name()] {
			return false
		}
	}
	c.ready = true
	return true
}

// drainStarted reports that this VM is leaving; done is closed once that is
// published.
type drainStarted struct{ done chan struct{} }

func (e drainStarted) apply(c *Controller) bool {
	c.draining = true
	c.publish(time.Now())
	close(e.done)
	return true
}

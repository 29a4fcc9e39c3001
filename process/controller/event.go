package controller

import (
	"time"

	"bluebelldoor"
	"bluebelldoor/process/slotter"
	"bluebelldoor/version/viewer"
)

// event is something that the control goroutine must take note of.
// It reports whether what follows from it must be published at once.
type event interface{ apply(c *Controller) bool }

// documentRead says what the configuration service answered.
type documentRead struct {
	asked    time.Time
	revision uint64
	document *bluebelldoor.Document
	err      error
}

func (e documentRead) apply(c *Controller) bool {
	news := c.wasStale()
	switch {
	case e.err != nil:
		c.reject(e.revision, e.err)
		news = true
	case e.document != nil:
		news = c.adopt(e.document, "configuration service") || news
	}
	if e.revision == c.rejected.revision {
		// What the service holds was refused; what is in force stays.
		if d := c.viewer.View().Document(); d != nil {
			c.viewer.Service(d.Revision(), e.asked)
		}
		return news
	}
	c.viewer.Service(e.revision, e.asked)
	return news
}

// wasStale reports whether new work is held up by the view; then any evidence
// is worth publishing.
func (c *Controller) wasStale() bool {
	return c.viewer.View().Fresh(time.Now()) != nil
}

func (c *Controller) reject(revision uint64, err error) {
	if revision <= c.rejected.revision {
		return
	}
	c.rejected = rejection{revision: revision, reason: err.Error()}
	c.metrics.DocumentRejected()
	c.log.Error("document refused", "revision", revision, "findings", err.Error())
}

// adopt takes a document into force if it is newer, and reports whether it is.
func (c *Controller) adopt(d *bluebelldoor.Document, from string) bool {
	if !c.viewer.Adopt(d) {
		return false
	}
	c.log.Info("document in force", "revision", d.Revision(), "digest", d.Digest(), "from", from)
	if d.Revision() > c.rejected.revision {
		c.rejected = rejection{}
	}
	c.assign()
	return true
}

// assign works out the slots of cold targets anew.
func (c *Controller) assign() {
	view := c.viewer.View()
	if view.Document() != nil && view.List() != nil {
		d := view.Document()
		c.slotter.Assign(slotter.EngineResources(d), slotter.Lease(d.Limits()), view.List(), time.Now())
	}
}

// listRead says what the platform's VM list held.
type listRead struct {
	asked time.Time
	list  *bluebelldoor.VMList
}

func (e listRead) apply(c *Controller) bool {
	news := c.wasStale()
	news = c.adoptList(e.list) || news
	c.viewer.ListService(e.list.Version(), e.asked)
	return news
}

// adoptList takes a VM list into force if it is newer, and reports whether it
// is.
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
	c.assign()
	return true
}

// peerAnswered says what a peer holds.
type peerAnswered struct {
	asked    time.Time
	reply    *bluebelldoor.StateReply
	document *bluebelldoor.Document
	list     *bluebelldoor.VMList
}

func (e peerAnswered) apply(c *Controller) bool {
	news := c.wasStale()
	if e.document != nil {
		news = c.adopt(e.document, e.reply.Name) || news
	}
	if e.list != nil {
		news = c.adoptList(e.list) || news
	}
	c.peers[e.reply.Name] = Peer{
		Answered: time.Now(),
		Draining: e.reply.Draining,
	}
	c.viewer.Peer(e.reply.Name, viewer.Statement{
		Revision:     e.reply.Revision,
		DocumentAge:  time.Duration(e.reply.DocumentAgeMs) * time.Millisecond,
		ListVersion:  e.reply.ListVersion,
		ListAge:      time.Duration(e.reply.ListAgeMs) * time.Millisecond,
		HasConfirmed: e.reply.HasConfirmed,
	}, e.asked)
	return news
}

// peerFailed says that a peer did not answer.
type peerFailed struct{ name string }

func (e peerFailed) apply(c *Controller) bool {
	c.viewer.PeerFailed(e.name)
	return c.wasStale()
}

// peerLeaves says that a peer told of its leaving.
type peerLeaves struct{ name string }

func (e peerLeaves) apply(c *Controller) bool {
	p := c.peers[e.name]
	p.Draining = true
	c.peers[e.name] = p
	return true
}

// reported says what a target reported, or that it did not answer.
type reported struct {
	target string
	report bluebelldoor.LoadReport
	failed bool
}

func (e reported) apply(c *Controller) bool {
	news := c.heard(e.target)
	if known := c.reports[e.target]; e.failed || e.report.Received.Before(known.Received) {
		return news
	}
	c.reports[e.target] = e.report
	c.slotter.Report(e.target, e.report)
	return news
}

// heard notes that a target has answered or failed once, and reports whether
// that was the last one of the document that had not. Only then is this VM
// ready: before, it would refuse what it could serve a moment later.
func (c *Controller) heard(target string) bool {
	d := c.viewer.View().Document()
	if c.ready || d == nil {
		return false
	}
	c.asked[target] = true
	for _, t := range d.Targets() {
		if !c.asked[t.Name()] {
			return false
		}
	}
	c.ready = true
	return true
}

// drainStarted says that this VM is leaving.
type drainStarted struct{ done chan struct{} }

func (e drainStarted) apply(c *Controller) bool {
	c.draining = true
	c.publish(time.Now())
	close(e.done)
	return true
}

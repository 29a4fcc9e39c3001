// Package publisher is a stand-in for the platform: the configuration service,
// which VMs can only read and watch, and the eventually consistent VM list. It
// counts reads and can simulate an outage, stale reads and lag. It keeps its data
// in memory only.
package publisher

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"bluebelldoor"
	"bluebelldoor/connection/server"
)

const maxWait = 30 * time.Second

// Faults are the faults that tests inject.
type Faults struct {
	// Down makes each read fail with 503.
	Down bool `json:"down"`
	// StaleRevision makes reads return this older revision; 0 disables it.
	StaleRevision uint64 `json:"staleRevision"`
	// ListLagMs is the lag of the VM list that readers see.
	ListLagMs int64 `json:"listLagMs"`
	// Deny lists the VMs whose reads fail, as if their link were cut.
	Deny []string `json:"deny"`
}

type listVersion struct {
	publishedAt time.Time
	version     uint64
	vms         []bluebelldoor.VMSpec
}

// Platform is the stand-in. It is safe for concurrent use.
type Platform struct {
	mu            sync.Mutex
	documents     map[uint64][]byte
	latest        uint64
	changed       chan struct{}
	lists         []listVersion
	faults        Faults
	documentReads int
	listReads     int
}

// New returns a platform with no document and no VM list.
func New() *Platform {
	return &Platform{documents: map[uint64][]byte{}, changed: make(chan struct{})}
}

// Publish stores text as the document of the given revision.
func (p *Platform) Publish(revision uint64, text []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.documents[revision] = text
	p.latest = max(p.latest, revision)
	p.notifyWatchers()
}

func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetVMs replaces the VM list.
func (p *Platform) SetVMs(vms []bluebelldoor.VMSpec) {
	p.mu.Lock()
	defer p.mu.Unlock()
	version := uint64(1)
	if n := len(p.lists); n > 0 {
		version = p.lists[n-1].version + 1
	}
	p.lists = append(p.lists, listVersion{publishedAt: time.Now(), version: version, vms: vms})
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notifyWatchers()
}

// Reads returns the number of reads of the document and of the VM list.
func (p *Platform) Reads() (document, list int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.documentReads, p.listReads
}

type snapshot struct {
	revision uint64
	text     []byte
	changed  <-chan struct{}
	failed   bool
}

func (p *Platform) snapshot(vm string) snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := snapshot{revision: p.latest, changed: p.changed, failed: p.faults.failsFor(vm)}
	if stale := p.faults.StaleRevision; stale > 0 {
		s.revision = stale
	}
	s.text = p.documents[s.revision]
	return s
}

func (f Faults) failsFor(vm string) bool {
	if f.Down {
		return true
	}
	for _, denied := range f.Deny {
		if denied == vm {
			return true
		}
	}
	return false
}

// Serve listens on address and returns a clean-up function.
func Serve(p *Platform, address string) (func(), error) {
	h := server.New(address)
	h.GET("/v1/document", p.handleRead)
	h.GET("/v1/vms", p.handleList)
	h.PUT("/standin/document/:revision", func(_ context.Context, c *app.RequestContext) {
		revision, err := strconv.ParseUint(c.Param("revision"), 10, 64)
		if err != nil {
			c.String(400, err.Error())
			return
		}
		p.Publish(revision, append([]byte(nil), c.Request.Body()...))
	})
	h.PUT("/standin/vms", func(_ context.Context, c *app.RequestContext) {
		var vms []bluebelldoor.VMSpec
		if err := json.Unmarshal(c.Request.Body(), &vms); err != nil {
			c.String(400, err.Error())
			return
		}
		p.SetVMs(vms)
	})
	h.PUT("/standin/faults", func(_ context.Context, c *app.RequestContext) {
		var f Faults
		if err := json.Unmarshal(c.Request.Body(), &f); err != nil {
			c.String(400, err.Error())
			return
		}
		p.SetFaults(f)
	})
	h.GET("/standin/reads", func(_ context.Context, c *app.RequestContext) {
		document, list := p.Reads()
		c.JSON(200, map[string]int{"document": document, "list": list})
	})
	return server.Start(h)
}

// ErrUnavailable is returned by reads that fail because of a fault or because
// nothing is published.
var ErrUnavailable = errors.New("unavailable")

// Read returns the document if its revision is above after, and otherwise waits
// up to wait for a newer one. Each call counts as one read.
func (p *Platform) Read(ctx context.Context, vm string, after uint64, wait time.Duration) (bluebelldoor.Publication, error) {
	p.mu.Lock()
	p.documentReads++
	p.mu.Unlock()
	timeout := time.NewTimer(min(maxWait, wait))
	defer timeout.Stop()
	for {
		s := p.snapshot(vm)
		switch {
		case s.failed || s.text == nil:
			return bluebelldoor.Publication{}, ErrUnavailable
		case s.revision > after:
			return bluebelldoor.Publication{Revision: s.revision, Text: s.text}, nil
		}
		select {
		case <-s.changed:
		case <-ctx.Done():
			return bluebelldoor.Publication{}, ctx.Err()
		case <-timeout.C:
			return bluebelldoor.Publication{Revision: s.revision}, nil
		}
	}
}

func (p *Platform) handleRead(ctx context.Context, c *app.RequestContext) {
	after, _ := strconv.ParseUint(c.DefaultQuery("after", "0"), 10, 64)
	waitMs, _ := strconv.Atoi(c.DefaultQuery("waitMs", "0"))
	publication, err := p.Read(ctx, c.Query("vm"), after, time.Duration(waitMs)*time.Millisecond)
	if err != nil {
		c.String(503, err.Error())
		return
	}
	c.Response.Header.Set("X-Revision", strconv.FormatUint(publication.Revision, 10))
	if publication.Text == nil {
		c.SetStatusCode(304)
		return
	}
	c.Data(200, "application/json", publication.Text)
}

// List returns the VM list, delayed by Faults.ListLagMs.
func (p *Platform) List(vm string) (*bluebelldoor.VMList, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listReads++
	if p.faults.failsFor(vm) || len(p.lists) == 0 {
		return nil, ErrUnavailable
	}
	visible := p.lists[0]
	cutoff := time.Now().Add(-time.Duration(p.faults.ListLagMs) * time.Millisecond)
	for _, l := range p.lists {
		if !l.publishedAt.After(cutoff) {
			visible = l
		}
	}
	vms := make([]*bluebelldoor.VM, len(visible.vms))
	for i, spec := range visible.vms {
		vms[i] = bluebelldoor.NewVM(spec)
	}
	return bluebelldoor.NewVMList(visible.version, vms), nil
}

func (p *Platform) handleList(_ context.Context, c *app.RequestContext) {
	l, err := p.List(c.Query("vm"))
	if err != nil {
		c.String(503, err.Error())
		return
	}
	specs := make([]bluebelldoor.VMSpec, len(l.VMs()))
	for i, vm := range l.VMs() {
		specs[i] = vm.Spec()
	}
	c.JSON(200, map[string]any{"version": l.Version(), "vms": specs})
}

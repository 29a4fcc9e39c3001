// Package prober asks engines directly whether they are leaving while the platform
// does not answer: it may be down or reject this VM's calls, and engines continue to
// be reclaimed with two seconds' notice. It probes only engines that run generations
// of this VM.
package prober

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebelldoor"
)

const (
	// probeInterval is about the time that copying a generation to another engine
	// takes.
	probeInterval = 300 * time.Millisecond
	// probeAfter is the evidence age from which engines are probed.
	probeAfter = 1600 * time.Millisecond
)

// Registrar provides the age of the platform evidence and records which targets are
// leaving.
type Registrar interface {
	// EvidenceAge returns the age of the newest evidence of the platform's state, and
	// false if there has been none.
	EvidenceAge() (time.Duration, bool)
	// MarkLeaving records that a target has announced that it is leaving.
	MarkLeaving(ctx context.Context, t *bluebelldoor.Instance)
}

type prober struct {
	reporter  bluebelldoor.Reporter
	registrar Registrar
	targets   func() []*bluebelldoor.Instance
	log       hclog.Logger
}

// New probes the engines that targets returns until the clean-up function is called.
func New(reporter bluebelldoor.Reporter, registrar Registrar, targets func() []*bluebelldoor.Instance, log hclog.Logger) func() {
	p := &prober{reporter: reporter, registrar: registrar, targets: targets, log: log}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(probeInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				p.probeAll(ctx)
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

func (p *prober) probeAll(ctx context.Context) {
	if age, ok := p.registrar.EvidenceAge(); !ok || age < probeAfter {
		return
	}
	var probes sync.WaitGroup
	for _, t := range p.targets() {
		probes.Go(func() { p.probe(ctx, t) })
	}
	probes.Wait()
}

func (p *prober) probe(ctx context.Context, t *bluebelldoor.Instance) {
	leaving, err := p.reporter.Leaving(ctx, t)
	if err != nil {
		p.log.Debug("cannot read engine report", "target", t.ID, "error", err)
		return
	}
	if leaving {
		p.registrar.MarkLeaving(ctx, t)
	}
}

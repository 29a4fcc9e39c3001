// Package prober asks engines themselves whether they leave, while the platform
// does not tell: it may be down, or turn this VM away, and engines go on being
// taken back with two seconds' notice. Only engines on which generations of
// this VM run are asked, and none while the platform answers.
package prober

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebelldoor"
)

const (
	// every is the time between two questions to an engine; a copy takes about
	// as long.
	every = 300 * time.Millisecond
	// after is the age of the evidence from which engines are asked.
	after = 1600 * time.Millisecond
)

// Registrar is what the prober asks and tells.
type Registrar interface {
	// Evidence returns the age of what is known of the platform.
	Evidence() (time.Duration, bool)
	// Leaves notes that a target says that it leaves.
	Leaves(ctx context.Context, t *bluebelldoor.Instance)
}

type prober struct {
	reporter  bluebelldoor.Reporter
	registrar Registrar
	targets   func() []*bluebelldoor.Instance
	log       hclog.Logger
}

// New asks until the returned clean-up function is called.
func New(reporter bluebelldoor.Reporter, registrar Registrar, targets func() []*bluebelldoor.Instance, log hclog.Logger) func() {
	p := &prober{reporter: reporter, registrar: registrar, targets: targets, log: log}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				p.round(ctx)
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

func (p *prober) round(ctx context.Context) {
	if age, proved := p.registrar.Evidence(); !proved || age < after {
		return
	}
	var asked sync.WaitGroup
	for _, t := range p.targets() {
		asked.Go(func() { p.ask(ctx, t) })
	}
	asked.Wait()
}

func (p *prober) ask(ctx context.Context, t *bluebelldoor.Instance) {
	leaving, err := p.reporter.Leaving(ctx, t)
	if err != nil {
		p.log.Debug("no report", "target", t.ID, "error", err)
		return
	}
	if leaving {
		p.registrar.Leaves(ctx, t)
	}
}

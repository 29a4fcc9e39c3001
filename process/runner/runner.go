// Package runner assembles the process of one VM from its components and
// manages its lifecycle: starting, serving, draining, stopped.
//
// The logic of the components is in their own packages.
package runner

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/qmuntal/stateless"

	"bluebelldoor"
	"bluebelldoor/connection/dialer"
	"bluebelldoor/connection/listener"
	"bluebelldoor/connection/messenger"
	"bluebelldoor/connection/reader"
	"bluebelldoor/process/controller"
	"bluebelldoor/process/director"
	"bluebelldoor/process/executor"
	"bluebelldoor/process/orderer"
	"bluebelldoor/process/recorder"
	"bluebelldoor/process/teller"
	"bluebelldoor/process/timer"
	"bluebelldoor/request/admitter"
	"bluebelldoor/request/identifier"
	"bluebelldoor/request/router"
	"bluebelldoor/request/streamer"
)

// Phase is a state of the process.
type Phase string

// The states of the process.
const (
	Starting Phase = "starting"
	Serving  Phase = "serving"
	Draining Phase = "draining"
	Stopped  Phase = "stopped"
)

type trigger string

const (
	triggerReady trigger = "ready"
	triggerDrain trigger = "leave"
	triggerStop  trigger = "stop"
)

const (
	drainPollInterval = 20 * time.Millisecond
	moveOnTimeout     = 2 * time.Second
)

// Runner is one VM's process.
type Runner struct {
	settings  *bluebelldoor.Settings
	adapters  Adapters
	log       hclog.Logger
	lifecycle *stateless.StateMachine
	metrics   *recorder.Metrics
	journal   *recorder.Journal
	control   *controller.Controller
	gate      *streamer.Gate
	streamer  *streamer.Streamer
	executor  *executor.Executor
	front     *director.Director
	closed    atomic.Bool
	cleanups  []func()
}

// Adapters connect the process to external systems. A test that runs several
// VMs in one process, or another transport, supplies its own.
type Adapters struct {
	Configuration bluebelldoor.ConfigurationReader
	VMList        bluebelldoor.VMLister
	Peers         bluebelldoor.PeerClient
	Engines       bluebelldoor.EngineClient
	Applications  bluebelldoor.ApplicationClient
	Orders        bluebelldoor.OrderClient
	// Suspended returns how long the VM has been suspended. It is nil where
	// suspension can't happen, as in virtual time.
	Suspended func() time.Duration
}

// New starts a VM's process with its listeners. The cleanup function stops it
// immediately; for a planned stop, call Drain first.
func New(settings *bluebelldoor.Settings, log hclog.Logger) (*Runner, func(), error) {
	platform, stopReader, err := reader.New(settings.Name(), settings.ConfigurationService(), settings.VMList())
	if err != nil {
		return nil, nil, err
	}
	clock, err := timer.New()
	if err != nil {
		stopReader()
		return nil, nil, err
	}
	targets := dialer.New()
	r := assemble(settings, log, Adapters{
		Configuration: platform,
		VMList:        platform,
		Peers:         messenger.New(settings.FleetSecret()),
		Engines:       targets,
		Applications:  targets,
		Orders:        targets,
		Suspended:     clock.Suspended,
	})
	r.addCleanup(stopReader)
	if err := r.listen(); err != nil {
		r.cleanup()
		return nil, nil, err
	}
	r.start()
	return r, r.cleanup, nil
}

// NewInProcess starts a VM without listeners; callers use Front and PeerHandler
// directly.
func NewInProcess(settings *bluebelldoor.Settings, log hclog.Logger, adapters Adapters) (*Runner, func()) {
	r := assemble(settings, log, adapters)
	r.start()
	return r, r.cleanup
}

func newLifecycle() *stateless.StateMachine {
	m := stateless.NewStateMachine(Starting)
	m.Configure(Starting).Permit(triggerReady, Serving).Permit(triggerStop, Stopped)
	m.Configure(Serving).Permit(triggerDrain, Draining).Permit(triggerStop, Stopped)
	m.Configure(Draining).Permit(triggerStop, Stopped)
	m.Configure(Stopped).Ignore(triggerStop)
	return m
}

// assemble creates and connects the components. Nothing contacts external
// systems before start is called.
func assemble(settings *bluebelldoor.Settings, log hclog.Logger, adapters Adapters) *Runner {
	r := &Runner{
		settings:  settings,
		adapters:  adapters,
		log:       log,
		lifecycle: newLifecycle(),
		metrics:   recorder.NewMetrics(),
		journal:   recorder.NewJournal(),
	}
	r.control = controller.New(settings, identifier.Nonce(), controller.Sources{
		Configuration: adapters.Configuration,
		VMList:        adapters.VMList,
		Peers:         adapters.Peers,
		Engines:       adapters.Engines,
		Suspended:     adapters.Suspended,
	}, log.Named("control"), r.metrics)
	var stopGate, stopExecutor func()
	peers := router.NewPeerLoads()
	r.gate, stopGate = streamer.NewGate(admitter.New(router.New(peers), rand.Uint64), peers, r.control.State)
	r.addCleanup(stopGate)
	loads, stopTeller := teller.New(settings.Name(), adapters.Peers, r.otherVMs, r.gate, log.Named("load"))
	r.gate.OnStart(loads.Trigger)
	r.addCleanup(stopTeller)
	r.streamer = streamer.New(adapters.Engines, r.gate, r.control.State, settings.FleetSecret(), r.journal, r.metrics, log.Named("stream"))
	r.executor, stopExecutor = executor.New(settings, r.control, adapters.Peers, adapters.Applications, r.journal, log.Named("call"))
	r.addCleanup(stopExecutor)
	r.front = director.New(settings, r.control, r.streamer, r.executor, r.journal, r.metrics, log.Named("front"), r.closed.Load, loads.HandleLoads)
	return r
}

// otherVMs returns the other VMs on the VM list.
func (r *Runner) otherVMs() []teller.Peer {
	list := r.control.State().View().List()
	if list == nil {
		return nil
	}
	var out []teller.Peer
	for _, vm := range list.VMs() {
		if vm.Name() != r.settings.Name() {
			out = append(out, teller.Peer{Name: vm.Name(), Address: vm.PeerAddress()})
		}
	}
	return out
}

func (r *Runner) start() {
	r.addCleanup(r.control.Start())
	r.addCleanup(orderer.New(r.settings.Name(), r.adapters.Orders, r.control.State, r.log.Named("order")))
	r.fire(triggerReady)
	r.log.Info("serving", "vm", r.settings.Name(), "dataCentre", r.settings.DataCentre(),
		"callers", r.settings.CallerAddress(), "incarnation", r.control.Incarnation())
}

// Front returns the handler of callers' requests.
func (r *Runner) Front() bluebelldoor.Front { return r.front }

// PeerHandler returns the handler of other VMs' requests.
func (r *Runner) PeerHandler() bluebelldoor.PeerHandler { return r.front }

func (r *Runner) listen() error {
	stopPeers, err := messenger.Serve(r.settings.PeerAddress(), r.settings.FleetSecret(), r.front)
	if err != nil {
		return err
	}
	r.addCleanup(stopPeers)
	stopOperators, err := listener.ServeOperators(r.settings.OpsAddress(), func() any { return r.Status() }, r.journal, r.metrics.Registry())
	if err != nil {
		return err
	}
	r.addCleanup(stopOperators)
	stopCallers, err := listener.Serve(r.front, r.settings.CallerAddress())
	if err != nil {
		return err
	}
	r.addCleanup(stopCallers)
	return nil
}

func (r *Runner) addCleanup(f func()) { r.cleanups = append(r.cleanups, f) }

func (r *Runner) cleanup() {
	r.fire(triggerStop)
	for i := len(r.cleanups) - 1; i >= 0; i-- {
		r.cleanups[i]()
	}
	r.cleanups = nil
}

func (r *Runner) fire(t trigger) {
	if err := r.lifecycle.Fire(t); err != nil {
		r.log.Error("state transition failed", "error", errors.WithStack(err))
	}
}

// Phase returns the state of the process.
func (r *Runner) Phase() Phase { return r.lifecycle.MustState().(Phase) }

// Drain performs a planned stop. It notifies the peers, serves callers that
// still use this VM's address until that address expires, and then waits for
// streams and calls in progress. Streams still running at the drain limit get
// an event that names other VMs to resume at. Drain returns the number of
// requests that were cut off, which is above 0 only if ctx ended.
func (r *Runner) Drain(ctx context.Context) int {
	r.fire(triggerDrain)
	r.log.Info("draining", "streams", r.streamer.Active())
	r.control.Drain(ctx)
	limit := time.After(r.settings.DrainLimit())
	if d := r.control.State().View().Document(); d != nil {
		r.wait(ctx, limit, d.Limits().AddressValidFor, func() bool { return false })
	}
	r.closed.Store(true)
	idle := func() bool { return r.streamer.Active() == 0 && r.executor.InFlight() == 0 }
	r.wait(ctx, limit, r.settings.DrainLimit(), idle)
	if !idle() {
		r.log.Info("moving streams to other VMs", "streams", r.streamer.Active())
		r.streamer.MoveOn()
		r.wait(ctx, nil, moveOnTimeout, idle)
	}
	cut := r.streamer.Active() + r.executor.InFlight()
	r.log.Info("drained", "cut", cut)
	return cut
}

// wait returns when done reports true, d has passed, limit fires or ctx ends.
func (r *Runner) wait(ctx context.Context, limit <-chan time.Time, d time.Duration, done func() bool) {
	timeout := time.After(d)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return
		case <-limit:
			return
		case <-timeout:
			return
		case <-ticker.C:
		}
	}
}

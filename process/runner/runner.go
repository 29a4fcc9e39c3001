// Package runner puts one VM's process together and takes it through its life:
// starting, serving, draining, stopped.
//
// It holds no logic of the parts that it joins.
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

// Life is a state of the process.
type Life string

// The states of the process.
const (
	Starting Life = "starting"
	Serving  Life = "serving"
	Draining Life = "draining"
	Stopped  Life = "stopped"
)

type signal string

const (
	ready signal = "ready"
	leave signal = "leave"
	stop  signal = "stop"
)

const (
	drainPoll    = 20 * time.Millisecond
	moveOnWithin = 2 * time.Second
)

// Runner is one VM's process.
type Runner struct {
	settings *bluebelldoor.Settings
	adapters Adapters
	log      hclog.Logger
	life     *stateless.StateMachine
	metrics  *recorder.Metrics
	journal  *recorder.Journal
	control  *controller.Controller
	gate     *streamer.Gate
	streams  *streamer.Streamer
	calls    *executor.Executor
	front    *director.Director
	closed   atomic.Bool
	cleanUps []func()
}

// Adapters reach what lies outside the process. Other transports, or a test
// in one process, drive the same decisions through others.
type Adapters struct {
	Configuration bluebelldoor.Configuration
	VMList        bluebelldoor.VMLister
	Peers         bluebelldoor.Peers
	Engines       bluebelldoor.Engines
	Applications  bluebelldoor.Applications
	Orders        bluebelldoor.Orders
	// Suspended returns how long the VM has been suspended; nil where it never
	// is, as in virtual time.
	Suspended func() time.Duration
}

// New starts a VM's process with its listeners. The clean-up function stops it
// at once; use Drain before it for a planned stop.
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
	r.onStop(stopReader)
	if err := r.listen(); err != nil {
		r.cleanUp()
		return nil, nil, err
	}
	r.start()
	return r, r.cleanUp, nil
}

// NewInside starts a VM without listeners; its front is called directly.
func NewInside(settings *bluebelldoor.Settings, log hclog.Logger, adapters Adapters) (*Runner, func()) {
	r := assemble(settings, log, adapters)
	r.start()
	return r, r.cleanUp
}

func newLife() *stateless.StateMachine {
	m := stateless.NewStateMachine(Starting)
	m.Configure(Starting).Permit(ready, Serving).Permit(stop, Stopped)
	m.Configure(Serving).Permit(leave, Draining).Permit(stop, Stopped)
	m.Configure(Draining).Permit(stop, Stopped)
	m.Configure(Stopped).Ignore(stop)
	return m
}

// assemble joins the parts; nothing asks the world before start.
func assemble(settings *bluebelldoor.Settings, log hclog.Logger, adapters Adapters) *Runner {
	r := &Runner{
		settings: settings,
		adapters: adapters,
		log:      log,
		life:     newLife(),
		metrics:  recorder.NewMetrics(),
		journal:  recorder.NewJournal(),
	}
	r.control = controller.New(settings, identifier.Nonce(), controller.Sources{
		Configuration: adapters.Configuration,
		VMList:        adapters.VMList,
		Peers:         adapters.Peers,
		Engines:       adapters.Engines,
		Suspended:     adapters.Suspended,
	}, log.Named("control"), r.metrics)
	var stopGate, stopCalls func()
	peers := router.NewPeerLoads()
	r.gate, stopGate = streamer.NewGate(admitter.New(router.New(peers), rand.Uint64), peers, r.control.State)
	r.onStop(stopGate)
	loads, stopTeller := teller.New(settings.Name(), adapters.Peers, r.others, r.gate, log.Named("load"))
	r.gate.OnStart(loads.Hurry)
	r.onStop(stopTeller)
	r.streams = streamer.New(adapters.Engines, r.gate, r.control.State, settings.FleetSecret(), r.journal, r.metrics, log.Named("stream"))
	r.calls, stopCalls = executor.New(settings, r.control, adapters.Peers, adapters.Applications, r.journal, log.Named("call"))
	r.onStop(stopCalls)
	r.front = director.New(settings, r.control, r.streams, r.calls, r.journal, r.metrics, log.Named("front"), r.closed.Load, loads.Loads)
	return r
}

// others returns the other VMs of the list.
func (r *Runner) others() []teller.Peer {
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
	r.onStop(r.control.Start())
	r.onStop(orderer.New(r.settings.Name(), r.adapters.Orders, r.control.State, r.log.Named("order")))
	r.fire(ready)
	r.log.Info("serving", "vm", r.settings.Name(), "dataCentre", r.settings.DataCentre(),
		"callers", r.settings.CallerAddress(), "incarnation", r.control.Incarnation())
}

// Front returns what callers may ask of the VM.
func (r *Runner) Front() bluebelldoor.Front { return r.front }

// PeerHandler returns what other VMs may ask of the VM.
func (r *Runner) PeerHandler() bluebelldoor.PeerHandler { return r.front }

func (r *Runner) listen() error {
	stopPeers, err := messenger.Serve(r.settings.PeerAddress(), r.settings.FleetSecret(), r.front)
	if err != nil {
		return err
	}
	r.onStop(stopPeers)
	stopOperators, err := listener.ServeOperators(r.settings.OpsAddress(), func() any { return r.Status() }, r.journal, r.metrics.Registry())
	if err != nil {
		return err
	}
	r.onStop(stopOperators)
	stopCallers, err := listener.Serve(r.front, r.settings.CallerAddress())
	if err != nil {
		return err
	}
	r.onStop(stopCallers)
	return nil
}

func (r *Runner) onStop(f func()) { r.cleanUps = append(r.cleanUps, f) }

func (r *Runner) cleanUp() {
	r.fire(stop)
	for i := len(r.cleanUps) - 1; i >= 0; i-- {
		r.cleanUps[i]()
	}
	r.cleanUps = nil
}

func (r *Runner) fire(s signal) {
	if err := r.life.Fire(s); err != nil {
		r.log.Error("life cycle", "error", errors.WithStack(err))
	}
}

// Life returns the state of the process.
func (r *Runner) Life() Life { return r.life.MustState().(Life) }

// Drain is a planned stop. It tells the peers, goes on serving callers that
// hold an old address until their answers expire, and then waits for streams
// and calls under way. Streams that outlast the drain limit get an event that
// names other VMs to resume at. It returns how many requests were cut, which
// is above 0 only if ctx ended.
func (r *Runner) Drain(ctx context.Context) int {
	r.fire(leave)
	r.log.Info("draining", "streams", r.streams.Active())
	r.control.Drain(ctx)
	limit := time.After(r.settings.DrainLimit())
	if d := r.control.State().View().Document(); d != nil {
		r.wait(ctx, limit, d.Limits().AddressValidFor, func() bool { return false })
	}
	r.closed.Store(true)
	idle := func() bool { return r.streams.Active() == 0 && r.calls.Busy() == 0 }
	r.wait(ctx, limit, r.settings.DrainLimit(), idle)
	if !idle() {
		r.log.Info("moving streams on", "streams", r.streams.Active())
		r.streams.MoveOn()
		r.wait(ctx, nil, moveOnWithin, idle)
	}
	cut := r.streams.Active() + r.calls.Busy()
	r.log.Info("drained", "cut", cut)
	return cut
}

// wait returns when done is true, or the time or the limit is over.
func (r *Runner) wait(ctx context.Context, limit <-chan time.Time, d time.Duration, done func() bool) {
	over := time.After(d)
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return
		case <-limit:
			return
		case <-over:
			return
		case <-ticker.C:
		}
	}
}

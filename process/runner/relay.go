package runner

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/qmuntal/stateless"

	"bluebelldoor"
	"bluebelldoor/connection/acceptor"
	"bluebelldoor/connection/exchanger"
	"bluebelldoor/connection/listener"
	"bluebelldoor/connection/messenger"
	"bluebelldoor/process/assessor"
	"bluebelldoor/process/budgeter"
	"bluebelldoor/process/gossiper"
	"bluebelldoor/process/pauser"
	"bluebelldoor/process/prober"
	"bluebelldoor/process/recorder"
	"bluebelldoor/process/registrar"
	"bluebelldoor/process/turner"
	"bluebelldoor/request/relayer"
)

const (
	// keyMargin is the part of a taken key's grace within which this VM's
	// evidence must lie; the rest is for requests on their way.
	keyMargin = 0.75
	// newsMargin is the same for the time within which a version is in force.
	newsMargin = 0.8
	// leavingMargin is the same for the time within which a target that leaves is to
	// get nothing more.
	leavingMargin = 0.8
)

// RelayAdapters reach what lies outside a VM that relays.
type RelayAdapters struct {
	Codec     bluebelldoor.Codec
	Catalogue bluebelldoor.Catalogue
	Clock     bluebelldoor.Clock
	// NewEngines returns what makes the engines' control calls and tells l what
	// they say in the heads of their answers, and a clean-up function.
	NewEngines     func(l bluebelldoor.Listener) (bluebelldoor.EngineControl, func())
	ServeReady     func(address string, ready func() bool) (func(), error)
	ServeDirectory func(address string, entry func(dataCentre string) ([]string, time.Duration)) (func(), error)
	// DroppedLines returns how many log lines were dropped; nil for none.
	DroppedLines func() int64
}

// Relay is the process of a VM that relays requests.
type Relay struct {
	settings  *bluebelldoor.RelaySettings
	adapters  RelayAdapters
	log       hclog.Logger
	life      *stateless.StateMachine
	metrics   *recorder.RelayMetrics
	registrar *registrar.Registrar
	gossiper  *gossiper.Gossiper
	turner    *turner.Turner
	relayer   *relayer.Relayer
	budget    *budgeter.Budgeter
	acceptor  *acceptor.Acceptor
	assessor  *assessor.Assessor
	cleanUps  []func()
}

// NewRelay starts the process of a VM that relays. The clean-up function stops
// it at once; use Drain before it for a planned stop.
func NewRelay(settings *bluebelldoor.RelaySettings, adapters RelayAdapters, log hclog.Logger) (*Relay, func(), error) {
	r := &Relay{settings: settings, adapters: adapters, log: log, life: newLife(), metrics: recorder.NewRelayMetrics()}
	r.assessor = assessor.New(settings.Cores, settings.LinkMegabits*1e6)
	peers := messenger.New([]byte(settings.FleetSecret))
	r.registrar = registrar.New(adapters.Catalogue, adapters.Clock, registrar.Role{
		Reads:   r.reads,
		Served:  func() bool { return !r.gossiper.IsHub() },
		Changed: func() { r.gossiper.Hurry() },
	}, log.Named("registrar"), registrar.WithEvidenceFor(bounds(settings).KeyEvidence))
	r.gossiper = gossiper.New(bluebelldoor.MemberState{
		Name:          settings.Name,
		Incarnation:   time.Now().UnixMilli(),
		DataCentre:    settings.DataCentre,
		CallerAddress: settings.CallerAddress,
		PeerAddress:   settings.PeerAddress,
		Capacity:      settings.Cores,
	}, settings.Seeds, adapters.Clock, peers, gossiper.Hooks{
		Describe: r.describe,
		Loads:    func() []bluebelldoor.TargetLoad { return r.relayer.Loads() },
		Told:     func(peer string, news bluebelldoor.LoadDelta) bool { return r.relayer.PeerLoads(peer, news) },
		Delta:    r.registrar.Delta,
		Receive:  r.registrar.Receive,
	}, log.Named("gossiper"))
	r.turner = turner.New(settings.Name, peers, r.turnKeepers, log.Named("turner"))
	heard := func(t *bluebelldoor.Instance, head bluebelldoor.AnswerHead) { r.relayer.Heard(t, head) }
	targets, closeTargets := exchanger.New(adapters.Codec, exchanger.WithListener(heard))
	r.onStop(closeTargets)
	engines, closeEngines := adapters.NewEngines(heard)
	r.onStop(closeEngines)
	r.budget = budgeter.New(budget(settings))
	r.relayer = relayer.New(bounds(settings), relayer.Sources{
		View:     r.registrar.View,
		Evidence: r.registrar.Evidence,
		Leaves:   func(t *bluebelldoor.Instance) { r.registrar.Leaves(context.Background(), t) },
		Share:    r.gossiper.Share,
		Placed:   r.gossiper.Hurry,
	}, relayer.Parts{
		Codec:   adapters.Codec,
		Mover:   engines,
		Targets: targets,
		Turns:   r.turner,
		Pauses:  pauser.New(adapters.Clock, log.Named("pauser")),
		Budget:  r.budget,
		Metrics: r.metrics,
	}, adapters.Clock, log.Named("relayer"))
	r.registrar.Observe(r.relayer.Leaving)
	if adapters.DroppedLines == nil {
		adapters.DroppedLines = func() int64 { return 0 }
	}
	r.metrics.Watch(r.gauges, adapters.DroppedLines)
	if err := r.listen(); err != nil {
		r.cleanUp()
		return nil, nil, err
	}
	r.onStop(r.registrar.Start())
	r.onStop(r.gossiper.Start())
	r.onStop(prober.New(engines, r.registrar, r.relayer.Streaming, log.Named("prober")))
	r.fire(ready)
	log.Info("serving", "vm", settings.Name, "dataCentre", settings.DataCentre, "callers", settings.CallerAddress)
	return r, r.cleanUp, nil
}

func bounds(s *bluebelldoor.RelaySettings) relayer.Settings {
	return relayer.Settings{
		DataCentre:    s.DataCentre,
		KeyEvidence:   time.Duration(float64(s.KeyEvidence) * keyMargin),
		News:          time.Duration(float64(s.NewsWithin) * newsMargin),
		Leaving:       time.Duration(float64(s.LeavingWithin) * leavingMargin),
		ColdFactor:    s.ColdFactor,
		ColdAllowance: s.ColdAllowance,
	}
}

func budget(s *bluebelldoor.RelaySettings) budgeter.Settings {
	return budgeter.Settings{Window: s.RetryWindow, Ratio: s.RetryRatio, Allowance: s.RetryAllowance}
}

// Reload takes changed settings into force: the bounds on requests. Addresses,
// seeds and the name are those of the start.
func (r *Relay) Reload(settings *bluebelldoor.RelaySettings) {
	r.relayer.Reload(bounds(settings))
	r.budget.Reload(budget(settings))
	r.log.Info("settings in force", "keyEvidence", settings.KeyEvidence.String(), "retryRatio", settings.RetryRatio,
		"retryAllowance", settings.RetryAllowance, "coldFactor", settings.ColdFactor, "coldAllowance", settings.ColdAllowance)
}

// listen opens the VM's addresses, that of callers last.
func (r *Relay) listen() error {
	for _, open := range []func() (func(), error){
		func() (func(), error) {
			return messenger.ServeFleet(r.settings.PeerAddress, []byte(r.settings.FleetSecret), r)
		},
		func() (func(), error) {
			return listener.ServeStatus(r.settings.OpsAddress, func() any { return r.Status() }, r.metrics.Registry())
		},
		func() (func(), error) { return r.adapters.ServeReady(r.settings.ReadyAddress, r.ready) },
		func() (func(), error) { return r.adapters.ServeDirectory(r.settings.DirectoryAddress, r.entry) },
		func() (func(), error) {
			a, stop, err := acceptor.New(r.settings.CallerAddress, r.limits, r.relayer.Serve, acceptor.WithLog(r.log.Named("acceptor")))
			r.acceptor = a
			return stop, err
		},
	} {
		stop, err := open()
		if err != nil {
			return err
		}
		r.onStop(stop)
	}
	return nil
}

func (r *Relay) onStop(f func()) { r.cleanUps = append(r.cleanUps, f) }

func (r *Relay) cleanUp() {
	r.fire(stop)
	for i := len(r.cleanUps) - 1; i >= 0; i-- {
		r.cleanUps[i]()
	}
	r.cleanUps = nil
}

func (r *Relay) fire(s signal) {
	if err := r.life.Fire(s); err != nil {
		r.log.Error("life cycle", "error", err)
	}
}

// Exchange implements bluebelldoor.FleetHandler.
func (r *Relay) Exchange(ctx context.Context, in *bluebelldoor.ExchangeMessage) (*bluebelldoor.ExchangeMessage, error) {
	return r.gossiper.Exchange(ctx, in), nil
}

// Turn implements bluebelldoor.FleetHandler.
func (r *Relay) Turn(ctx context.Context, in *bluebelldoor.TurnRequest) (*bluebelldoor.TurnReply, error) {
	return r.turner.Turn(ctx, in), nil
}

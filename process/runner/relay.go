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
	"bluebelldoor/process/accountant"
	"bluebelldoor/process/assessor"
	"bluebelldoor/process/budgeter"
	"bluebelldoor/process/detector"
	"bluebelldoor/process/fetcher"
	"bluebelldoor/process/gossiper"
	"bluebelldoor/process/limiter"
	"bluebelldoor/process/noticer"
	"bluebelldoor/process/pauser"
	"bluebelldoor/process/prober"
	"bluebelldoor/process/quarantiner"
	"bluebelldoor/process/ranker"
	"bluebelldoor/process/recorder"
	"bluebelldoor/process/registrar"
	"bluebelldoor/process/turner"
	"bluebelldoor/request/relayer"
)

const (
	// keyEvidenceFraction is the fraction of the time for which a revoked key
	// may still be used that this VM's evidence may age. The rest covers
	// requests in flight.
	keyEvidenceFraction = 0.75
	// updateFraction is the same fraction of UpdateWithin, the time within which a
	// new version must be in force.
	updateFraction = 0.8
	// leavingFraction is the same fraction of LeavingWithin, the time after which
	// a leaving target must get no more requests.
	leavingFraction = 0.8
	// bufferedShare is the share of the VM's memory that bodies and events may take that
	// wait until they are complete, of callers and targets together.
	bufferedShare = 0.25
)

// RelayAdapters connect the process of a relaying VM to external systems.
type RelayAdapters struct {
	Codec     bluebelldoor.Codec
	Catalogue bluebelldoor.Catalogue
	Clock     bluebelldoor.Clock
	// NewEngines returns a client for the engines' control calls, which passes
	// the heads of their responses to observer, and a cleanup function.
	NewEngines     func(observer bluebelldoor.HeadObserver) (bluebelldoor.EngineControl, func())
	ServeReady     func(address string, ready func() bool) (func(), error)
	ServeDirectory func(address string, resolve func(dataCentre string) ([]string, time.Duration)) (func(), error)
	// DroppedLines returns the number of log lines dropped. It is nil if none can be.
	DroppedLines func() int64
}

// Relay is the process of a relaying VM.
type Relay struct {
	settings    *bluebelldoor.RelaySettings
	adapters    RelayAdapters
	log         hclog.Logger
	lifecycle   *stateless.StateMachine
	metrics     *recorder.RelayMetrics
	registrar   *registrar.Registrar
	gossiper    *gossiper.Gossiper
	values      *fetcher.Fetcher
	turner      *turner.Turner
	limiter     *limiter.Limiter
	parts       *quarantiner.Quarantiner
	memory      *accountant.Accountant
	relayer     *relayer.Relayer
	retryBudget *budgeter.Budgeter
	acceptor    *acceptor.Acceptor
	assessor    *assessor.Assessor
	cleanups    []func()
}

// NewRelay starts the process of a relaying VM. The cleanup function stops it
// immediately; for a planned stop, call Drain first.
func NewRelay(settings *bluebelldoor.RelaySettings, adapters RelayAdapters, log hclog.Logger) (*Relay, func(), error) {
	r := &Relay{settings: settings, adapters: adapters, log: log, lifecycle: newLifecycle(), metrics: recorder.NewRelayMetrics()}
	r.memory = accountant.New(int64(float64(settings.MemoryMegabytes) * (1 << 20) * bufferedShare))
	r.assessor = assessor.New(settings.Cores, settings.LinkMegabits*1e6)
	peers := messenger.New([]byte(settings.FleetSecret))
	r.values = fetcher.New(fetcher.Fleet{
		Address: settings.PeerAddress,
		Peers:   peers,
		Sources: func() []string { return r.gossiper.NearestPeers() },
	}, adapters.Clock, func(reference bluebelldoor.ValueReference, value []byte) {
		r.registrar.Deliver(context.Background(), reference, value)
	}, log.Named("fetcher"), fetcher.WithLink(settings.LinkMegabits*1e6/8))
	r.registrar = registrar.New(adapters.Catalogue, adapters.Clock, registrar.Role{
		ReadsForPeers: func() bool { return r.gossiper.ReadsPlatform() },
		Standby:       func() bool { return !r.gossiper.IsHub() },
		Changed:       func() { r.gossiper.Trigger() },
	}, log.Named("registrar"), append(registrarOptions(settings), registrar.WithValues(r.values))...)
	r.gossiper = gossiper.New(bluebelldoor.MemberState{
		Name:          settings.Name,
		Incarnation:   time.Now().UnixMilli(),
		DataCentre:    settings.DataCentre,
		CallerAddress: settings.CallerAddress,
		PeerAddress:   settings.PeerAddress,
		CapacityCores: settings.Cores,
	}, settings.Seeds, adapters.Clock, peers, gossiper.Hooks{
		Describe:       r.updateMemberState,
		OwnLoads:       func() []bluebelldoor.TargetLoad { return r.relayer.Loads() },
		ApplyPeerLoads: func(peer string, delta bluebelldoor.LoadDelta) bool { return r.relayer.ApplyPeerLoads(peer, delta) },
		Delta:          r.registrar.Delta,
		ApplyDelta:     r.registrar.ApplyDelta,
		Limits:         func(digest uint64) (uint64, []bluebelldoor.TargetLimit) { return r.limiter.Limits(digest) },
		ApplyLimits:    func(peer string, limits []bluebelldoor.TargetLimit) { r.limiter.Merge(peer, limits) },
		Crashes:        func(digest uint64) (uint64, []bluebelldoor.PromptCrash) { return r.parts.Crashes(digest) },
		ApplyCrashes:   func(peer string, crashes []bluebelldoor.PromptCrash) { r.parts.Merge(peer, crashes) },
		AccountUse:     func(peer string) []bluebelldoor.AccountUse { return r.relayer.AccountUse(peer) },
		ApplyUse:       func(peer string, use []bluebelldoor.AccountUse) { r.relayer.ApplyAccountUse(peer, use) },
	}, log.Named("gossiper"))
	notices, stopNoticer := noticer.New(adapters.Clock)
	r.addCleanup(stopNoticer)
	ends, stopDetector := detector.New(detector.Sources{
		Ask: func(ctx context.Context, service string, t *bluebelldoor.Instance) detector.SignOfLife {
			return r.relayer.AskTarget(ctx, service, t)
		},
		AcceptsNewWork: func(t *bluebelldoor.Instance) bool { return r.registrar.View().AcceptsNewWork(t) },
		Replaced:       func(service string, t *bluebelldoor.Instance) bool { return r.relayer.IsReplaced(service, t) },
		Earliest:       notices.Earliest,
		Ended:          func(end detector.End) { r.relayer.HandleEnd(end) },
	}, adapters.Clock)
	r.addCleanup(stopDetector)
	r.parts = quarantiner.New(adapters.Clock, r.gossiper.Trigger, log.Named("quarantiner"), quarantiner.WithProber(r.probes), quarantiner.WithEarliest(notices.Earliest))
	r.turner = turner.New(settings.Name, peers, r.turnGrantors, log.Named("turner"))
	onResponseHead := func(t *bluebelldoor.Instance, head bluebelldoor.ResponseHead) { r.relayer.HandleResponseHead(t, head) }
	targets, closeTargets := exchanger.New(adapters.Codec, exchanger.WithHeadObserver(onResponseHead))
	r.addCleanup(closeTargets)
	engines, closeEngines := adapters.NewEngines(onResponseHead)
	r.addCleanup(closeEngines)
	var budgetOptions []budgeter.Option
	if !settings.FirstStart {
		budgetOptions = append(budgetOptions, budgeter.WithEarlierProcess(adapters.Clock.Now()))
	}
	r.retryBudget = budgeter.New(budgetSettings(settings), budgetOptions...)
	r.limiter = limiter.New(limiter.Fleet{
		Self:     settings.Name,
		Peers:    peers,
		Hubs:     r.gossiper.Hubs,
		Coverage: r.gossiper.Coverage,
		Share:    r.gossiper.Share,
		Registered: func(target bluebelldoor.TargetIncarnation) bool {
			t := r.registrar.View().Target(target.ID)
			return t != nil && t.Incarnation() == target
		},
		Changed: r.gossiper.Trigger,
		Counted: r.metrics.CountPermit,
	}, adapters.Clock, log.Named("limiter"))
	r.relayer = relayer.New(relayerSettings(settings), relayer.Sources{
		View:             r.registrar.View,
		EvidenceAge:      r.registrar.RoutingEvidenceAge,
		IsBehind:         r.registrar.IsBehind,
		MarkLeaving:      func(t *bluebelldoor.Instance) { r.registrar.MarkLeaving(context.Background(), t) },
		Share:            r.gossiper.Share,
		GenerationPlaced: r.gossiper.Trigger,
	}, relayer.Dependencies{
		Codec:   adapters.Codec,
		Mover:   engines,
		Targets: targets,
		Turns:   r.turner,
		Pauses:  pauser.New(adapters.Clock, log.Named("pauser")),
		Limits:  r.limiter,
		Budget:  r.retryBudget,
		Parts:   r.parts,
		Ends:    ends,
		Starts:  engines,
		Metrics: r.metrics,
		Memory:  r.memory,
	}, adapters.Clock, log.Named("relayer"))
	r.registrar.Observe(r.relayer.HandleLeaving)
	if adapters.DroppedLines == nil {
		adapters.DroppedLines = func() int64 { return 0 }
	}
	r.metrics.RegisterGauges(r.gauges, adapters.DroppedLines)
	if err := r.listen(); err != nil {
		r.cleanup()
		return nil, nil, err
	}
	r.addCleanup(r.registrar.Start())
	r.addCleanup(r.gossiper.Start())
	r.addCleanup(r.values.Start())
	r.addCleanup(prober.New(engines, r.registrar, r.relayer.StreamingTargets, log.Named("prober")))
	r.fire(triggerReady)
	log.Info("serving", "vm", settings.Name, "dataCentre", settings.DataCentre, "callers", settings.CallerAddress, "firstStart", settings.FirstStart)
	return r, r.cleanup, nil
}

// probes reports whether this VM is the one that sends probes with a set of quarantined parts.
func (r *Relay) probes(set string) bool {
	names := []string{r.settings.Name}
	for _, m := range r.gossiper.Alive() {
		names = append(names, m.Name)
	}
	return ranker.First(set, names) == r.settings.Name
}

func relayerSettings(s *bluebelldoor.RelaySettings) relayer.Settings {
	return relayer.Settings{
		VM:                s.Name,
		DataCentre:        s.DataCentre,
		MaxKeyEvidenceAge: time.Duration(float64(s.KeyEvidenceMaxAge) * keyEvidenceFraction),
		MaxViewAge:        time.Duration(float64(s.UpdateWithin) * updateFraction),
		LeavingGrace:      time.Duration(float64(s.LeavingWithin) * leavingFraction),
		ColdFactor:        s.ColdFactor,
		ColdAllowance:     s.ColdAllowance,
		Secret:            s.FleetSecret,
	}
}

// registrarOptions returns the options of the registrar that follow from the settings. What a VM
// learns is too late if its evidence may get as old as the time within which it has to act on it.
func registrarOptions(s *bluebelldoor.RelaySettings) []registrar.Option {
	derived := relayerSettings(s)
	maxAge := derived.MaxViewAge
	if derived.LeavingGrace > 0 {
		maxAge = min(maxAge, derived.LeavingGrace)
	}
	return []registrar.Option{registrar.WithEvidenceValidity(derived.MaxKeyEvidenceAge), registrar.WithMaxEvidenceAge(maxAge)}
}

func budgetSettings(s *bluebelldoor.RelaySettings) budgeter.Settings {
	return budgeter.Settings{Window: s.RetryWindow, Ratio: s.RetryRatio, Allowance: s.RetryAllowance}
}

// Reload applies changed settings of the relayer and the retry budget.
// Addresses, seeds and the name can't change while the process runs.
func (r *Relay) Reload(settings *bluebelldoor.RelaySettings) {
	r.relayer.Reload(relayerSettings(settings))
	r.registrar.Reload(registrarOptions(settings)...)
	r.retryBudget.Reload(budgetSettings(settings))
	r.log.Info("settings in force", "keyEvidence", settings.KeyEvidenceMaxAge.String(), "retryRatio", settings.RetryRatio,
		"retryAllowance", settings.RetryAllowance, "coldFactor", settings.ColdFactor, "coldAllowance", settings.ColdAllowance)
}

// listen opens the VM's listeners. The status needs the acceptor, which comes before it.
func (r *Relay) listen() error {
	for _, open := range []func() (func(), error){
		func() (func(), error) {
			return messenger.ServeFleet(r.settings.PeerAddress, []byte(r.settings.FleetSecret), r)
		},
		func() (func(), error) { return r.adapters.ServeReady(r.settings.ReadyAddress, r.ready) },
		func() (func(), error) { return r.adapters.ServeDirectory(r.settings.DirectoryAddress, r.resolve) },
		func() (func(), error) {
			a, stop, err := acceptor.New(r.settings.CallerAddress, r.callerLimits, r.relayer.Serve, acceptor.WithLogger(r.log.Named("acceptor")), acceptor.WithMemory(r.memory))
			r.acceptor = a
			return stop, err
		},
		func() (func(), error) {
			return listener.ServeStatus(r.settings.OpsAddress, func() any { return r.Status() }, r.metrics.Registry())
		},
	} {
		stop, err := open()
		if err != nil {
			return err
		}
		r.addCleanup(stop)
	}
	return nil
}

func (r *Relay) addCleanup(f func()) { r.cleanups = append(r.cleanups, f) }

func (r *Relay) cleanup() {
	r.fire(triggerStop)
	for i := len(r.cleanups) - 1; i >= 0; i-- {
		r.cleanups[i]()
	}
	r.cleanups = nil
}

func (r *Relay) fire(t trigger) {
	if err := r.lifecycle.Fire(t); err != nil {
		r.log.Error("state transition failed", "error", err)
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

// Permit implements bluebelldoor.FleetHandler.
func (r *Relay) Permit(_ context.Context, in *bluebelldoor.PermitRequest) (*bluebelldoor.PermitReply, error) {
	return r.limiter.Permit(in), nil
}

// Fetch implements bluebelldoor.FleetHandler.
func (r *Relay) Fetch(_ context.Context, in *bluebelldoor.FetchRequest) (*bluebelldoor.FetchReply, error) {
	return r.values.Fetch(in), nil
}

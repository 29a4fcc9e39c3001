package runner

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/qmuntal/stateless"

	"bluebelldoor"
	"bluebelldoor/connection/acceptor"
	"bluebelldoor/connection/exchanger"
	"bluebelldoor/connection/listener"
	"bluebelldoor/connection/messenger"
	"bluebelldoor/process/budgeter"
	"bluebelldoor/process/gossiper"
	"bluebelldoor/process/prober"
	"bluebelldoor/process/ranker"
	"bluebelldoor/process/recorder"
	"bluebelldoor/process/registrar"
	"bluebelldoor/process/timer"
	"bluebelldoor/process/turner"
	"bluebelldoor/request/relayer"
)

const (
	// keyMargin is the part of a taken key's grace within which this VM's
	// evidence must lie; the rest is for requests on their way.
	keyMargin = 0.75
	// entryValidFor is how long callers keep an answer of the directory, if
	// the settings allow as much.
	entryValidFor = 2 * time.Second
	// newStreamsFor is the part of a planned stop in which new streams are
	// still taken from callers with old addresses.
	newStreamsFor = 0.3
	// stopEarly is the time before the platform's limit at which a stop ends.
	stopEarly = 400 * time.Millisecond
	// oldAddressTimes is how many times an answer's validity callers may use
	// it, as the slowest of them do.
	oldAddressTimes = 3
	// fewestNear is how many VMs of a caller's own data centre are enough to
	// name no others.
	fewestNear = 2
	// readers is how many VMs read the platform for all. Each call is paid for;
	// should the one fall silent, the others read when their evidence is old.
	readers = 1
	// quietFor is how long no request must have come before a stop ends early.
	quietFor = time.Second
)

// RelayAdapters reach what lies outside a VM that relays.
type RelayAdapters struct {
	Codec          bluebelldoor.Codec
	Catalogue      bluebelldoor.Catalogue
	Mover          bluebelldoor.Mover
	Reporter       bluebelldoor.Reporter
	Clock          bluebelldoor.Clock
	ServeReady     func(address string, ready func() bool) (func(), error)
	ServeDirectory func(address string, entry func(dataCentre string) ([]string, time.Duration)) (func(), error)
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
	meter     timer.Meter
	cleanUps  []func()
}

// NewRelay starts the process of a VM that relays. The clean-up function stops
// it at once; use Drain before it for a planned stop.
func NewRelay(settings *bluebelldoor.RelaySettings, adapters RelayAdapters, log hclog.Logger) (*Relay, func(), error) {
	r := &Relay{settings: settings, adapters: adapters, log: log, life: newLife(), metrics: recorder.NewRelayMetrics()}
	peers := messenger.New([]byte(settings.FleetSecret))
	r.registrar = registrar.New(adapters.Catalogue, adapters.Clock, registrar.Role{
		Reads:   r.reads,
		Served:  func() bool { return !r.gossiper.IsHub() },
		Changed: func() { r.gossiper.Hurry() },
	}, log.Named("registrar"))
	r.gossiper = gossiper.New(bluebelldoor.MemberState{
		Name:          settings.Name,
		Incarnation:   time.Now().UnixMilli(),
		DataCentre:    settings.DataCentre,
		CallerAddress: settings.CallerAddress,
		PeerAddress:   settings.PeerAddress,
		Capacity:      settings.Cores,
	}, settings.Seeds, adapters.Clock, peers, gossiper.Hooks{
		Describe: r.describe,
		Told:     func(s bluebelldoor.MemberState) { r.relayer.PeerLoads(s.Name, s.Loads) },
		News:     r.registrar.News,
		Hear:     r.registrar.Hear,
	}, log.Named("gossiper"))
	r.turner = turner.New(settings.Name, peers, r.gossiper.Alive)
	targets, closeTargets := exchanger.New(adapters.Codec)
	r.onStop(closeTargets)
	r.budget = budgeter.New(budget(settings))
	r.relayer = relayer.New(bounds(settings), relayer.Sources{
		View:     r.registrar.View,
		Evidence: r.registrar.Evidence,
		Share:    r.gossiper.Share,
		Placed:   r.gossiper.Hurry,
	}, relayer.Parts{
		Codec:   adapters.Codec,
		Mover:   adapters.Mover,
		Targets: targets,
		Turns:   r.turner,
		Budget:  r.budget,
		Metrics: r.metrics,
	}, adapters.Clock, log.Named("relayer"))
	r.registrar.Observe(r.relayer.Leaving)
	if err := r.listen(); err != nil {
		r.cleanUp()
		return nil, nil, err
	}
	r.onStop(r.registrar.Start())
	r.onStop(r.gossiper.Start())
	r.onStop(prober.New(adapters.Reporter, r.registrar, r.relayer.Streaming, log.Named("prober")))
	r.fire(ready)
	log.Info("serving", "vm", settings.Name, "dataCentre", settings.DataCentre, "callers", settings.CallerAddress)
	return r, r.cleanUp, nil
}

func bounds(s *bluebelldoor.RelaySettings) relayer.Settings {
	return relayer.Settings{
		DataCentre:    s.DataCentre,
		KeyEvidence:   time.Duration(float64(s.KeyEvidence) * keyMargin),
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
			return listener.ServeMetrics(r.settings.OpsAddress, r.metrics.Registry())
		},
		func() (func(), error) { return r.adapters.ServeReady(r.settings.ReadyAddress, r.ready) },
		func() (func(), error) { return r.adapters.ServeDirectory(r.settings.DirectoryAddress, r.entry) },
		func() (func(), error) {
			a, stop, err := acceptor.New(r.settings.CallerAddress, r.limits, r.relayer.Serve)
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

func (r *Relay) limits() bluebelldoor.CallerLimits {
	if routing := r.registrar.View().Routing(); routing != nil {
		return routing.Limits()
	}
	return bluebelldoor.CallerLimits{}
}

// serving reports whether the VM should get new callers.
func (r *Relay) serving() bool {
	return r.life.MustState() == Serving && r.registrar.View().Routing() != nil
}

// ready tells the platform whether the VM is ready. One that can't read the
// platform goes on serving what needs no proof, and stays ready.
func (r *Relay) ready() bool { return r.serving() }

// describe brings what the VM says of itself up to date.
func (r *Relay) describe(s *bluebelldoor.MemberState) {
	s.Ready = r.serving()
	s.Leaving = r.life.MustState() != Serving
	s.Loads = r.relayer.Loads()
	s.Revision = r.registrar.Revision()
	use, err := r.meter.Cores(r.adapters.Clock.Now())
	if err != nil {
		r.log.Warn("processor time not known", "error", err)
	}
	s.Use = use
}

// reads reports whether this VM reads the platform on behalf of its peers: the
// first ones by rendezvous hashing, in different data centres.
func (r *Relay) reads() bool {
	byDataCentre := map[string][]string{}
	for _, m := range r.gossiper.Hubs() {
		if !m.Leaving {
			byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m.Name)
		}
	}
	dataCentres := ranker.Top("readers", slices.Collect(maps.Keys(byDataCentre)), readers)
	return slices.Contains(dataCentres, r.settings.DataCentre) &&
		ranker.First("reader", byDataCentre[r.settings.DataCentre]) == r.settings.Name
}

// entry names the VMs that a caller may use: those that serve in its own data
// centre, if there are two at least, so that its requests cross no link between
// data centres; else all that serve, or else all that are ready.
func (r *Relay) entry(dataCentre string) ([]string, time.Duration) {
	hubs := r.gossiper.Hubs()
	var near []bluebelldoor.MemberState
	for _, m := range hubs {
		if m.DataCentre == dataCentre {
			near = append(near, m)
		}
	}
	out := r.addresses(near)
	if len(out) < fewestNear {
		out = r.addresses(hubs)
	}
	if len(out) == 0 {
		out = r.addresses(r.gossiper.Alive())
	}
	return out, min(entryValidFor, r.settings.AddressValidFor)
}

// addresses returns the caller addresses of the members that are ready.
func (r *Relay) addresses(members []bluebelldoor.MemberState) []string {
	var out []string
	for _, m := range members {
		ready := m.Ready && !m.Leaving
		if m.Name == r.settings.Name {
			ready = r.serving()
		}
		if ready {
			out = append(out, m.CallerAddress)
		}
	}
	return out
}

// Exchange implements bluebelldoor.FleetHandler.
func (r *Relay) Exchange(ctx context.Context, in *bluebelldoor.ExchangeMessage) (*bluebelldoor.ExchangeMessage, error) {
	return r.gossiper.Exchange(ctx, in), nil
}

// Turn implements bluebelldoor.FleetHandler.
func (r *Relay) Turn(ctx context.Context, in *bluebelldoor.TurnRequest) (*bluebelldoor.TurnReply, error) {
	return r.turner.Turn(ctx, in), nil
}

// Drain is a planned stop: the VM is no longer named to callers, goes on
// serving those that hold an old answer, and ends when they have gone or the
// time is over. It returns how many requests were cut.
func (r *Relay) Drain(ctx context.Context) int {
	began := r.adapters.Clock.Now()
	r.fire(leave)
	r.log.Info("draining", "busy", r.acceptor.Busy())
	r.acceptor.Leave()
	r.gossiper.Hurry()
	limit := r.settings.StopWithin - stopEarly
	old := min(limit, oldAddressTimes*min(entryValidFor, r.settings.AddressValidFor))
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	quiet := began
	for ctx.Err() == nil {
		now := r.adapters.Clock.Now()
		elapsed := now - began
		if elapsed > time.Duration(float64(r.settings.StopWithin)*newStreamsFor) {
			r.relayer.Leave()
		}
		if r.acceptor.Busy() > 0 {
			quiet = now
		}
		if elapsed >= limit || elapsed >= old && now-quiet >= quietFor {
			break
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	cut := r.acceptor.Busy()
	r.log.Info("drained", "cut", cut)
	return cut
}

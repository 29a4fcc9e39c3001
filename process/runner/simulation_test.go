package runner_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/runner"
	"bluebelldoor/standin/batcher"
	"bluebelldoor/standin/connector"
	"bluebelldoor/standin/generator"
	"bluebelldoor/standin/naive"
	"bluebelldoor/standin/publisher"
)

const (
	apiKey   = "test-key"
	latency  = time.Millisecond
	freshFor = 2 * time.Second
	// removalTimeout is how soon a data centre or target that is taken out of
	// service must get no new work ("within a few seconds" in the guarantees).
	removalTimeout = 5 * time.Second
	// rolloutTimeout is how soon an accepted document must be in force on every
	// VM.
	rolloutTimeout = 7 * time.Second
)

// seeds returns the random seeds that a test runs: n of them, or as many as
// BLUEBELLDOOR_HISTORIES sets, or only that of BLUEBELLDOOR_SEED.
func seeds(n uint64) []uint64 {
	if seed, ok := fromEnvironment("BLUEBELLDOOR_SEED"); ok {
		return []uint64{seed}
	}
	if histories, ok := fromEnvironment("BLUEBELLDOOR_HISTORIES"); ok {
		n = histories
	}
	out := make([]uint64, n)
	for i := range out {
		out[i] = uint64(i + 1)
	}
	return out
}

func fromEnvironment(name string) (uint64, bool) {
	text := os.Getenv(name)
	if text == "" {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		panic(err)
	}
	return n, true
}

// node is one VM, which runs either this system or the naive implementation.
type node struct {
	name     string
	process  string
	front    bluebelldoor.Front
	runner   *runner.Runner
	revision func() uint64
	stop     func()
}

// simulation is a fleet in virtual time. A restart replaces a VM's process by a
// new one; the old one then has no effect.
type simulation struct {
	t        *testing.T
	seed     uint64
	naive    bool
	fencing  bool
	rand     *rand.Rand
	network  *connector.Network
	standIns *connector.Cluster
	platform *publisher.Platform

	mu         sync.Mutex
	processes  int
	nodes      []*node
	specs      []bluebelldoor.VMSpec
	document   map[string]any
	revision   uint64
	violations []string
	cleanups   []func()
}

// simulate runs a scenario in virtual time and returns the violations of the
// guarantees that it observed.
func simulate(t *testing.T, seed uint64, isNaive bool, vms, engines int, scenario func(sim *simulation)) []string {
	var violations []string
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, seed, isNaive, vms, engines)
		scenario(sim)
		sim.stop()
		violations = sim.violations
	})
	return violations
}

// compareWithNaive runs a scenario under many seeds. This system must violate
// the guarantee under none of them, the naive implementation under at least one,
// else the scenario tests nothing.
func compareWithNaive(t *testing.T, seedCount uint64, vms, engines int, scenario func(sim *simulation)) {
	t.Helper()
	naiveViolations := 0
	for _, seed := range seeds(seedCount) {
		if violations := simulate(t, seed, false, vms, engines, scenario); len(violations) > 0 {
			t.Errorf("seed %d (BLUEBELLDOOR_SEED=%d replays it): %s", seed, seed, strings.Join(violations, "; "))
		}
		if naiveViolations < 3 && len(simulate(t, seed, true, vms, engines, scenario)) > 0 {
			naiveViolations++
		}
	}
	if os.Getenv("BLUEBELLDOOR_SEED") == "" && naiveViolations == 0 {
		t.Errorf("the naive implementation never violated the guarantee; the scenario tests nothing")
	}
}

func newSimulation(t *testing.T, seed uint64, isNaive bool, vms, engines int) *simulation {
	sim := &simulation{
		t: t, seed: seed, naive: isNaive, rand: rand.New(rand.NewPCG(seed, 0)),
		network: connector.NewNetwork(latency), standIns: connector.NewCluster(), platform: publisher.New(),
	}
	var targets []map[string]any
	for i := range engines {
		name := fmt.Sprintf("engine-%d", i)
		sim.newEngine(name)
		config := batcher.DefaultConfig()
		targets = append(targets, map[string]any{
			"name": name, "kind": "engine", "address": fmt.Sprintf("10.0.0.%d:80", i+1), "dataCentre": dataCentreName(i), "models": []string{"gait"},
			"coldSlots": config.ColdSlots, "memoryTokens": config.MemoryTokens, "maxRunning": config.MaxRunning,
		})
	}
	for i := range 2 {
		targets = append(targets, map[string]any{
			"name": fmt.Sprintf("desk-%d", i), "kind": "application", "address": fmt.Sprintf("10.0.1.%d:80", i+1), "dataCentre": dataCentreName(i), "services": []string{"bookings"},
		})
	}
	sum := sha256.Sum256([]byte(apiKey))
	sim.document = map[string]any{
		"dataCentres":    []map[string]any{{"name": "miraflores", "inService": true}, {"name": "ate", "inService": true}, {"name": "callao", "inService": true}},
		"models":         []string{"gait"},
		"classes":        []map[string]any{{"name": "report", "priority": 1, "defaultWithin": "30s"}},
		"clientAccounts": []map[string]any{{"name": "clinic", "keySha256": hex.EncodeToString(sum[:]), "class": "report", "maxStreams": 100000, "large": true}},
		"services":       []map[string]any{{"name": "bookings", "repeatable": []string{"GET"}}},
		"targets":        targets,
		"limits":         map[string]any{"freshFor": freshFor.String(), "vmListLag": "1s", "stallAfter": "1s", "addressValidFor": "1s"},
	}
	sim.publish()
	for i := range vms {
		name := fmt.Sprintf("vm-%d", i)
		sim.specs = append(sim.specs, bluebelldoor.VMSpec{Name: name, DataCentre: dataCentreName(i), CallerAddress: name, PeerAddress: name})
	}
	sim.platform.SetVMs(sim.specs)
	for i := range vms {
		sim.nodes = append(sim.nodes, sim.newNode(i))
	}
	time.Sleep(5 * time.Second)
	return sim
}

func dataCentreName(i int) string { return []string{"miraflores", "ate", "callao"}[i%3] }

func (sim *simulation) newEngine(name string) {
	sim.newEngineWith(name, batcher.DefaultConfig())
}

func (sim *simulation) newEngineWith(name string, config batcher.Config) {
	e, stop := generator.New(config, generator.WithLag(100*time.Millisecond), generator.WithFencing(sim.fencing))
	sim.standIns.SetEngine(name, e)
	sim.cleanups = append(sim.cleanups, stop)
}

func (sim *simulation) newNode(i int) *node {
	spec := sim.specs[i]
	sim.processes++
	process := connector.ProcessName(spec.Name, sim.processes)
	targets := connector.NewTargets(process, sim.network, sim.standIns)
	platform := connector.NewPlatform(process, sim.network, sim.platform)
	n := &node{name: spec.Name, process: process}
	if sim.naive {
		f, stop := naive.New(spec.Name, platform, targets, targets)
		n.front, n.stop, n.revision = f, stop, f.Revision
		return n
	}
	settings := bluebelldoor.NewSettings(bluebelldoor.SettingsSpec{
		Name: spec.Name, DataCentre: spec.DataCentre, FleetSecret: strings.Repeat("s", 32), DrainLimit: time.Minute,
	})
	r, stop := runner.NewInProcess(settings, hclog.NewNullLogger(), runner.Adapters{
		Configuration: platform, VMList: platform, Engines: targets, Applications: targets, Orders: targets,
		Peers: connector.NewPeers(process, sim.network, sim.standIns),
	})
	sim.standIns.SetVM(spec.Name, r.PeerHandler())
	n.runner, n.front, n.stop = r, r.Front(), stop
	n.revision = func() uint64 { return r.Status().Document.Revision }
	return n
}

func (sim *simulation) stop() {
	sim.network.Restore()
	for i := range sim.nodes {
		sim.network.Resume(sim.nodes[i].name)
	}
	for _, n := range sim.nodes {
		n.stop()
	}
	for _, stop := range sim.cleanups {
		stop()
	}
	time.Sleep(time.Minute)
}

// recordViolation records that a guarantee was violated.
func (sim *simulation) recordViolation(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

func (sim *simulation) publish() {
	sim.revision++
	sim.document["revision"] = sim.revision
	text, err := json.Marshal(sim.document)
	assert.NilError(sim.t, err)
	sim.platform.Publish(sim.revision, text)
}

func (sim *simulation) setInService(name string, in bool) {
	for _, d := range sim.document["dataCentres"].([]map[string]any) {
		if d["name"] == name {
			d["inService"] = in
		}
	}
	sim.publish()
}

func (sim *simulation) setLeaving(target string, leaving bool) {
	for _, t := range sim.document["targets"].([]map[string]any) {
		if t["name"] == target {
			t["leaving"] = leaving
		}
	}
	sim.publish()
}

// randomNode returns a VM chosen at random.
func (sim *simulation) randomNode() *node {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.nodes[sim.rand.IntN(len(sim.nodes))]
}

// nodeAt returns the current process of VM i.
func (sim *simulation) nodeAt(i int) *node {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.nodes[i%len(sim.nodes)]
}

// restart kills the process of a VM and starts another in its place. The
// goroutines of the killed process end without any effect on the simulation.
func (sim *simulation) restart(i int) {
	sim.mu.Lock()
	old := sim.nodes[i]
	sim.mu.Unlock()
	sim.network.Kill(old.process)
	old.stop()
	fresh := sim.newNode(i)
	sim.mu.Lock()
	sim.nodes[i] = fresh
	sim.mu.Unlock()
}

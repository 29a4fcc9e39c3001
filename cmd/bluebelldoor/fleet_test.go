package main_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bluebelldoor"
	"bluebelldoor/process/runner"
	"bluebelldoor/standin/allocator"
	"bluebelldoor/standin/batcher"
	"bluebelldoor/standin/booker"
	"bluebelldoor/standin/caller"
	"bluebelldoor/standin/generator"
	"bluebelldoor/standin/link"
	"bluebelldoor/standin/publisher"
)

const (
	apiKey    = "test-key"
	startTime = 20 * time.Second
)

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "bluebelldoor")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "bluebelldoor")
	args := append(append([]string{"build"}, raceFlags...), "-o", program, ".")
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// newProcessGroup returns attributes that start a process in its own process group.
// In the shell's group, the kernel would send SIGHUP to a stopped process when the
// shell exits before the tests.
func newProcessGroup() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }

// vm is one VM's process.
type vm struct {
	spec     bluebelldoor.VMSpec
	ops      string
	settings string
	cmd      *exec.Cmd
	log      *os.File
}

// fleet is a set of VM processes, with stand-ins for their dependencies in the test
// process. Engines and application runners are reached through links, which can be
// cut and stalled.
type fleet struct {
	t        *testing.T
	dir      string
	platform *publisher.Platform
	address  string
	engines  []*generator.Engine
	runners  []*booker.Runner
	links    map[string]*link.Link
	vms      []*vm
	document map[string]any
	revision uint64
}

// freeAddress returns an unused loopback address.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := allocator.Address()
	assert.NilError(t, err)
	return address
}

// dataCentre spreads VMs and targets over three data centres.
func dataCentre(i int) string { return []string{"catania", "palermo", "siracusa"}[i%3] }

func newFleet(t *testing.T, vms, engines, runners int) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), platform: publisher.New(), address: freeAddress(t), links: map[string]*link.Link{}}
	stop, err := publisher.Serve(f.platform, f.address)
	assert.NilError(t, err)
	t.Cleanup(stop)
	var targets []map[string]any
	for i := range engines {
		targets = append(targets, f.addEngine(i))
	}
	for i := range runners {
		targets = append(targets, f.addRunner(i))
	}
	sum := sha256.Sum256([]byte(apiKey))
	f.document = map[string]any{
		"dataCentres": []map[string]any{
			{"name": "catania", "inService": true}, {"name": "palermo", "inService": true}, {"name": "siracusa", "inService": true},
		},
		"models":  []string{"gait"},
		"classes": []map[string]any{{"name": "report", "priority": 1, "defaultWithin": "60s"}},
		"clientAccounts": []map[string]any{
			{"name": "clinic", "keySha256": hex.EncodeToString(sum[:]), "class": "report", "maxStreams": 1000, "large": true},
		},
		"services": []map[string]any{{"name": "bookings", "repeatable": []string{"GET"}}},
		"targets":  targets,
		"limits":   map[string]any{"vmListLag": "300ms", "freshFor": "1s", "stallAfter": "700ms", "addressValidFor": "1s", "keyValidFor": "60s"},
	}
	f.publish()
	var specs []bluebelldoor.VMSpec
	for i := range vms {
		v := f.newVM(i)
		f.vms = append(f.vms, v)
		specs = append(specs, v.spec)
	}
	f.platform.SetVMs(specs)
	for _, v := range f.vms {
		f.start(v)
	}
	for _, v := range f.vms {
		f.waitServing(v)
	}
	return f
}

func (f *fleet) link(name, address string) string {
	l, stop, err := link.New(address)
	assert.NilError(f.t, err)
	f.t.Cleanup(stop)
	f.links[name] = l
	return l.Address()
}

func (f *fleet) addEngine(i int) map[string]any {
	config := batcher.DefaultConfig()
	e, stop := generator.New(config, generator.WithLag(100*time.Millisecond))
	f.t.Cleanup(stop)
	address := freeAddress(f.t)
	stopServer, err := generator.Serve(e, address)
	assert.NilError(f.t, err)
	f.t.Cleanup(stopServer)
	f.engines = append(f.engines, e)
	name := fmt.Sprintf("engine-%d", i)
	return map[string]any{
		"name": name, "kind": "engine", "address": f.link(name, address), "dataCentre": dataCentre(i), "models": []string{"gait"},
		"coldSlots": config.ColdSlots, "memoryTokens": config.MemoryTokens, "maxRunning": config.MaxRunning,
	}
}

func (f *fleet) addRunner(i int) map[string]any {
	r := booker.New()
	address := freeAddress(f.t)
	stop, err := booker.Serve(r, address)
	assert.NilError(f.t, err)
	f.t.Cleanup(stop)
	f.runners = append(f.runners, r)
	name := fmt.Sprintf("desk-%d", i)
	return map[string]any{
		"name": name, "kind": "application", "address": f.link(name, address), "dataCentre": dataCentre(i), "services": []string{"bookings"},
	}
}

// publish publishes the document under a new revision.
func (f *fleet) publish() {
	f.revision++
	f.document["revision"] = f.revision
	text, err := json.Marshal(f.document)
	assert.NilError(f.t, err)
	f.platform.Publish(f.revision, text)
}

// setInService takes a data centre into or out of service, publishes the document
// and returns the time of publication.
func (f *fleet) setInService(name string, in bool) time.Time {
	for _, d := range f.document["dataCentres"].([]map[string]any) {
		if d["name"] == name {
			d["inService"] = in
		}
	}
	f.publish()
	return time.Now()
}

func (f *fleet) newVM(i int) *vm {
	name := fmt.Sprintf("vm-%d", i)
	v := &vm{
		spec: bluebelldoor.VMSpec{
			Name: name, DataCentre: dataCentre(i), CallerAddress: freeAddress(f.t), PeerAddress: freeAddress(f.t),
		},
		ops:      freeAddress(f.t),
		settings: filepath.Join(f.dir, name+".hujson"),
	}
	text, err := json.Marshal(map[string]any{
		"name": name, "dataCentre": v.spec.DataCentre, "callerAddress": v.spec.CallerAddress, "peerAddress": v.spec.PeerAddress,
		"opsAddress": v.ops, "platform": map[string]any{"configurationService": f.address, "vmList": f.address},
		"fleetSecret": strings.Repeat("s", 32), "logLevel": "info", "drainLimit": "5s",
	})
	assert.NilError(f.t, err)
	assert.NilError(f.t, os.WriteFile(v.settings, text, 0o600))
	return v
}

func (f *fleet) start(v *vm) {
	log, err := os.Create(v.settings + ".log")
	assert.NilError(f.t, err)
	v.log = log
	v.cmd = exec.Command(program, "serve", "-settings", v.settings)
	v.cmd.Stderr = log
	v.cmd.Stdout = log
	v.cmd.SysProcAttr = newProcessGroup()
	assert.NilError(f.t, v.cmd.Start())
	f.t.Cleanup(func() {
		_ = v.cmd.Process.Signal(syscall.SIGCONT)
		_ = v.cmd.Process.Kill()
		_ = v.cmd.Wait()
		text, _ := os.ReadFile(log.Name())
		if f.t.Failed() || strings.Contains(string(text), "DATA RACE") || strings.Contains(string(text), "panic") {
			f.t.Errorf("log of %s:\n%s", v.spec.Name, text)
		}
	})
}

func (f *fleet) status(v *vm) (runner.Status, error) {
	var s runner.Status
	c, err := caller.New("")
	if err != nil {
		return s, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	reply, err := c.Do(ctx, "GET", v.ops, "/status", nil)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(reply.Body, &s)
}

func (f *fleet) waitStatus(v *vm, state string, reached func(runner.Status) bool) {
	f.t.Helper()
	var last runner.Status
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		s, err := f.status(v)
		last = s
		if err == nil && reached(s) {
			return poll.Success()
		}
		return poll.Continue("%s: not %s: %v %+v", v.spec.Name, state, err, last)
	}, poll.WithTimeout(startTime), poll.WithDelay(20*time.Millisecond))
}

func (f *fleet) waitServing(v *vm) {
	f.t.Helper()
	f.waitStatus(v, "serving", func(s runner.Status) bool {
		return s.Fresh == "yes" && s.Phase == runner.Serving
	})
}

// signal sends a signal to a VM's process.
func (f *fleet) signal(v *vm, s syscall.Signal) {
	f.t.Helper()
	assert.NilError(f.t, v.cmd.Process.Signal(s))
}

// addresses returns the caller addresses of all VMs, beginning with VM first.
func (f *fleet) addresses(first int) []string {
	var out []string
	for i := range f.vms {
		out = append(out, f.vms[(first+i)%len(f.vms)].spec.CallerAddress)
	}
	return out
}

func (f *fleet) caller(first int) *caller.Caller {
	f.t.Helper()
	c, err := caller.New(apiKey, f.addresses(first)...)
	assert.NilError(f.t, err)
	return c
}

// warmUp runs short generations until every VM considers every engine warm.
func (f *fleet) warmUp() {
	f.t.Helper()
	c := f.caller(0)
	deadline := time.Now().Add(startTime)
	for time.Now().Before(deadline) {
		for _, v := range f.vms {
			_, _ = c.Stream(context.Background(), v.spec.CallerAddress, "gait", "warm up len=3", 3, nil, "X-Within-Ms", "1500")
		}
		if f.allWarm() {
			return
		}
	}
	f.t.Fatal("the engines did not warm up in time")
}

func (f *fleet) allWarm() bool {
	for _, v := range f.vms {
		s, err := f.status(v)
		if err != nil || len(s.Targets) == 0 {
			return false
		}
		for _, t := range s.Targets {
			if strings.HasPrefix(t.Name, "engine") && t.State != "warm" {
				return false
			}
		}
	}
	return true
}

// checkTokenOrder checks that the events are the tokens of one generation, each once and
// in order, as the engine generated them.
func checkTokenOrder(t *testing.T, r *caller.Result) {
	t.Helper()
	for i, e := range r.Events {
		assert.Equal(t, e.Sequence, i+1)
		assert.Equal(t, e.Generation, r.Events[0].Generation)
		assert.Equal(t, e.Text, generator.TokenText(e.Generation, e.Sequence))
	}
}

func staleRevisionFault(revision uint64) publisher.Faults {
	return publisher.Faults{StaleRevision: revision}
}

func outageFault() publisher.Faults { return publisher.Faults{Down: true} }

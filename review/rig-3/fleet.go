package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"bluebelldoor/standin/allocator"
	"bluebelldoor/standin/lender"
)

// bounds are those of the small deployments' sheets.
var bounds = map[string]string{
	"grace_s": "8", "ttl_max_s": "5", "revoke_ms": "5000", "config_ms": "2000", "drain_ms": "2000",
	"budget_window_s": "10", "budget_ratio": "0.2", "budget_slack": "52", "cold_factor": "1.5", "cold_slack": "5",
}

const (
	zones = 3
	// startTimeout bounds the wait until all VMs serve.
	startTimeout = 20 * time.Second
)

// zone returns the zone of the i-th VM or target.
func zone(i int) string { return fmt.Sprintf("zone-%d", i%zones) }

// vm is a relay process and its place.
type vm struct {
	e        *environment
	name     string
	settings string
	// front, ready and the others are the addresses on which the process listens.
	front, ready, directory, control, ops string
	storeAddress                          string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// newFleet starts n VMs before a store and waits until all are ready.
func newFleet(e *environment, store *lender.Store, n int, bounds map[string]string) ([]*vm, error) {
	var vms []*vm
	var seeds []string
	for i := range n {
		v := &vm{e: e, name: fmt.Sprintf("vm-%d", i), settings: filepath.Join(e.dir, fmt.Sprintf("vm-%d.settings", i))}
		for _, address := range []*string{&v.front, &v.ready, &v.directory, &v.control, &v.ops} {
			var err error
			if *address, err = allocator.Address(); err != nil {
				return nil, err
			}
		}
		v.storeAddress = store.Address()
		vms, seeds = append(vms, v), append(seeds, v.control)
	}
	for i, v := range vms {
		if err := v.writeSettings(zone(i), seeds[:min(len(seeds), 3)], true, bounds); err != nil {
			return nil, err
		}
		if err := v.start(); err != nil {
			return nil, err
		}
	}
	for _, v := range vms {
		if !v.awaitReady(startTimeout) {
			return nil, errors.Errorf("%s is not ready", v.name)
		}
	}
	return vms, nil
}

var placeholder = regexp.MustCompile(`\{\{([^{}]*)\}\}`)

// writeSettings fills in the deploy file's template for the VM.
func (v *vm) writeSettings(zone string, seeds []string, bootstrap bool, bounds map[string]string) error {
	template, err := os.ReadFile(v.e.template)
	if err != nil {
		return errors.Wrap(err, "read template")
	}
	seedList, err := json.Marshal(seeds)
	if err != nil {
		return errors.Wrap(err, "encode seeds")
	}
	ip, port, _ := strings.Cut(v.ops, ":")
	values := map[string]string{
		"node|json": quote(v.name), "zone|json": quote(zone), "listen.front|json": quote(v.front), "listen.ready|json": quote(v.ready),
		"listen.directory|json": quote(v.directory), "listen.control|json": quote(v.control), "ip": ip, "internal_ports.0": port,
		"provider.address|json": quote(v.storeAddress), "seeds|json": string(seedList),
		"limits.memory_mb": "134", "limits.cpu_share": "0.4", "limits.cores": "1", "limits.link_mbps": "1000",
	}
	for name, value := range bounds {
		values["bounds."+name] = value
	}
	text := section(string(template), "#bootstrap", bootstrap)
	text = section(text, "^bootstrap", !bootstrap)
	var missing []string
	text = placeholder.ReplaceAllStringFunc(text, func(p string) string {
		value, ok := values[strings.Trim(p, "{}")]
		if !ok {
			missing = append(missing, p)
		}
		return value
	})
	if len(missing) > 0 {
		return errors.Errorf("the template has placeholders without a value: %v", missing)
	}
	return errors.Wrap(os.WriteFile(v.settings, []byte(text), 0o600), "write settings")
}

// section shows or drops a section of the template.
func section(text, name string, shown bool) string {
	re := regexp.MustCompile(`\{\{` + regexp.QuoteMeta(name) + `\}\}(.*?)\{\{/` + name[1:] + `\}\}`)
	if shown {
		return re.ReplaceAllString(text, "$1")
	}
	return re.ReplaceAllString(text, "")
}

func quote(s string) string { return `"` + s + `"` }

// start starts the VM's process.
func (v *vm) start() error {
	log, err := os.OpenFile(v.settings+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	cmd := exec.Command(v.e.program, "relay", "-settings", v.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start VM")
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.exited = cmd, exited
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait() // its status does not matter
		_ = log.Close()
		close(exited)
	}()
	v.e.logf("%s started, process %d", v.name, cmd.Process.Pid)
	v.e.onExit(func() { v.signal(syscall.SIGKILL); <-exited })
	return nil
}

// signal sends a signal to the VM's process.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.cmd.Process.Signal(s) // it may have exited
}

// awaitExit waits until the process has exited.
func (v *vm) awaitExit() {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	<-exited
}

// isReady reports whether the VM says that it is ready.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + v.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (v *vm) awaitReady(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if v.isReady() {
			return true
		}
	}
	return false
}

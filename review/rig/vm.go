package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"bluebelldoor/standin/allocator"
)

// vm is a process of the project.
type vm struct {
	rig     *rig
	name    string
	file    string
	fields  map[string]any
	front   string
	ready   string
	process *exec.Cmd
	ended   chan struct{}
}

// startVMs starts a VM in each of the zones, on machines and with bounds as the platform's
// settings name them. catalogue returns the address at which each reaches the store.
func startVMs(r *rig, machine, bounds map[string]any, catalogue func(name string) string) ([]*vm, error) {
	var out []*vm
	var seeds []string
	for i, zone := range zones {
		ports := make([]string, 5)
		for j := range ports {
			address, err := allocator.Address()
			if err != nil {
				return nil, err
			}
			ports[j] = address
		}
		name := vmName(zone, i)
		ops := strings.Split(ports[4], ":")
		seeds = append(seeds, ports[2])
		out = append(out, &vm{
			rig: r, name: name, front: ports[0], ready: ports[1], file: filepath.Join(r.dir, name),
			fields: map[string]any{
				"node": name, "zone": zone, "ip": ops[0], "internal_ports": []any{ops[1]}, "bootstrap": true,
				"listen":   map[string]any{"front": ports[0], "ready": ports[1], "control": ports[2], "directory": ports[3]},
				"limits":   machine,
				"bounds":   maps.Clone(bounds),
				"provider": map[string]any{"address": catalogue(name)},
			},
		})
	}
	for _, v := range out {
		v.fields["seeds"] = seeds
		if err := v.writeSettings(); err != nil {
			return nil, err
		}
		if err := v.start(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// vmName returns the name of the VM in a zone.
func vmName(zone string, i int) string { return fmt.Sprintf("front-%s-%d", zone, i+1) }

// writeSettings writes the settings file as the platform does, from the project's template.
func (v *vm) writeSettings() error {
	return os.WriteFile(v.file, []byte(render(v.rig.template, v.fields)), 0o600)
}

// start starts the process. RIG_LOGS names a folder in which its log is kept.
func (v *vm) start() error {
	v.process = exec.Command(v.rig.program, "relay", "-settings", v.file)
	v.process.Env = []string{"BLUEBELLDOOR_BOOT=" + v.file}
	logs := v.rig.dir
	if kept := os.Getenv("RIG_LOGS"); kept != "" {
		logs = kept
	}
	log, err := os.Create(filepath.Join(logs, v.name+".log"))
	if err != nil {
		return err
	}
	v.process.Stdout, v.process.Stderr = log, log
	if err := v.process.Start(); err != nil {
		return err
	}
	v.rig.note("%s started, callers at %s", v.name, v.front)
	v.ended = make(chan struct{})
	go func() {
		err := v.process.Wait()
		v.rig.note("%s ended: %v", v.name, err)
		_ = log.Close()
		close(v.ended)
	}()
	v.rig.addCleanup(func() {
		_ = v.process.Process.Kill() // it may have ended
		<-v.ended
	})
	return nil
}

func (v *vm) signal(s syscall.Signal) error {
	v.rig.note("%s gets %s", v.name, s)
	return v.process.Process.Signal(s)
}

// isReady asks as the platform does.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + v.ready + "/-/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

var (
	section     = regexp.MustCompile(`(?s)\{\{([#^])([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// render fills in a template of settings: values, values as JSON, and sections that depend on
// whether a value is true.
func render(template string, fields map[string]any) string {
	text := section.ReplaceAllStringFunc(template, func(found string) string {
		parts := section.FindStringSubmatch(found)
		value := lookUp(fields, parts[2])
		isSet := value != nil && value != false
		if isSet == (parts[1] == "#") {
			return parts[3]
		}
		return ""
	})
	return placeholder.ReplaceAllStringFunc(text, func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		value := lookUp(fields, parts[1])
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			panic(err) // the fields are plain values
		}
		return string(encoded)
	})
}

// lookUp returns the value at a path, nil if there is none.
func lookUp(value any, path string) any {
	for _, name := range strings.Split(path, ".") {
		switch in := value.(type) {
		case map[string]any:
			value = in[name]
		case []any:
			i, err := strconv.Atoi(name)
			if err != nil || i >= len(in) {
				return nil
			}
			value = in[i]
		default:
			return nil
		}
	}
	return value
}

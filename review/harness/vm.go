package harness

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The settings of a VM of the deployment of the site inmcd-pisada.
const (
	// MemoryMB is the memory limit of a process, beyond which the platform kills it.
	MemoryMB     = 134
	stopWithin   = 8 * time.Second
	restartDelay = 300 * time.Millisecond
	memoryPoll   = 10 * time.Millisecond
	readyTimeout = 12 * time.Second
	readyPoll    = 50 * time.Millisecond
	// addressesPerVM is how many addresses a VM listens on.
	addressesPerVM = 5
	minPort        = 12000
	maxPort        = 32000
)

// DataCentres are those of the deployment.
var DataCentres = []string{"lima-miraflores", "lima-ate", "lima-callao"}

// VM is one VM and its process.
type VM struct {
	Name, DataCentre, Caller, Ready, Directory, Peer string

	run      *Case
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	stopped  bool
	down     bool
	ends     []time.Time
	peakMB   int
}

// StartVMs starts VMs that read the store at the address that catalogue returns for each.
// Like the platform, it kills a process whose memory exceeds the limit and starts ended
// processes again.
func (c *Case) StartVMs(n int, catalogue func(vm int) string) ([]*VM, error) {
	var vms []*VM
	var seeds []string
	free, err := freeAddresses(n * addressesPerVM)
	if err != nil {
		return nil, err
	}
	for i := range n {
		addresses := free[i*addressesPerVM:]
		v := &VM{run: c, Name: fmt.Sprintf("vm-%d", i+1), DataCentre: DataCentres[i%len(DataCentres)], Caller: addresses[0], Ready: addresses[1], Directory: addresses[2], Peer: addresses[3]}
		seeds = append(seeds, v.Peer)
		v.settings = filepath.Join(c.Dir, v.Name+".hujson")
		vms = append(vms, v)
		text, err := json.Marshal(map[string]any{
			"name": v.Name, "dataCentre": v.DataCentre, "callerAddress": v.Caller, "readyAddress": v.Ready,
			"directoryAddress": v.Directory, "peerAddress": v.Peer, "opsAddress": addresses[4], "catalogue": catalogue(i),
			"seeds": seeds[:min(len(seeds), 3)], "memoryMegabytes": MemoryMB, "cpuShare": 0.4, "cores": 1, "linkMegabits": 1000.0,
			"stopWithin": stopWithin.String(), "addressValidFor": "5s", "keyEvidence": "5000ms", "newsWithin": "2000ms", "leavingWithin": "2000ms",
			"retryWindow": "10s", "retryRatio": 0.2, "retryAllowance": 52, "coldFactor": 1.5, "coldAllowance": 5,
		})
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(v.settings, text, 0o600); err != nil {
			return nil, err
		}
	}
	for _, v := range vms {
		if err := v.start(); err != nil {
			return nil, err
		}
		c.Cleanup(v.stop)
	}
	for _, v := range vms {
		if err := v.AwaitReady(); err != nil {
			return nil, err
		}
	}
	return vms, nil
}

// freeAddresses returns loopback addresses that nothing listens on. Their ports are below
// those that the kernel gives to connections.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for tries := 0; len(out) < n; tries++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", minPort+rand.IntN(maxPort-minPort)))
		if err == nil {
			defer func() { _ = l.Close() }() // the VM listens there
			out = append(out, l.Addr().String())
		} else if tries > maxPort-minPort {
			return nil, err
		}
	}
	return out, nil
}

func (v *VM) start() error {
	log, err := os.OpenFile(v.Log(), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopped {
		return log.Close()
	}
	cmd := exec.Command(v.run.Program, "relay", "-settings", v.settings)
	cmd.Stdout, cmd.Stderr, cmd.SysProcAttr = log, log, &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	v.cmd, v.done = cmd, make(chan struct{})
	v.run.Record("%s starts, process %d", v.Name, cmd.Process.Pid)
	go v.supervise(cmd, v.done, log)
	return nil
}

// Log returns the path of the file with the VM's log.
func (v *VM) Log() string { return filepath.Join(v.run.Dir, v.Name+".log") }

// supervise waits for the end of a process, kills it if it exceeds the memory limit, and
// starts the next one.
func (v *VM) supervise(cmd *exec.Cmd, done chan struct{}, log *os.File) {
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	for {
		select {
		case err := <-exited:
			_ = log.Close()
			v.ended(err, done)
			return
		case <-time.After(memoryPoll):
		}
		resident := residentMB(cmd.Process.Pid)
		v.mu.Lock()
		v.peakMB = max(v.peakMB, resident)
		v.mu.Unlock()
		if resident > MemoryMB {
			v.run.Record("%s holds %d MB of %d MB: killed by the platform", v.Name, resident, MemoryMB)
			_ = cmd.Process.Kill() // it may have ended
		}
	}
}

func (v *VM) ended(err error, done chan struct{}) {
	v.mu.Lock()
	stopped, down := v.stopped, v.down
	close(done)
	if !stopped && !down {
		v.ends = append(v.ends, time.Now())
	}
	v.mu.Unlock()
	if stopped {
		return
	}
	v.run.Record("%s ended: %v", v.Name, err)
	if down {
		return
	}
	time.Sleep(restartDelay)
	if err := v.start(); err != nil {
		v.run.Record("%s could not start: %v", v.Name, err)
	}
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}

// Signal sends a signal to the VM's process.
func (v *VM) Signal(signal syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.run.Record("%s gets signal %s", v.Name, signal)
	_ = v.cmd.Process.Signal(signal) // it may have ended
}

// Ends returns when processes of the VM ended by themselves or were killed.
func (v *VM) Ends() []time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]time.Time{}, v.ends...)
}

// PeakMB returns the most memory that a process of the VM has held.
func (v *VM) PeakMB() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.peakMB
}

// Kill kills the VM's process, which stays down until Start.
func (v *VM) Kill() {
	v.mu.Lock()
	v.down = true
	done := v.done
	v.mu.Unlock()
	v.Signal(syscall.SIGKILL)
	<-done
}

// Start starts the VM again after Kill.
func (v *VM) Start() error {
	v.mu.Lock()
	v.down = false
	v.mu.Unlock()
	return v.start()
}

func (v *VM) stop() {
	v.mu.Lock()
	v.stopped = true
	cmd, done := v.cmd, v.done
	v.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill() // it may have ended
		<-done
	}
}

// AwaitReady waits until the VM says that it is ready.
func (v *VM) AwaitReady() error {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(readyPoll) {
		if status, err := get(v.Ready, "/-/ready"); err == nil && status == 200 {
			return nil
		}
	}
	return errors.New(v.Name + " is not ready")
}

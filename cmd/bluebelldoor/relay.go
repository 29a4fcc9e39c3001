package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"

	"bluebelldoor"
	"bluebelldoor/platform"
	"bluebelldoor/process/recorder"
	"bluebelldoor/process/runner"
	"bluebelldoor/process/timer"
	"bluebelldoor/version/parser"
)

// memoryShare is the part of the memory limit that the runtime's heap may use;
// the rest is for what the kernel counts beside it.
const memoryShare = 0.7

// lookEvery is how often the settings file is looked at for a change that came
// without a signal.
const lookEvery = 2 * time.Second

type relayCommand struct {
	settings string
	text     []byte
}

func (*relayCommand) Name() string     { return "relay" }
func (*relayCommand) Synopsis() string { return "serve on the users' platform until told to stop" }
func (*relayCommand) Usage() string {
	return `bluebelldoor relay -settings FILE

Serves callers on the users' platform: requests are passed on as they are to
targets that register themselves. SIGTERM or SIGINT is a planned stop. Changed
settings are taken into force at SIGHUP, or within two seconds without it. A
second SIGTERM stops at once.

Exit status: 0 after a planned stop, 1 if the VM could not start, 2 if the
command line or the settings are wrong.

`
}

func (c *relayCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "the VM's own settings, JSON with comments")
}

func (c *relayCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	// A signal may come as soon as the process runs.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	settings, err := c.read()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	debug.SetMemoryLimit(int64(float64(settings.MemoryMegabytes) * (1 << 20) * memoryShare))
	sink, flush := recorder.NewSink(os.Stdout)
	defer flush()
	log := hclog.New(&hclog.LoggerOptions{
		Name:       settings.Name,
		Level:      hclog.LevelFromString(settings.LogLevel),
		Output:     sink,
		JSONFormat: true,
	})
	log.Info("starting", "settings", c.settings)
	r, cleanUp, err := c.start(settings, sink, log)
	if err != nil {
		log.Error("start failed", "error", err)
		return subcommands.ExitFailure
	}
	defer cleanUp()
	c.await(signals, r, log)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		c.await(signals, r, log)
		cancel()
	}()
	r.Drain(ctx)
	return subcommands.ExitSuccess
}

// read returns the settings and notes their text.
func (c *relayCommand) read() (*bluebelldoor.RelaySettings, error) {
	text, err := os.ReadFile(c.settings)
	if err != nil {
		return nil, err
	}
	c.text = text
	return parser.RelaySettings(c.settings, text)
}

// changed reports whether the file holds another text than was read last.
func (c *relayCommand) changed() bool {
	text, err := os.ReadFile(c.settings)
	return err == nil && !bytes.Equal(text, c.text)
}

func (c *relayCommand) start(settings *bluebelldoor.RelaySettings, sink *recorder.Sink, log hclog.Logger) (*runner.Relay, func(), error) {
	clock, err := timer.New()
	if err != nil {
		return nil, nil, err
	}
	store, closeStore := platform.NewStore(settings.Catalogue)
	r, cleanUp, err := runner.NewRelay(settings, runner.RelayAdapters{
		Codec:          platform.Codec{},
		Catalogue:      store,
		NewEngines:     newEngines,
		Clock:          clock,
		ServeReady:     platform.ServeReady,
		ServeDirectory: platform.ServeDirectory,
		DroppedLines:   sink.Dropped,
	}, log)
	if err != nil {
		return nil, nil, err
	}
	return r, func() {
		cleanUp()
		closeStore()
	}, nil
}

func newEngines(l bluebelldoor.Listener) (bluebelldoor.EngineControl, func()) {
	return platform.NewEngines(platform.WithListener(l))
}

// await returns at a signal to stop. Until then it takes changed settings into
// force, at SIGHUP or when the file is seen to differ.
func (c *relayCommand) await(signals <-chan os.Signal, r *runner.Relay, log hclog.Logger) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				log.Info("signal to stop", "signal", s.String())
				return
			}
			c.reload(r, log)
		case <-ticker.C:
			if c.changed() {
				c.reload(r, log)
			}
		}
	}
}

func (c *relayCommand) reload(r *runner.Relay, log hclog.Logger) {
	settings, err := c.read()
	if err != nil {
		log.Error("settings refused, those in force stay", "error", err)
		return
	}
	log.SetLevel(hclog.LevelFromString(settings.LogLevel))
	r.Reload(settings)
}

package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"

	"bluebelldoor"
	"bluebelldoor/platform"
	"bluebelldoor/process/catcher"
	"bluebelldoor/process/recorder"
	"bluebelldoor/process/runner"
	"bluebelldoor/process/timer"
	"bluebelldoor/version/parser"
)

// goMemoryShare is the share of the memory limit that the Go runtime may use; the
// rest covers memory that the kernel counts in addition.
const goMemoryShare = 0.7

// settingsPollInterval is how often the settings file is checked for changes that
// were not announced by SIGHUP.
const settingsPollInterval = 2 * time.Second

type relayCommand struct {
	settings string
	lastText []byte // of the settings file when last read
}

func (*relayCommand) Name() string     { return "relay" }
func (*relayCommand) Synopsis() string { return "serve on the users' platform until stopped" }
func (*relayCommand) Usage() string {
	return `bluebelldoor relay -settings FILE

Serves callers on the users' platform: requests are forwarded unchanged to
targets that register themselves. SIGTERM or SIGINT starts a planned stop; a
SIGINT during it stops at once, a further SIGTERM changes nothing. Changed settings are applied on SIGHUP, or within
two seconds without it.

Exit status: 0 after a planned stop, 1 if the VM could not start, 2 if the
command line or the settings are wrong.

`
}

func (c *relayCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "the VM's own settings, JSON with comments")
}

func (c *relayCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	signals := catcher.Signals()
	settings, err := c.readSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	debug.SetMemoryLimit(int64(float64(settings.MemoryMegabytes) * (1 << 20) * goMemoryShare))
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
	c.awaitStop(signals, r, log, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// The platform may repeat SIGTERM; the time limit counts from the first.
		c.awaitStop(signals, r, log, syscall.SIGINT)
		cancel()
	}()
	r.Drain(ctx)
	return subcommands.ExitSuccess
}

// readSettings reads and parses the settings file, and stores its text for
// settingsChanged.
func (c *relayCommand) readSettings() (*bluebelldoor.RelaySettings, error) {
	text, err := os.ReadFile(c.settings)
	if err != nil {
		return nil, err
	}
	c.lastText = text
	return parser.RelaySettings(c.settings, text)
}

// settingsChanged reports whether the settings file differs from its last reading.
func (c *relayCommand) settingsChanged() bool {
	text, err := os.ReadFile(c.settings)
	return err == nil && !bytes.Equal(text, c.lastText)
}

func (c *relayCommand) start(settings *bluebelldoor.RelaySettings, sink *recorder.Sink, log hclog.Logger) (*runner.Relay, func(), error) {
	clock, err := timer.New()
	if err != nil {
		return nil, nil, err
	}
	store, closeStore := platform.NewStoreClient(settings.Catalogue)
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

func newEngines(observer bluebelldoor.HeadObserver) (bluebelldoor.EngineControl, func()) {
	return platform.NewEngineClient(platform.WithListener(observer))
}

// awaitStop returns on one of the signals in stop. Until then it reloads the settings, on
// SIGHUP or when the file has changed.
func (c *relayCommand) awaitStop(signals <-chan os.Signal, r *runner.Relay, log hclog.Logger, stop ...os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case s := <-signals:
			switch {
			case slices.Contains(stop, s):
				log.Info("received stop signal", "signal", s.String())
				return
			case s == syscall.SIGHUP:
				c.reload(r, log)
			default:
				log.Info("the VM stops already", "signal", s.String())
			}
		case <-ticker.C:
			if c.settingsChanged() {
				c.reload(r, log)
			}
		}
	}
}

func (c *relayCommand) reload(r *runner.Relay, log hclog.Logger) {
	settings, err := c.readSettings()
	if err != nil {
		log.Error("settings refused, those in force stay", "error", err)
		return
	}
	log.SetLevel(hclog.LevelFromString(settings.LogLevel))
	r.Reload(settings)
}

package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"syscall"

	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"

	"bluebelldoor/process/catcher"
	"bluebelldoor/process/runner"
	"bluebelldoor/version/parser"
)

type serveCommand struct{ settings string }

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "serve callers on this VM until stopped" }
func (*serveCommand) Usage() string {
	return `bluebelldoor serve -settings FILE

Serves callers on this VM. SIGTERM or SIGINT starts a planned stop: callers move
to other VMs, and no request is interrupted. A second signal stops at once and
logs how many requests were interrupted.

Exit status: 0 after a planned stop, 1 if requests were interrupted or the VM
could not start, 2 if the command line or the settings are wrong.

`
}

func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "the VM's own settings, JSON with comments")
}

func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, err := os.ReadFile(c.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	settings, err := parser.Settings(c.settings, text)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	log := hclog.New(&hclog.LoggerOptions{Name: "vm", Level: hclog.LevelFromString(settings.LogLevel())})
	r, cleanUp, err := runner.New(settings, log)
	if err != nil {
		log.Error("start failed", "error", err)
		return subcommands.ExitFailure
	}
	defer cleanUp()
	awaitStop(catcher.Signals())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		awaitStop(catcher.Signals())
		cancel()
	}()
	if interrupted := r.Drain(ctx); interrupted > 0 {
		log.Error("stopped before all requests had finished", "cut", interrupted)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// awaitStop returns on SIGTERM or SIGINT.
func awaitStop(signals <-chan os.Signal) {
	for s := range signals {
		if s != syscall.SIGHUP {
			return
		}
	}
}

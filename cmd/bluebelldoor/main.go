// Command bluebelldoor is the serving system's program: one process on each
// entry VM, and the commands to check settings and to ask a running VM.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&serveCommand{}, "")
	subcommands.Register(&relayCommand{}, "")
	subcommands.Register(&checkCommand{}, "")
	subcommands.Register(&statusCommand{}, "")
	subcommands.Register(&explainCommand{}, "")
	subcommands.Register(&versionCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

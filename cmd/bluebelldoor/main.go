// Command bluebelldoor runs the serving system, one process on each entry VM. It
// also has subcommands that check settings and query running VMs.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"bluebelldoor/process/catcher"
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
	if name := flag.Arg(0); name != "serve" && name != "relay" {
		catcher.Reset()
	}
	os.Exit(int(subcommands.Execute(context.Background())))
}

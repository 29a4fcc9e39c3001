package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"bluebelldoor/version/parser"
)

type checkCommand struct {
	settings string
	relay    string
	document string
	routing  string
	inForce  string
}

func (*checkCommand) Name() string { return "check" }
func (*checkCommand) Synopsis() string {
	return "check settings, a document or a routing and list all findings"
}

func (*checkCommand) Usage() string {
	return `bluebelldoor check [-settings FILE] [-relay FILE] [-document FILE]
                   [-routing FILE [-inForce FILE]]

Checks a VM's own settings, the settings of a relay VM, an operators' document, a
routing in the form that the platform publishes, or several of them. Each finding
is a line with file:line:column, field, result code and reason. No running VM is
contacted.

With -inForce, also prints how the routing differs from the version in force: lines
with file:line:column, field, kind (added, removed, changed or termsChanged) and
what changes. Differences are not findings and do not change the exit status. A
version that is not above the one in force is a finding, unless nothing else
differs and the versions are equal.

Exit status: 0 if there is no finding, 1 if there is one, 2 if the command line
is wrong or a file can't be read, or the file in force is not a routing that a VM
would accept.

`
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "a VM's own settings")
	f.StringVar(&c.relay, "relay", "", "the settings of a relay VM")
	f.StringVar(&c.document, "document", "", "the operators' document")
	f.StringVar(&c.routing, "routing", "", "the routing, in the form that the platform publishes")
	f.StringVar(&c.inForce, "inForce", "", "the routing in force, with which that of -routing is compared")
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" && c.relay == "" && c.document == "" && c.routing == "" || c.routing == "" && c.inForce != "" {
		f.Usage()
		return subcommands.ExitUsageError
	}
	status := subcommands.ExitSuccess
	check := func(file string, parse func(string, []byte) error) {
		if file == "" || status == subcommands.ExitUsageError {
			return
		}
		text, err := os.ReadFile(file)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			status = subcommands.ExitUsageError
			return
		}
		if err := parse(file, text); err != nil {
			fmt.Println(err)
			status = subcommands.ExitFailure
			return
		}
		fmt.Printf("%s: ok\n", file)
	}
	check(c.settings, func(file string, text []byte) error {
		_, err := parser.Settings(file, text)
		return err
	})
	check(c.relay, func(file string, text []byte) error {
		_, err := parser.RelaySettings(file, text)
		return err
	})
	check(c.document, func(file string, text []byte) error {
		_, err := parser.Document(file, text)
		return err
	})
	if c.routing != "" && status != subcommands.ExitUsageError {
		status = max(status, checkRouting(os.Stdout, os.Stderr, c.routing, c.inForce))
	}
	return status
}

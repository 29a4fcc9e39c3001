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
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check settings or a document and list all findings" }

func (*checkCommand) Usage() string {
	return `bluebelldoor check [-settings FILE] [-relay FILE] [-document FILE]

Checks a VM's own settings, the settings of a relay VM, an operators' document, or
several of them. Each finding is a line with file:line:column, field, result code
and reason. No running VM is contacted.

Exit status: 0 if there is no finding, 1 if there is one, 2 if the command line
is wrong or a file can't be read.

`
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "a VM's own settings")
	f.StringVar(&c.relay, "relay", "", "the settings of a relay VM")
	f.StringVar(&c.document, "document", "", "the operators' document")
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" && c.relay == "" && c.document == "" {
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
	return status
}

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/google/subcommands"
)

const (
	queryTimeout = 5 * time.Second
	statusOK     = 200
)

// queryVM prints the JSON response of a VM's operator interface.
func queryVM(ctx context.Context, address, path string) subcommands.ExitStatus {
	c, err := client.NewClient(client.WithDialTimeout(queryTimeout))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	status, body, err := c.Get(ctx, nil, "http://"+address+path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	var indented bytes.Buffer
	if json.Indent(&indented, body, "", "  ") != nil {
		indented.Write(body)
	}
	fmt.Println(indented.String())
	if status != statusOK {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

type statusCommand struct{ address string }

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "print the state of a running VM" }

func (*statusCommand) Usage() string {
	return `bluebelldoor status -address IP:PORT

Prints the state of a running VM: the active document and VM list with their age,
each target with the reason why it is or isn't used, slots held, streams, and the
latest refusals. The address is the VM's opsAddress.

Exit status: 0 if the VM answered, 1 if not, 2 if the command line is wrong.

`
}

func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", "", "the VM's opsAddress")
}

func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.address == "" || f.NArg() > 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	return queryVM(ctx, c.address, "/status")
}

type versionCommand struct{}

func (*versionCommand) Name() string           { return "version" }
func (*versionCommand) Synopsis() string       { return "print the program's version" }
func (*versionCommand) Usage() string          { return "bluebelldoor version\n\nExit status: 0.\n\n" }
func (*versionCommand) SetFlags(*flag.FlagSet) {}

func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("bluebelldoor " + version)
	if info, ok := debug.ReadBuildInfo(); ok {
		fmt.Println(info.GoVersion)
	}
	return subcommands.ExitSuccess
}

const version = "0.1.0"

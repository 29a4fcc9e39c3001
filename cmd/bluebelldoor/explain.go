package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/url"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"bluebelldoor/process/explainer"
)

// fileList is a flag that can be repeated.
type fileList []string

func (f *fileList) String() string { return strings.Join(*f, ",") }

func (f *fileList) Set(name string) error {
	*f = append(*f, name)
	return nil
}

type explainCommand struct {
	address string
	logs    fileList
}

func (*explainCommand) Name() string { return "explain" }
func (*explainCommand) Synopsis() string {
	return "show what happened to a request, or why requests failed"
}

func (*explainCommand) Usage() string {
	return `bluebelldoor explain -address IP:PORT REQUEST-ID
bluebelldoor explain -log FILE [-log FILE ...] [REQUEST-ID]

With -address, prints the decisions that a running VM took about one request, with
the values they were based on. REQUEST-ID is the X-Request-Id of the response; the
address is the VM's opsAddress. A VM keeps the latest 4096 requests.

With -log, reads the logs of one or more VMs. Prints the lines of one request in
order of time, or, without an ID, the number of requests by route and outcome, with
the ID of one of them.

Exit status: 0 if something was found, 1 if not, 2 if the command line is wrong or
a log can't be read.

`
}

func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", "", "the VM's opsAddress")
	f.Var(&c.logs, "log", "a VM's log; can be repeated")
}

func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch {
	case c.address != "" && len(c.logs) == 0 && f.NArg() == 1:
		return queryVM(ctx, c.address, "/explain/"+url.PathEscape(f.Arg(0)))
	case c.address == "" && len(c.logs) > 0 && f.NArg() == 1:
		return c.printLines(f.Arg(0))
	case c.address == "" && len(c.logs) > 0 && f.NArg() == 0:
		return c.printOutcomes()
	default:
		f.Usage()
		return subcommands.ExitUsageError
	}
}

// forEachLog calls read with each log in turn.
func (c *explainCommand) forEachLog(read func(io.Reader) error) error {
	for _, name := range c.logs {
		text, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		if err := read(bytes.NewReader(text)); err != nil {
			return errors.Wrap(err, name)
		}
	}
	return nil
}

// printLines prints the log lines of one request in order of time.
func (c *explainCommand) printLines(id string) subcommands.ExitStatus {
	var found []*explainer.Line
	err := c.forEachLog(func(log io.Reader) error {
		_, err := explainer.Lines(log, func(l *explainer.Line) {
			if l.ID == id {
				found = append(found, l)
			}
		})
		return err
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	if len(found) == 0 {
		fmt.Fprintln(os.Stderr, "the logs contain no line on", id)
		return subcommands.ExitFailure
	}
	slices.SortStableFunc(found, func(a, b *explainer.Line) int { return a.Time.Compare(b.Time) })
	for _, l := range found {
		fmt.Println(l.Text)
	}
	return subcommands.ExitSuccess
}

// printOutcomes prints the number of requests by route and outcome.
func (c *explainCommand) printOutcomes() subcommands.ExitStatus {
	e := explainer.New()
	if err := c.forEachLog(e.Read); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	outcomes := e.Outcomes()
	if len(outcomes) == 0 {
		fmt.Fprintln(os.Stderr, "the logs contain no requests")
		return subcommands.ExitFailure
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "route\trequests\tended\texample")
	for _, o := range outcomes {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\n", o.Route, o.Requests, o.Outcome, o.ExampleID)
	}
	if err := table.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if e.Skipped() > 0 {
		fmt.Fprintln(os.Stderr, e.Skipped(), "lines could not be parsed")
	}
	return subcommands.ExitSuccess
}

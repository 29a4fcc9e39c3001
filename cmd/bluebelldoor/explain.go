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

// files is a flag that may be given more than once.
type files []string

func (f *files) String() string { return strings.Join(*f, ",") }

func (f *files) Set(name string) error {
	*f = append(*f, name)
	return nil
}

type explainCommand struct {
	address string
	logs    files
}

func (*explainCommand) Name() string { return "explain" }
func (*explainCommand) Synopsis() string {
	return "tell what became of a request, or why requests failed"
}

func (*explainCommand) Usage() string {
	return `bluebelldoor explain -address IP:PORT REQUEST-ID
bluebelldoor explain -log FILE [-log FILE ...] [REQUEST-ID]

With -address, prints the decisions that a running VM took about one request, with
the values that decided. The identity is the X-Request-Id of the answer; the
address is the VM's opsAddress. A VM keeps the latest 4096 requests.

With -log, reads the logs of one or more VMs. Prints the lines on one request in
order of time, or, without an ID, how many requests of each route ended in which
way, with the ID of one of them.

Exit status: 0 if something is known, 1 if not, 2 if the command line is wrong or
a log can't be read.

`
}

func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", "", "the VM's opsAddress")
	f.Var(&c.logs, "log", "a VM's log; may be given more than once")
}

func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch {
	case c.address != "" && len(c.logs) == 0 && f.NArg() == 1:
		return ask(ctx, c.address, "/explain/"+url.PathEscape(f.Arg(0)))
	case c.address == "" && len(c.logs) > 0 && f.NArg() == 1:
		return c.lines(f.Arg(0))
	case c.address == "" && len(c.logs) > 0 && f.NArg() == 0:
		return c.causes()
	default:
		f.Usage()
		return subcommands.ExitUsageError
	}
}

// each hands the logs to read, one after the other.
func (c *explainCommand) each(read func(io.Reader) error) error {
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

// lines prints the lines on one request.
func (c *explainCommand) lines(id string) subcommands.ExitStatus {
	var found []*explainer.Line
	err := c.each(func(log io.Reader) error {
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
		fmt.Fprintln(os.Stderr, "the logs hold no line on", id)
		return subcommands.ExitFailure
	}
	slices.SortStableFunc(found, func(a, b *explainer.Line) int { return a.Time.Compare(b.Time) })
	for _, l := range found {
		fmt.Println(l.Text)
	}
	return subcommands.ExitSuccess
}

// causes prints how requests ended.
func (c *explainCommand) causes() subcommands.ExitStatus {
	e := explainer.New()
	if err := c.each(e.Read); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	causes := e.Causes()
	if len(causes) == 0 {
		fmt.Fprintln(os.Stderr, "the logs hold no request")
		return subcommands.ExitFailure
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "route\trequests\tended\texample")
	for _, cause := range causes {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\n", cause.Route, cause.Requests, cause.Ended, cause.Example)
	}
	if err := table.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if e.Skipped() > 0 {
		fmt.Fprintln(os.Stderr, e.Skipped(), "lines can't be read")
	}
	return subcommands.ExitSuccess
}

package main

import (
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/google/subcommands"

	"bluebelldoor"
	"bluebelldoor/platform"
	"bluebelldoor/version/auditor"
)

// checkRouting prints the findings of a routing and, if inForce is set, its differences to
// the version in force.
func checkRouting(stdout, stderr io.Writer, file, inForce string) subcommands.ExitStatus {
	text, err := os.ReadFile(file)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return subcommands.ExitUsageError
	}
	var old *platform.RoutingText
	var oldSpec *bluebelldoor.RoutingSpec
	if inForce != "" {
		oldText, err := os.ReadFile(inForce)
		if err != nil {
			fmt.Fprintln(stderr, err)
			return subcommands.ExitUsageError
		}
		old = platform.ParseRouting(oldText)
		oldSpec = old.Spec()
		if oldSpec == nil {
			printFindings(stderr, inForce, old.Findings())
			return subcommands.ExitUsageError
		}
	}
	routing := platform.ParseRouting(text)
	findings := routing.Findings()
	spec := routing.Spec()
	if spec != nil {
		findings = slices.Concat(findings, locate(routing, auditor.Audit(spec, oldSpec)))
		platform.SortFindings(findings)
	}
	printFindings(stdout, file, findings)
	if spec != nil && oldSpec != nil {
		printDifferences(stdout, file, routing, inForce, old, auditor.Compare(spec, oldSpec))
	}
	if len(findings) > 0 {
		return subcommands.ExitFailure
	}
	fmt.Fprintf(stdout, "%s: ok\n", file)
	return subcommands.ExitSuccess
}

// locate adds the places of the text to findings.
func locate(routing *platform.RoutingText, findings []auditor.Finding) []platform.TextFinding {
	out := make([]platform.TextFinding, len(findings))
	for i, f := range findings {
		out[i] = platform.TextFinding{Place: routing.Place(f.Field), Code: f.Code, Reason: f.Reason}
	}
	return out
}

func printFindings(w io.Writer, file string, findings []platform.TextFinding) {
	for _, f := range findings {
		fmt.Fprintf(w, "%s:%d:%d: %s: %s (%d): %s\n", file, f.Line, f.Column, f.Field, f.Code, int(f.Code), f.Reason)
	}
}

// printDifferences prints each difference with its place in the new text or, if an entry was
// removed, in the text in force.
func printDifferences(w io.Writer, file string, routing *platform.RoutingText, inForce string, old *platform.RoutingText, differences []auditor.Difference) {
	for _, d := range differences {
		name, text := file, routing
		if d.Kind == auditor.Removed {
			name, text = inForce, old
		}
		place := text.Place(d.Field)
		fmt.Fprintf(w, "%s:%d:%d: %s: %s: %s\n", name, place.Line, place.Column, place.Field, d.Kind, d.Reason)
	}
}

// Command rig runs a script case of the review: it starts VMs of the project as separate
// processes, plays the platform's store, targets and callers on loopback, and judges what
// they have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2
)

// cases are the cases by name. Each returns how many times the rule was broken. With trouble
// unset, it leaves out the disruption.
var cases = map[string]func(r *rig, trouble bool) (broken int, err error){
	"settings": playSettings,
	"records":  playRecords,
	"configs":  playConfigs,
	"cold":     playCold,
	"keys":     playKeys,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/bluebelldoor", "the project's program")
	template := flag.String("template", "deploy/settings.hujson.tmpl", "template of a VM's settings")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "bring about the disruption")
	flag.BoolVar(&chunked, "chunked", true, "the store sends its answers in chunks")
	flag.IntVar(&storm.changes, "changes", storm.changes, "changes of the configuration in quick succession")
	flag.DurationVar(&storm.gap, "gap", storm.gap, "time between two of them")
	flag.Float64Var(&storm.megabits, "link", storm.megabits, "rate in Mbit/s at which a VM reads the store")
	flag.Parse()
	os.Exit(run(*name, *program, *template, *record, *trouble))
}

func run(name, program, template, record string, trouble bool) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case is named %q\n", name)
		return statusFailed
	}
	r, cleanUp, err := newRig(program, template, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer cleanUp()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
		<-signals
		cleanUp()
		os.Exit(statusFailed)
	}()
	broken, err := play(r, trouble)
	if err != nil {
		r.note("case failed: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	r.note("rule broken %d times", broken)
	fmt.Printf("%s: trouble %t, rule broken %d times\n", name, trouble, broken)
	if broken > 0 {
		return statusBroken
	}
	return statusHeld
}

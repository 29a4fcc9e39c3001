// Command caller requests one generation from a fleet and prints its tokens as
// they arrive. It is the client of the demonstration.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"bluebelldoor/standin/caller"
)

const (
	retryInterval = 200 * time.Millisecond
	timeout       = 30 * time.Second
)

func main() {
	vms := flag.String("vms", "127.0.0.1:8101", "caller addresses of some VMs, separated by commas")
	key := flag.String("key", "demo-key", "the API key")
	model := flag.String("model", "gait", "the model")
	prompt := flag.String("prompt", "a full gait report, len=40", "the prompt; len=N makes the stand-in generate N tokens")
	flag.Parse()
	if err := run(strings.Split(*vms, ","), *key, *model, *prompt); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(vms []string, key, model, prompt string) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c, err := caller.New(key, vms...)
	if err != nil {
		return err
	}
	for {
		complete, err := generate(ctx, c, model, prompt)
		if err == nil && complete {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("no complete generation within %s: %w", timeout, err)
		}
		time.Sleep(retryInterval)
	}
}

// generate streams one generation from the VM that the entry interface names. It
// reports whether the generation is complete.
func generate(ctx context.Context, c *caller.Caller, model, prompt string) (bool, error) {
	addresses, err := c.Entry(ctx, model)
	if err != nil {
		return false, err
	}
	started := false
	r, err := c.Stream(ctx, addresses[0], model, prompt, 0, func(e caller.Event) {
		if !started {
			fmt.Printf("VM %s, generation %s\n", addresses[0], e.Generation)
			started = true
		}
		fmt.Print(e.Text)
	})
	if err != nil || !r.Complete {
		return false, err
	}
	fmt.Printf("\ncomplete: %d tokens\n", len(r.Events))
	return true, nil
}

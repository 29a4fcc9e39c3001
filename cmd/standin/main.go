// Command standin runs small stand-ins for the system's dependencies: a platform,
// model engines and application runners. It is for tests and the demonstration.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"bluebelldoor"
	"bluebelldoor/standin/batcher"
	"bluebelldoor/standin/booker"
	"bluebelldoor/standin/generator"
	"bluebelldoor/standin/publisher"
	"bluebelldoor/version/parser"
)

func main() {
	platform := flag.String("platform", "", "serve the configuration service and VM list at this address")
	document := flag.String("document", "", "with -platform: the document to publish")
	vms := flag.String("vms", "", "with -platform: a JSON file with the VM list")
	engines := flag.String("engines", "", "serve model engines at these addresses, separated by commas")
	applications := flag.String("applications", "", "serve application runners at these addresses")
	lag := flag.Duration("lag", 200*time.Millisecond, "delay of the engines' load reports")
	fencing := flag.Bool("fencing", false, "engines refuse orders with a stale fencing token")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := run(*platform, *document, *vms, splitList(*engines), splitList(*applications), generator.WithLag(*lag), generator.WithFencing(*fencing))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	<-ctx.Done()
}

func splitList(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

func run(platform, document, vms string, engines, applications []string, options ...generator.Option) error {
	if platform != "" {
		if err := servePlatform(platform, document, vms); err != nil {
			return err
		}
	}
	for _, address := range engines {
		e, _ := generator.New(batcher.DefaultConfig(), options...)
		if _, err := generator.Serve(e, address); err != nil {
			return err
		}
	}
	for _, address := range applications {
		if _, err := booker.Serve(booker.New(), address); err != nil {
			return err
		}
	}
	return nil
}

func servePlatform(address, document, vms string) error {
	p := publisher.New()
	if document != "" {
		text, err := os.ReadFile(document)
		if err != nil {
			return err
		}
		d, err := parser.Document(document, text)
		if err != nil {
			return err
		}
		p.Publish(d.Revision(), text)
	}
	if vms != "" {
		text, err := os.ReadFile(vms)
		if err != nil {
			return err
		}
		var list []bluebelldoor.VMSpec
		if err := json.Unmarshal(text, &list); err != nil {
			return err
		}
		p.SetVMs(list)
	}
	_, err := publisher.Serve(p, address)
	return err
}

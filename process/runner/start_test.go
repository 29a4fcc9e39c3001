package runner_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
)

// TestAskedFromTheStart guards against a listener that answers before what it needs exists: the
// status, asked for while a VM started, ended its process.
func TestAskedFromTheStart(t *testing.T) {
	f := startRelays(t, 1)
	known := *f.vms[0].settings
	for n := range 10 {
		settings := known
		settings.Name = fmt.Sprintf("asked-%d", n)
		for _, address := range []*string{&settings.CallerAddress, &settings.ReadyAddress, &settings.DirectoryAddress, &settings.PeerAddress, &settings.OpsAddress} {
			*address = freeAddress(t)
		}
		settings.Seeds = []string{known.PeerAddress}
		done := make(chan struct{})
		var askers sync.WaitGroup
		for _, url := range []string{
			settings.OpsAddress + "/status", settings.OpsAddress + "/metrics", settings.ReadyAddress + "/-/ready",
			settings.DirectoryAddress + "/-/resolve?zone=dc-0", settings.CallerAddress + safePath, settings.PeerAddress,
		} {
			askers.Go(func() { askUntil(done, url) })
		}
		vm := &relayVM{settings: &settings}
		f.startVM(t, vm)
		time.Sleep(50 * time.Millisecond)
		close(done)
		askers.Wait()
		vm.stop()
	}
}

// askUntil asks for a URL without a pause until done is closed.
func askUntil(done <-chan struct{}, url string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-done:
			return
		default:
		}
		if response, err := client.Get("http://" + url); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
	}
}

// TestPortTaken guards against a VM that does not start, or says that it serves although it does
// not listen, because one of its ports is taken for a moment.
func TestPortTaken(t *testing.T) {
	f := startRelays(t, 1)
	known := *f.vms[0].settings
	for name, port := range map[string]func(*bluebelldoor.RelaySettings) *string{
		"callers":   func(s *bluebelldoor.RelaySettings) *string { return &s.CallerAddress },
		"ready":     func(s *bluebelldoor.RelaySettings) *string { return &s.ReadyAddress },
		"directory": func(s *bluebelldoor.RelaySettings) *string { return &s.DirectoryAddress },
		"peers":     func(s *bluebelldoor.RelaySettings) *string { return &s.PeerAddress },
		"status":    func(s *bluebelldoor.RelaySettings) *string { return &s.OpsAddress },
	} {
		t.Run(name, func(t *testing.T) {
			settings := known
			settings.Name = "taken-" + name
			for _, address := range []*string{&settings.CallerAddress, &settings.ReadyAddress, &settings.DirectoryAddress, &settings.PeerAddress, &settings.OpsAddress} {
				*address = freeAddress(t)
			}
			other, err := net.Listen("tcp", *port(&settings))
			assert.NilError(t, err)
			time.AfterFunc(300*time.Millisecond, func() { _ = other.Close() })
			f.startVM(t, &relayVM{settings: &settings})
			conn, err := net.Dial("tcp", *port(&settings))
			assert.NilError(t, err)
			assert.NilError(t, conn.Close())
		})
	}
}

package server_test

import (
	"context"
	"net/http"
	"os"
	"sync"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"gotest.tools/v3/assert"

	"bluebelldoor/connection/server"
	"bluebelldoor/standin/allocator"
)

// TestStopLeavesDescriptors stops servers while the process opens files. A server
// that closes its listener's file descriptor twice would close a file that has
// reused the number, and reopen would fail.
func TestStopLeavesDescriptors(t *testing.T) {
	const servers, openers = 200, 8
	var stops, opens sync.WaitGroup
	done := make(chan struct{})
	failed := make(chan error, servers+openers)
	for range openers {
		opens.Go(func() { failed <- reopen(done) })
	}
	for range servers {
		stops.Go(func() { failed <- startAndStop() })
	}
	stops.Wait()
	close(done)
	opens.Wait()
	close(failed)
	for err := range failed {
		assert.NilError(t, err)
	}
}

// startAndStop starts a server on an unused address and stops it.
func startAndStop() error {
	address, err := allocator.Address()
	if err != nil {
		return err
	}
	s := server.New(address)
	s.GET("/", func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(http.StatusOK) })
	stop, err := server.Start(s)
	if err != nil {
		return err
	}
	stop()
	return nil
}

// reopen opens, stats and closes a file until done is closed or an operation
// fails.
func reopen(done <-chan struct{}) error {
	for {
		select {
		case <-done:
			return nil
		default:
		}
		f, err := os.Open(os.DevNull)
		if err != nil {
			return err
		}
		if _, err := f.Stat(); err != nil {
			return err
		}
		if err := f.Close(); err != nil {
			return err
		}
	}
}

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

// TestStopLeavesDescriptors stops engines while the same process opens files:
// an engine that closed its listener's descriptor twice would close a file, or
// a connection, that has taken the number over.
func TestStopLeavesDescriptors(t *testing.T) {
	const engines, openers = 200, 8
	var stops, opens sync.WaitGroup
	done := make(chan struct{})
	failed := make(chan error, engines+openers)
	for range openers {
		opens.Go(func() { failed <- reopen(done) })
	}
	for range engines {
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

// startAndStop serves at an address that nobody listens on, then stops.
func startAndStop() error {
	address, err := allocator.Address()
	if err != nil {
		return err
	}
	e := server.New(address)
	e.GET("/", func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(http.StatusOK) })
	stop, err := server.Start(e, address)
	if err != nil {
		return err
	}
	stop()
	return nil
}

// reopen opens, reads and closes a file until done, or until that fails.
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

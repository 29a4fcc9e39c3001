package server_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"gotest.tools/v3/assert"

	"bluebelldoor/connection/server"
	"bluebelldoor/standin/allocator"
)

// TestAddressInUse guards against a server that takes another socket's answer for its own: it
// said that it served, and never listened.
func TestAddressInUse(t *testing.T) {
	address, err := allocator.Address()
	assert.NilError(t, err)
	other, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	const busyFor = 300 * time.Millisecond
	time.AfterFunc(busyFor, func() { _ = other.Close() })
	s := server.New(address)
	s.GET("/", func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(204) })
	began := time.Now()
	stop, err := server.Start(s)
	assert.NilError(t, err)
	defer stop()
	assert.Assert(t, time.Since(began) >= busyFor)
	response, err := http.Get("http://" + address + "/")
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, 204)
}

// TestPortOfConnection guards against a process that does not start because its port is the
// local end of another process's connection.
func TestPortOfConnection(t *testing.T) {
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = peer.Close() }()
	address, err := allocator.Address()
	assert.NilError(t, err)
	dialer := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.MustParseAddrPort(address))}
	conn, err := dialer.Dial("tcp", peer.Addr().String())
	assert.NilError(t, err)
	time.AfterFunc(200*time.Millisecond, func() {
		// A reset leaves no connection that waits to end.
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
	retries := 0
	l, err := server.Listen(address, func(err error) {
		assert.Check(t, errors.Is(err, syscall.EADDRINUSE))
		retries++
	})
	assert.NilError(t, err)
	assert.Assert(t, retries > 0)
	assert.NilError(t, l.Close())
}

// TestNoDescriptors guards against a listener that ends for good when the process runs out of
// file descriptors for a moment.
func TestNoDescriptors(t *testing.T) {
	address, err := allocator.Address()
	assert.NilError(t, err)
	s := server.New(address)
	s.GET("/", func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(204) })
	stop, err := server.Start(s)
	assert.NilError(t, err)
	defer stop()
	host, port, err := net.SplitHostPort(address)
	assert.NilError(t, err)
	number, err := strconv.Atoi(port)
	assert.NilError(t, err)
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	assert.NilError(t, err)
	defer func() { _ = syscall.Close(socket) }()
	var limit syscall.Rlimit
	assert.NilError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit))
	none := limit
	none.Cur = 3
	assert.NilError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &none))
	connectErr := syscall.Connect(socket, &syscall.SockaddrInet4{Port: number, Addr: netip.MustParseAddr(host).As4()})
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit))
	assert.NilError(t, connectErr)
	response, err := (&http.Client{Timeout: 3 * time.Second}).Get("http://" + address + "/")
	assert.NilError(t, err)
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, 204)
}

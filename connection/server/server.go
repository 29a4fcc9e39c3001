package server

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// Limits and timeouts of each server.
const (
	maxBodyBytes     = 4 << 20
	maxQueryBytes    = 16 << 10
	maxHeaderBytes   = 16 << 10
	readTimeout      = 10 * time.Second
	idleTimeout      = 60 * time.Second
	stopTimeout      = 2 * time.Second
	stopPollInterval = 5 * time.Millisecond
)

// Server is an HTTP server on which routes are registered.
type Server struct {
	*server.Hertz
	counter  *requestCounter
	listener *boundListener
}

// boundListener is the listener of a server, which is bound when the server starts. The
// server is created before, to register its routes.
type boundListener struct {
	net.Listener
	address string
}

// Addr implements net.Listener.
func (l *boundListener) Addr() net.Addr { return boundAddress(l.address) }

// boundAddress is a TCP address.
type boundAddress string

// Network implements net.Addr.
func (boundAddress) Network() string { return "tcp" }

// String implements net.Addr.
func (a boundAddress) String() string { return string(a) }

// requestCounter counts active requests. It implements hertz's Tracer.
type requestCounter struct{ active atomic.Int64 }

// Start is called before a request is read.
func (r *requestCounter) Start(ctx context.Context, _ *app.RequestContext) context.Context {
	r.active.Add(1)
	return ctx
}

// Finish is called once the response is written or the connection is lost.
func (r *requestCounter) Finish(context.Context, *app.RequestContext) { r.active.Add(-1) }

// Option configures a server.
type Option func(*options)

type options struct{ maxBodyBytes int }

// WithoutBodies makes the server accept only small request bodies: its routes use none.
func WithoutBodies() Option { return func(o *options) { o.maxBodyBytes = maxQueryBytes } }

// New returns a server that will listen on address. Register its routes, then
// call Start. It uses hertz's transport based on package net, as the default
// transport closes the listener's file descriptor twice. By the second close,
// the descriptor may belong to another file or connection.
func New(address string, with ...Option) *Server {
	set := options{maxBodyBytes: maxBodyBytes}
	for _, option := range with {
		option(&set)
	}
	hlog.SetOutput(io.Discard)
	counter, bound := &requestCounter{}, &boundListener{address: address}
	return &Server{counter: counter, listener: bound, Hertz: server.New(
		server.WithTracer(counter),
		server.WithListener(bound),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(set.maxBodyBytes),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithDisablePrintRoute(true),
		server.WithSenseClientDisconnection(true),
		server.WithExitWaitTime(stopTimeout),
	)}
}

// Start listens on the server's address and serves until the returned function is called.
func Start(s *Server) (func(), error) {
	l, err := Listen(s.listener.address, func(error) {})
	if err != nil {
		return nil, err
	}
	s.listener.Listener = l
	go func() {
		// The listener accepts until it is closed.
		_ = s.Run()
	}()
	for !s.IsRunning() {
		time.Sleep(time.Millisecond)
	}
	return func() { stop(s) }, nil
}

// stop closes the listener and waits for active requests, but not for idle
// connections to close.
func stop(s *Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	go func() {
		for ctx.Err() == nil && s.counter.active.Load() > 0 {
			time.Sleep(stopPollInterval)
		}
		cancel()
	}()
	_ = s.Shutdown(ctx)
}

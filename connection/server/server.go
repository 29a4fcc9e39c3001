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
	"github.com/pkg/errors"
)

// Limits and timeouts of each server.
const (
	maxBodyBytes     = 4 << 20
	maxQueryBytes    = 16 << 10
	maxHeaderBytes   = 16 << 10
	readTimeout      = 10 * time.Second
	idleTimeout      = 60 * time.Second
	startTimeout     = 5 * time.Second
	stopTimeout      = 2 * time.Second
	stopPollInterval = 5 * time.Millisecond
)

// Server is an HTTP server on which routes are registered.
type Server struct {
	*server.Hertz
	counter *requestCounter
}

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
	counter := &requestCounter{}
	return &Server{counter: counter, Hertz: server.New(
		server.WithTracer(counter),
		server.WithHostPorts(address),
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

// Start serves until the returned function is called. It returns once address
// accepts connections, or an error if it does not within 5 s.
func Start(s *Server, address string) (func(), error) {
	failed := make(chan error, 1)
	go func() { failed <- s.Run() }()
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		select {
		case err := <-failed:
			return nil, errors.Wrapf(err, "listen on %s", address)
		default:
		}
		conn, err := net.DialTimeout("tcp", address, startTimeout)
		if err == nil {
			conn.Close()
			return func() { stop(s) }, nil
		}
		time.Sleep(time.Millisecond)
	}
	return nil, errors.Errorf("listen on %s: not reachable within %s", address, startTimeout)
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

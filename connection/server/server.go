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

// Limits on what a connection may bring.
const (
	maxBodyBytes   = 4 << 20
	maxHeaderBytes = 16 << 10
	readTimeout    = 10 * time.Second
	idleTimeout    = 60 * time.Second
	startTimeout   = 5 * time.Second
	stopTimeout    = 2 * time.Second
	stopPoll       = 5 * time.Millisecond
)

// Engine is the HTTP engine on which routes are set.
type Engine struct {
	*server.Hertz
	requests *requests
}

// requests counts those being answered. It implements hertz's Tracer.
type requests struct{ busy atomic.Int64 }

// Start is called before a request is read.
func (r *requests) Start(ctx context.Context, _ *app.RequestContext) context.Context {
	r.busy.Add(1)
	return ctx
}

// Finish is called once the answer is written, or the connection is lost.
func (r *requests) Finish(context.Context, *app.RequestContext) { r.busy.Add(-1) }

// New returns an engine that will listen on address. Set its routes, then call
// Start. It uses the transport of package net: the default one closes a
// listener's descriptor twice, and the second time it may be another
// connection's.
func New(address string) *Engine {
	hlog.SetOutput(io.Discard)
	counted := &requests{}
	return &Engine{requests: counted, Hertz: server.New(
		server.WithTracer(counted),
		server.WithHostPorts(address),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithDisablePrintRoute(true),
		server.WithSenseClientDisconnection(true),
		server.WithExitWaitTime(stopTimeout),
	)}
}

// Start serves until the returned clean-up function is called. It returns once
// address takes connections, or an error if it does not within five seconds.
func Start(engine *Engine, address string) (func(), error) {
	failed := make(chan error, 1)
	go func() { failed <- engine.Run() }()
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
			return func() { stop(engine) }, nil
		}
		time.Sleep(time.Millisecond)
	}
	return nil, errors.Errorf("listen on %s: not reachable in %s", address, startTimeout)
}

// stop takes no more connections and waits for requests being answered, but
// not for connections that only stay open.
func stop(engine *Engine) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	go func() {
		for ctx.Err() == nil && engine.requests.busy.Load() > 0 {
			time.Sleep(stopPoll)
		}
		cancel()
	}()
	_ = engine.Shutdown(ctx)
}

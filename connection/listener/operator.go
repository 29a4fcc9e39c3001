package listener

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"bluebelldoor/connection/server"
	"bluebelldoor/process/recorder"
)

// ServeOperators serves /status, /explain/ID and /metrics at address. It returns
// a clean-up function.
func ServeOperators(address string, status func() any, journal *recorder.Journal, registry *prometheus.Registry) (func(), error) {
	h := server.New(address, server.WithoutBodies())
	h.GET("/status", func(_ context.Context, c *app.RequestContext) { c.JSON(200, status()) })
	h.GET("/explain/:id", func(_ context.Context, c *app.RequestContext) {
		steps, known := journal.Steps(c.Param("id"))
		if !known {
			c.JSON(404, map[string]string{"error": "this VM has no record of that request"})
			return
		}
		c.JSON(200, steps)
	})
	h.GET("/metrics", metrics(registry))
	return server.Start(h)
}

// ServeStatus serves /status and /metrics at address. It returns a clean-up
// function.
func ServeStatus(address string, status func() any, registry *prometheus.Registry) (func(), error) {
	h := server.New(address, server.WithoutBodies())
	h.GET("/status", func(_ context.Context, c *app.RequestContext) { c.JSON(200, status()) })
	h.GET("/metrics", metrics(registry))
	return server.Start(h)
}

func metrics(registry *prometheus.Registry) app.HandlerFunc {
	return adaptor.HertzHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
}

package generator

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/pkg/errors"

	"bluebelldoor"
	"bluebelldoor/connection/server"
)

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	RequestID string `json:"request_id"`
}

type chunk struct {
	ID      string   `json:"id"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Text string `json:"text"`
}

type finalEvent struct {
	ID           string `json:"id"`
	Tokens       int    `json:"tokens"`
	FinishReason string `json:"finish_reason"`
	Preemptions  int    `json:"preemptions"`
}

// Serve serves the engine's HTTP API on address and returns a function that stops
// it.
func Serve(e *Engine, address string) (func(), error) {
	h := server.New(address)
	h.POST("/v1/completions", e.complete)
	h.GET("/v1/generations/:id", e.resume)
	h.DELETE("/v1/generations/:id", func(_ context.Context, c *app.RequestContext) {
		if !e.Cancel(c.Param("id"), c.Query("ifUnread") == "true") {
			c.SetStatusCode(404)
		}
	})
	h.GET("/v1/report", func(_ context.Context, c *app.RequestContext) { c.JSON(200, e.Report()) })
	h.GET("/v1/cache", func(_ context.Context, c *app.RequestContext) {
		after, _ := strconv.Atoi(c.DefaultQuery("after", "0"))
		c.JSON(200, e.CacheEvents(after))
	})
	h.GET("/v1/state", func(_ context.Context, c *app.RequestContext) { c.JSON(200, e.State()) })
	h.POST("/v1/orders", e.takeOrder)
	h.GET("/standin/stats", func(_ context.Context, c *app.RequestContext) { c.JSON(200, e.Stats()) })
	h.PUT("/standin/faults", func(_ context.Context, c *app.RequestContext) {
		var f Faults
		if err := json.Unmarshal(c.Request.Body(), &f); err != nil {
			c.String(400, err.Error())
			return
		}
		e.SetFaults(f)
	})
	return server.Start(h)
}

func (e *Engine) complete(ctx context.Context, c *app.RequestContext) {
	var r completionRequest
	if err := json.Unmarshal(c.Request.Body(), &r); err != nil || r.RequestID == "" {
		c.String(400, "invalid JSON or no request_id")
		return
	}
	if !e.Start(r.RequestID, r.Prompt, r.MaxTokens, r.Priority) {
		c.String(409, "request_id is already in use")
		return
	}
	e.stream(ctx, c, r.RequestID, 0)
}

func (e *Engine) resume(ctx context.Context, c *app.RequestContext) {
	id := c.Param("id")
	after, err := strconv.Atoi(c.DefaultQuery("after", "0"))
	if err != nil || after < 0 {
		c.String(400, "after is not a non-negative integer")
		return
	}
	if _, found := e.progress(id); !found {
		c.String(404, "no such generation")
		return
	}
	e.stream(ctx, c, id, after)
}

var errStreamClosed = errors.New("stream closed by an injected fault")

// stream writes the tokens after sequence number after as they are generated,
// followed by the final event.
func (e *Engine) stream(ctx context.Context, c *app.RequestContext, id string, after int) {
	w := sse.NewWriter(c)
	defer w.Close()
	_ = w.WriteKeepAlive()
	first := after
	result, _, err := e.Read(ctx, id, after, func(sequence int) error {
		f := e.currentFaults()
		streamID := id
		if f.Crossed {
			streamID = "another-generation"
		}
		data, err := json.Marshal(chunk{ID: streamID, Choices: []choice{{Text: TokenText(id, sequence)}}})
		if err != nil {
			return err
		}
		if err := w.WriteEvent(streamID+"."+strconv.Itoa(sequence), "", data); err != nil {
			return err
		}
		if f.CutAfter > 0 && sequence-first >= f.CutAfter {
			_ = c.GetConn().Close()
			return errStreamClosed
		}
		return nil
	})
	if err == nil {
		_ = writeFinalEvent(w, id, result)
	}
}

func writeFinalEvent(w *sse.Writer, id string, result Result) error {
	reason := "stop"
	if result.Cancelled {
		reason = "cancelled"
	}
	data, err := json.Marshal(finalEvent{ID: id, Tokens: result.Tokens, FinishReason: reason, Preemptions: result.Preemptions})
	if err != nil {
		return err
	}
	return w.WriteEvent("", "end", data)
}

func (e *Engine) takeOrder(_ context.Context, c *app.RequestContext) {
	var order bluebelldoor.Order
	if err := json.Unmarshal(c.Request.Body(), &order); err != nil {
		c.String(400, err.Error())
		return
	}
	if !e.Order(order) {
		c.String(412, "old fencing number")
	}
}

package listener

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"bluebelldoor"
	"bluebelldoor/connection/server"
	"bluebelldoor/request/identifier"
)

const (
	maxPromptBytes = 1 << 20
	maxTokensLimit = 1 << 17
	maxIDBytes     = 128
	bearerPrefix   = "Bearer "
)

// Request and response headers.
const (
	headerRequestID = "X-Request-Id"
	headerWithin    = "X-Within-Ms"
	headerClass     = "X-Class"
	headerKey       = "Idempotency-Key"
	headerExecuted  = "X-Executed"
	headerCode      = "X-Result-Code"
)

type callerHandler struct{ front bluebelldoor.Front }

// Serve serves callers at address and returns a clean-up function.
func Serve(front bluebelldoor.Front, address string) (func(), error) {
	handler := callerHandler{front: front}
	h := server.New(address)
	h.GET("/v1/entry", handler.entry)
	h.POST("/v1/keys", handler.mint)
	h.POST("/v1/completions", handler.complete)
	h.POST("/v1/chat/completions", handler.chat)
	h.GET("/v1/generations/:id", handler.resume)
	h.Any("/v1/services/:service", handler.call)
	h.Any("/v1/services/:service/*path", handler.call)
	h.NoRoute(func(_ context.Context, c *app.RequestContext) {
		writeRefusal(c, "", bluebelldoor.NewRefusal(bluebelldoor.BadRequest, "no such path"))
	})
	return server.Start(h)
}

// errorBody is the error format that common client libraries expect.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string   `json:"message"`
	Type         string   `json:"type"`
	Code         int      `json:"code"`
	Executed     string   `json:"executed"`
	RetryAfterMs int64    `json:"retryAfterMs,omitempty"`
	RequestID    string   `json:"requestId,omitempty"`
	ResumeAt     []string `json:"resumeAt,omitempty"`
}

func newErrorDetail(id string, r *bluebelldoor.Refusal) errorDetail {
	return errorDetail{
		Message:      r.Code().Info().Text + ": " + r.Detail(),
		Type:         r.Code().String(),
		Code:         int(r.Code()),
		Executed:     string(r.Executed()),
		RetryAfterMs: r.RetryAfter().Milliseconds(),
		RequestID:    id,
	}
}

// writeRefusal writes a refusal as the whole response.
func writeRefusal(c *app.RequestContext, id string, r *bluebelldoor.Refusal) {
	c.Response.Header.Set(headerExecuted, string(r.Executed()))
	c.Response.Header.Set(headerCode, strconv.Itoa(int(r.Code())))
	if wait := r.RetryAfter(); wait > 0 {
		seconds := int64((wait + time.Second - 1) / time.Second)
		c.Response.Header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	c.JSON(r.Code().Info().Status, errorBody{newErrorDetail(id, r)})
}

func apiKey(c *app.RequestContext) string {
	return strings.TrimPrefix(string(c.GetHeader("Authorization")), bearerPrefix)
}

// requestID returns the request ID sent by the caller, or a new one if it is
// missing or invalid.
func requestID(c *app.RequestContext) string {
	id := string(c.GetHeader(headerRequestID))
	if id == "" || len(id) > maxIDBytes || strings.ContainsFunc(id, notPrintable) {
		id = "r-" + identifier.Nonce()
	}
	c.Response.Header.Set(headerRequestID, id)
	return id
}

func notPrintable(r rune) bool { return r <= ' ' || r > '~' }

// requestTimeout returns the time limit set by the caller, or 0 if there is
// none.
func requestTimeout(c *app.RequestContext) (time.Duration, *bluebelldoor.Refusal) {
	text := string(c.GetHeader(headerWithin))
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms < 1 {
		return 0, bluebelldoor.NewRefusal(bluebelldoor.BadRequest, headerWithin+" must be a number of milliseconds above 0")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func (h callerHandler) entry(_ context.Context, c *app.RequestContext) {
	entry, refusal := h.front.Entry(apiKey(c), c.Query("model"))
	if refusal != nil {
		writeRefusal(c, "", refusal)
		return
	}
	c.JSON(200, map[string]any{"addresses": entry.Addresses, "validForMs": entry.ValidFor.Milliseconds()})
}

func (h callerHandler) mint(ctx context.Context, c *app.RequestContext) {
	key, validFor, refusal := h.front.Mint(ctx, apiKey(c))
	if refusal != nil {
		writeRefusal(c, "", refusal)
		return
	}
	c.JSON(200, map[string]any{"key": key, "validForMs": validFor.Milliseconds()})
}

func (h callerHandler) call(ctx context.Context, c *app.RequestContext) {
	id := requestID(c)
	timeout, refusal := requestTimeout(c)
	if refusal != nil {
		writeRefusal(c, id, refusal)
		return
	}
	response, refusal := h.front.Call(ctx, bluebelldoor.CallRequest{
		ID:          id,
		APIKey:      apiKey(c),
		Service:     c.Param("service"),
		Method:      string(c.Method()),
		Path:        string(c.URI().RequestURI()),
		ContentType: string(c.ContentType()),
		Body:        append([]byte(nil), c.Request.Body()...),
		Key:         string(c.GetHeader(headerKey)),
		Within:      timeout,
	})
	if refusal != nil {
		writeRefusal(c, id, refusal)
		return
	}
	c.Response.Header.Set(headerExecuted, string(bluebelldoor.ExecutedYes))
	c.Data(response.Status, response.ContentType, response.Body)
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

type chatRequest struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
}

func (h callerHandler) complete(ctx context.Context, c *app.RequestContext) {
	id := requestID(c)
	var r completionRequest
	if err := json.Unmarshal(c.Request.Body(), &r); err != nil {
		writeRefusal(c, id, bluebelldoor.NewRefusal(bluebelldoor.BadRequest, err.Error()))
		return
	}
	h.generate(ctx, c, id, r, completionFormat)
}

func (h callerHandler) chat(ctx context.Context, c *app.RequestContext) {
	id := requestID(c)
	var r chatRequest
	if err := json.Unmarshal(c.Request.Body(), &r); err != nil {
		writeRefusal(c, id, bluebelldoor.NewRefusal(bluebelldoor.BadRequest, err.Error()))
		return
	}
	var prompt strings.Builder
	for _, m := range r.Messages {
		prompt.WriteString(m.Role + ": " + m.Content + "\n")
	}
	h.generate(ctx, c, id, completionRequest{
		Model:     r.Model,
		Prompt:    prompt.String(),
		MaxTokens: r.MaxTokens,
		Stream:    r.Stream,
	}, chatFormat)
}

// validate rejects requests that must not be sent to a target.
func (r completionRequest) validate() *bluebelldoor.Refusal {
	switch {
	case r.Model == "":
		return bluebelldoor.NewRefusal(bluebelldoor.BadRequest, "model is missing")
	case r.Prompt == "":
		return bluebelldoor.NewRefusal(bluebelldoor.BadRequest, "the prompt is empty")
	case len(r.Prompt) > maxPromptBytes:
		return bluebelldoor.NewRefusal(bluebelldoor.TooLarge, "the prompt exceeds one megabyte")
	case r.MaxTokens < 0 || r.MaxTokens > maxTokensLimit:
		return bluebelldoor.NewRefusal(bluebelldoor.BadRequest, "max_tokens must be from 1 to "+strconv.Itoa(maxTokensLimit))
	}
	return nil
}

func (h callerHandler) generate(ctx context.Context, c *app.RequestContext, id string, r completionRequest, f responseFormat) {
	timeout, refusal := requestTimeout(c)
	if refusal == nil {
		refusal = r.validate()
	}
	if refusal != nil {
		writeRefusal(c, id, refusal)
		return
	}
	request := bluebelldoor.GenerateRequest{
		ID:        id,
		APIKey:    apiKey(c),
		Class:     string(c.GetHeader(headerClass)),
		Model:     r.Model,
		Prompt:    r.Prompt,
		MaxTokens: r.MaxTokens,
		Within:    timeout,
		Streamed:  r.Stream,
	}
	if r.Stream {
		out := newEventStream(c, id, r.Model, f)
		out.finish(h.front.Generate(ctx, request, out))
		return
	}
	buffer := &textBuffer{}
	result := h.front.Generate(ctx, request, buffer)
	if result.Refusal != nil {
		writeRefusal(c, id, result.Refusal)
		return
	}
	c.Response.Header.Set(headerExecuted, string(bluebelldoor.ExecutedYes))
	c.JSON(200, f.response(result, r.Model, buffer.text.String()))
}

func (h callerHandler) resume(ctx context.Context, c *app.RequestContext) {
	id := requestID(c)
	generation := c.Param("id")
	after, refusal := lastEventSequence(c, generation)
	if refusal != nil {
		writeRefusal(c, id, refusal)
		return
	}
	out := newEventStream(c, id, "", completionFormat)
	out.finish(h.front.Resume(ctx, apiKey(c), id, generation, after, out))
}

// lastEventSequence returns the sequence in the Last-Event-ID header, or 0 if
// there is none.
func lastEventSequence(c *app.RequestContext, generation string) (int, *bluebelldoor.Refusal) {
	text := string(c.GetHeader("Last-Event-ID"))
	if text == "" {
		return 0, nil
	}
	suffix, ok := strings.CutPrefix(text, generation+".")
	after, err := strconv.Atoi(suffix)
	if !ok || err != nil || after < 0 {
		return 0, bluebelldoor.NewRefusal(bluebelldoor.BadRequest, "Last-Event-ID must be an event of this generation")
	}
	return after, nil
}

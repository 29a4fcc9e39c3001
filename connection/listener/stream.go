package listener

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"bluebelldoor"
)

// responseFormat is one of the two API response formats: completions or chat.
type responseFormat struct {
	object string
	chunk  string
	chat   bool
}

var (
	completionFormat = responseFormat{object: "text_completion", chunk: "text_completion"}
	chatFormat       = responseFormat{object: "chat.completion", chunk: "chat.completion.chunk", chat: true}
)

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model,omitempty"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
	// Result is an extension to the common format: the result code and the
	// number of tokens of a complete response.
	Result *resultDetail `json:"bluebelldoor,omitempty"`
}

type resultDetail struct {
	Code   int    `json:"code"`
	Name   string `json:"name"`
	Tokens int    `json:"tokens"`
}

// response returns the response to a request that is not streamed.
func (f responseFormat) response(result bluebelldoor.GenerateResult, model, text string) response {
	c := choice{FinishReason: &result.Reason}
	if f.chat {
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return response{
		ID:      result.Generation,
		Object:  f.object,
		Created: time.Now().Unix(),
		Model:   model,
		Choices: []choice{c},
		Usage:   &usage{CompletionTokens: result.Tokens},
		Result:  &resultDetail{Code: int(bluebelldoor.OK), Name: bluebelldoor.OK.String(), Tokens: result.Tokens},
	}
}

// textBuffer collects a response that is sent only when complete. A retried
// generation restarts at token 1, which discards the text collected so far.
type textBuffer struct{ text strings.Builder }

// Token implements bluebelldoor.Sink.
func (b *textBuffer) Token(_ string, t bluebelldoor.Token) error {
	if t.Sequence == 1 {
		b.text.Reset()
	}
	b.text.WriteString(t.Text)
	return nil
}

// eventStream writes a response as server-sent events. The status line is
// written with the first token, so that a refusal before it can set its own
// HTTP status.
type eventStream struct {
	c           *app.RequestContext
	writer      *sse.Writer
	requestID   string
	model       string
	format      responseFormat
	created     int64
	lastEventID string
}

func newEventStream(c *app.RequestContext, requestID, model string, f responseFormat) *eventStream {
	return &eventStream{c: c, requestID: requestID, model: model, format: f, created: time.Now().Unix()}
}

func (s *eventStream) ensureWriter() *sse.Writer {
	if s.writer == nil {
		s.writer = sse.NewWriter(s.c)
	}
	return s.writer
}

// Token implements bluebelldoor.Sink.
func (s *eventStream) Token(generation string, t bluebelldoor.Token) error {
	c := choice{}
	if s.format.chat {
		c.Delta = &message{Content: t.Text}
	} else {
		c.Text = &t.Text
	}
	data, err := json.Marshal(response{
		ID:      generation,
		Object:  s.format.chunk,
		Created: s.created,
		Model:   s.model,
		Choices: []choice{c},
	})
	if err != nil {
		return err
	}
	s.lastEventID = generation + "." + strconv.Itoa(t.Sequence)
	return s.ensureWriter().WriteEvent(s.lastEventID, "", data)
}

// finish writes the final event; a stream without it is incomplete.
func (s *eventStream) finish(result bluebelldoor.GenerateResult) {
	if result.Refusal != nil && s.writer == nil {
		writeRefusal(s.c, s.requestID, result.Refusal)
		return
	}
	w := s.ensureWriter()
	defer w.Close()
	if result.Refusal != nil {
		detail := newErrorDetail(s.requestID, result.Refusal)
		detail.ResumeAt = result.ResumeAt
		data, _ := json.Marshal(errorBody{detail})
		_ = w.WriteEvent("", "error", data)
		return
	}
	empty := ""
	c := choice{FinishReason: &result.Reason}
	if s.format.chat {
		c.Delta = &message{}
	} else {
		c.Text = &empty
	}
	data, _ := json.Marshal(response{
		ID:      result.Generation,
		Object:  s.format.chunk,
		Created: s.created,
		Model:   s.model,
		Choices: []choice{c},
		Usage:   &usage{CompletionTokens: result.Tokens},
		Result:  &resultDetail{Code: int(bluebelldoor.OK), Name: bluebelldoor.OK.String(), Tokens: result.Tokens},
	})
	_ = w.WriteEvent(s.lastEventID, "", data)
	_ = w.WriteEvent("", "", []byte("[DONE]"))
}

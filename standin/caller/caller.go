// Package caller is a client for tests and the demonstration: it asks which VM
// to use, streams a generation, and resumes at another VM from the next token if
// the stream is interrupted.
//
// Real callers use their own client library.
package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/pkg/errors"
)

const (
	dialTimeout    = time.Second
	requestTimeout = 10 * time.Second
	maxResumes     = 20
	resumeDelay    = 150 * time.Millisecond
	statusOK       = 200
)

// Caller sends requests on behalf of one client account. It is safe for
// concurrent use.
type Caller struct {
	apiKey    string
	vms       []string
	client    *client.Client
	streaming *client.Client
}

// New returns a caller that uses the VMs at the given addresses.
func New(apiKey string, vms ...string) (*Caller, error) {
	buffered, err := client.NewClient(client.WithDialTimeout(dialTimeout), client.WithDialer(standard.NewDialer()), client.WithKeepAlive(false))
	if err != nil {
		return nil, errors.Wrap(err, "caller")
	}
	streaming, err := client.NewClient(client.WithDialTimeout(dialTimeout), client.WithDialer(standard.NewDialer()),
		client.WithResponseBodyStream(true), client.WithKeepAlive(false))
	if err != nil {
		return nil, errors.Wrap(err, "caller")
	}
	return &Caller{apiKey: apiKey, vms: vms, client: buffered, streaming: streaming}, nil
}

// Reply is a response that was not streamed.
type Reply struct {
	Status   int
	Executed string
	Code     int
	Body     []byte
}

// Do sends one request to a VM. Headers are pairs of name and value.
func (c *Caller) Do(ctx context.Context, method, address, path string, body []byte, headers ...string) (Reply, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	req.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.Header.Set("Authorization", "Bearer "+c.apiKey)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	if body != nil {
		req.Header.SetContentTypeBytes([]byte("application/json"))
		req.SetBody(body)
	}
	if err := c.client.DoTimeout(ctx, req, resp, requestTimeout); err != nil {
		return Reply{}, err
	}
	code, _ := strconv.Atoi(string(resp.Header.Peek("X-Result-Code")))
	return Reply{
		Status:   resp.StatusCode(),
		Executed: string(resp.Header.Peek("X-Executed")),
		Code:     code,
		Body:     append([]byte(nil), resp.Body()...),
	}, nil
}

// Entry asks the VMs, in turn, which addresses to use.
func (c *Caller) Entry(ctx context.Context, model string) ([]string, error) {
	lastErr := errors.New("no VM addresses given")
	for _, vm := range c.vms {
		reply, err := c.Do(ctx, "GET", vm, "/v1/entry?model="+model, nil)
		if err != nil {
			lastErr = err
			continue
		}
		var entry struct {
			Addresses []string `json:"addresses"`
		}
		if err := json.Unmarshal(reply.Body, &entry); err != nil || reply.Status != statusOK || len(entry.Addresses) == 0 {
			lastErr = errors.Errorf("entry: status %d: %s", reply.Status, reply.Body)
			continue
		}
		return entry.Addresses, nil
	}
	return nil, lastErr
}

// Mint asks a VM for an idempotency key.
func (c *Caller) Mint(ctx context.Context, address string) (string, error) {
	reply, err := c.Do(ctx, "POST", address, "/v1/keys", nil)
	if err != nil {
		return "", err
	}
	var minted struct {
		Key string `json:"key"`
	}
	if err := json.Unmarshal(reply.Body, &minted); err != nil || minted.Key == "" {
		return "", errors.Errorf("mint: status %d: %s", reply.Status, reply.Body)
	}
	return minted.Key, nil
}

// Event is one token received by the caller.
type Event struct {
	Generation string
	Sequence   int
	Text       string
}

// Result is what a caller received from a stream.
type Result struct {
	Events []Event
	// Complete is true if the final event was received and its token count matched.
	Complete bool
	// Code and Executed come from a refusal or an error event.
	Code     int
	Executed string
	ResumeAt []string
	// Resumes counts how often the stream was resumed.
	Resumes int
}

// Text returns the tokens' texts, joined.
func (r *Result) Text() string {
	var b strings.Builder
	for _, e := range r.Events {
		b.WriteString(e.Text)
	}
	return b.String()
}

type wireEvent struct {
	ID      string `json:"id"`
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Result *struct {
		Code   int `json:"code"`
		Tokens int `json:"tokens"`
	} `json:"bluebelldoor"`
	Error *struct {
		Code     int      `json:"code"`
		Executed string   `json:"executed"`
		ResumeAt []string `json:"resumeAt"`
	} `json:"error"`
}

// Stream requests a generation from a VM and calls onEvent with each token. If
// the stream is interrupted, it resumes at another VM from the next token.
func (c *Caller) Stream(ctx context.Context, address, model, prompt string, maxTokens int, onEvent func(Event), headers ...string) (*Result, error) {
	body, err := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": maxTokens, "stream": true})
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	req := c.newRequest("POST", address, "/v1/completions")
	req.Header.SetContentTypeBytes([]byte("application/json"))
	req.SetBody(body)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	r := &Result{}
	err = c.readStream(ctx, req, r, onEvent)
	for attempt := 0; c.interrupted(r) && attempt < maxResumes && ctx.Err() == nil; attempt++ {
		if len(r.Events) == 0 {
			return r, err
		}
		time.Sleep(resumeDelay)
		err = c.resume(ctx, c.resumeAddress(r, address, attempt), r, onEvent)
	}
	return r, err
}

// interrupted reports whether the stream ended without a matching final event or
// a final refusal.
func (c *Caller) interrupted(r *Result) bool {
	return !r.Complete && (r.Code == 0 || len(r.ResumeAt) > 0)
}

func (c *Caller) resumeAddress(r *Result, avoid string, attempt int) string {
	if len(r.ResumeAt) > 0 {
		return r.ResumeAt[attempt%len(r.ResumeAt)]
	}
	var others []string
	for _, vm := range c.vms {
		if vm != avoid {
			others = append(others, vm)
		}
	}
	if len(others) == 0 {
		return avoid
	}
	return others[attempt%len(others)]
}

func (c *Caller) resume(ctx context.Context, address string, r *Result, onEvent func(Event)) error {
	last := r.Events[len(r.Events)-1]
	req := c.newRequest("GET", address, "/v1/generations/"+last.Generation)
	req.Header.Set("Last-Event-ID", fmt.Sprintf("%s.%d", last.Generation, last.Sequence))
	r.Resumes++
	r.Code, r.ResumeAt = 0, nil
	return c.readStream(ctx, req, r, onEvent)
}

// Resume continues a generation at a VM after the given token.
func (c *Caller) Resume(ctx context.Context, address string, after Event, onEvent func(Event)) (*Result, error) {
	r := &Result{Events: []Event{after}}
	err := c.resume(ctx, address, r, onEvent)
	return r, err
}

func (c *Caller) newRequest(method, address, path string) *protocol.Request {
	req := protocol.AcquireRequest()
	req.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.Header.Set("Authorization", "Bearer "+c.apiKey)
	return req
}

// readStream sends req and reads the response to its end.
func (c *Caller) readStream(ctx context.Context, req *protocol.Request, r *Result, onEvent func(Event)) error {
	resp := protocol.AcquireResponse()
	if err := c.streaming.Do(ctx, req, resp); err != nil {
		return err
	}
	if resp.StatusCode() != statusOK {
		r.Code, _ = strconv.Atoi(string(resp.Header.Peek("X-Result-Code")))
		r.Executed = string(resp.Header.Peek("X-Executed"))
		return nil
	}
	events, err := sse.NewReader(resp)
	if err != nil {
		return err
	}
	return events.ForEach(ctx, func(e *sse.Event) error { return r.handle(e, onEvent) })
}

func (r *Result) handle(e *sse.Event, onEvent func(Event)) error {
	if string(e.Data) == "[DONE]" {
		return nil
	}
	var w wireEvent
	if err := json.Unmarshal(e.Data, &w); err != nil {
		return errors.Wrap(err, "decode event")
	}
	switch {
	case w.Error != nil:
		r.Code, r.Executed, r.ResumeAt = w.Error.Code, w.Error.Executed, w.Error.ResumeAt
	case w.Result != nil:
		r.Complete = w.Result.Tokens == len(r.Events)
	default:
		sequence, _ := strconv.Atoi(e.ID[strings.LastIndexByte(e.ID, '.')+1:])
		event := Event{Generation: w.ID, Sequence: sequence, Text: w.Choices[0].Text}
		r.Events = append(r.Events, event)
		if onEvent != nil {
			onEvent(event)
		}
	}
	return nil
}

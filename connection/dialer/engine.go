package dialer

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/pkg/errors"

	"bluebelldoor"
)

const (
	controlTimeout = time.Second
	statusOK       = 200
	statusNotFound = 404
)

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Priority  int    `json:"priority"`
	RequestID string `json:"request_id"`
}

type tokenEvent struct {
	ID      string `json:"id"`
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

type endEvent struct {
	ID           string `json:"id"`
	Tokens       int    `json:"tokens"`
	FinishReason string `json:"finish_reason"`
	Preemptions  int    `json:"preemptions"`
}

// Generate implements bluebelldoor.EngineClient.
func (d *Dialer) Generate(ctx context.Context, t *bluebelldoor.Target, g bluebelldoor.Generation, onToken func(bluebelldoor.Token) error) (bluebelldoor.GenerationEnd, error) {
	body, err := json.Marshal(completionRequest{
		Model:     g.Model,
		Prompt:    g.Prompt,
		MaxTokens: g.MaxTokens,
		Stream:    true,
		Priority:  g.Priority,
		RequestID: g.ID,
	})
	if err != nil {
		return bluebelldoor.GenerationEnd{}, errors.Wrap(err, "encode request")
	}
	req := newRequest("POST", t.Address(), "/v1/completions", g.ID, g.Within)
	req.Header.SetContentTypeBytes([]byte("application/json"))
	req.SetBody(body)
	return readStream(ctx, t.Address(), req, g.ID, 0, g.Permit, onToken)
}

// Resume implements bluebelldoor.EngineClient.
func (d *Dialer) Resume(ctx context.Context, t *bluebelldoor.Target, id string, sequence int, onToken func(bluebelldoor.Token) error) (bluebelldoor.GenerationEnd, error) {
	path := "/v1/generations/" + url.PathEscape(id) + "?after=" + strconv.Itoa(sequence)
	return readStream(ctx, t.Address(), newRequest("GET", t.Address(), path, id, 0), id, sequence, nil, onToken)
}

// readStream sends req and passes the tokens after sequence to onToken. Each
// must be the next token of the requested generation.
func readStream(ctx context.Context, address string, req *protocol.Request, id string, sequence int, permit func() error, onToken func(bluebelldoor.Token) error) (bluebelldoor.GenerationEnd, error) {
	resp, cleanUp, err := exchange(ctx, address, req, permit, true)
	defer cleanUp()
	if err != nil {
		return bluebelldoor.GenerationEnd{}, err
	}
	if status := resp.StatusCode(); status != statusOK {
		return bluebelldoor.GenerationEnd{}, &bluebelldoor.SendError{
			Executed:          bluebelldoor.ExecutedNo,
			UnknownGeneration: status == statusNotFound,
			Cause:             errors.Errorf("target responded with status %d", status),
		}
	}
	events, err := sse.NewReader(resp)
	if err != nil {
		return bluebelldoor.GenerationEnd{}, &bluebelldoor.SendError{Executed: bluebelldoor.ExecutedUnknown, Cause: err}
	}
	s := streamValidator{id: id, sequence: sequence, onToken: onToken}
	event := sse.NewEvent()
	defer event.Release()
	for {
		if err := events.Read(event); err != nil {
			return bluebelldoor.GenerationEnd{}, &bluebelldoor.SendError{Executed: bluebelldoor.ExecutedUnknown, Cause: errors.Wrap(err, "read stream")}
		}
		end, err := s.handle(event)
		if end != nil || err != nil {
			return s.result(end), err
		}
	}
}

// streamValidator checks that the events of a stream are in order and belong
// to the requested generation.
type streamValidator struct {
	id       string
	sequence int
	onToken  func(bluebelldoor.Token) error
}

func (s *streamValidator) handle(e *sse.Event) (*endEvent, error) {
	if e.Type == "end" {
		return s.parseEnd(e.Data)
	}
	generation, sequence := splitEventID(e.ID)
	if generation != s.id {
		return nil, mismatchError("token belongs to generation %q", generation)
	}
	if sequence <= s.sequence {
		return nil, nil // token repeated after a resume
	}
	if sequence != s.sequence+1 {
		return nil, mismatchError("token %d received after token %d", sequence, s.sequence)
	}
	var c tokenEvent
	if err := json.Unmarshal(e.Data, &c); err != nil || len(c.Choices) != 1 {
		return nil, mismatchError("token %d is malformed", sequence)
	}
	s.sequence = sequence
	return nil, s.onToken(bluebelldoor.Token{Sequence: sequence, Text: c.Choices[0].Text})
}

func (s *streamValidator) parseEnd(data []byte) (*endEvent, error) {
	var e endEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, mismatchError("end event is malformed")
	}
	if e.ID != s.id {
		return nil, mismatchError("end event belongs to generation %q", e.ID)
	}
	if e.Tokens != s.sequence {
		return nil, &bluebelldoor.SendError{
			Executed: bluebelldoor.ExecutedYes,
			Cause:    errors.Errorf("end event reports %d tokens, received %d", e.Tokens, s.sequence),
		}
	}
	return &e, nil
}

func (s *streamValidator) result(e *endEvent) bluebelldoor.GenerationEnd {
	if e == nil {
		return bluebelldoor.GenerationEnd{}
	}
	return bluebelldoor.GenerationEnd{Tokens: e.Tokens, Reason: e.FinishReason, Preemptions: e.Preemptions}
}

func mismatchError(format string, args ...any) error {
	return &bluebelldoor.SendError{Executed: bluebelldoor.ExecutedYes, WrongRequestID: true, Cause: errors.Errorf(format, args...)}
}

// splitEventID splits "generation.sequence"; an invalid sequence is returned as
// 0.
func splitEventID(id string) (string, int) {
	i := strings.LastIndexByte(id, '.')
	if i < 0 {
		return id, 0
	}
	n, err := strconv.Atoi(id[i+1:])
	if err != nil {
		return id[:i], 0
	}
	return id[:i], n
}

// Cancel implements bluebelldoor.EngineClient.
func (d *Dialer) Cancel(ctx context.Context, t *bluebelldoor.Target, id string) error {
	req := newRequest("DELETE", t.Address(), "/v1/generations/"+url.PathEscape(id)+"?ifUnread=true", id, 0)
	_, cleanUp, err := exchange(ctx, t.Address(), req, nil, false)
	cleanUp()
	return err
}

// Report implements bluebelldoor.EngineClient.
func (d *Dialer) Report(ctx context.Context, t *bluebelldoor.Target) (bluebelldoor.LoadReport, error) {
	var r bluebelldoor.LoadReport
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod("GET")
	req.SetRequestURI("http://" + t.Address() + "/v1/report")
	sentAt := time.Now()
	if err := d.reports.DoTimeout(ctx, req, resp, controlTimeout); err != nil {
		return r, errors.Wrap(err, "report")
	}
	if resp.StatusCode() != statusOK {
		return r, errors.Errorf("report: status %d", resp.StatusCode())
	}
	if err := json.Unmarshal(resp.Body(), &r); err != nil {
		return r, errors.Wrap(err, "decode report")
	}
	r.Received = sentAt.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	return r, nil
}

// EngineState implements bluebelldoor.OrderClient.
func (d *Dialer) EngineState(ctx context.Context, t *bluebelldoor.Target) (bluebelldoor.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var s bluebelldoor.EngineState
	resp, cleanUp, err := exchange(ctx, t.Address(), newRequest("GET", t.Address(), "/v1/state", "", 0), nil, false)
	defer cleanUp()
	if err != nil {
		return s, err
	}
	if resp.StatusCode() != statusOK {
		return s, errors.Errorf("state: status %d", resp.StatusCode())
	}
	return s, errors.Wrap(json.Unmarshal(resp.Body(), &s), "decode state")
}

// Order implements bluebelldoor.OrderClient.
func (d *Dialer) Order(ctx context.Context, t *bluebelldoor.Target, o bluebelldoor.Order) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	req := newRequest("POST", t.Address(), "/v1/orders", "", 0)
	req.Header.SetContentTypeBytes([]byte("application/json"))
	req.SetBody(body)
	resp, cleanUp, err := exchange(ctx, t.Address(), req, o.Permit, false)
	defer cleanUp()
	if err != nil {
		return err
	}
	if resp.StatusCode() != statusOK {
		return errors.Errorf("order: status %d: %s", resp.StatusCode(), resp.Body())
	}
	return nil
}

// Package naive is a baseline to compare the system with: a single VM that uses
// the last document it read, picks targets round robin, retries on another target
// after any failure, and keeps idempotency keys only in its own memory.
//
// Tests use it to show which failures the system's rules prevent. It is not for
// production.
package naive

import (
	"context"
	"sync"
	"time"

	"bluebelldoor"
	"bluebelldoor/request/identifier"
	"bluebelldoor/version/parser"
)

const (
	readInterval   = time.Second
	maxAttempts    = 3
	defaultTimeout = 30 * time.Second
)

// Front is the baseline VM. It is safe for concurrent use.
type Front struct {
	engines       bluebelldoor.EngineClient
	applications  bluebelldoor.ApplicationClient
	configuration bluebelldoor.ConfigurationReader
	name          string

	mu         sync.Mutex
	document   *bluebelldoor.Document
	nextTarget int
	answers    map[string]bluebelldoor.Answer
}

var _ bluebelldoor.Front = (*Front)(nil)

// New starts a baseline VM and returns it with a function that stops it.
func New(name string, c bluebelldoor.ConfigurationReader, e bluebelldoor.EngineClient, a bluebelldoor.ApplicationClient) (*Front, func()) {
	f := &Front{engines: e, applications: a, configuration: c, name: name, answers: map[string]bluebelldoor.Answer{}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.pollDocument(ctx)
	}()
	return f, func() {
		cancel()
		<-done
	}
}

// pollDocument reads the document at intervals until ctx is done. It keeps the
// last valid one.
func (f *Front) pollDocument(ctx context.Context) {
	for ctx.Err() == nil {
		if p, err := f.configuration.Read(ctx, 0, 0); err == nil {
			if d, err := parser.Document("document", p.Text); err == nil {
				f.mu.Lock()
				f.document = d
				f.mu.Unlock()
			}
		}
		select {
		case <-time.After(readInterval):
		case <-ctx.Done():
		}
	}
}

// Revision returns the revision of the current document, 0 before the first one.
func (f *Front) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.document == nil {
		return 0
	}
	return f.document.Revision()
}

// pickTarget returns the next available target of a kind, round robin, or nil if
// there is none.
func (f *Front) pickTarget(kind bluebelldoor.TargetKind) *bluebelldoor.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.document == nil {
		return nil
	}
	all := f.document.Targets()
	for range all {
		t := all[f.nextTarget%len(all)]
		f.nextTarget++
		available := !t.Leaving() && f.document.DataCentre(t.DataCentre()).InService()
		if t.Kind() == kind && available {
			return t
		}
	}
	return nil
}

// Entry implements bluebelldoor.Front.
func (f *Front) Entry(string, string) (bluebelldoor.Entry, *bluebelldoor.Refusal) {
	return bluebelldoor.Entry{}, nil
}

// Mint implements bluebelldoor.Front. Call accepts any text as a key, so the new
// key is not recorded.
func (f *Front) Mint(context.Context, string) (string, time.Duration, *bluebelldoor.Refusal) {
	return f.name + identifier.Nonce(), defaultTimeout, nil
}

// Generate implements bluebelldoor.Front. After any failure it starts another
// generation and continues the stream with the remaining tokens of that one.
func (f *Front) Generate(ctx context.Context, r bluebelldoor.GenerateRequest, sink bluebelldoor.Sink) bluebelldoor.GenerateResult {
	if r.Within == 0 {
		r.Within = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, r.Within)
	defer cancel()
	delivered := 0
	for range maxAttempts {
		t := f.pickTarget(bluebelldoor.KindEngine)
		if t == nil {
			break
		}
		id := t.Name() + "~" + identifier.Nonce()
		end, err := f.engines.Generate(ctx, t, bluebelldoor.Generation{
			ID: id, Model: r.Model, Prompt: r.Prompt, MaxTokens: r.MaxTokens, Priority: 1,
		}, func(token bluebelldoor.Token) error {
			if token.Sequence <= delivered {
				return nil
			}
			delivered = token.Sequence
			return sink.Token(id, token)
		})
		if err == nil {
			return bluebelldoor.GenerateResult{Generation: id, Tokens: end.Tokens, Reason: end.Reason}
		}
	}
	return bluebelldoor.GenerateResult{Refusal: bluebelldoor.NewRefusal(bluebelldoor.NoTarget, "all attempts failed")}
}

// Resume implements bluebelldoor.Front. It always refuses, as no streams are kept.
func (f *Front) Resume(context.Context, string, string, string, int, bluebelldoor.Sink) bluebelldoor.GenerateResult {
	return bluebelldoor.GenerateResult{Refusal: bluebelldoor.NewRefusal(bluebelldoor.UnknownGeneration, "streams are not kept")}
}

// Call implements bluebelldoor.Front. It replays the stored answer for a known key,
// and otherwise sends the call up to maxAttempts times.
func (f *Front) Call(ctx context.Context, r bluebelldoor.CallRequest) (bluebelldoor.Answer, *bluebelldoor.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, r.Within)
	defer cancel()
	f.mu.Lock()
	answer, known := f.answers[r.Key]
	f.mu.Unlock()
	if known {
		return answer, nil
	}
	for range maxAttempts {
		t := f.pickTarget(bluebelldoor.KindApplication)
		if t == nil {
			break
		}
		answer, err := f.applications.Do(ctx, t, bluebelldoor.Call{
			ID: r.ID, Method: r.Method, Path: r.Path, Body: r.Body, Key: r.Key,
		})
		if err == nil {
			f.mu.Lock()
			f.answers[r.Key] = answer
			f.mu.Unlock()
			return answer, nil
		}
	}
	return bluebelldoor.Answer{}, bluebelldoor.NewRefusal(bluebelldoor.NoTarget, "all attempts failed")
}

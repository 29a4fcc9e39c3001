package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// How long callers wait, as on the sheets.
const (
	deskDeadline   = time.Second
	reportDeadline = 39 * time.Second
)

// answer is what a caller has seen of one request.
type answer struct {
	id, vm string
	sent   time.Duration
	// written is set once the whole request has been sent.
	written bool
	status  int
	body    string
	err     error
	ended   time.Duration
}

// caller sends requests, each on a connection of its own.
type caller struct {
	rig    *rig
	client http.Client

	mu      sync.Mutex
	n       int
	answers []answer
	wg      sync.WaitGroup
}

func newCaller(r *rig) *caller {
	return &caller{rig: r, client: http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// send sends a request to the desk in the background.
func (c *caller) send(v *vm, method, path string) {
	c.sendWith(v, method, path, deskDeadline, http.Header{})
}

// generate sends a request for a generation.
func (c *caller) generate(v *vm, path string, promptTokens, outputTokens int) {
	c.sendWith(v, http.MethodPost, path, reportDeadline, http.Header{
		"Model":         {"m"},
		"Token-Count":   {fmt.Sprintf("%d,%d", promptTokens, outputTokens)},
		"Prompt-Prefix": {fmt.Sprintf("5c1e07a2:50,%08x:%d", time.Now().UnixNano()&0xffffffff, promptTokens-50)},
	})
}

func (c *caller) sendWith(v *vm, method, path string, deadline time.Duration, header http.Header) {
	c.mu.Lock()
	c.n++
	id := fmt.Sprintf("%016x", 0x1000+c.n)
	c.mu.Unlock()
	c.wg.Go(func() {
		a := c.exchange(v, id, method, path, deadline, header)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.answers = append(c.answers, a)
	})
}

func (c *caller) exchange(v *vm, id, method, path string, deadline time.Duration, header http.Header) (a answer) {
	a = answer{id: id, vm: v.name, sent: c.rig.at()}
	defer func() {
		a.ended = c.rig.at()
		c.rig.note("caller of %s: %s %s at %s: status %d, %v, %s", id, method, path, v.name, a.status, a.err, strings.TrimSpace(a.body[max(0, len(a.body)-60):]))
	}()
	body := ""
	if method == http.MethodPost {
		body = `{"book":1}`
	}
	request, err := http.NewRequest(method, "http://"+v.front+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	request.Host, request.Header = host, header
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	var written atomic.Bool
	defer func() { a.written = written.Load() }()
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) { written.Store(info.Err == nil) },
	}))
	client := c.client
	client.Timeout = deadline
	response, err := client.Do(request)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	a.status, a.body, a.err = response.StatusCode, string(text), err
	return a
}

// wait waits for the answers of all requests and returns them.
func (c *caller) wait() []answer {
	c.wg.Wait()
	return c.answers
}

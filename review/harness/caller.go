package harness

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Host and Key are what callers send with each request.
const (
	Host = "api.example"
	Key  = "key-1"
)

const dialTimeout = time.Second

// Request is a caller's request.
type Request struct {
	ID, Method, Path string
	// Tokens is the Token-Count of a generation, empty for other requests.
	Tokens string
	Body   []byte
	Within time.Duration
}

// Outcome is what the caller sees of a request.
type Outcome struct {
	Request
	SentAt, EndedAt time.Time
	// Kept is set if an earlier request was answered on the same connection.
	Kept bool
	// Written is set if the whole request was written.
	Written bool
	// Status is 0 without a response head.
	Status      int
	Body        string
	Complete    bool
	ServerStamp string
	RetryAfter  time.Duration
	Err         error
}

// Caller is a caller that keeps its connection. It is not safe for concurrent use.
type Caller struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	kept    bool
}

// NewCaller returns a caller of the VM at address.
func NewCaller(address string) *Caller { return &Caller{address: address} }

// Close closes the connection.
func (c *Caller) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn, c.kept = nil, false
	}
}

// Send sends a request and waits for the response, for 0.5 s longer than the time limit.
func (c *Caller) Send(r Request) Outcome {
	o := Outcome{Request: r, SentAt: time.Now(), Kept: c.kept}
	o.Err = c.exchange(r, &o)
	o.EndedAt = time.Now()
	return o
}

func (c *Caller) exchange(r Request, o *Outcome) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
		if err != nil {
			return err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	reusable := false
	defer func() {
		c.kept = reusable
		if !reusable {
			c.Close()
		}
	}()
	if err := c.conn.SetDeadline(time.Now().Add(r.Within + 500*time.Millisecond)); err != nil {
		return err
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: %d\r\n", r.Method, r.Path, Host, r.ID, Key, r.Within.Milliseconds())
	if r.Tokens != "" {
		head += "Model: m\r\nToken-Count: " + r.Tokens + "\r\nPrompt-Prefix: 5c1e07a2:20," + r.ID + ":20\r\n"
	}
	if r.Method != http.MethodGet {
		head += "Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n"
	}
	if _, err := c.conn.Write(append([]byte(head+"\r\n"), r.Body...)); err != nil {
		return err
	}
	o.Written = true
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	o.Status, o.ServerStamp = response.StatusCode, response.Header.Get("Server-Stamp")
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		o.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	body, err := io.ReadAll(response.Body)
	o.Body, o.Complete = string(body), err == nil
	reusable = err == nil && !response.Close
	return err
}

// String describes the outcome for the record.
func (o Outcome) String() string {
	return fmt.Sprintf("%s %s %s kept=%t status=%d complete=%t bytes=%d took=%s error=%v", o.ID, o.Method, o.Path, o.Kept, o.Status, o.Complete, len(o.Body), o.EndedAt.Sub(o.SentAt).Round(time.Millisecond), o.Err)
}

func get(address, path string) (int, error) {
	client := http.Client{Timeout: dialTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}

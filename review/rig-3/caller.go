package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// answer is what a caller got for a request.
type answer struct {
	id     string
	sent   time.Time
	status int // 0 if the connection ended before the head
	stamp  string
	body   string
	// complete is set if the answer has its whole body.
	complete bool
	err      error
}

var lastID atomic.Int64

// newID returns the ID of an attempt.
func newID() string { return fmt.Sprintf("a%06d", lastID.Add(1)) }

// caller is a client with one connection.
type caller struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// request is a caller's request.
type request struct {
	method, host, path, key, body string
	header                        map[string]string
	deadline                      time.Duration
}

// close closes the connection.
func (c *caller) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// ask sends a request on the connection, which it opens if there is none.
func (c *caller) ask(r request) answer {
	a := answer{id: newID(), sent: time.Now()}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			a.err = err
			return a
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	a.err = c.exchange(r, &a)
	if a.err != nil {
		c.close()
	}
	return a
}

func (c *caller) exchange(r request, a *answer) error {
	if err := c.conn.SetDeadline(time.Now().Add(r.deadline)); err != nil {
		return err
	}
	a.sent = time.Now()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", r.method, r.path, r.host, a.id, r.deadline.Milliseconds())
	if r.key != "" {
		head += "Authorization: Bearer " + r.key + "\r\n"
	}
	for name, value := range r.header {
		head += name + ": " + value + "\r\n"
	}
	if r.body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	if _, err := io.WriteString(c.conn, head+"\r\n"+r.body); err != nil {
		return err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return err
	}
	a.status, a.stamp = response.StatusCode, response.Header.Get("Server-Stamp")
	body, err := io.ReadAll(response.Body)
	a.body = string(body)
	if err != nil {
		return err
	}
	a.complete = true
	if response.Close {
		c.close()
	}
	return nil
}

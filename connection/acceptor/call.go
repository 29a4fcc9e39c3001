package acceptor

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

var errResponseState = errors.New("operation not valid in the current state of the response")

// responseState is the progress of a call's response.
type responseState int

const (
	pending responseState = iota
	begun
	finished
	failed
)

// Call is a caller's request and its response. It is not safe for concurrent
// use.
type Call struct {
	// Request is the parsed head; its Body has been read already.
	Request *http.Request
	// Body is the complete request body.
	Body        []byte
	conn        *connection
	idleTimeout time.Duration
	state       responseState
	closeAfter  bool
	// chunked is set if a response sent with Begin uses the chunked transfer
	// coding; otherwise closing the connection ends it.
	chunked bool
}

// reusable reports whether the connection can serve another request.
func (c *Call) reusable() bool { return c.state == finished && !c.closeAfter }

// Begun reports whether any part of the response has been sent.
func (c *Call) Begun() bool { return c.state != pending }

// Respond sends a complete response with its Content-Length.
func (c *Call) Respond(status int, header http.Header, body []byte) error {
	if c.state != pending {
		return errResponseState
	}
	var b bytes.Buffer
	c.writeHead(&b, status, header)
	if status != http.StatusNoContent && status != http.StatusNotModified {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	if c.Request == nil || c.Request.Method != http.MethodHead {
		b.Write(body)
	}
	c.state = finished
	return c.write(b.Bytes())
}

// Begin sends the head of a response of unknown length. If framed is false, the
// response is close-delimited like the target's.
func (c *Call) Begin(status int, header http.Header, framed bool) error {
	if c.state != pending {
		return errResponseState
	}
	c.state = begun
	c.chunked = framed && c.Request.ProtoAtLeast(1, 1)
	var b bytes.Buffer
	if !c.chunked {
		c.closeAfter = true
		// Until the response is complete, any close must be a reset, that of a process that is
		// killed too: only a reset marks a close-delimited response as truncated.
		c.setLinger(0)
	}
	c.writeHead(&b, status, header)
	if c.chunked {
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	b.WriteString("\r\n")
	return c.write(b.Bytes())
}

// Write sends a part of the body without buffering.
func (c *Call) Write(part []byte) error {
	if c.state != begun {
		return errResponseState
	}
	if len(part) == 0 {
		return nil
	}
	if !c.chunked {
		return c.write(part)
	}
	b := make([]byte, 0, len(part)+16)
	b = strconv.AppendInt(b, int64(len(part)), 16)
	b = append(b, "\r\n"...)
	b = append(b, part...)
	b = append(b, "\r\n"...)
	return c.write(b)
}

// Finish completes a response started with Begin.
func (c *Call) Finish() error {
	if c.state != begun {
		return errResponseState
	}
	c.state = finished
	if !c.chunked {
		c.setLinger(-1)
		return nil
	}
	return c.write([]byte("0\r\n\r\n"))
}

// Abort closes the connection such that the caller sees a truncated response:
// without the last chunk, or with a reset if the response is not chunked.
func (c *Call) Abort() {
	c.state = failed
	if !c.chunked {
		c.setLinger(0)
	}
	c.conn.conn.Close()
}

// setLinger sets how the connection closes: 0 resets it, -1 sends what is left.
func (c *Call) setLinger(seconds int) {
	if tcp, ok := c.conn.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(seconds) // fails only on a closed connection
	}
}

// writeHead writes the status line and header fields to b. The connection
// header fields are set here, not by the handler.
func (c *Call) writeHead(b *bytes.Buffer, status int, header http.Header) {
	if c.conn.acceptor.draining.Load() {
		c.closeAfter = true
	}
	text := http.StatusText(status)
	if text == "" {
		text = "Status"
	}
	fmt.Fprintf(b, "HTTP/1.1 %d %s\r\n", status, text)
	_ = header.Write(b) // a bytes.Buffer never returns an error
	switch {
	case c.closeAfter:
		b.WriteString("Connection: close\r\n")
	case c.idleTimeout > 0:
		fmt.Fprintf(b, "Keep-Alive: timeout=%d\r\n", int(c.idleTimeout/time.Second))
	}
}

func (c *Call) write(b []byte) error {
	if err := c.conn.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		c.state = failed
		return errors.Wrap(err, "write response")
	}
	if _, err := c.conn.conn.Write(b); err != nil {
		c.state = failed
		return errors.Wrap(err, "write response")
	}
	return nil
}

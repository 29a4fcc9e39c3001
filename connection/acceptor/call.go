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

var errEnded = errors.New("the answer has ended")

// phase is how far a call's answer has come.
type phase int

const (
	waiting phase = iota
	begun
	whole
	broken
)

// Call is one request of a caller and its answer. It is not safe for
// concurrent use.
type Call struct {
	// Request is the head; its body is spent.
	Request *http.Request
	// Body is the whole body.
	Body  []byte
	conn  *connection
	idle  time.Duration
	phase phase
	close bool
	// chunked tells how a begun answer is framed; else it ends with the
	// connection.
	chunked bool
}

// kept reports whether the connection may carry another request.
func (c *Call) kept() bool { return c.phase == whole && !c.close }

// Begun reports whether a part of the answer has left.
func (c *Call) Begun() bool { return c.phase != waiting }

// Respond sends a whole answer with its length.
func (c *Call) Respond(status int, header http.Header, body []byte) error {
	if c.phase != waiting {
		return errEnded
	}
	var b bytes.Buffer
	c.head(&b, status, header)
	if status != http.StatusNoContent && status != http.StatusNotModified {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	if c.Request == nil || c.Request.Method != http.MethodHead {
		b.Write(body)
	}
	c.phase = whole
	return c.write(b.Bytes())
}

// Begin sends the head of an answer whose length is not known. An answer that
// is not framed ends with the connection, as that of its target does.
func (c *Call) Begin(status int, header http.Header, framed bool) error {
	if c.phase != waiting {
		return errEnded
	}
	c.phase = begun
	c.chunked = framed && c.Request.ProtoAtLeast(1, 1)
	var b bytes.Buffer
	if !c.chunked {
		c.close = true
	}
	c.head(&b, status, header)
	if c.chunked {
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	b.WriteString("\r\n")
	return c.write(b.Bytes())
}

// Write sends a part of the body at once.
func (c *Call) Write(part []byte) error {
	if c.phase != begun {
		return errEnded
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

// Finish ends a begun answer as whole.
func (c *Call) Finish() error {
	if c.phase != begun {
		return errEnded
	}
	c.phase = whole
	if !c.chunked {
		return nil
	}
	return c.write([]byte("0\r\n\r\n"))
}

// Abort ends the answer so that it looks broken: the connection is reset
// without the end of the answer.
func (c *Call) Abort() {
	c.phase = broken
	if tcp, ok := c.conn.conn.(*net.TCPConn); ok && !c.chunked {
		// Without framing only a reset tells a broken answer from a whole one.
		_ = tcp.SetLinger(0)
	}
	c.conn.conn.Close()
}

// head writes the status line and the header fields. Connection fields are the
// acceptor's own.
func (c *Call) head(b *bytes.Buffer, status int, header http.Header) {
	if c.conn.owner.leaving.Load() {
		c.close = true
	}
	text := http.StatusText(status)
	if text == "" {
		text = "Status"
	}
	fmt.Fprintf(b, "HTTP/1.1 %d %s\r\n", status, text)
	_ = header.Write(b) // a buffer takes all
	switch {
	case c.close:
		b.WriteString("Connection: close\r\n")
	case c.idle > 0:
		fmt.Fprintf(b, "Keep-Alive: timeout=%d\r\n", int(c.idle/time.Second))
	}
}

func (c *Call) write(b []byte) error {
	if err := c.conn.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		c.phase = broken
		return errors.Wrap(err, "answer caller")
	}
	if _, err := c.conn.conn.Write(b); err != nil {
		c.phase = broken
		return errors.Wrap(err, "answer caller")
	}
	return nil
}

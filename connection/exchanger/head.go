package exchanger

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

const (
	// maxHeadBytes is the maximum size of the head of a response. It is that of a
	// connection's read buffer, in which the head waits until it is complete, so that a
	// target that sends a head without end takes no further memory.
	maxHeadBytes = readBufferBytes
	// maxHeadLines limits the lines of a head: a parsed field takes many times the bytes of a
	// short line.
	maxHeadLines = 200
	// maxInterimResponses is how many interim responses may precede the final one.
	maxInterimResponses = 100
)

// protocol begins every response.
var protocol = []byte("HTTP/1.")

var (
	errNoHead         = errors.New("target sent bytes that are no response head")
	errHeadTooLarge   = errors.Errorf("target sent a response head of more than %d bytes or %d lines", maxHeadBytes, maxHeadLines)
	errTooManyInterim = errors.Errorf("target sent more than %d interim responses", maxInterimResponses)
)

// awaitHead blocks until a complete response head is buffered. A line that no head can have
// is an error at once, as nothing may follow it. The error is io.ErrUnexpectedEOF if the
// connection ends within the head.
func awaitHead(br *bufio.Reader) error {
	for line, start := 0, 0; ; {
		buffered, err := br.Peek(br.Buffered())
		if err != nil {
			return err
		}
		for end := bytes.IndexByte(buffered[start:], '\n'); end >= 0; end = bytes.IndexByte(buffered[start:], '\n') {
			text := bytes.TrimSuffix(buffered[start:start+end], []byte("\r"))
			if line > 0 && len(text) == 0 {
				return nil
			}
			switch {
			case !isHeadLine(line, text):
				return errNoHead
			case line >= maxHeadLines:
				return errHeadTooLarge
			}
			line, start = line+1, start+end+1
		}
		if line == 0 && !bytes.HasPrefix(buffered, protocol[:min(len(protocol), len(buffered))]) {
			return errNoHead
		}
		switch _, err := br.Peek(len(buffered) + 1); {
		case errors.Is(err, bufio.ErrBufferFull):
			return errHeadTooLarge
		case errors.Is(err, io.EOF) && len(buffered) > 0:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}

// isStatusLine reports whether the text is a status line with a status of HTTP, 100 to 599.
// The parser takes any three digits.
func isStatusLine(text []byte) bool {
	version, rest, _ := bytes.Cut(text, []byte(" "))
	status, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	return bytes.HasPrefix(version, protocol) && len(status) == 3 && status[0] >= '1' && status[0] <= '5'
}

// isHeadLine reports whether the text can be that line of a head, counted from 0. The
// parser checks the rest.
func isHeadLine(line int, text []byte) bool {
	if line == 0 {
		return isStatusLine(text)
	}
	return bytes.IndexByte(text, ':') > 0 || bytes.HasPrefix(text, []byte(" ")) || bytes.HasPrefix(text, []byte("\t"))
}

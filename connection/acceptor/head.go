package acceptor

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strings"

	"github.com/pkg/errors"
)

var (
	errHeadTooLarge = errors.New("request head too large")
	errAmbiguous    = errors.New("ambiguous request framing")
)

// maxHeadLines limits the lines of a head: a parsed field takes many times the bytes of a short
// line.
const maxHeadLines = 200

var headEnd = []byte("\r\n\r\n")

// peekHead blocks until a complete request head is buffered and returns it
// without consuming it, errHeadTooLarge if it exceeds limit bytes or maxHeadLines, or
// bufio.ErrBufferFull if it exceeds the buffer.
func peekHead(br *bufio.Reader, limit int) ([]byte, error) {
	scanned := 0
	for {
		buffered, err := br.Peek(br.Buffered())
		if err != nil {
			return nil, err
		}
		from := max(0, scanned-len(headEnd)+1)
		end := bytes.Index(buffered[from:], headEnd)
		headLen := from + end + len(headEnd)
		scanned = len(buffered)
		switch {
		case end >= 0 && headLen <= limit && bytes.Count(buffered[:headLen], []byte("\n")) <= maxHeadLines:
			return buffered[:headLen], nil
		case end >= 0 || scanned >= limit:
			return nil, errHeadTooLarge
		}
		if _, err := br.Peek(scanned + 1); err != nil {
			return nil, headReadError(err, scanned)
		}
	}
}

// headReadError turns an EOF within a head into io.ErrUnexpectedEOF; an EOF
// before the first byte is a regular close.
func headReadError(err error, scanned int) error {
	if errors.Is(err, io.EOF) && scanned > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// checkHead rejects heads that parsers interpret differently: bare CR or LF,
// folded lines, whitespace before the colon, and more than one Content-Length
// or Transfer-Encoding field (RFC 9112, sections 2.2, 5 and 6).
func checkHead(head []byte) error {
	lines := strings.Split(string(head[:len(head)-len(headEnd)]), "\r\n")
	contentLengths, transferEncodings, hosts := 0, 0, 0
	for i, line := range lines {
		if strings.ContainsAny(line, "\r\n\x00") {
			return errors.Wrap(errAmbiguous, "line contains a bare CR, bare LF or NUL")
		}
		if i == 0 {
			continue
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return errors.Wrapf(errAmbiguous, "header line %d has no valid field name", i)
		}
		switch strings.ToLower(name) {
		case "content-length":
			contentLengths++
			if v := strings.TrimSpace(value); v == "" || strings.Trim(v, "0123456789") != "" {
				return errors.Wrap(errAmbiguous, "Content-Length is not a number")
			}
		case "transfer-encoding":
			transferEncodings++
			if !strings.EqualFold(strings.TrimSpace(value), "chunked") {
				return errors.Wrap(errAmbiguous, "Transfer-Encoding is not chunked")
			}
		case "host":
			hosts++
		}
	}
	if contentLengths+transferEncodings > 1 {
		return errors.Wrap(errAmbiguous, "more than one Content-Length or Transfer-Encoding field")
	}
	if hosts != 1 {
		return errors.Wrapf(errAmbiguous, "got %d Host fields, want 1", hosts)
	}
	return nil
}

// isTimeout reports whether err is an expired connection deadline.
func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

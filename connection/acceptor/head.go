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
	errHeadTooLarge = errors.New("the request's head is too large")
	errAmbiguous    = errors.New("the request's framing is ambiguous")
)

var headEnd = []byte("\r\n\r\n")

// peekHead waits until the whole head of a request is buffered and returns it
// without consuming it. The error is errHeadTooLarge above limit bytes.
func peekHead(br *bufio.Reader, limit int) ([]byte, error) {
	seen := 0
	for {
		have, err := br.Peek(br.Buffered())
		if err != nil {
			return nil, err
		}
		from := max(0, seen-len(headEnd)+1)
		end := bytes.Index(have[from:], headEnd)
		head := from + end + len(headEnd)
		seen = len(have)
		switch {
		case end >= 0 && head <= limit:
			return have[:head], nil
		case end >= 0 || seen >= limit:
			return nil, errHeadTooLarge
		}
		if _, err := br.Peek(seen + 1); err != nil {
			return nil, noHead(err, seen)
		}
	}
}

// noHead tells an orderly end before a request from one amid its head.
func noHead(err error, seen int) error {
	if errors.Is(err, io.EOF) && seen > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// checkHead refuses what two parsers could read differently: bare line ends,
// folded lines, spaces before a colon, and more than one statement of the
// body's length (RFC 9112, sections 2.2, 5 and 6).
func checkHead(head []byte) error {
	lines := strings.Split(string(head[:len(head)-len(headEnd)]), "\r\n")
	lengths, codings, hosts := 0, 0, 0
	for i, line := range lines {
		if strings.ContainsAny(line, "\r\n\x00") {
			return errors.Wrap(errAmbiguous, "a line holds a bare line end or a zero byte")
		}
		if i == 0 {
			continue
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return errors.Wrapf(errAmbiguous, "header line %d has no proper name", i)
		}
		switch strings.ToLower(name) {
		case "content-length":
			lengths++
			if v := strings.TrimSpace(value); v == "" || strings.Trim(v, "0123456789") != "" {
				return errors.Wrap(errAmbiguous, "the length is no number")
			}
		case "transfer-encoding":
			codings++
			if !strings.EqualFold(strings.TrimSpace(value), "chunked") {
				return errors.Wrap(errAmbiguous, "the transfer coding is not chunked")
			}
		case "host":
			hosts++
		}
	}
	if lengths+codings > 1 {
		return errors.Wrap(errAmbiguous, "the body's length stands twice")
	}
	if hosts != 1 {
		return errors.Wrapf(errAmbiguous, "there are %d Host lines", hosts)
	}
	return nil
}

// isTimeout reports whether err is a deadline of the connection.
func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

package acceptor

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCheckHead(t *testing.T) {
	for name, c := range map[string]struct {
		head  string
		valid bool
	}{
		"plain":                    {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", true},
		"a length":                 {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n", true},
		"chunked":                  {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		"chunked in capitals":      {"POST / HTTP/1.1\r\nHost: a\r\nTRANSFER-ENCODING: Chunked\r\n\r\n", true},
		"length and chunked":       {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		"chunked and length":       {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", false},
		"two lengths":              {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", false},
		"two equal lengths":        {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n", false},
		"a list of lengths":        {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\n", false},
		"a signed length":          {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\n", false},
		"an empty length":          {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\r\n", false},
		"a length in hexadecimal":  {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0x3\r\n\r\n", false},
		"another coding":           {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", false},
		"two codings":              {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		"an unknown coding":        {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n", false},
		"a folded line":            {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\r\n chunked\r\n\r\n", false},
		"a folded line with tab":   {"GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n\t2\r\n\r\n", false},
		"space before the colon":   {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\n", false},
		"a bare line feed":         {"GET / HTTP/1.1\r\nHost: a\r\nX: 1\nContent-Length: 3\r\n\r\n", false},
		"a bare carriage return":   {"GET / HTTP/1.1\r\nHost: a\r\nX: 1\rY: 2\r\n\r\n", false},
		"a NUL byte":               {"GET / HTTP/1.1\r\nHost: a\r\nX: 1\x002\r\n\r\n", false},
		"a line without a colon":   {"GET / HTTP/1.1\r\nHost: a\r\nX\r\n\r\n", false},
		"a line without a name":    {"GET / HTTP/1.1\r\nHost: a\r\n: x\r\n\r\n", false},
		"no host":                  {"GET / HTTP/1.1\r\nX: 1\r\n\r\n", false},
		"two hosts":                {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", false},
		"a bare line feed in line": {"GET / HTTP/1.1\nHost: a\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			err := checkHead([]byte(c.head))
			assert.Equal(t, err == nil, c.valid, "%v", err)
		})
	}
}

func TestPeekHead(t *testing.T) {
	head := "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	many := "GET / HTTP/1.1\r\n" + strings.Repeat("X: 1\r\n", 190) + "\r\n"
	for name, c := range map[string]struct {
		text  string
		limit int
		want  string
		fails bool
	}{
		"a head":                 {head, 1000, head, false},
		"a head and a body":      {head + "body", 1000, head, false},
		"two heads":              {head + head, 1000, head, false},
		"larger than limit":      {"GET / HTTP/1.1\r\nX: " + strings.Repeat("a", 200) + "\r\n\r\n", 100, "", true},
		"many fields":            {many, 4000, many, false},
		"too many fields":        {"GET / HTTP/1.1\r\n" + strings.Repeat("X: 1\r\n", 200) + "\r\n", 4000, "", true},
		"truncated":              {head[:10], 1000, "", true},
		"empty":                  {"", 1000, "", true},
		"ends in the final CRLF": {head[:len(head)-1], 1000, "", true},
		"only the line ends":     {"\r\n\r\n", 1000, "\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := peekHead(bufio.NewReaderSize(oneByteReader{strings.NewReader(c.text)}, maxHeadBytes), c.limit)
			assert.Equal(t, err != nil, c.fails, "%v", err)
			assert.Equal(t, string(got), c.want)
		})
	}
}

// oneByteReader returns one byte per Read, like a slow sender.
type oneByteReader struct{ r *strings.Reader }

func (o oneByteReader) Read(p []byte) (int, error) { return o.r.Read(p[:min(1, len(p))]) }

// FuzzHead compares checkHead with net/http's parser: a head that passes must
// not combine Content-Length with a transfer coding.
func FuzzHead(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\r\n chunked\r\nContent-Length: 9\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		head, err := peekHead(bufio.NewReaderSize(strings.NewReader(text), readBufferBytes), readBufferBytes)
		if err != nil || checkHead(head) != nil {
			return
		}
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(string(head))))
		if err != nil {
			return
		}
		lower := strings.ToLower(string(head))
		if strings.Contains(lower, "content-length:") && len(request.TransferEncoding) > 0 {
			t.Fatalf("head with Content-Length and Transfer-Encoding passed: %q", head)
		}
	})
}

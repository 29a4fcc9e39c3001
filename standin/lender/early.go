package lender

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// These behaviours answer a request before its body has been read, with neither length nor
// chunks.
const (
	EarlyReset Behaviour = "earlyReset" // send a part of the answer and reset the connection
	EarlyClose Behaviour = "earlyClose" // send the whole answer, close the connection in order and read on
)

// answerEarly answers as the behaviour says, and reports whether it does: the behaviour must be
// one of these, and the request no continuation from a copy. The execution that it records has
// no body.
func (t *Target) answerEarly(w http.ResponseWriter, r *http.Request, behaviour Behaviour) bool {
	if behaviour != EarlyReset && behaviour != EarlyClose || r.Header.Get("Kv-From") != "" {
		return false
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != t.ID || t.recordArrival() {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("Attempt-Id")
	text, part := "answer to "+id, len("answer")
	execution := t.recordExecution(r, "", true)
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Server-Stamp", "stamp-"+t.ID)
	if _, maxTokens, streamed := strings.Cut(r.Header.Get("Token-Count"), ","); streamed {
		events, _ := strconv.Atoi(maxTokens)
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		text = ""
		for n := after + 1; n <= events; n++ {
			if n == after+1+(events-after)/2 {
				part = len(text) // between two events
			}
			text += fmt.Sprintf("id: %d\ndata: %s\n\n", n, execution)
		}
		w.Header().Set("Content-Type", "text/event-stream")
	}
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	if behaviour == EarlyReset {
		text = text[:part]
	}
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(buffered)
	_, _ = buffered.WriteString("Connection: close\r\n\r\n" + text)
	_ = buffered.Flush()
	tcp, ok := conn.(*net.TCPConn)
	switch {
	case ok && behaviour == EarlyReset:
		_ = tcp.SetLinger(0)
	case ok:
		_ = tcp.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	}
	return true
}

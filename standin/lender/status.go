package lender

import (
	"fmt"
	"net/http"
	"strings"
)

const statusPrefix = "status "

// RespondWithStatus is the behaviour to execute a request and respond with a status line. With
// a body the response has a length, without one the connection stays open after the head.
func RespondWithStatus(line string, withBody bool) Behaviour {
	return Behaviour(fmt.Sprintf("%s%t %s", statusPrefix, withBody, line))
}

// respondWithStatus responds as RespondWithStatus says, and reports whether the behaviour is
// one of these.
func (t *Target) respondWithStatus(w http.ResponseWriter, behaviour Behaviour) bool {
	rest, ok := strings.CutPrefix(string(behaviour), statusPrefix)
	if !ok {
		return false
	}
	withBody, line, _ := strings.Cut(rest, " ")
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var head strings.Builder
	_ = w.Header().Write(&head)
	text := "HTTP/1.1 " + line + "\r\n" + head.String()
	if withBody == "true" {
		text += "Content-Length: 7\r\n\r\ntrouble"
	} else {
		text += "\r\n"
	}
	_, _ = conn.Write([]byte(text))
	// The connection stays open for as long as the caller waits.
	_, _ = conn.Read(make([]byte, 1))
	_ = conn.Close()
	return true
}

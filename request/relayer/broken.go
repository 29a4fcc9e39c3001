package relayer

import (
	"io"
	"strings"
	"syscall"

	"github.com/pkg/errors"

	"bluebelldoor/process/registrar"
)

// The points of an exchange at which a target can end its connection.
const (
	brokenUnanswered = "unanswered" // before the head of the response
	brokenAfterHead  = "afterHead"  // before the first event or byte of the body
	brokenInBody     = "inBody"
)

// endedByTarget reports whether an error says that the target has ended its connection, and
// not that the VM has, or that the network is silent.
func endedByTarget(err error) bool {
	for _, ended := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errTruncated} {
		if errors.Is(err, ended) {
			return true
		}
	}
	return false
}

// logBroken logs and counts that a target has ended its connection before its response was
// complete.
func (j *job) logBroken(t *registrar.Target, point string, received int, connReused bool, err error) {
	j.Metrics.CountBroken(point)
	j.log.Info("target ended the connection", "id", j.request.ID, "target", t.ID, "startedAt", t.StartedAt, "point", point, "received", received,
		"connReused", connReused, "takesNewWork", j.sources.View().AcceptsNewWork(t.Instance),
		"parts", strings.Join(j.request.SharedParts, ","), "request", j.requestSuspect(), "error", err.Error())
}

// brokenPoint returns the point of an exchange at which a response has ended of which the
// head and the given number of events or bytes have come.
func brokenPoint(received int) string {
	if received == 0 {
		return brokenAfterHead
	}
	return brokenInBody
}

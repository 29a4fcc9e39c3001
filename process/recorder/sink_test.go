package recorder_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor/process/recorder"
)

// blockedWriter blocks every write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	written bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	return s.written.Write(p)
}

// TestSink checks that logging does not block on the output, and that lines are
// either written in order or counted as dropped.
func TestSink(t *testing.T) {
	const lines = 10_000
	out := &blockedWriter{unblock: make(chan struct{})}
	sink, flush := recorder.NewSink(out)
	start := time.Now()
	for i := range lines {
		n, err := fmt.Fprintf(sink, "line %d\n", i)
		assert.NilError(t, err)
		assert.Assert(t, n > 0)
	}
	assert.Assert(t, time.Since(start) < time.Second, "logging blocked on the output")
	close(out.unblock)
	flush()
	kept := bytes.Count(out.written.Bytes(), []byte("\n"))
	assert.Equal(t, int64(kept)+sink.Dropped(), int64(lines))
	assert.Assert(t, sink.Dropped() > 0)
	assert.Assert(t, bytes.HasPrefix(out.written.Bytes(), []byte("line 0\nline 1\n")))
}

package recorder_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor/process/recorder"
)

// stuck is an output that takes nothing until it is let go.
type stuck struct {
	free chan struct{}
	got  bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	return s.got.Write(p)
}

// TestSink never holds up who logs, drops what the output does not take, and
// writes the rest in order.
func TestSink(t *testing.T) {
	const lines = 10_000
	out := &stuck{free: make(chan struct{})}
	sink, flush := recorder.NewSink(out)
	began := time.Now()
	for i := range lines {
		n, err := fmt.Fprintf(sink, "line %d\n", i)
		assert.NilError(t, err)
		assert.Assert(t, n > 0)
	}
	assert.Assert(t, time.Since(began) < time.Second, "logging was held up")
	close(out.free)
	flush()
	kept := bytes.Count(out.got.Bytes(), []byte("\n"))
	assert.Equal(t, int64(kept)+sink.Dropped(), int64(lines))
	assert.Assert(t, sink.Dropped() > 0)
	assert.Assert(t, bytes.HasPrefix(out.got.Bytes(), []byte("line 0\nline 1\n")))
}

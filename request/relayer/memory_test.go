package relayer

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bluebelldoor/process/accountant"
)

// endlessReader returns bytes without end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return copy(p, strings.Repeat("a", len(p))), nil }

// TestEndlessSum guards against faulty targets whose bodies and events are each within
// their bound, and take the VM's memory together.
func TestEndlessSum(t *testing.T) {
	const (
		targets   = 100
		sum       = 2 << 20
		maxUnseen = 16 << 10 // what each may hold without being counted
	)
	t.Run("bodies", func(t *testing.T) {
		memory, held := accountant.New(sum), 0
		for range targets {
			allocation := memory.Begin()
			defer allocation.End()
			body, err := readBuffered(endlessReader{}, allocation)
			assert.Assert(t, errors.Is(err, errTooLarge), "%v", err)
			held += cap(body)
		}
		assert.Assert(t, held < sum+targets*maxUnseen, "%d bytes held", held)
	})
	t.Run("events", func(t *testing.T) {
		memory, held := accountant.New(sum), 0
		for range targets {
			s := &stream{memory: memory.Begin()}
			defer s.memory.End()
			var err error
			for err == nil {
				err = s.forwardChunk(make([]byte, streamBufferBytes), nil)
			}
			assert.Assert(t, errors.Is(err, errNoMemory) || errors.Is(err, errEventTooLong), "%v", err)
			held += cap(s.events.partial)
		}
		assert.Assert(t, held < sum+targets*maxUnseen, "%d bytes held", held)
	})
}

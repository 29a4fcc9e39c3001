package relayer

import "bytes"

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// maxIdleEventBytes is the size above which a buffer is not kept after a large event.
const maxIdleEventBytes = 32 << 10

// eventSplitter splits a stream into complete events, so that a stream that is cut
// within an event can continue elsewhere after the last complete one.
type eventSplitter struct {
	partial []byte
	lastID  string
	count   int
}

// feed adds bytes and returns the buffered bytes up to the end of the last
// complete event. The result is valid until the next call of a method.
func (e *eventSplitter) feed(part []byte) []byte {
	e.partial = append(e.partial, part...)
	end := bytes.LastIndex(e.partial, eventEnd)
	if end < 0 {
		return nil
	}
	complete := e.partial[:end+len(eventEnd)]
	for _, event := range bytes.Split(complete, eventEnd) {
		e.recordID(event)
	}
	return complete
}

// sizeWith returns the size of the buffer with a further part.
func (e *eventSplitter) sizeWith(part []byte) int {
	return max(cap(e.partial), len(e.partial)+len(part))
}

// consume removes the n bytes that feed returned.
func (e *eventSplitter) consume(n int) {
	rest := e.partial[n:]
	if cap(e.partial) > maxIdleEventBytes && len(rest) <= maxIdleEventBytes {
		e.partial = nil
	}
	e.partial = append(e.partial[:0], rest...)
}

// dropPartial discards an incomplete event.
func (e *eventSplitter) dropPartial() { e.partial = e.partial[:0] }

// recordID counts the event if it has an ID, and keeps the ID as the last one.
func (e *eventSplitter) recordID(event []byte) {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			e.lastID = string(bytes.TrimSpace(id))
			e.count++
		}
	}
}

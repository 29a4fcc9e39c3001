package relayer

import "bytes"

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// events cuts a stream into whole events, so that a stream that breaks within
// one can go on elsewhere from the last whole one.
type events struct {
	partial []byte
	lastID  string
	count   int
}

// add takes bytes and returns those that end with a whole event. The result
// holds until the next call.
func (e *events) add(part []byte) []byte {
	e.partial = append(e.partial, part...)
	end := bytes.LastIndex(e.partial, eventEnd)
	if end < 0 {
		return nil
	}
	whole := e.partial[:end+len(eventEnd)]
	for _, event := range bytes.Split(whole, eventEnd) {
		e.note(event)
	}
	return whole
}

// taken drops what add returned.
func (e *events) taken(n int) { e.partial = append(e.partial[:0], e.partial[n:]...) }

// drop forgets the part of an event that its engine did not finish.
func (e *events) drop() { e.partial = e.partial[:0] }

func (e *events) note(event []byte) {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			e.lastID = string(bytes.TrimSpace(id))
			e.count++
		}
	}
}

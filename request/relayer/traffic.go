package relayer

import (
	"sync/atomic"

	"bluebelldoor"
)

// traffic counts what callers ask of the VM.
type traffic struct{ requests, events, bytes atomic.Uint64 }

// passed counts a part of an answer that went to its caller.
func (t *traffic) passed(events, bytes int) {
	t.events.Add(uint64(max(0, events)))
	t.bytes.Add(uint64(bytes))
}

// Traffic returns what callers have asked of the VM since its process's start.
func (r *Relayer) Traffic() bluebelldoor.Traffic {
	return bluebelldoor.Traffic{
		Requests: r.traffic.requests.Load(),
		Events:   r.traffic.events.Load(),
		Bytes:    r.traffic.bytes.Load(),
	}
}

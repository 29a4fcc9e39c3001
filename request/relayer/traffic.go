package relayer

import (
	"sync/atomic"

	"bluebelldoor"
)

// traffic counts the requests that callers send and what is forwarded to them.
type traffic struct{ requests, events, bytes atomic.Uint64 }

// add counts a part of a response that was forwarded to its caller.
func (t *traffic) add(events, bytes int) {
	t.events.Add(uint64(max(0, events)))
	t.bytes.Add(uint64(bytes))
}

// Traffic returns the traffic of the callers since the process started.
func (r *Relayer) Traffic() bluebelldoor.Traffic {
	return bluebelldoor.Traffic{
		Requests: r.traffic.requests.Load(),
		Events:   r.traffic.events.Load(),
		Bytes:    r.traffic.bytes.Load(),
	}
}

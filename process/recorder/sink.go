package recorder

import (
	"io"
	"sync/atomic"
)

// sinkQueueLines is how many lines are queued for writing; further ones are dropped.
const sinkQueueLines = 2048

// Sink writes log lines asynchronously, so that a slow output never blocks the
// code that logs. Lines that do not fit into the queue are dropped and counted.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewSink returns a sink that writes to out, and a clean-up function that
// flushes the queue.
func NewSink(out io.Writer) (*Sink, func()) {
	s := &Sink{lines: make(chan []byte, sinkQueueLines)}
	done := make(chan struct{})
	stop := make(chan struct{})
	go func() {
		defer close(done)
		s.writeLoop(out, stop)
	}()
	return s, func() {
		close(stop)
		<-done
	}
}

func (s *Sink) writeLoop(out io.Writer, stop <-chan struct{}) {
	for {
		select {
		case line := <-s.lines:
			_, _ = out.Write(line) // a failure of the log output can't be logged
		case <-stop:
			for {
				select {
				case line := <-s.lines:
					_, _ = out.Write(line)
				default:
					return
				}
			}
		}
	}
}

// Write implements io.Writer. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

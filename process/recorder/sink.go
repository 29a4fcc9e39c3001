package recorder

import (
	"io"
	"sync/atomic"
)

// sinkLines is how many lines wait to be written; more are dropped.
const sinkLines = 2048

// Sink writes log lines without ever holding up who logs. Lines that the
// output does not take in time are dropped and counted.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewSink returns a sink before out, and a clean-up function that writes what
// still waits.
func NewSink(out io.Writer) (*Sink, func()) {
	s := &Sink{lines: make(chan []byte, sinkLines)}
	done := make(chan struct{})
	stop := make(chan struct{})
	go func() {
		defer close(done)
		s.drain(out, stop)
	}()
	return s, func() {
		close(stop)
		<-done
	}
}

func (s *Sink) drain(out io.Writer, stop <-chan struct{}) {
	for {
		select {
		case line := <-s.lines:
			_, _ = out.Write(line) // there is nowhere left to report to
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

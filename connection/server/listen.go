package server

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// listenTimeout is how long an address that is in use is tried. The process that had it
	// may not have ended yet, and the port may be the local end of another process's
	// connection.
	listenTimeout = 10 * time.Second
	// listenRetryDelay and acceptRetryDelay are the times between two tries.
	listenRetryDelay = 20 * time.Millisecond
	acceptRetryDelay = 10 * time.Millisecond
)

// Listen listens on a TCP address. If it is in use, Listen tries again for listenTimeout.
// Accept of the returned listener fails only once it is closed: errors such as a lack of
// file descriptors pass. onError is called with each error that is not returned.
func Listen(address string, onError func(error)) (net.Listener, error) {
	for deadline := time.Now().Add(listenTimeout); ; time.Sleep(listenRetryDelay) {
		l, err := net.Listen("tcp", address)
		if err == nil {
			return lastingListener{l, onError}, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return nil, errors.Wrapf(err, "listen on %s", address)
		}
		onError(err)
	}
}

// lastingListener is a listener whose Accept fails only once it is closed.
type lastingListener struct {
	net.Listener
	onError func(error)
}

// Accept implements net.Listener.
func (l lastingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.onError(err)
		time.Sleep(acceptRetryDelay)
	}
}

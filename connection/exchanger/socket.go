package exchanger

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// limitUnacked lets the kernel end a connection whose peer acknowledges
// nothing for unackedTimeout.
func limitUnacked(_ context.Context, _, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// quiet reports whether an idle connection has neither bytes nor an end
// waiting: bytes belong to no request, and an end means it was closed.
func quiet(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		_, _, failed := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = failed == unix.EAGAIN
	})
	return err == nil && open
}

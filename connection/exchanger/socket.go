package exchanger

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout makes the kernel close a connection whose peer has not
// acknowledged sent data for unackedTimeout.
func setUserTimeout(_ context.Context, _, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// openAndIdle reports whether a connection is open and has no data to read. Data
// on an idle connection belongs to no current request.
func openAndIdle(conn net.Conn) bool {
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
		_, _, recvErr := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = recvErr == unix.EAGAIN
	})
	return err == nil && open
}

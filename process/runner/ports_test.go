package runner_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
)

// Ports for listeners lie below those that the kernel gives to outgoing
// connections, so that none is taken between its choice and its use.
const (
	firstPort = 10000
	lastPort  = 19000
)

var nextPort atomic.Int64

// freeAddress returns a loopback address that nobody listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range lastPort - firstPort {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%(lastPort-firstPort))
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

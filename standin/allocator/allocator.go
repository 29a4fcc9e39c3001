// Package allocator allocates loopback addresses for tests to listen on. Ports
// are below the range that the kernel assigns to outgoing connections, and each
// process takes them from blocks that it has reserved, so that no other test can
// take a port between its allocation and its use. The package does not keep the
// allocated addresses open.
package allocator

import (
	"fmt"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Port range of the blocks. Linux assigns ports from 32768 up to outgoing
// connections.
const (
	firstPort = 10_000
	endPort   = 32_000
	blockSize = 500
)

var (
	mu       sync.Mutex
	reserved []net.Listener // listens on the first port of each reserved block until the process ends
	nextPort int
	blockEnd int
)

// Address returns a loopback address that is not in use and that it has not
// returned before. It fails when all blocks are reserved.
func Address() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for {
		for ; nextPort < blockEnd; nextPort++ {
			if l, err := listen(nextPort); err == nil {
				nextPort++
				return l.Addr().String(), errors.Wrap(l.Close(), "release port")
			}
		}
		if err := reserveBlock(); err != nil {
			return "", err
		}
	}
}

// reserveBlock reserves a block that no other process has reserved.
func reserveBlock() error {
	for first := firstPort; first < endPort; first += blockSize {
		if l, err := listen(first); err == nil {
			reserved = append(reserved, l)
			nextPort, blockEnd = first+1, first+blockSize
			return nil
		}
	}
	return errors.New("all port blocks are reserved")
}

func listen(port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
}

// Package allocator gives tests loopback addresses to listen on. Ports come
// from below the range that the kernel gives to outgoing connections, and
// from blocks of which each process holds its own: no other test takes one
// between its choice and its use. It does not listen itself, and knows nothing
// of what the addresses are for.
package allocator

import (
	"fmt"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Ports of all blocks. Linux gives outgoing connections ports from 32768 up.
const (
	firstPort  = 10_000
	endPort    = 32_000
	blockPorts = 500
)

var (
	mu   sync.Mutex
	held []net.Listener // the first port of each block held, until the process ends
	next int
	end  int
)

// Address returns a loopback address that nobody listens on and that it does
// not return again. It fails when all ports are taken.
func Address() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for {
		for ; next < end; next++ {
			if l, err := listen(next); err == nil {
				next++
				return l.Addr().String(), errors.Wrap(l.Close(), "free port")
			}
		}
		if err := hold(); err != nil {
			return "", err
		}
	}
}

// hold takes a block that no other process holds.
func hold() error {
	for first := firstPort; first < endPort; first += blockPorts {
		if l, err := listen(first); err == nil {
			held = append(held, l)
			next, end = first+1, first+blockPorts
			return nil
		}
	}
	return errors.New("all blocks of ports are held")
}

func listen(port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
}

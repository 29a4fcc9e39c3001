package harness

import (
	"io"
	"net"
	"sync"
)

// Path is a TCP proxy on a VM's way to the store. It can hold up what comes from the store,
// like a partition of one direction, and deliver it later.
type Path struct {
	remote   string
	listener net.Listener

	mu   sync.Mutex
	held chan struct{} // closed when the partition heals, nil without one
	// answers is on how many connections something was held up.
	answers int
}

// NewPath starts a proxy to the remote address.
func NewPath(c *Case, remote string) (*Path, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.Cleanup(func() { _ = l.Close() }) // the process ends
	p := &Path{remote: remote, listener: l}
	go p.accept()
	return p, nil
}

// Address returns the address to connect to.
func (p *Path) Address() string { return p.listener.Addr().String() }

// Cut holds up what comes from the store.
func (p *Path) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held == nil {
		p.held = make(chan struct{})
	}
}

// HeldAnswers returns on how many connections something has been held up.
func (p *Path) HeldAnswers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answers
}

// Heal delivers what has been held up.
func (p *Path) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held != nil {
		close(p.held)
		p.held = nil
	}
}

func (p *Path) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

func (p *Path) forward(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("tcp", p.remote)
	if err != nil {
		return
	}
	go func() {
		_, _ = io.Copy(out, in) // the connection has ended
		out.Close()
	}()
	defer out.Close()
	buffer, counted := make([]byte, 64<<10), false
	for {
		n, err := out.Read(buffer)
		p.mu.Lock()
		held := p.held
		if held != nil && n > 0 && !counted {
			counted = true
			p.answers++
		}
		p.mu.Unlock()
		if held != nil {
			<-held
		}
		if n > 0 {
			if _, err := in.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

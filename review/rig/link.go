package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// chunkBytes is how many bytes a link passes on at once.
const chunkBytes = 4 << 10

// link is a TCP proxy before the store that stands for a VM's own link: what comes from the
// store shares one rate.
type link struct {
	to             string
	bytesPerSecond float64

	mu sync.Mutex
	// busyUntil is when the bytes passed on so far have left.
	busyUntil time.Time
}

// startLink returns the address of a link to another address.
func startLink(r *rig, to string, megabits float64) (string, error) {
	l := &link{to: to, bytesPerSecond: megabits * 1e6 / 8}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	r.addCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return listener.Addr().String(), nil
}

func (l *link) serve(vm net.Conn) {
	defer vm.Close()
	far, err := net.Dial("tcp", l.to)
	if err != nil {
		return
	}
	defer far.Close()
	go func() {
		_, _ = io.Copy(far, vm) // ends when either side has left
		far.Close()
	}()
	buffer := make([]byte, chunkBytes)
	for {
		n, err := far.Read(buffer)
		l.pass(n)
		if _, writeErr := vm.Write(buffer[:n]); writeErr != nil || err != nil {
			return
		}
	}
}

// pass waits until n bytes have left.
func (l *link) pass(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	until := l.busyUntil
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

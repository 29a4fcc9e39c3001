// Package connector connects VMs and stand-ins inside one process through a
// simulated network, so that whole fleets run in virtual time. Links between any
// two nodes can be cut, stalled and slowed.
//
// It only delivers messages, and does not model bandwidth.
package connector

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrUnreachable is returned to the sender if a message or its response can't be
// delivered.
var ErrUnreachable = errors.New("unreachable")

type linkKey struct{ from, to string }

// Network connects named nodes. It is safe for concurrent use.
type Network struct {
	latency time.Duration

	mu           sync.Mutex
	cut          map[linkKey]bool
	extraLatency map[linkKey]time.Duration
	paused       map[string]chan struct{}
	killed       map[string]bool
	dropResponse func(from, to string) bool
}

// NewNetwork returns a network with the given one-way latency.
func NewNetwork(latency time.Duration) *Network {
	return &Network{
		latency:      latency,
		cut:          map[linkKey]bool{},
		extraLatency: map[linkKey]time.Duration{},
		paused:       map[string]chan struct{}{},
		killed:       map[string]bool{},
	}
}

// Cut breaks the link between two nodes, in both directions, until Restore.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[linkKey{a, b}], n.cut[linkKey{b, a}] = true, true
}

// AddLatency sets the latency added from one node to another.
func (n *Network) AddLatency(from, to string, by time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.extraLatency[linkKey{from, to}] = by
}

// Restore restores all cut links.
func (n *Network) Restore() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = map[linkKey]bool{}
}

// Pause holds all messages from and to a node until Resume.
func (n *Network) Pause(node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[node] == nil {
		n.paused[node] = make(chan struct{})
	}
}

// Resume ends Pause.
func (n *Network) Resume(node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if resumed := n.paused[node]; resumed != nil {
		close(resumed)
		delete(n.paused, node)
	}
}

// ProcessName returns the name of a process on a node. Each successive process on
// the same node has its own number.
func ProcessName(node string, number int) string {
	return node + processSeparator + strconv.Itoa(number)
}

const processSeparator = "#"

// nodeOf returns the node of a process.
func nodeOf(process string) string {
	node, _, _ := strings.Cut(process, processSeparator)
	return node
}

// Kill permanently drops all messages from and to a process.
func (n *Network) Kill(process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.killed[process] = true
}

// DropResponses sets a function that decides for each response whether it is
// dropped; nil drops none.
func (n *Network) DropResponses(dropResponse func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropResponse = dropResponse
}

// deliver delivers one message from one process to another.
func (n *Network) deliver(ctx context.Context, fromProcess, toProcess string) error {
	from, to := nodeOf(fromProcess), nodeOf(toProcess)
	n.mu.Lock()
	latency := n.latency + n.extraLatency[linkKey{from, to}]
	n.mu.Unlock()
	if err := sleep(ctx, latency); err != nil {
		return err
	}
	for _, node := range []string{from, to} {
		n.mu.Lock()
		resumed := n.paused[node]
		n.mu.Unlock()
		if resumed == nil {
			continue
		}
		select {
		case <-resumed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[linkKey{from, to}] || n.killed[fromProcess] || n.killed[toProcess] {
		return ErrUnreachable
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// roundTrip delivers a request, calls handle and delivers the response.
func (n *Network) roundTrip(ctx context.Context, from, to string, handle func()) error {
	if err := n.deliver(ctx, from, to); err != nil {
		return err
	}
	handle()
	if n.dropsResponse(from, to) {
		return ErrUnreachable
	}
	return n.deliver(ctx, to, from)
}

func (n *Network) dropsResponse(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dropResponse != nil && n.dropResponse(from, to)
}

package teller_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/teller"
	"bluebelldoor/request/router"
)

// loadExchange records the loads received from each VM.
type loadExchange struct {
	mu       sync.Mutex
	own      int
	received map[string]int
	messages int
}

// Loads implements bluebelldoor.LoadExchange.
func (e *loadExchange) Loads() []bluebelldoor.TargetLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	return []bluebelldoor.TargetLoad{{Target: "e", Requests: e.own}}
}

// ReceiveLoads implements bluebelldoor.LoadExchange.
func (e *loadExchange) ReceiveLoads(vm string, loads []bluebelldoor.TargetLoad) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received[vm] = loads[0].Requests
	e.messages++
}

// fromFirst returns the load received from vm-0.
func (e *loadExchange) fromFirst() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received["vm-0"]
}

// network connects tellers by name; those that are cut off do not answer.
type network struct {
	bluebelldoor.PeerClient
	mu      sync.Mutex
	tellers map[string]*teller.Teller
	cut     map[string]bool
	calls   int
}

// Loads implements bluebelldoor.PeerClient.
func (n *network) Loads(ctx context.Context, address string, in *bluebelldoor.LoadsMessage) (*bluebelldoor.LoadsMessage, error) {
	time.Sleep(time.Millisecond)
	n.mu.Lock()
	n.calls++
	destination, cut := n.tellers[address], n.cut[address] || n.cut[in.From]
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, errors.New("cut off")
	}
	return destination.HandleLoads(in), nil
}

func (n *network) setCut(name string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[name] = cut
}

// startFleet starts VMs called vm-0 and so on.
func startFleet(vms int, log hclog.Logger) (*network, []*loadExchange, func()) {
	n := &network{tellers: map[string]*teller.Teller{}, cut: map[string]bool{}}
	var exchanges []*loadExchange
	var stops []func()
	for i := range vms {
		var others []teller.Peer
		for other := range vms {
			if other != i {
				name := fmt.Sprint("vm-", other)
				others = append(others, teller.Peer{Name: name, Address: name})
			}
		}
		e := &loadExchange{received: map[string]int{}}
		name := fmt.Sprint("vm-", i)
		n.mu.Lock()
		t, stop := teller.New(name, n, func() []teller.Peer { return others }, e, log)
		n.tellers[name] = t
		n.mu.Unlock()
		exchanges, stops = append(exchanges, e), append(stops, stop)
	}
	return n, exchanges, func() {
		for _, stop := range stops {
			stop()
		}
	}
}

// TestTell checks that loads reach the peers: at once after Trigger, otherwise in the
// next regular round, and never in fleets that are too large to exchange loads.
func TestTell(t *testing.T) {
	for name, c := range map[string]struct {
		vms      int
		hurry    bool
		within   time.Duration
		received bool
	}{
		"immediate":                 {3, true, 20 * time.Millisecond, true},
		"not yet":                   {3, false, 5 * time.Millisecond, false},
		"in a regular round":        {3, false, 550 * time.Millisecond, true},
		"as many as exchange loads": {router.MaxPeers + 1, true, 20 * time.Millisecond, true},
		"too many":                  {router.MaxPeers + 2, true, time.Minute, false},
		"too many, regular rounds":  {router.MaxPeers + 2, false, time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, exchanges, stop := startFleet(c.vms, hclog.NewNullLogger())
				defer stop()
				time.Sleep(2*time.Second + 100*time.Millisecond) // between two rounds
				exchanges[0].mu.Lock()
				exchanges[0].own = 5
				exchanges[0].mu.Unlock()
				if c.hurry {
					n.tellers["vm-0"].Trigger()
				}
				time.Sleep(c.within)
				for _, e := range exchanges[1:] {
					assert.Equal(t, e.fromFirst() == 5, c.received)
				}
			})
		})
	}
}

// TestCalls bounds the calls of an idle fleet: in each round, one VM of each pair
// calls and the other replies.
func TestCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, seconds, pairs = 6, 20, 15
		n, _, stop := startFleet(vms, hclog.NewNullLogger())
		defer stop()
		time.Sleep(seconds * time.Second)
		n.mu.Lock()
		defer n.mu.Unlock()
		assert.Assert(t, n.calls <= 2*4*pairs*(seconds+1), "%d calls", n.calls)
		assert.Assert(t, n.calls >= 2*pairs*seconds, "%d calls", n.calls)
	})
}

// TestSilent checks that the loss of a peer and its return are each logged once, and
// that the other peers still receive loads meanwhile.
func TestSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		var mu sync.Mutex
		n, exchanges, stop := startFleet(3, hclog.New(&hclog.LoggerOptions{Output: &out, Mutex: &mu}))
		defer stop()
		time.Sleep(time.Second)
		n.setCut("vm-2", true)
		time.Sleep(5 * time.Second)
		exchanges[0].mu.Lock()
		exchanges[0].own = 5
		exchanges[0].mu.Unlock()
		n.tellers["vm-0"].Trigger()
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, exchanges[1].fromFirst(), 5)
		assert.Equal(t, exchanges[2].fromFirst(), 0)
		n.setCut("vm-2", false)
		time.Sleep(2 * time.Second)
		assert.Equal(t, exchanges[2].fromFirst(), 5)
		mu.Lock()
		defer mu.Unlock()
		// vm-0 and vm-1 each lose vm-2, and vm-2 loses both.
		assert.Equal(t, strings.Count(out.String(), "peer does not tell its loads"), 4, out.String())
		assert.Equal(t, strings.Count(out.String(), "peer tells its loads again"), 4, out.String())
	})
}

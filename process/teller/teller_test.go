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

// book keeps what VMs told, and when.
type book struct {
	mu    sync.Mutex
	own   int
	told  map[string]int
	heard int
}

// Loads implements bluebelldoor.LoadBook.
func (b *book) Loads() []bluebelldoor.TargetLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	return []bluebelldoor.TargetLoad{{Target: "e", Requests: b.own}}
}

// Hear implements bluebelldoor.LoadBook.
func (b *book) Hear(vm string, loads []bluebelldoor.TargetLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told[vm] = loads[0].Requests
	b.heard++
}

// ofFirst returns what vm-0 told.
func (b *book) ofFirst() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.told["vm-0"]
}

// network joins tellers by name; those that are cut off answer nothing.
type network struct {
	bluebelldoor.Peers
	mu      sync.Mutex
	tellers map[string]*teller.Teller
	cut     map[string]bool
	calls   int
}

// Loads implements bluebelldoor.Peers.
func (n *network) Loads(ctx context.Context, address string, in *bluebelldoor.LoadsMessage) (*bluebelldoor.LoadsMessage, error) {
	time.Sleep(time.Millisecond)
	n.mu.Lock()
	n.calls++
	to, cut := n.tellers[address], n.cut[address] || n.cut[in.From]
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, errors.New("cut off")
	}
	return to.Loads(in), nil
}

func (n *network) setCut(name string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[name] = cut
}

// fleet starts VMs called vm-0 and so on.
func fleet(vms int, log hclog.Logger) (*network, []*book, func()) {
	n := &network{tellers: map[string]*teller.Teller{}, cut: map[string]bool{}}
	var books []*book
	var stops []func()
	for i := range vms {
		var others []teller.Peer
		for other := range vms {
			if other != i {
				name := fmt.Sprint("vm-", other)
				others = append(others, teller.Peer{Name: name, Address: name})
			}
		}
		b := &book{told: map[string]int{}}
		name := fmt.Sprint("vm-", i)
		n.mu.Lock()
		t, stop := teller.New(name, n, func() []teller.Peer { return others }, b, log)
		n.tellers[name] = t
		n.mu.Unlock()
		books, stops = append(books, b), append(stops, stop)
	}
	return n, books, func() {
		for _, stop := range stops {
			stop()
		}
	}
}

// TestTell lets VMs know of each other's loads: at once where one hurries,
// otherwise several times a second.
func TestTell(t *testing.T) {
	for name, c := range map[string]struct {
		vms    int
		hurry  bool
		within time.Duration
		heard  bool
	}{
		"hurried":                         {3, true, 20 * time.Millisecond, true},
		"not yet":                         {3, false, 5 * time.Millisecond, false},
		"in a regular round":              {3, false, 550 * time.Millisecond, true},
		"as many as tell each other":      {router.MostPeers + 1, true, 20 * time.Millisecond, true},
		"more VMs than tell each other":   {router.MostPeers + 2, true, time.Minute, false},
		"more, who wait for the next one": {router.MostPeers + 2, false, time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, books, stop := fleet(c.vms, hclog.NewNullLogger())
				defer stop()
				time.Sleep(2*time.Second + 100*time.Millisecond) // between two rounds
				books[0].mu.Lock()
				books[0].own = 5
				books[0].mu.Unlock()
				if c.hurry {
					n.tellers["vm-0"].Hurry()
				}
				time.Sleep(c.within)
				for _, b := range books[1:] {
					assert.Equal(t, b.ofFirst() == 5, c.heard)
				}
			})
		})
	}
}

// TestCalls bounds the messages of a fleet that does nothing: of two VMs one
// tells, and the other answers, in each round.
func TestCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, seconds, pairs = 6, 20, 15
		n, _, stop := fleet(vms, hclog.NewNullLogger())
		defer stop()
		time.Sleep(seconds * time.Second)
		n.mu.Lock()
		defer n.mu.Unlock()
		assert.Assert(t, n.calls <= 2*4*pairs*(seconds+1), "%d calls", n.calls)
		assert.Assert(t, n.calls >= 2*pairs*seconds, "%d calls", n.calls)
	})
}

// TestSilent logs once that a peer is silent, once that it speaks again, and
// tells the others meanwhile.
func TestSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		var mu sync.Mutex
		n, books, stop := fleet(3, hclog.New(&hclog.LoggerOptions{Output: &out, Mutex: &mu}))
		defer stop()
		time.Sleep(time.Second)
		n.setCut("vm-2", true)
		time.Sleep(5 * time.Second)
		books[0].mu.Lock()
		books[0].own = 5
		books[0].mu.Unlock()
		n.tellers["vm-0"].Hurry()
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, books[1].ofFirst(), 5)
		assert.Equal(t, books[2].ofFirst(), 0)
		n.setCut("vm-2", false)
		time.Sleep(2 * time.Second)
		assert.Equal(t, books[2].ofFirst(), 5)
		mu.Lock()
		defer mu.Unlock()
		// vm-0 and vm-1 miss vm-2, and vm-2 misses both.
		assert.Equal(t, strings.Count(out.String(), "peer does not tell its loads"), 4, out.String())
		assert.Equal(t, strings.Count(out.String(), "peer tells its loads again"), 4, out.String())
	})
}

package turner_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/turner"
)

// peers connects turners without a network; an address is a VM's name.
type peers map[string]*turner.Turner

func (p peers) Exchange(context.Context, string, *bluebelldoor.ExchangeMessage) (*bluebelldoor.ExchangeMessage, error) {
	panic("unexpected call of Exchange")
}

func (p peers) Permit(context.Context, string, *bluebelldoor.PermitRequest) (*bluebelldoor.PermitReply, error) {
	panic("unexpected call of Permit")
}

func (p peers) Fetch(context.Context, string, *bluebelldoor.FetchRequest) (*bluebelldoor.FetchReply, error) {
	panic("unexpected call of Fetch")
}

func (p peers) Turn(ctx context.Context, address string, in *bluebelldoor.TurnRequest) (*bluebelldoor.TurnReply, error) {
	if p[address] == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return p[address].Turn(ctx, in), nil
}

func newFleet(names ...string) peers {
	p := peers{}
	var members []bluebelldoor.MemberState
	for _, name := range names {
		members = append(members, bluebelldoor.MemberState{Name: name, PeerAddress: name})
	}
	for _, name := range names {
		p[name] = turner.New(name, p, func() []bluebelldoor.MemberState { return members }, hclog.NewNullLogger())
	}
	return p
}

// TestSmallestFirst checks that three VMs copy off a leaving engine one at a time, the
// smallest copy first.
func TestSmallestFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFleet("a", "b", "c")
		var mu sync.Mutex
		var order []string
		copying := 0
		var wg sync.WaitGroup
		for name, tokens := range map[string]int{"a": 5000, "b": 3000, "c": 4000} {
			wg.Go(func() {
				release := p[name].Acquire(t.Context(), "engine", "request-"+name, tokens)
				mu.Lock()
				order = append(order, name)
				copying++
				assert.Check(t, copying == 1, "two copies at once")
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
				mu.Lock()
				copying--
				mu.Unlock()
				release()
			})
		}
		wg.Wait()
		assert.DeepEqual(t, order, []string{"b", "c", "a"})
	})
}

// TestHolderDies checks that a turn that is never released passes to the next VM when
// its lease expires.
func TestHolderDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFleet("a", "b")
		p["a"].Acquire(t.Context(), "engine", "one", 1)
		began := time.Now()
		release := p["b"].Acquire(t.Context(), "engine", "two", 1)
		waited := time.Since(began)
		assert.Assert(t, waited > time.Second && waited < 2*time.Second, "waited %s", waited)
		release()
	})
}

// TestGrantorSilent checks that copies go ahead without a turn if the grantor does not
// answer.
func TestGrantorSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFleet("a", "b")
		delete(p, "b")
		for _, engine := range []string{"e1", "e2", "e3", "e4"} {
			release := turnOf(p, "a").Acquire(t.Context(), engine, "one", 1)
			release()
		}
	})
}

func turnOf(p peers, name string) *turner.Turner { return p[name] }

// TestTryAcquire checks that copies into an engine run one at a time, and that others
// are refused immediately.
func TestTryAcquire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFleet("a", "b", "c")
		release, ok := p["a"].TryAcquire(t.Context(), "engine", "one")
		assert.Assert(t, ok)
		began := time.Now()
		_, ok = p["b"].TryAcquire(t.Context(), "engine", "two")
		assert.Assert(t, !ok)
		assert.Equal(t, time.Since(began), time.Duration(0))
		other, ok := p["b"].TryAcquire(t.Context(), "engine-2", "two")
		assert.Assert(t, ok)
		other()
		release()
		release, ok = p["c"].TryAcquire(t.Context(), "engine", "three")
		assert.Assert(t, ok)
		release()
	})
}

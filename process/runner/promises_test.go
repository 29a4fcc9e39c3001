package runner_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"bluebelldoor"
	"bluebelldoor/standin/batcher"
	"bluebelldoor/standin/generator"
	"bluebelldoor/standin/publisher"
)

// receivedStream is what one caller received of one stream.
type receivedStream struct {
	mu     sync.Mutex
	tokens []bluebelldoor.Token
	owner  string
	mixed  bool
}

// Token implements bluebelldoor.Sink.
func (s *receivedStream) Token(generation string, t bluebelldoor.Token) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner == "" {
		s.owner = generation
	}
	s.mixed = s.mixed || s.owner != generation
	s.tokens = append(s.tokens, t)
	return nil
}

// mismatch describes how the tokens differ from those expected, "" if they don't.
func (s *receivedStream) mismatch(f bluebelldoor.GenerateResult, wanted int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mixed {
		return "tokens of two generations were joined"
	}
	for i, t := range s.tokens {
		if t.Sequence != i+1 || t.Text != generator.TokenText(s.owner, t.Sequence) {
			return fmt.Sprintf("token %d was received at position %d: %q", t.Sequence, i+1, t.Text)
		}
	}
	if f.Refusal == nil && len(s.tokens) != wanted {
		return fmt.Sprintf("stream ended without a refusal after %d of %d tokens", len(s.tokens), wanted)
	}
	return ""
}

// stream requests a generation from a VM, and resumes it at other VMs when told
// to.
func (sim *simulation) stream(first int, tokens int) (bluebelldoor.GenerateResult, *receivedStream) {
	s := &receivedStream{}
	f := sim.nodeAt(first).front.Generate(context.Background(), bluebelldoor.GenerateRequest{
		ID: fmt.Sprint("r", first), APIKey: apiKey, Model: "gait", Prompt: fmt.Sprintf("len=%d", tokens), MaxTokens: tokens, Streamed: true,
	}, s)
	for try := 1; f.Refusal != nil && f.Refusal.Code() == bluebelldoor.MovedOn && try < 20; try++ {
		time.Sleep(100 * time.Millisecond)
		f = sim.nodeAt(first+try).front.Resume(context.Background(), apiKey, "resume", s.owner, len(s.tokens), s)
	}
	return f, s
}

// startLoad starts callers that run one stream after another for d.
func (sim *simulation) startLoad(streams int, tokens int, d time.Duration, each func(bluebelldoor.GenerateResult, *receivedStream)) *sync.WaitGroup {
	var group sync.WaitGroup
	end := time.Now().Add(d)
	for i := range streams {
		group.Go(func() {
			for n := i; time.Now().Before(end); n += 7 {
				f, s := sim.stream(n, tokens)
				each(f, s)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	return &group
}

func ignoreResult(bluebelldoor.GenerateResult, *receivedStream) {}

// TestTokensOnceInOrder checks that callers get each token once and in order
// while links, VMs and engines fail in mid-stream.
func TestTokensOnceInOrder(t *testing.T) {
	t.Parallel()
	compareWithNaive(t, 12, 3, 3, func(sim *simulation) {
		group := sim.startLoad(6, 60, 20*time.Second, func(f bluebelldoor.GenerateResult, s *receivedStream) {
			if mismatch := s.mismatch(f, 60); mismatch != "" {
				sim.recordViolation("%s", mismatch)
			}
		})
		for range 20 {
			time.Sleep(time.Second)
			vm, engine := sim.rand.IntN(3), fmt.Sprintf("engine-%d", sim.rand.IntN(3))
			switch sim.rand.IntN(4) {
			case 0:
				sim.network.Cut(sim.specs[vm].Name, engine)
			case 1:
				sim.newEngine(engine) // the engine dies, another takes its place
			case 2:
				sim.restart(vm)
			case 3:
				sim.network.Restore()
			}
		}
		sim.network.Restore()
		group.Wait()
	})
}

// TestColdBound checks that all VMs together send a cold engine no more than it
// has cold slots, while VM lists differ, VMs die, and engines turn cold without
// notice.
func TestColdBound(t *testing.T) {
	t.Parallel()
	compareWithNaive(t, 12, 5, 2, func(sim *simulation) {
		sim.platform.SetFaults(publisher.Faults{ListLagMs: 900})
		group := sim.startLoad(16, 30, 25*time.Second, ignoreResult)
		for range 12 {
			time.Sleep(2 * time.Second)
			switch sim.rand.IntN(4) {
			case 0:
				sim.restart(sim.rand.IntN(5))
			case 1:
				sim.standIns.Engine(fmt.Sprintf("engine-%d", sim.rand.IntN(2))).SetFaults(generator.Faults{Chill: true})
			case 2:
				listed := append([]bluebelldoor.VMSpec(nil), sim.specs...)
				sim.platform.SetVMs(append(listed[:2], listed[3:]...))
			case 3:
				sim.platform.SetVMs(sim.specs)
			}
		}
		group.Wait()
		for i := range 2 {
			if over := sim.standIns.Engine(fmt.Sprintf("engine-%d", i)).Stats().OverCold; over > 0 {
				sim.recordViolation("engine-%d got %d requests beyond its cold slots", i, over)
			}
		}
	})
}

// TestColdHandover checks the same bound while the slots of an engine that stays
// cold pass between VMs, with requests of earlier holders still running on it.
func TestColdHandover(t *testing.T) {
	t.Parallel()
	compareWithNaive(t, 12, 5, 1, func(sim *simulation) {
		config := batcher.DefaultConfig()
		config.WarmAfter = 1_000_000
		sim.newEngineWith("engine-0", config)
		group := sim.startLoad(10, 100, 40*time.Second, ignoreResult)
		for range 8 {
			time.Sleep(4 * time.Second)
			for range 1 + sim.rand.IntN(2) {
				sim.restart(sim.rand.IntN(5))
			}
			listed := append([]bluebelldoor.VMSpec(nil), sim.specs...)
			out := sim.rand.IntN(5)
			sim.platform.SetVMs(append(listed[:out], listed[out+1:]...))
		}
		group.Wait()
		s := sim.standIns.Engine("engine-0").Stats()
		if s.MaxCold > config.ColdSlots {
			sim.recordViolation("the engine has %d cold slots, and ran %d requests", config.ColdSlots, s.MaxCold)
		}
	})
}

// TestLastCheck takes a data centre out of service after an engine in it was
// chosen and before the request is sent: the request must not be sent.
func TestLastCheck(t *testing.T) {
	t.Parallel()
	compareWithNaive(t, 1, 1, 1, func(sim *simulation) {
		engine := sim.standIns.Engine("engine-0")
		sim.startLoad(1, 3, 3*time.Second, ignoreResult).Wait()
		before := len(engine.Stats().Generations)
		sim.network.AddLatency("vm-0", "engine-0", 500*time.Millisecond)
		time.AfterFunc(100*time.Millisecond, func() { sim.setInService("miraflores", false) })
		sim.stream(0, 3)
		if after := len(engine.Stats().Generations); after != before {
			sim.recordViolation("a request was sent after its data centre was taken out of service")
		}
	})
}

// checkRemoval takes a target or data centre out of service and back, under
// partitions, a configuration service that serves stale documents and dying VMs,
// and checks that the engine gets no new work while it is out.
func checkRemoval(sim *simulation, setRemoved func(out bool), engine string) {
	group := sim.startLoad(8, 10, 40*time.Second, ignoreResult)
	for range 4 {
		time.Sleep(2 * time.Second)
		cut := sim.rand.IntN(5)
		switch sim.rand.IntN(4) {
		case 0:
			sim.network.Cut(sim.specs[cut].Name, "platform")
		case 1:
			sim.network.Cut(sim.specs[cut].Name, "platform")
			for _, other := range sim.specs {
				sim.network.Cut(sim.specs[cut].Name, other.Name)
			}
		case 2:
			sim.network.Pause(sim.specs[cut].Name)
		case 3:
			sim.restart(cut)
		}
		setRemoved(true)
		out := time.Now()
		time.Sleep(removalTimeout)
		sim.network.Resume(sim.specs[cut].Name)
		if sim.rand.IntN(2) == 0 {
			sim.platform.SetFaults(publisher.Faults{StaleRevision: sim.revision - 1})
		}
		time.Sleep(3 * time.Second)
		back := time.Now()
		for _, g := range sim.standIns.Engine(engine).Stats().Generations {
			at := time.UnixMilli(g.StartedMs)
			if at.After(out.Add(removalTimeout)) && at.Before(back) {
				sim.recordViolation("new work %s after %s was taken out of service", at.Sub(out), engine)
				break
			}
		}
		sim.platform.SetFaults(publisher.Faults{})
		sim.network.Restore()
		setRemoved(false)
	}
	group.Wait()
}

// TestDataCentreOut takes a data centre out of service and back.
func TestDataCentreOut(t *testing.T) {
	t.Parallel()
	compareWithNaive(t, 8, 5, 3, func(sim *simulation) {
		checkRemoval(sim, func(out bool) { sim.setInService("ate", !out) }, "engine-1")
	})
}

// TestLeavingTarget marks a target as leaving and takes the mark back.
func TestLeavingTarget(t *testing.T) {
	t.Parallel()
	compareWithNaive(t, 8, 5, 3, func(sim *simulation) {
		checkRemoval(sim, func(out bool) { sim.setLeaving("engine-2", out) }, "engine-2")
	})
}

// TestNeverReverts publishes many revisions while the configuration service
// alternates between old and new ones, and VMs are restarted and cut off. No VM
// may go back to an older revision, and the newest must be in force everywhere
// within rolloutTimeout.
func TestNeverReverts(t *testing.T) {
	t.Parallel()
	compareWithNaive(t, 12, 5, 1, func(sim *simulation) {
		highest := map[*node]uint64{}
		check := func() {
			for i := range sim.specs {
				n := sim.nodeAt(i)
				if r := n.revision(); r < highest[n] {
					sim.recordViolation("%s went back from revision %d to %d", n.name, highest[n], r)
				} else {
					highest[n] = r
				}
			}
		}
		for range 20 {
			for range sim.rand.IntN(4) {
				sim.publish()
			}
			switch sim.rand.IntN(5) {
			case 0:
				sim.platform.SetFaults(publisher.Faults{StaleRevision: 1 + sim.rand.Uint64N(sim.revision)})
			case 1:
				sim.platform.SetFaults(publisher.Faults{Down: true})
			case 2:
				sim.restart(sim.rand.IntN(5))
			case 3:
				sim.network.Cut(sim.specs[sim.rand.IntN(5)].Name, "platform")
			case 4:
				sim.platform.SetFaults(publisher.Faults{})
				sim.network.Restore()
			}
			for range 5 {
				time.Sleep(200 * time.Millisecond)
				check()
			}
		}
		sim.platform.SetFaults(publisher.Faults{})
		sim.network.Restore()
		sim.publish()
		time.Sleep(rolloutTimeout)
		for i := range sim.specs {
			if r := sim.nodeAt(i).revision(); r != sim.revision {
				sim.recordViolation("revision %d, not %d, is in force on %s after %s", r, sim.revision, sim.specs[i].Name, rolloutTimeout)
			}
		}
	})
}

// callOutcomes counts the results that callers got for one key.
type callOutcomes struct {
	answers, notRun, unknown int
}

// TestAtMostOnce sends each non-repeatable call to several VMs, concurrently and
// repeatedly, while links break, responses are lost, and VMs pause and die. A call
// must run at most once, and not at all if a caller was told so.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	calls, unknown := 0, 0
	compareWithNaive(t, 60, 5, 1, func(sim *simulation) {
		sim.standIns.SetDelay(20 * time.Millisecond)
		outcomes := map[string]*callOutcomes{}
		var group sync.WaitGroup
		for i := range 30 {
			sim.injectFault()
			home := sim.randomNode()
			key, _, refusal := home.front.Mint(context.Background(), apiKey)
			if refusal != nil {
				continue
			}
			h := &callOutcomes{}
			outcomes[key] = h
			for attempt := range 1 + sim.rand.IntN(3) {
				vm, wait := sim.rand.IntN(5), time.Duration(sim.rand.IntN(3000))*time.Millisecond
				if attempt == 0 {
					wait = 0
				}
				group.Go(func() {
					time.Sleep(wait)
					sim.sendCall(&mu, h, sim.nodeAt(vm), key, i)
				})
			}
			time.Sleep(200 * time.Millisecond)
		}
		sim.network.DropResponses(nil)
		sim.network.Restore()
		for _, spec := range sim.specs {
			sim.network.Resume(spec.Name)
		}
		group.Wait()
		ran := map[string]int{}
		for _, e := range sim.standIns.Executions() {
			ran[e.Key]++
		}
		for key, h := range outcomes {
			if ran[key] > 1 {
				sim.recordViolation("a call ran %d times", ran[key])
			}
			if ran[key] > 0 && h.notRun > 0 {
				sim.recordViolation("a caller was told \"not run\", and the call ran")
			}
			if !sim.naive {
				calls++
				if h.unknown > 0 && h.answers == 0 {
					unknown++
				}
			}
		}
	})
	t.Logf("%d calls under faults, the outcome of %d of them unknown (%.1f%%)", calls, unknown, 100*float64(unknown)/float64(max(calls, 1)))
}

// injectFault injects or heals one fault of the network or of a VM, chosen at
// random. Some choices do nothing.
func (sim *simulation) injectFault() {
	vm := sim.rand.IntN(5)
	switch sim.rand.IntN(12) {
	case 0:
		sim.network.Cut(sim.specs[vm].Name, sim.specs[sim.rand.IntN(5)].Name)
	case 1:
		sim.network.Cut(sim.specs[vm].Name, fmt.Sprintf("desk-%d", sim.rand.IntN(2)))
	case 2:
		sim.restart(vm)
	case 3:
		sim.network.Pause(sim.specs[vm].Name)
	case 4, 5:
		for _, spec := range sim.specs {
			sim.network.Resume(spec.Name)
		}
	case 6:
		random := sim.rand.Uint64()
		var mu sync.Mutex
		sim.network.DropResponses(func(_, to string) bool {
			mu.Lock()
			defer mu.Unlock()
			random = random*6364136223846793005 + 1442695040888963407
			return strings.HasPrefix(to, "desk") && random>>62 == 0
		})
	case 7, 8:
		sim.network.Restore()
		sim.network.DropResponses(nil)
	}
}

func (sim *simulation) sendCall(mu *sync.Mutex, h *callOutcomes, n *node, key string, i int) {
	response, refusal := n.front.Call(context.Background(), bluebelldoor.CallRequest{
		ID: fmt.Sprint("call-", i), APIKey: apiKey, Service: "bookings", Method: "POST", Path: "/v1/services/bookings", Body: []byte(key), Key: key,
		Within: 3 * time.Second,
	})
	mu.Lock()
	defer mu.Unlock()
	switch {
	case refusal == nil && string(response.Body) != fmt.Sprint("call-", i):
		sim.recordViolation("call-%d got the response of %s", i, response.Body)
	case refusal == nil:
		h.answers++
	case refusal.Executed() == bluebelldoor.ExecutedNo:
		h.notRun++
	default:
		h.unknown++
	}
}

// rollingStop stops every VM in turn under load by calling stop, and restarts it.
func rollingStop(sim *simulation, stop func(i int)) {
	group := sim.startLoad(12, 100, 30*time.Second, func(f bluebelldoor.GenerateResult, s *receivedStream) {
		draining := f.Refusal != nil && f.Refusal.Code() == bluebelldoor.Draining
		if f.Refusal != nil && !draining && len(s.tokens) > 0 {
			sim.recordViolation("stream cut off after %d tokens: %v", len(s.tokens), f.Refusal)
		}
	})
	for i := range sim.specs {
		time.Sleep(2 * time.Second)
		stop(i)
		sim.restart(i)
	}
	group.Wait()
}

// TestPlannedStops checks that a planned stop of every VM in turn under load cuts
// no request off. A stop that ends the process immediately must cut some, else
// the scenario tests nothing.
func TestPlannedStops(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds(3) {
		violations := simulate(t, seed, false, 4, 3, func(sim *simulation) {
			rollingStop(sim, func(i int) {
				if cut := sim.nodeAt(i).runner.Drain(context.Background()); cut != 0 {
					sim.recordViolation("%d requests were cut off", cut)
				}
			})
		})
		if len(violations) > 0 {
			t.Errorf("seed %d: %s", seed, strings.Join(violations, "; "))
		}
		if cut := simulate(t, seed, false, 4, 3, func(sim *simulation) { rollingStop(sim, func(int) {}) }); len(cut) == 0 {
			t.Errorf("seed %d: the immediate stop cut nothing off; the scenario tests nothing", seed)
		}
	}
}

// disconnectingSink is a caller that disconnects after a number of tokens.
type disconnectingSink struct {
	receivedStream
	after int
}

var errDisconnected = errors.New("caller disconnected")

// Token implements bluebelldoor.Sink.
func (h *disconnectingSink) Token(generation string, t bluebelldoor.Token) error {
	if t.Sequence > h.after {
		return errDisconnected
	}
	return h.receivedStream.Token(generation, t)
}

// TestMovedCaller disconnects a caller from one VM in mid-stream and resumes the
// stream at another: the first VM, which still runs, must not end the generation.
// A generation that nobody resumes must be ended.
func TestMovedCaller(t *testing.T) {
	t.Parallel()
	const tokens = 3000
	violations := simulate(t, 1, false, 2, 1, func(sim *simulation) {
		sim.startLoad(2, 3, 5*time.Second, ignoreResult).Wait()
		request := bluebelldoor.GenerateRequest{
			ID: "moved", APIKey: apiKey, Model: "gait", Prompt: fmt.Sprint("len=", tokens), MaxTokens: tokens, Within: 5 * time.Minute, Streamed: true,
		}
		for _, resumes := range []bool{true, false} {
			h := &disconnectingSink{after: 10}
			sim.nodeAt(0).front.Generate(context.Background(), request, h)
			started := time.Now()
			if resumes {
				f := sim.nodeAt(1).front.Resume(context.Background(), apiKey, "resume", h.owner, len(h.tokens), &h.receivedStream)
				if mismatch := h.mismatch(f, tokens); mismatch != "" || f.Refusal != nil {
					sim.recordViolation("after %s: %v %s", time.Since(started), f.Refusal, mismatch)
				}
				continue
			}
			time.Sleep(15 * time.Second)
			if r := sim.standIns.Engine("engine-0").Report(); r.Running != 0 {
				sim.recordViolation("a generation that nobody reads still runs")
			}
		}
	})
	if len(violations) > 0 {
		t.Error(strings.Join(violations, "; "))
	}
}

package relayer

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/connection/acceptor"
	"bluebelldoor/process/limiter"
	"bluebelldoor/process/pauser"
	"bluebelldoor/process/recorder"
	"bluebelldoor/process/registrar"
	"bluebelldoor/request/placer"
)

// crowded is a relayer with one target, x, that other generations fill.
type crowded struct {
	*Relayer
	log    bytes.Buffer
	filled []*placer.Reservation
}

const (
	lettersObjective = 4 * time.Second
	lettersTimeout   = 39 * time.Second
	labelsTimeout    = 6 * time.Second
	engineTokens     = 20_000
	expectedTokens   = 700 // of each request
)

// newCrowded returns a crowded relayer whose routing has a deferrable route, or has none.
func newCrowded(t *testing.T, deferrable bool) *crowded {
	shares := []bluebelldoor.ServiceShare{{Service: "s", Weight: 1}}
	letters := bluebelldoor.RouteSpec{
		Name: "letters", Host: "h", Prefix: "/letters/", Shares: shares, Streamed: true, Generates: true,
		Priority: 2, LatencyObjective: lettersObjective, Timeout: lettersTimeout,
	}
	labels := letters
	labels.Name, labels.Prefix, labels.Priority, labels.LatencyObjective, labels.Timeout = "labels", "/labels/", 0, 1500*time.Millisecond, labelsTimeout
	if !deferrable {
		labels.Priority = letters.Priority
	}
	clock := testClock{time.Now()}
	view := startView(t, bluebelldoor.RoutingSpec{
		Version: 1, Routes: []bluebelldoor.RouteSpec{letters, labels},
		Services: []bluebelldoor.ServiceKind{{Name: "s", Engine: &bluebelldoor.EngineKind{Slots: 24, MemoryTokens: engineTokens, TokensPerEvent: 4}}},
		Accounts: []bluebelldoor.AccountKeys{{Account: "a", Keys: []string{"key-a"}}, {Account: "b", Keys: []string{"key-b"}}},
	}, clock)
	assert.Equal(t, view.Routing().Terms("s").HasDeferrable(), deferrable)
	c := &crowded{}
	log := hclog.New(&hclog.LoggerOptions{Output: &c.log, JSONFormat: true})
	c.Relayer = New(Settings{MaxKeyEvidenceAge: time.Minute, MaxViewAge: time.Minute}, Sources{
		View: func() *registrar.View { return view }, EvidenceAge: func() (time.Duration, bool) { return 0, true }, Share: func() float64 { return 1 },
	}, Dependencies{
		Pauses: pauser.New(clock, log), Limits: limiter.New(limiter.Fleet{}, clock, log), Metrics: recorder.NewRelayMetrics(),
	}, clock, log)
	c.fill(engineTokens)
	return c
}

// fill makes the target's load one generation with these tokens.
func (c *crowded) fill(tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.filled = append(c.filled, c.ledger.Start("x", tokens, tokens))
	c.filled[len(c.filled)-1].PromptRead()
}

// free ends the oldest generation of the target.
func (c *crowded) free() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.filled[0].End()
	c.filled = c.filled[1:]
}

// result is the result of a request that queued.
type result struct {
	*job
	refusal *bluebelldoor.Refusal
	placed  bool
	took    time.Duration
}

// send queues a request, of an attempt that was first sent before, until it has a result.
func (c *crowded) send(account, path string, prompt int, within time.Duration) *result {
	j := &job{
		Relayer: c.Relayer, ctx: context.Background(), call: &acceptor.Call{}, arrived: c.clock.Now(), excluded: map[string]bool{},
		request: &bluebelldoor.RelayRequest{
			ID: "id", Host: "h", Path: path, APIKey: "key-" + account, PromptTokens: prompt, ExpectedTokens: expectedTokens, Within: within,
			HTTP: httptest.NewRequest(http.MethodPost, path, nil),
		},
	}
	r := &result{job: j, refusal: j.admit()}
	if r.refusal != nil {
		return r
	}
	target, _, refusal := j.waitForTarget()
	r.placed, r.refusal, r.took = target != nil, refusal, c.clock.Now()-j.arrived
	return r
}

// TestCrowdedLog checks that the log line of a refusal for lack of room says what an operator
// needs to understand it, also where room is not shared by account, and that the caller is told
// to return within a third of its time.
func TestCrowdedLog(t *testing.T) {
	for _, deferrable := range []bool{false, true} {
		for path, c := range map[string]struct {
			within time.Duration
			fields string
		}{
			"/letters/x": {lettersTimeout, `"priority":2 "prompt":3000 "expected":700 "waitedMs":14`},
			"/labels/x":  {labelsTimeout, `"prompt":3000 "expected":700 "waitedMs":`},
		} {
			t.Run(fmt.Sprint(path, deferrable), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					crowd := newCrowded(t, deferrable)
					r := crowd.send("a", path, 3000, c.within)
					assert.Assert(t, r.refusal != nil)
					assert.Equal(t, r.refusal.Code(), bluebelldoor.EnginesCrowded)
					assert.Assert(t, r.refusal.RetryAfter() > 0 && r.refusal.RetryAfter() <= c.within/3, "%s", r.refusal.RetryAfter())
					r.logOutcome("refused", r.refusal.Code(), r.refusal.Detail(), r.crowdedFields...)
					for _, want := range append(strings.Fields(c.fields), `"account":"a"`, `"reason":"waited"`,
						`"shortages":"x lacks memory: 0 tokens free, 0 prompt tokens to read"`) {
						assert.Check(t, strings.Contains(crowd.log.String(), want), "%s is missing in %s", want, crowd.log.String())
					}
				})
			})
		}
	}
}

// TestFairOrder guards against a queue in which an account that has used much, with more
// requests, keeps back one that has used little; and against another order where the routing
// doesn't call for one.
func TestFairOrder(t *testing.T) {
	for _, deferrable := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := newCrowded(t, deferrable)
			c.ApplyAccountUse("peer", []bluebelldoor.AccountUse{{Account: "a", Tokens: 1 << 20}})
			// Each leaves after 10 ms.
			placed := make(chan string, 4)
			for i, account := range []string{"a", "a", "a", "b"} {
				go func() {
					if r := c.send(account, "/letters/x", 3000+i, lettersTimeout); r.placed {
						placed <- account
					}
				}()
				time.Sleep(time.Millisecond)
			}
			c.free()
			c.fill(engineTokens - 5500) // room for one of them, within 0.9 of the memory
			time.Sleep(15 * time.Millisecond)
			first := <-placed
			time.Sleep(10 * time.Second)
			want := "a"
			if deferrable {
				want = "b"
			}
			assert.Equal(t, first, want)
		})
	}
}

// TestRefusedAtOnce guards against callers that are kept waiting although the requests ahead
// leave the queue too slowly, and against such refusals where little is known or the routing
// doesn't call for them.
func TestRefusedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		deferrable bool
		ahead      int
		observed   time.Duration
		atOnce     bool
	}{
		"crowded for long":           {true, 8, 1200 * time.Millisecond, true},
		"crowded since a moment ago": {true, 8, 100 * time.Millisecond, false},
		"none ahead":                 {true, 0, 1200 * time.Millisecond, false},
		"not in force":               {false, 8, 1200 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				crowd := newCrowded(t, c.deferrable)
				for i := range c.ahead {
					// Callers that returned wait for up to twice the objective.
					go crowd.send("a", "/letters/x", 3000+i, lettersTimeout-2*time.Second)
				}
				time.Sleep(c.observed)
				crowd.mu.Lock()
				if queue := crowd.queues["s"]; queue != nil {
					for _, w := range queue.Order(crowd.clock.Now()) {
						w.StartBy = time.Hour // in time, and earlier than the next
					}
				}
				crowd.mu.Unlock()
				r := crowd.send("a", "/letters/x", 2000, lettersTimeout)
				assert.Assert(t, r.refusal != nil)
				assert.Equal(t, r.refusal.Code(), bluebelldoor.EnginesCrowded)
				assert.Equal(t, r.refusal.Executed(), bluebelldoor.ExecutedNo)
				assert.Assert(t, r.refusal.RetryAfter() > 0 && r.refusal.RetryAfter() <= lettersTimeout/3, "%s", r.refusal.RetryAfter())
				assert.Equal(t, r.took < 10*time.Millisecond, c.atOnce, "refused after %s: %s", r.took, r.refusal.Detail())
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestEarlyReturn guards against callers that gain a place in the queue by returning before the
// time that they were told, and against refusing one for that while there is room.
func TestEarlyReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowded(t, true)
		const prompt = 3000
		first := c.clock.Now()
		within := func() time.Duration { return lettersTimeout - (c.clock.Now() - first) }
		r := c.send("a", "/letters/x", prompt, within())
		due := c.clock.Now() + r.refusal.RetryAfter()
		for range 5 {
			time.Sleep(300 * time.Millisecond)
			r = c.send("a", "/letters/x", prompt, within())
			assert.Assert(t, r.refusal != nil && r.took < 10*time.Millisecond, "waited %s", r.took)
			told := c.clock.Now() + r.refusal.RetryAfter()
			assert.Assert(t, max(told-due, due-told) < 10*time.Millisecond, "told to return at %s, then at %s", due, told)
		}
		other := c.send("b", "/letters/x", prompt, lettersTimeout)
		assert.Assert(t, other.took > time.Second, "another caller waits: %s", other.took)
		time.Sleep(due - c.clock.Now())
		r = c.send("a", "/letters/x", prompt, within())
		assert.Assert(t, r.took > time.Second, "the caller has returned when it was told, and waits: %s", r.took)
		c.free()
		r = c.send("a", "/letters/x", prompt, within())
		assert.Assert(t, r.placed, "there is room: %v", r.refusal)
	})
}

// TestUseRecorded checks that prompts, and the tokens that streams have made, count as used by
// the account, once each, and that nothing is recorded where room is not shared.
func TestUseRecorded(t *testing.T) {
	for _, deferrable := range []bool{false, true} {
		t.Run(fmt.Sprint(deferrable), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCrowded(t, deferrable)
				c.free()
				r := c.send("a", "/letters/x", 3000, lettersTimeout)
				assert.Assert(t, r.placed)
				s := &stream{job: r.job, target: c.sources.View().Target("x"), forwarded: 16}
				c.mu.Lock()
				r.recordMade(s)
				s.forwarded = 20
				r.recordMade(s)
				r.recordMade(s)
				use := c.sharing.accounts.Use("a", c.clock.Now())
				c.mu.Unlock()
				want := 0.0
				if deferrable {
					want = 3000 + 20*4
				}
				assert.Equal(t, use, want)
				assert.Equal(t, len(c.AccountUse("peer")) > 0, deferrable)
			})
		})
	}
}

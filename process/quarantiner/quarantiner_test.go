package quarantiner_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/process/quarantiner"
)

// testClock is set by the test.
type testClock struct{ now time.Duration }

func (c *testClock) Now() time.Duration { return c.now }

func newVM(clock *testClock) *quarantiner.Quarantiner {
	return quarantiner.New(clock, func() {}, hclog.NewNullLogger())
}

func target(i int) bluebelldoor.TargetIncarnation {
	return bluebelldoor.TargetIncarnation{ID: fmt.Sprintf("engine-%d", i), StartedAt: 1}
}

// crash records that a target has ended with one request, which it had just taken.
func crash(q *quarantiner.Quarantiner, account string, parts []string, target bluebelldoor.TargetIncarnation) {
	q.RecordCrash(quarantiner.Crash{Service: "s", Target: target, Requests: []quarantiner.Request{{Account: account, Parts: parts}}})
}

// event is something that a VM observes, some time after the event before.
type event struct {
	after   time.Duration
	account string // empty for the first event of an answer
	engine  int
	parts   string
}

// times returns events n times.
func times(n int, events ...event) []event {
	var out []event
	for range n {
		out = append(out, events...)
	}
	return out
}

// TestCheck checks which parts are kept away from engines, and from which accounts.
func TestCheck(t *testing.T) {
	const s = time.Second
	three := []event{{s, "a", 1, "p q"}, {s, "a", 2, "p r"}, {s, "a", 3, "p"}}
	for name, c := range map[string]struct {
		events  []event
		wait    time.Duration
		account string
		parts   string
		want    string // the part that is refused
	}{
		"three crashes":                        {three, 0, "a", "x p", "p"},
		"two crashes":                          {three[:2], 0, "a", "p", ""},
		"a part in one of them":                {three, 0, "a", "q", ""},
		"another part":                         {three, 0, "a", "x y", ""},
		"no shared part":                       {three, 0, "a", "", ""},
		"one of two parts that were in all":    {[]event{{s, "a", 1, "p q"}, {s, "a", 2, "q p"}, {s, "a", 3, "p q"}}, 0, "a", "p x", ""},
		"both parts that were in all":          {[]event{{s, "a", 1, "p q"}, {s, "a", 2, "q p"}, {s, "a", 3, "p q"}}, 0, "a", "x q p", "q"},
		"the other was sound":                  {[]event{{s, "a", 1, "p q"}, {s, "a", 2, "p q"}, {s, "a", 3, "p q"}, {s, "", 9, "q"}}, 0, "a", "p x", "p"},
		"one more crash without the other":     {[]event{{s, "a", 1, "p q"}, {s, "a", 2, "p q"}, {s, "a", 3, "p q"}, {s, "a", 4, "p"}}, 0, "a", "p x", "p"},
		"the sound one of two":                 {[]event{{s, "a", 1, "p q"}, {s, "a", 2, "p q"}, {s, "a", 3, "p q"}, {s, "", 9, "q"}}, 0, "a", "q", ""},
		"another account":                      {three, 0, "b", "p", ""},
		"crashes of two accounts":              {[]event{{s, "a", 1, "p"}, {s, "b", 2, "p"}, {s, "a", 3, "p"}}, 0, "c", "p", "p"},
		"one crash with three streams":         {[]event{{s, "a", 1, "p"}, {0, "a", 1, "p"}, {0, "a", 1, "p"}}, 0, "a", "p", ""},
		"one crash, streams with other parts":  {[]event{{s, "a", 1, "p x"}, {0, "a", 1, "p y"}, {0, "a", 1, "p z"}}, 0, "a", "p", ""},
		"one engine crashes three times":       {[]event{{s, "a", 1, "p"}, {s, "a", 1, "p"}, {s, "a", 1, "p"}}, 0, "a", "p", "p"},
		"sound after the first crash":          {[]event{three[0], {s, "", 9, "p"}, three[1], three[2]}, 0, "a", "p", ""},
		"sound after all":                      {append(append([]event{}, three...), event{s, "", 9, "p"}), 0, "a", "p", ""},
		"sound shortly before":                 {append([]event{{0, "", 9, "p"}}, three...), 0, "a", "p", ""},
		"sound long before":                    {append([]event{{0, "", 9, "p"}, {time.Minute, "", 9, "x"}}, three...), 0, "a", "p", "p"},
		"sound with another part":              {append(append([]event{}, three...), event{s, "", 9, "q r"}), 0, "a", "p", "p"},
		"sound, then three more":               {append(append(append([]event{}, three...), event{s, "", 9, "p"}, event{time.Minute, "", 9, "x"}), three...), 0, "a", "p", "p"},
		"nine minutes later":                   {three, 9 * time.Minute, "a", "p", "p"},
		"every other time":                     {times(5, event{s, "a", 1, "p"}, event{s, "", 9, "p"}), s, "a", "p", "p"},
		"every fourth time":                    {times(6, append([]event{{s, "a", 1, "p"}}, times(3, event{s, "", 9, "p"})...)...), s, "a", "p", ""},
		"beside the cause of each":             {append(times(3, event{s, "a", 1, "z x"}, event{0, "a", 1, "p y"}), event{s, "a", 1, "z"}), 0, "a", "p", ""},
		"the cause of each":                    {append(times(3, event{s, "a", 1, "p x"}, event{0, "a", 1, "a y"}), event{s, "a", 1, "p"}), 0, "a", "p", "p"},
		"two causes":                           {times(4, event{s, "a", 1, "p"}, event{s, "a", 2, "z"}), 0, "a", "p", "p"},
		"two causes, the other":                {times(4, event{s, "a", 1, "p"}, event{s, "a", 2, "z"}), 0, "a", "z", "z"},
		"in few of many crashes":               {times(3, event{s, "a", 1, "p"}, event{s, "a", 2, "q"}, event{s, "a", 3, "r"}, event{s, "a", 4, "u"}), 0, "a", "p", ""},
		"targets that end at once":             {[]event{{s, "a", 1, "p"}, {0, "a", 2, "p"}, {0, "a", 3, "p"}, {0, "a", 4, "p"}}, 0, "a", "p", ""},
		"targets that end at once, one later":  {[]event{{s, "a", 1, "p"}, {0, "a", 2, "p"}, {0, "a", 3, "p"}, {s, "a", 4, "p"}}, 0, "a", "p", "p"},
		"in all of many requests":              {[]event{{s, "a", 1, "p a"}, {0, "a", 1, "p b"}, {0, "a", 1, "p c"}, {s, "a", 1, "p d"}, {0, "a", 1, "p e"}, {0, "a", 1, "p f"}, {s, "a", 1, "p g"}, {0, "a", 1, "p h"}, {0, "a", 1, "p i"}}, 0, "a", "p x", ""},
		"eleven minutes later":                 {three, 11 * time.Minute, "a", "p", ""},
		"eleven minutes later, one more crash": {append(append([]event{}, three...), event{11 * time.Minute, "a", 4, "p"}), 0, "a", "p", "p"},
		"two hours later, one more crash":      {append(append([]event{}, three...), event{2 * time.Hour, "a", 4, "p"}), 0, "a", "p", ""},
	} {
		t.Run(name, func(t *testing.T) {
			clock := &testClock{now: time.Minute}
			q := newVM(clock)
			for _, e := range c.events {
				clock.now += e.after
				if e.account == "" {
					q.RecordSound("s", strings.Fields(e.parts))
				} else {
					crash(q, e.account, strings.Fields(e.parts), target(e.engine))
				}
			}
			clock.now += c.wait
			verdict, quarantined := q.Check("s", c.account, strings.Fields(c.parts))
			assert.Equal(t, verdict.Part, c.want)
			assert.Equal(t, quarantined, c.want != "")
			_, quarantined = q.Check("another service", c.account, strings.Fields(c.parts))
			assert.Assert(t, !quarantined)
		})
	}
}

// TestRestartedTarget checks that a target that is back soon and ends again counts twice.
func TestRestartedTarget(t *testing.T) {
	clock := &testClock{now: time.Minute}
	q := newVM(clock)
	for i := range int64(3) {
		clock.now += 500 * time.Millisecond
		crash(q, "a", []string{"p"}, bluebelldoor.TargetIncarnation{ID: "engine", StartedAt: i})
	}
	_, quarantined := q.Check("s", "a", []string{"p"})
	assert.Assert(t, quarantined)
}

// TestJustStarted checks that crashes from before the VM started count.
func TestJustStarted(t *testing.T) {
	old, started := newVM(&testClock{now: time.Hour}), newVM(&testClock{now: time.Second})
	for i := range 4 {
		ago := time.Minute - time.Duration(i)*time.Second
		old.RecordCrash(quarantiner.Crash{Service: "s", Target: target(i), Ago: ago, Requests: []quarantiner.Request{{Account: "a", Parts: []string{"p", fmt.Sprint(i)}}}})
	}
	tell(old, started)
	verdict, quarantined := started.Check("s", "a", []string{"p", "x"})
	assert.Assert(t, quarantined)
	assert.Equal(t, verdict.Age, 57*time.Second)
}

// TestProbe checks that one VM tries a request with quarantined parts once in a while, more
// rarely the more crashes accuse them, and that complete answers end the quarantine.
func TestProbe(t *testing.T) {
	clock := &testClock{now: time.Minute}
	prober := quarantiner.New(clock, func() {}, hclog.NewNullLogger(), quarantiner.WithProber(func(string) bool { return true }))
	other := newVM(clock)
	parts := []string{"p"}
	crashBoth := func(n int) {
		clock.now += time.Second
		crash(prober, "a", parts, target(n))
		crash(other, "a", parts, target(n))
	}
	probes := func(q *quarantiner.Quarantiner, after time.Duration) bool {
		clock.now += after
		verdict, quarantined := q.Check("s", "a", parts)
		assert.Assert(t, quarantined)
		return q.BeginProbe(verdict)
	}
	for n := range 3 {
		crashBoth(n)
	}
	assert.Assert(t, !probes(prober, 9*time.Second))
	assert.Assert(t, probes(prober, 2*time.Second))
	assert.Assert(t, !probes(prober, time.Second), "two probes at once")
	assert.Assert(t, !probes(other, time.Minute), "a probe of a VM that sends none")
	crashBoth(3)
	assert.Assert(t, !probes(prober, 30*time.Second), "no longer wait after another crash")
	assert.Assert(t, probes(prober, 15*time.Second))
	for range 3 {
		prober.RecordSound("s", parts)
		clock.now += time.Second
	}
	_, quarantined := prober.Check("s", "a", parts)
	assert.Assert(t, !quarantined)
}

// tell sends what a VM suspects to another, as the gossip does.
func tell(from, to *quarantiner.Quarantiner) int {
	digest, _ := to.Crashes(0)
	_, parts := from.Crashes(digest)
	to.Merge("peer", parts)
	return len(parts)
}

// TestGossip checks that VMs that each saw one crash know of all of them, that a VM that has
// seen a part sound clears it on all, that a VM that starts learns what is quarantined, and
// that VMs that know the same send nothing.
func TestGossip(t *testing.T) {
	clock := &testClock{now: time.Minute}
	var vms []*quarantiner.Quarantiner
	for i := range 5 {
		vms = append(vms, newVM(clock))
		if i < 3 {
			clock.now += time.Second
			crash(vms[i], "a", []string{"shared", "deadly"}, target(i))
		}
	}
	round := func() {
		for _, from := range vms {
			for _, to := range vms {
				clock.now += time.Millisecond
				tell(from, to)
			}
		}
	}
	round()
	for i, v := range vms {
		_, quarantined := v.Check("s", "a", []string{"shared", "deadly"})
		assert.Assert(t, quarantined, "VM %d", i)
	}
	vms[4].RecordSound("s", []string{"shared"})
	round()
	vms[0] = newVM(clock)
	round()
	for i, v := range vms {
		_, quarantined := v.Check("s", "a", []string{"deadly"})
		assert.Assert(t, quarantined, "VM %d", i)
		_, quarantined = v.Check("s", "a", []string{"shared"})
		assert.Assert(t, !quarantined, "VM %d", i)
	}
	assert.Equal(t, tell(vms[0], vms[1])+tell(vms[1], vms[2]), 0, "sent although both know the same")
}

// TestBounds checks that what is kept and sent is bounded, whatever callers and peers say,
// and that a quarantined part stays.
func TestBounds(t *testing.T) {
	clock := &testClock{now: time.Minute}
	q := newVM(clock)
	for i := range 3 {
		clock.now += time.Second
		crash(q, "a", []string{"deadly"}, target(i))
	}
	for i := range 5000 {
		clock.now += time.Millisecond
		crash(q, "a", []string{fmt.Sprintf("invented-%d", i)}, target(i))
		q.RecordSound("s", []string{fmt.Sprintf("sound-%d", i)})
	}
	_, quarantined := q.Check("s", "a", []string{"deadly"})
	assert.Assert(t, quarantined)
	_, parts := q.Crashes(0)
	assert.Equal(t, len(parts), 16)
	long := strings.Repeat("x", 1000)
	p := []bluebelldoor.PromptPart{{ID: "p"}}
	peer := newVM(clock)
	peer.Merge("peer", []bluebelldoor.PromptCrash{
		{Service: long, Target: "t", Account: "a", Parts: p},
		{Service: "s", Target: long, Account: "a", Parts: p},
		{Service: "s", Target: "t", Account: long, Parts: p},
		{Service: "s", Target: "t", Account: "a", Parts: []bluebelldoor.PromptPart{{ID: long}}},
		{Service: "s", Target: "t", Account: "a", Parts: make([]bluebelldoor.PromptPart, 33)},
		{Service: "s", Target: "t", Account: "a"},
		{Service: "s", Target: "t", Account: "a", Parts: p, AgeMs: -1},
		{Service: "s", Target: "t", Account: "a", Parts: p, AgeMs: 1 << 62},
		{Service: "s", Target: "t", Account: "a", Parts: []bluebelldoor.PromptPart{{ID: "p", Proofs: []bluebelldoor.PartProof{{ID: 1, AgeMs: 1 << 62}}}}},
		{Service: "s", Target: "t", Account: "a", Parts: []bluebelldoor.PromptPart{{ID: "p", Proofs: make([]bluebelldoor.PartProof, 33)}}},
	})
	_, parts = peer.Crashes(0)
	assert.Equal(t, len(parts), 0)
}

// soundCrashOdds is how many sound requests there are for each one whose engine crashes
// between the begin of its answer and the first event.
const soundCrashOdds = 100

// TestSoundParts checks that parts that sound requests carry are not refused while engines
// crash for another reason, though requests break off before their first event: 50 random
// histories of VMs that share what they see.
func TestSoundParts(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 3))
		clock := &testClock{now: time.Minute}
		vms := []*quarantiner.Quarantiner{newVM(clock), newVM(clock), newVM(clock)}
		for n := range 3000 {
			clock.now += 20 * time.Millisecond
			v := vms[random.IntN(len(vms))]
			parts := []string{"first", fmt.Sprintf("session-%d", random.IntN(200))}
			_, refused := v.Check("s", "a", parts)
			assert.Assert(t, !refused, "seed %d, step %d", seed, n)
			if random.IntN(soundCrashOdds) == 0 {
				crash(v, "a", parts, target(random.IntN(30)))
			} else {
				v.RecordSound("s", parts)
			}
			if n%10 == 0 {
				tell(vms[random.IntN(3)], vms[random.IntN(3)])
			}
		}
	}
}

// TestOneOfMany checks that the request that crashes targets is found among those that end
// with them, that popular ones stay, and that VMs which only hear of it know it too.
func TestOneOfMany(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 4))
		clock := &testClock{now: time.Minute}
		vms := []*quarantiner.Quarantiner{newVM(clock), newVM(clock), newVM(clock), newVM(clock)}
		gossip := func() {
			for _, from := range vms {
				for _, to := range vms {
					own, _ := to.Crashes(0)
					_, crashes := from.Crashes(own)
					to.Merge("peer", crashes)
				}
			}
		}
		popular := func() string { return fmt.Sprintf("popular-%d", random.IntN(4)) }
		crashes := 0
		for n := range 4000 {
			clock.now += 10 * time.Millisecond
			v := vms[random.IntN(len(vms)-1)]
			if random.IntN(20) > 0 {
				v.RecordSound("s", []string{popular()})
			} else if _, refused := v.Check("s", "a", []string{"deadly"}); !refused {
				crashes++
				crash(v, "a", []string{"deadly"}, target(n))
				for i := range 24 {
					// The others on the target end with it, some of them popular.
					ended := fmt.Sprintf("once-%d-%d", n, i)
					if i%3 == 0 {
						ended = popular()
					}
					crash(vms[random.IntN(len(vms)-1)], "a", []string{ended}, target(n))
				}
			}
			if n%25 == 0 {
				gossip()
			}
			for _, v := range vms {
				_, refused := v.Check("s", "a", []string{popular()})
				assert.Assert(t, !refused, "seed %d: a popular request is refused at step %d", seed, n)
			}
		}
		assert.Assert(t, crashes <= 8, "seed %d: %d crashes", seed, crashes)
		for i, v := range vms {
			_, refused := v.Check("s", "a", []string{"deadly"})
			assert.Assert(t, refused, "seed %d: VM %d lets the deadly request pass", seed, i)
		}
	}
}

// BenchmarkCheck measures what a request costs while as many crashes as may be are known.
func BenchmarkCheck(b *testing.B) {
	clock := &testClock{now: time.Minute}
	q := newVM(clock)
	for i := range 600 {
		clock.now += time.Millisecond
		crash(q, "a", []string{fmt.Sprintf("once-%d", i)}, target(i/24))
	}
	b.Run("check", func(b *testing.B) {
		for b.Loop() {
			q.Check("s", "a", []string{"p", "q", "r"})
		}
	})
	b.Run("sound", func(b *testing.B) {
		for b.Loop() {
			q.RecordSound("s", []string{"p", "q", "r"})
		}
	})
}

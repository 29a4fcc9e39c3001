package placer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/request/placer"
)

// attempt is one try of a caller.
type attempt struct {
	prompt, output int
	arrived        time.Duration // of the first attempt
	retry          bool
}

func (a attempt) long() bool { return a.output >= placer.MinLongTokens }

// retryingFleet is a fleet whose callers are refused after some time in the queue
// and retry once.
type retryingFleet struct {
	*fleet
	queues  [vmCount]placer.Queue[attempt]
	polling [vmCount]bool
	wait    func(objective time.Duration, prompt int) time.Duration
	limits  func(short, shortsFirst bool) *placer.Limits
	// checksInTime is the number of short generations served in time.
	checksInTime int
}

const (
	reportObjective = 1800 * time.Millisecond
	// minRetryDelay is the shortest delay before a refused caller retries.
	minRetryDelay = 8 * time.Second
)

func (r *retryingFleet) arrive(vm int, a attempt, now time.Duration) {
	r.queues[vm].Add(&placer.QueueItem[attempt]{
		Value: a, OrderTime: a.arrived, StartBy: a.arrived + placer.MaxStartDelay(reportObjective, a.prompt),
		ExpiresAt: now + r.wait(reportObjective, a.prompt), Long: a.long(),
	})
	r.admit(vm, now)
}

func (r *retryingFleet) admit(vm int, now time.Duration) {
	queue := &r.queues[vm]
	queue.Dispatch(now, func(a attempt) placer.Room {
		demand := placer.Demand{
			Tokens: a.prompt + a.output, HeldTokens: a.prompt, DataCentre: r.engines[vm%3].instance.DataCentre, MaxColdPerSecond: -1,
			Engine: &bluebelldoor.EngineKind{MemoryTokens: memoryTokens}, Limits: r.limits(!a.long(), true),
		}
		candidates := make([]placer.Candidate, len(r.engines))
		for i, e := range r.engines {
			candidates[i] = placer.Candidate{Instance: e.instance}
		}
		choice := r.ledgers[vm].Pick(candidates, demand, now, r.random.Float64)
		if choice.Index < 0 {
			return choice.Missing
		}
		r.fleet.arrive(vm, a.prompt, a.output, func(*fleet, int, placer.Demand, time.Duration) int { return choice.Index }, now)
		wait := &r.waits[len(r.waits)-1]
		*wait += now - a.arrived
		if !a.long() && *wait <= reportObjective {
			r.checksInTime++
		}
		return placer.HasRoom
	})
	for _, w := range queue.RemoveExpired(now) {
		if a := w.Value; !a.retry {
			a.retry = true
			delay := minRetryDelay + time.Duration(r.random.Int64N(int64(minRetryDelay/2)))
			r.add(now+delay, func(now time.Duration) { r.arrive(vm, a, now) })
		}
	}
	if queue.Len() > 0 && !r.polling[vm] {
		r.polling[vm] = true
		r.add(now+10*time.Millisecond, func(now time.Duration) {
			r.polling[vm] = false
			r.admit(vm, now)
		})
	}
}

// servedShares are the shares of the callers, and of those with checks, that were
// served in time.
type servedShares struct{ inTime, checksInTime float64 }

// peakRate is about twice the capacity of the engines, in callers per second.
const peakRate = 80

// simulatePeaks simulates 40 s of reports and checks: 4 of every 10 s at the peak
// rate, the rest at a quarter of it.
func (r *retryingFleet) simulatePeaks() servedShares {
	callers, checks := 0, 0
	for now := time.Duration(0); now < 40*time.Second; now += time.Duration(r.random.ExpFloat64() / peakRate * float64(time.Second)) {
		if now%(10*time.Second) > 4*time.Second && r.random.IntN(4) > 0 {
			continue
		}
		a, vm := attempt{prompt: 2500 + r.random.IntN(1000), output: 200 + r.random.IntN(1500), arrived: now}, r.random.IntN(vmCount)
		if r.random.IntN(100) < 58 {
			a.prompt, a.output = 1500+r.random.IntN(2000), 4+r.random.IntN(16)
			checks++
		}
		callers++
		r.add(a.arrived, func(now time.Duration) { r.arrive(vm, a, now) })
	}
	r.run()
	return servedShares{
		inTime:       r.shareWithin(reportObjective) * float64(len(r.waits)) / float64(callers),
		checksInTime: float64(r.checksInTime) / float64(checks),
	}
}

func newRetryingFleet(seed uint64) *retryingFleet {
	return &retryingFleet{fleet: newFleet(seed, 12, time.Millisecond), wait: placer.MaxQueueTime, limits: placer.NewLimits}
}

// TestSustained checks that refusing early serves more callers in time, at peaks of
// twice the engines' capacity that last longer than callers can wait. A caller that
// waits until it is late takes the room of one that isn't.
func TestSustained(t *testing.T) {
	for seed := range uint64(3) {
		got := newRetryingFleet(seed).simulatePeaks()
		waiting := newRetryingFleet(seed)
		waiting.wait = func(objective time.Duration, _ int) time.Duration { return 3 * objective }
		other := waiting.simulatePeaks()
		assert.Check(t, got.inTime > other.inTime, "seed %d: %.3f in time, with callers that wait for three objectives %.3f", seed, got.inTime, other.inTime)
	}
}

// TestUrgent checks that long reports, which can fill the engines' memory, leave some
// of it to short checks, which are more urgent and need it only briefly.
func TestUrgent(t *testing.T) {
	for seed := range uint64(3) {
		got := newRetryingFleet(seed).simulatePeaks()
		unreserved := newRetryingFleet(seed)
		unreserved.limits = func(short, _ bool) *placer.Limits {
			return placer.NewLimits(short, false)
		}
		other := unreserved.simulatePeaks()
		t.Logf("seed %d: %v, without reserved memory %v", seed, got, other)
		assert.Check(t, got.checksInTime > other.checksInTime, "seed %d: %.3f of the checks in time, without reserved memory %.3f", seed, got.checksInTime, other.checksInTime)
	}
}

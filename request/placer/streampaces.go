package placer

import (
	"math"
	"slices"
	"time"

	"bluebelldoor"
)

const (
	// startPauseFactor applies until the VM has seen enough intervals: an engine that is slow
	// for a moment takes 2.5 times as long for an event, and twice as long again if it also
	// reads a chunk of a prompt before it.
	startPauseFactor = 5
	// minPauseFactor and maxPauseFactor bound the learned factor. A chunk of a prompt alone
	// doubles an interval; beyond 10, the cause is the link or the VM rather than the target,
	// and no target would be safe.
	minPauseFactor = 2
	maxPauseFactor = 10
	// streamEvents is the length of a protected stream for which the factor is chosen, and
	// lateStreamShare the share of such streams that may have a gap beyond the expected one.
	// One long interval makes the whole stream late, so a much smaller share of the intervals
	// may exceed the factor.
	streamEvents       = 150
	lateStreamShare    = 0.1
	longIntervalsShare = lateStreamShare / streamEvents
	// minRatios is how many intervals replace the start value. Ten of so many are expected to
	// exceed the factor; with fewer, one slow period would decide.
	minRatios = 10 / longIntervalsShare
	// maxRatios is the number of intervals at which all counts are halved, so that the factor
	// follows changes.
	maxRatios = 4 * minRatios
	// ratioBins and binsPerDoubling are the number and width of the bins for ratios, from 1 to
	// 15. startBin is the bin whose value is startPauseFactor.
	ratioBins       = 64
	binsPerDoubling = 16
	startBin        = 37

	// usualMemory is how many intervals count in a target's usual interval. It covers about
	// 4 s of a stream, so that a slow period of 600 ms changes it little.
	usualMemory = 128
	// minUsualIntervals is how many intervals a VM must have measured to use its own value
	// alone, and to compare further intervals with it.
	minUsualIntervals = 16
	// peerPaceWeight is the weight of a peer's report in the average over all peers.
	peerPaceWeight = 0.25
	// maxPaces bounds the number of targets whose intervals are kept: more than three times
	// the planned number of targets.
	maxPaces = 4096
	// maxIdlePaces bounds the number of targets without load whose interval is told to peers.
	maxIdlePaces = 32
)

// streamPaces tracks, for services with protected streams, the usual event interval of each
// target and the factor by which the longest intervals of a service exceed it.
type streamPaces struct {
	targets map[string]targetPace
	// factors are the learned factors by service.
	factors map[string]*pauseFactor
	// idle are the targets that this VM has measured and where its last request has ended,
	// the latest last.
	idle []string
}

// targetPace is the usual event interval of a target.
type targetPace struct {
	// own is what this VM measured in the given number of intervals, up to usualMemory.
	own       time.Duration
	intervals int
	// peers is what peers reported last. It is kept when they have no load there any more.
	peers time.Duration
}

func newStreamPaces() *streamPaces {
	return &streamPaces{targets: map[string]targetPace{}, factors: map[string]*pauseFactor{}}
}

// usual returns the usual interval, 0 if it is unknown. A few intervals of this VM count
// together with what its peers reported.
func (p targetPace) usual() time.Duration {
	if p.peers == 0 || p.intervals >= minUsualIntervals {
		return p.own
	}
	own := float64(p.intervals) / minUsualIntervals
	return time.Duration(own*float64(p.own) + (1-own)*float64(p.peers))
}

// RecordStreamIntervals records a sample of consecutive event intervals of a target of a
// service with protected streams. Unlike that of RecordIntervals, the sample may be as short
// as one interval.
func (l *Ledger) RecordStreamIntervals(service, target string, sample []time.Duration) {
	if len(sample) == 0 {
		return
	}
	s := l.streamPaces
	pace, known := s.targets[target]
	if !known && len(s.targets) >= maxPaces {
		return
	}
	if pace.intervals >= minUsualIntervals && pace.own > 0 {
		s.factor(service).record(sample, pace.own)
	}
	sorted := slices.Clone(sample)
	slices.Sort(sorted)
	interval := sorted[int(intervalQuantile*float64(len(sorted)))]
	// Each interval has the same weight until usualMemory is reached.
	pace.intervals = min(pace.intervals+len(sample), usualMemory)
	pace.own += time.Duration(float64(len(sample)) / float64(max(pace.intervals, len(sample))) * float64(interval-pace.own))
	s.targets[target] = pace
}

// recordPeers records the intervals in a report of a peer.
func (s *streamPaces) recordPeers(loads []bluebelldoor.TargetLoad) {
	for _, t := range loads {
		pace, known := s.targets[t.Target]
		if t.EventIntervalMs <= 0 || !known && len(s.targets) >= maxPaces {
			continue
		}
		reported := time.Duration(t.EventIntervalMs) * time.Millisecond
		if pace.peers == 0 {
			pace.peers = reported
		}
		pace.peers += time.Duration(peerPaceWeight * float64(reported-pace.peers))
		s.targets[t.Target] = pace
	}
}

// recordIdle records that this VM's last request to a target has ended.
func (s *streamPaces) recordIdle(target string) {
	if s.targets[target].own == 0 {
		return
	}
	s.removeIdle(target)
	s.idle = append(s.idle, target)
	s.idle = slices.Delete(s.idle, 0, max(0, len(s.idle)-maxIdlePaces))
}

func (s *streamPaces) removeIdle(target string) {
	s.idle = slices.DeleteFunc(s.idle, func(other string) bool { return other == target })
}

func (s *streamPaces) forget(target string) {
	delete(s.targets, target)
	s.removeIdle(target)
}

// appendIdleLoads appends the intervals of targets where this VM has no load. Most requests
// to a new target are so short that peers would not hear of its interval otherwise.
func (l *Ledger) appendIdleLoads(loads []bluebelldoor.TargetLoad) []bluebelldoor.TargetLoad {
	for _, target := range l.streamPaces.idle {
		if l.own[target] == nil {
			loads = append(loads, bluebelldoor.TargetLoad{Target: target})
		}
	}
	return loads
}

// factor returns the learned factor of a service.
func (s *streamPaces) factor(service string) *pauseFactor {
	f := s.factors[service]
	if f == nil {
		f = newPauseFactor()
		s.factors[service] = f
	}
	return f
}

// pauseFactor learns the factor by which the longest intervals exceed the usual interval of
// the same target: the (1-longIntervalsShare) quantile of their ratio.
type pauseFactor struct {
	counts [ratioBins]float64
	total  float64
	value  float64
}

// newPauseFactor returns a factor that counts as learned from minRatios intervals. Twice the
// allowed share of them are at the start value, so that it takes about minRatios shorter ones
// to lower the factor, and ten longer ones to raise it.
func newPauseFactor() *pauseFactor {
	f := &pauseFactor{total: minRatios, value: startPauseFactor}
	f.counts[startBin] = 2 * longIntervalsShare * minRatios
	f.counts[0] = minRatios - f.counts[startBin]
	return f
}

// record records intervals of a target with a usual interval.
func (f *pauseFactor) record(intervals []time.Duration, usual time.Duration) {
	for _, interval := range intervals {
		f.counts[ratioBin(float64(interval)/float64(usual))]++
	}
	f.total += float64(len(intervals))
	if f.total >= maxRatios {
		for i := range f.counts {
			f.counts[i] /= 2
		}
		f.total /= 2
	}
	f.value = min(max(f.quantile(), minPauseFactor), maxPauseFactor)
}

// quantile returns the highest ratio that more than longIntervalsShare of the intervals reach.
func (f *pauseFactor) quantile() float64 {
	reached := 0.0
	for i := ratioBins - 1; i > 0; i-- {
		reached += f.counts[i]
		if reached > longIntervalsShare*f.total {
			return startPauseFactor * math.Exp2(float64(i-startBin)/binsPerDoubling)
		}
	}
	return 1
}

// ratioBin returns the bin of a ratio.
func ratioBin(ratio float64) int {
	if ratio <= 1 {
		return 0
	}
	bin := startBin + math.Round(binsPerDoubling*math.Log2(ratio/startPauseFactor))
	return int(min(max(bin, 0), ratioBins-1))
}

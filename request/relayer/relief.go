package relayer

import (
	"math/rand/v2"
	"time"

	"bluebelldoor/process/registrar"
	"bluebelldoor/request/placer"
)

// reliefBudgetShare is the fraction of the retry budget up to which streams are moved only to
// free a safe target. It is below retryBudgetShare, as retries would be refused otherwise while
// there are many such moves. The rest is for streams whose target leaves.
const reliefBudgetShare = 0.5

// relieveTarget moves a protected stream that has just begun off its target, if the target is safe
// and has several: prompts can be read there without a late event in any stream, while
// the stream itself is as well off on a slower target that reads none.
func (s *stream) relieveTarget() {
	j := s.job
	demand := j.demand()
	if !demand.Protected || demand.Engine == nil || !demand.Engine.CanCopy {
		return
	}
	t, now := s.target, j.clock.Now()
	_, candidates := j.destinations(now)
	j.mu.Lock()
	crowded := j.ledger.IsCrowded(t.ID, candidates, demand, now)
	j.mu.Unlock()
	if !crowded {
		return
	}
	s.mu.Lock()
	s.relief = make(chan struct{})
	s.mu.Unlock()
	// The target is checked after s.relief is set: a move off a leaving target that does not see
	// s.relief began after the target was marked as leaving.
	if !j.sources.View().AcceptsNewWork(t.Instance) || !j.hasReliefDestination(t, now) || !j.takeRetryBudget(reliefBudgetShare) {
		s.endRelief()
		return
	}
	go j.moveTo(s, t, true)
}

// endRelief lets a move off a leaving target proceed.
func (s *stream) endRelief() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.relief)
}

// awaitRelief waits for the end of a move that frees a safe target.
func (s *stream) awaitRelief() {
	s.mu.Lock()
	relief := s.relief
	s.mu.Unlock()
	if relief == nil {
		return
	}
	select {
	case <-relief:
	case <-s.job.ctx.Done():
	}
}

// hasReliefDestination reports whether a target can take a stream now. Streams without one take
// nothing from the retry budget.
func (j *job) hasReliefDestination(source *registrar.Target, now time.Duration) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, choice, _ := j.pickRelief(map[string]bool{source.ID: true}, j.copyDemand(source, j.request.PromptTokens), now)
	return choice.Index >= 0
}

// reserveRelief reserves a destination on which no prompt is being read and that is not safe.
func (j *job) reserveRelief(source *registrar.Target, tried map[string]bool, tokens int) (*registrar.Target, *placer.Reservation) {
	demand, now := j.copyDemand(source, tokens), j.clock.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	targets, choice, demand := j.pickRelief(tried, demand, now)
	if choice.Index < 0 {
		return nil, nil
	}
	destination := targets[choice.Index]
	if now < destination.ColdUntil {
		j.ledger.RecordCold(destination.ID, now)
	}
	j.logDestination(source, destination, choice, demand, len(targets))
	return destination, j.reserveCopy(destination.ID, demand)
}

// pickRelief returns the targets that have not been tried and the choice among them. A limited
// target is no destination: the stream would be late while it waits for a permit. The caller
// must hold r.mu.
func (j *job) pickRelief(tried map[string]bool, demand placer.Demand, now time.Duration) ([]*registrar.Target, placer.Choice, placer.Demand) {
	targets, candidates := j.destinations(now)
	n := 0
	for i, t := range targets {
		if _, limited := j.Limits.Limit(t.Instance); !limited && !tried[t.ID] {
			targets[n], candidates[n] = t, candidates[i]
			n++
		}
	}
	demand.IsRelief, demand.Limits = true, placer.ReliefLimits
	return targets[:n], j.ledger.Pick(candidates[:n], demand, now, rand.Float64), demand
}

package relayer

import (
	"math/rand/v2"

	"bluebelldoor/process/registrar"
	"bluebelldoor/request/placer"
)

// reliefBudgetShare is the fraction of the retry budget up to which streams are moved only to
// free a safe target. The rest is for streams whose target leaves, and for retries.
const reliefBudgetShare = 0.7

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
	if !crowded || !j.takeRetryBudget(reliefBudgetShare) {
		return
	}
	done := make(chan struct{})
	s.mu.Lock()
	s.relief = done
	s.mu.Unlock()
	go func() {
		defer close(done)
		j.moveTo(s, t, j.reserveRelief, true)
	}()
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

// reserveRelief reserves a destination on which no prompt is being read and that is not safe.
func (j *job) reserveRelief(source *registrar.Target, tried map[string]bool, tokens int) (*registrar.Target, *placer.Reservation) {
	now := j.clock.Now()
	targets, candidates := j.candidates(now)
	n := 0
	for i, t := range targets {
		if !tried[t.ID] {
			targets[n], candidates[n] = t, candidates[i]
			n++
		}
	}
	demand := j.copyDemand(source, tokens)
	demand.IsRelief, demand.Limits = true, placer.ReliefLimits
	j.mu.Lock()
	defer j.mu.Unlock()
	choice := j.ledger.Pick(candidates[:n], demand, now, rand.Float64)
	if choice.Index < 0 {
		return nil, nil
	}
	return targets[choice.Index], j.reserveCopy(source, targets[choice.Index], choice, demand, n)
}

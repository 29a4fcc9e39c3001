package relayer

import (
	"math"
	"math/rand/v2"
	"time"

	"bluebelldoor"
	"bluebelldoor/connection/exchanger"
	"bluebelldoor/process/registrar"
	"bluebelldoor/request/placer"
)

// coldSafety is taken off a cold target's rate, for requests on their way.
const coldSafety = 0.7

// demand returns what the request needs of a target.
func (j *job) demand() placer.Demand {
	d := placer.Demand{DataCentre: j.settings.Load().DataCentre, Engine: j.service.Engine, ColdPerSecond: -1}
	if j.route.Generates {
		d.Tokens = j.request.PromptTokens + j.expected()
	}
	if j.service.ColdPerSecond > 0 {
		bounds := j.settings.Load()
		d.ColdPerSecond = (j.service.ColdPerSecond*bounds.ColdFactor + bounds.ColdAllowance) * coldSafety * j.sources.Share()
	}
	return d
}

// expected returns how many tokens the generation is expected to make.
func (j *job) expected() int {
	switch hint, most := j.request.ExpectedTokens, j.request.MaxTokens; {
	case hint == 0:
		return most / 2
	case most == 0:
		return hint
	default:
		return min(hint, most)
	}
}

// place chooses a target for the request and notes the request there, so that
// the next one that is placed sees it.
func (j *job) place() (*registrar.Target, *placer.Reservation, *bluebelldoor.Refusal) {
	now := j.clock.Now()
	targets, candidates := j.candidates(now)
	if len(targets) == 0 {
		return nil, nil, bluebelldoor.Refuse(bluebelldoor.NoTarget, "no target of the service may take work").WithRetryAfter(comeBack)
	}
	demand := j.demand()
	choice, reservation, refusal := j.reserve(candidates, demand, now)
	if refusal != nil {
		return nil, nil, refusal
	}
	t := targets[choice.Index]
	j.log.Info("target chosen", "id", j.request.ID, "target", t.ID, "dataCentre", t.DataCentre, "of", len(targets),
		"cost", round(choice.Cost), "requests", choice.Requests, "tokens", choice.Tokens, "prefill", choice.Prefill,
		"failures", round(choice.Failures), "coldMs", max(0, t.ColdUntil-now).Milliseconds(), "full", choice.Full)
	return t, reservation, nil
}

func (j *job) reserve(candidates []placer.Candidate, demand placer.Demand, now time.Duration) (placer.Choice, *placer.Reservation, *bluebelldoor.Refusal) {
	j.mu.Lock()
	defer j.mu.Unlock()
	choice := j.ledger.Pick(candidates, demand, now, rand.Float64)
	if choice.Index < 0 {
		return choice, nil, bluebelldoor.Refuse(bluebelldoor.ColdTargets, "all targets are cold and have what they bear").WithRetryAfter(comeBack)
	}
	if refusal := j.crowded(choice); refusal != nil {
		return choice, nil, refusal
	}
	chosen := candidates[choice.Index]
	if chosen.Cold {
		j.ledger.SentCold(chosen.Instance.ID, now)
	}
	return choice, j.ledger.Start(chosen.Instance.ID, demand.Tokens, j.request.PromptTokens), nil
}

// round keeps three decimals, for log lines.
func round(f float64) float64 { return math.Round(f*1000) / 1000 }

func (j *job) candidates(now time.Duration) ([]*registrar.Target, []placer.Candidate) {
	view := j.sources.View()
	var targets []*registrar.Target
	var candidates []placer.Candidate
	for _, t := range view.Serving(j.name) {
		if !view.Open(t.Instance) || j.excluded[t.ID] {
			continue
		}
		targets = append(targets, t)
		candidates = append(candidates, placer.Candidate{Instance: t.Instance, Cold: now < t.ColdUntil, Lapsed: t.Lapsed})
	}
	return targets, candidates
}

// outgoing returns the request as it goes to a target.
func (j *job) outgoing(t *registrar.Target, resumeAfter, copied string) *exchanger.Outgoing {
	return &exchanger.Outgoing{
		ID:     j.request.ID,
		Method: j.request.HTTP.Method,
		URI:    j.request.HTTP.RequestURI,
		Host:   j.request.Host,
		Header: j.Codec.Head(j.request, bluebelldoor.Dispatch{
			Target:      t.Instance,
			Left:        j.left(),
			Account:     j.account,
			Priority:    j.priority,
			ResumeAfter: resumeAfter,
			Copy:        copied,
		}),
		Body:   j.request.Body,
		Fresh:  !j.route.Repeatable(),
		Permit: func() error { return j.permit(t) },
	}
}

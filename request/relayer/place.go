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
	d := placer.Demand{DataCentre: j.settings.Load().DataCentre, Engine: j.service.Engine, Connections: j.service.MaxConnections, ColdPerSecond: -1}
	if j.route.Generates {
		d.Tokens, d.Held, d.Long = j.request.PromptTokens+j.expected(), j.request.PromptTokens, j.long()
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
// the next one that is placed sees it. Without target and refusal, the time is
// over or the caller has left.
func (j *job) place() (*registrar.Target, *placer.Reservation, *bluebelldoor.Refusal) {
	if j.waits() {
		return j.wait()
	}
	now := j.clock.Now()
	targets, candidates := j.candidates(now)
	if len(targets) == 0 {
		return nil, nil, j.noTarget()
	}
	demand := j.demand()
	j.mu.Lock()
	defer j.mu.Unlock()
	choice := j.ledger.Pick(candidates, demand, now, rand.Float64)
	if choice.Index < 0 && choice.Lacks == placer.NoConnection {
		return nil, nil, bluebelldoor.Refuse(bluebelldoor.NoTarget, "every target has the connections that it takes").WithRetryAfter(comeBack)
	}
	if choice.Index < 0 {
		return nil, nil, bluebelldoor.Refuse(bluebelldoor.ColdTargets, "all targets are cold and have what they bear").WithRetryAfter(comeBack)
	}
	t := targets[choice.Index]
	reservation := j.start(t, candidates[choice.Index].Cold, demand, now)
	j.chosen(t, choice, len(targets), now)
	return t, reservation, nil
}

// start notes the request on its target. It needs the ledger's lock.
func (j *job) start(t *registrar.Target, cold bool, demand placer.Demand, now time.Duration) *placer.Reservation {
	if cold {
		j.ledger.SentCold(t.ID, now)
	}
	return j.ledger.Start(t.ID, demand.Tokens, j.request.PromptTokens)
}

// chosen logs a choice. The log does not block.
func (j *job) chosen(t *registrar.Target, choice placer.Choice, of int, now time.Duration) {
	j.log.Info("target chosen", "id", j.request.ID, "route", j.route.Name, "target", t.ID, "dataCentre", t.DataCentre, "of", of,
		"prompt", j.request.PromptTokens, "expected", j.expected(),
		"cost", round(choice.Cost), "requests", choice.Requests, "tokens", choice.Tokens, "held", choice.Held, "prefill", choice.Prefill,
		"failures", round(choice.Failures), "coldMs", max(0, t.ColdUntil-now).Milliseconds(), "full", choice.Full,
		"waitedMs", (now - j.arrived).Milliseconds(), "waiting", j.waiting())
}

// round keeps three decimals, for log lines.
func round(f float64) float64 { return math.Round(f*1000) / 1000 }

// mostIdle returns how many idle connections to a target this VM may keep: its
// share of those that may be open beyond the requests that the target runs.
func (j *job) mostIdle(t *registrar.Target) int {
	if j.service.MaxConnections == 0 {
		return exchanger.MaxIdle
	}
	return int(float64(max(0, placer.UsableConnections(j.service.MaxConnections)-t.Slots)) * j.sources.Share())
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
		Body:     j.request.Body,
		Fresh:    !j.route.Repeatable(),
		MostIdle: j.mostIdle(t),
		Permit:   func() error { return j.permit(t) },
	}
}

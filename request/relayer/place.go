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

// coldRateMargin reduces a cold target's rate to allow for requests in transit.
const coldRateMargin = 0.7

// demand returns the requirements of the request on a target.
func (j *job) demand() placer.Demand {
	d := placer.Demand{DataCentre: j.settings.Load().DataCentre, Engine: j.service.Engine, ConnectionLimit: j.service.MaxConnections, MaxColdPerSecond: -1}
	if j.route.Generates {
		d.Tokens, d.HeldTokens, d.Long = j.request.PromptTokens+j.expectedTokens(), j.request.PromptTokens, j.isLong()
	}
	if terms := j.terms(); j.route.Generates && terms.ProtectsStreams() {
		d.MixesStreams, d.Protected, d.MaxEventGap = true, terms.Protects(j.route), terms.ProtectedGap()
		if d.Protected {
			d.MaxEventGap = j.route.MaxEventGap
		}
		d.Long = d.Long || d.Protected
	}
	d.SlowStart = j.slowStart()
	d.Backfills = j.isUrgent() && !d.Long
	if j.service.HasColdLimit {
		settings := j.settings.Load()
		d.MaxColdPerSecond = (j.service.ColdPerSecond*settings.ColdFactor + settings.ColdAllowance) * coldRateMargin * j.sources.Share()
	}
	return d
}

// terms returns what the routes of the request's service ask of placement.
func (j *job) terms() bluebelldoor.ServiceTerms {
	if routing := j.sources.View().Routing(); routing != nil {
		return routing.Terms(j.serviceName)
	}
	return bluebelldoor.ServiceTerms{}
}

// expectedTokens returns how many tokens the generation is expected to produce.
func (j *job) expectedTokens() int {
	switch hint, maxTokens := j.request.ExpectedTokens, j.request.MaxTokens; {
	case hint == 0:
		return maxTokens / 2
	case maxTokens == 0:
		return hint
	default:
		return min(hint, maxTokens)
	}
}

// place chooses a target for the request and reserves its load there, so that the
// next placement counts it. If it returns neither target nor refusal, the
// deadline has passed or the caller has disconnected.
func (j *job) place() (*registrar.Target, *placer.Reservation, *bluebelldoor.Refusal) {
	if j.mustQueue() {
		return j.waitForTarget()
	}
	if refusal := j.checkSuspects(); refusal != nil {
		return nil, nil, refusal
	}
	now := j.clock.Now()
	targets, candidates := j.candidates(now)
	if len(targets) == 0 {
		return nil, nil, j.refusalNoTarget()
	}
	demand := j.demand()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.observeTargets(now)
	choice := j.ledger.Pick(candidates, demand, now, rand.Float64)
	if choice.Index < 0 && choice.Missing == placer.NoConnection {
		return nil, nil, bluebelldoor.NewRefusal(bluebelldoor.NoTarget, "all targets are at their connection limit").WithRetryAfter(defaultRetryAfter)
	}
	if choice.Index < 0 {
		return nil, nil, bluebelldoor.NewRefusal(bluebelldoor.ColdTargets, "all targets are cold and at their rate limit").WithRetryAfter(defaultRetryAfter)
	}
	t := targets[choice.Index]
	reservation := j.reserve(t, candidates[choice.Index].Cold, demand, now)
	j.logChoice(t, choice, len(targets), now)
	return t, reservation, nil
}

// placePermitted is place for a target to which the request may be sent: where a limited
// target accepts no more requests now, it chooses another.
func (j *job) placePermitted() (*registrar.Target, *placer.Reservation, *bluebelldoor.Refusal) {
	for j.ctx.Err() == nil {
		target, reservation, refusal := j.place()
		if target == nil || j.acquireInTime(target) {
			j.sent.SentAt = j.clock.Now()
			return target, reservation, refusal
		}
		j.endReservation(reservation)
	}
	return nil, nil, nil
}

// reserve records the request on its target. The caller must hold r.mu.
func (j *job) reserve(t *registrar.Target, cold bool, demand placer.Demand, now time.Duration) *placer.Reservation {
	if cold {
		j.ledger.RecordCold(t.ID, now)
	}
	j.beginAttempt(t, now)
	reservation := j.ledger.Start(t.ID, demand.Tokens, j.request.PromptTokens)
	if demand.Protected {
		reservation.Protect()
	}
	return reservation
}

// logChoice logs the choice of a target, and counts it if the stream is protected. The
// caller must hold r.mu, which is safe as logging does not block.
func (j *job) logChoice(t *registrar.Target, choice placer.Choice, candidates int, now time.Duration) {
	if choice.OverWindow {
		j.Metrics.CountSlowStart("overWindow")
	}
	j.logSlowStarts()
	limit, limited := j.Limits.Limit(t.Instance)
	if !limited {
		limit = -1
	}
	j.log.Info("target chosen", "id", j.request.ID, "route", j.route.Name, "target", t.ID, "dataCentre", t.DataCentre, "of", candidates,
		"prompt", j.request.PromptTokens, "expected", j.expectedTokens(),
		"cost", round3(choice.Cost), "requests", choice.Requests, "tokens", choice.Tokens, "held", choice.Held, "prefill", choice.Prefill,
		"failures", round3(choice.FailureRate), "coldMs", max(0, t.ColdUntil-now).Milliseconds(), "full", choice.Full, "limit", limit,
		"gapMs", choice.ExpectedGap.Milliseconds(), "safe", choice.Safe,
		"window", choice.Window, "overWindow", choice.OverWindow,
		"waitedMs", (now - j.arrived).Milliseconds(), "waiting", j.queueLength())
	if choice.Protected {
		j.Metrics.CountProtected("start", choice.Safe)
	}
}

// round3 rounds to three decimals, for log lines.
func round3(f float64) float64 { return math.Round(f*1000) / 1000 }

// maxIdle returns how many idle connections to a target this VM may keep: its
// share of those that may be open beyond the requests that the target runs.
func (j *job) maxIdle(t *registrar.Target) int {
	if j.service.MaxConnections == 0 {
		return exchanger.MaxIdlePerTarget
	}
	return int(float64(max(0, placer.UsableConnections(j.service.MaxConnections)-t.Slots)) * j.sources.Share())
}

// targetRequest returns the request in the form in which it is sent to a target.
func (j *job) targetRequest(t *registrar.Target, resumeAfter, copyID string) *exchanger.Request {
	return &exchanger.Request{
		ID:     j.request.ID,
		Method: j.request.HTTP.Method,
		URI:    j.request.HTTP.RequestURI,
		Host:   j.request.Host,
		Header: j.Codec.RequestHeader(j.request, bluebelldoor.Dispatch{
			Target:      t.Instance,
			TimeLeft:    j.remaining(),
			Account:     j.account,
			Priority:    j.priority,
			ResumeAfter: resumeAfter,
			CopyID:      copyID,
		}),
		Body:    j.request.Body,
		NewConn: !j.route.Repeatable(),
		MaxIdle: j.maxIdle(t),
		Permit:  func() error { return j.permit(t) },
	}
}

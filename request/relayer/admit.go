package relayer

import (
	"math/rand/v2"
	"time"

	"bluebelldoor"
	"bluebelldoor/process/registrar"
)

// admit determines the route, client account, deadline and service, or returns a
// refusal.
func (j *job) admit() *bluebelldoor.Refusal {
	if j.closed.Load() {
		return bluebelldoor.NewRefusal(bluebelldoor.Draining, "this VM is shutting down").WithRetryAfter(defaultRetryAfter / 10)
	}
	view := j.sources.View()
	routing := view.Routing()
	age, known := j.sources.EvidenceAge()
	if routing == nil || !known {
		return bluebelldoor.NewRefusal(bluebelldoor.ViewStale, "no routing has been read yet").WithRetryAfter(defaultRetryAfter)
	}
	if age > j.settings.Load().MaxViewAge && j.isBehind() {
		return bluebelldoor.NewRefusal(bluebelldoor.ViewStale, "a newer routing has not arrived yet, the one in force was last confirmed "+age.Round(time.Millisecond).String()+" ago").WithRetryAfter(defaultRetryAfter)
	}
	j.route = routing.Route(j.request.Host, j.request.Path)
	if j.route == nil {
		return j.refusalUnknown(age, bluebelldoor.UnknownRoute, "no route has this host and path")
	}
	j.priority = j.route.Priority
	if routing.NeedsAPIKey() && !j.route.Public {
		if age > j.settings.Load().MaxKeyEvidenceAge {
			return bluebelldoor.NewRefusal(bluebelldoor.ViewStale, "the platform has not confirmed the keys for "+age.Round(time.Millisecond).String()).WithRetryAfter(defaultRetryAfter)
		}
		account := routing.Account(j.request.APIKey)
		if account == nil {
			return j.refusalUnknown(age, bluebelldoor.Unauthorized, "no client account holds this API key")
		}
		j.account = account.Account
		if account.HasPriority {
			j.priority = account.Priority
		}
	}
	if j.draining.Load() && j.route.Streamed {
		return bluebelldoor.NewRefusal(bluebelldoor.Draining, "this VM is leaving").WithRetryAfter(defaultRetryAfter / 10)
	}
	j.setDeadline()
	if refusal := j.setService(routing); refusal != nil {
		return refusal
	}
	return j.checkSuspects()
}

// setService chooses the service, or returns a refusal if the route has none.
func (j *job) setService(routing *bluebelldoor.Routing) *bluebelldoor.Refusal {
	if j.serviceName = pickService(j.route.Shares); j.serviceName == "" {
		return bluebelldoor.NewRefusal(bluebelldoor.NoTarget, "the route names no service with a weight").WithRetryAfter(defaultRetryAfter)
	}
	if j.service = routing.Service(j.serviceName); j.service == nil {
		j.service = &bluebelldoor.ServiceKind{Name: j.serviceName}
	}
	return nil
}

// isBehind reports whether a newer routing is known that has not arrived.
func (r *Relayer) isBehind() bool { return r.sources.IsBehind != nil && r.sources.IsBehind() }

// refusalUnknown returns the refusal for a route or key that does not exist. Where
// the view is too old to rule out that it was added since, or a newer routing is known, the
// code is ViewStale.
func (j *job) refusalUnknown(age time.Duration, code bluebelldoor.Code, detail string) *bluebelldoor.Refusal {
	if age > j.settings.Load().MaxViewAge || j.isBehind() {
		return bluebelldoor.NewRefusal(bluebelldoor.ViewStale, detail+" in a view that is "+age.Round(time.Millisecond).String()+" old").WithRetryAfter(defaultRetryAfter)
	}
	return bluebelldoor.NewRefusal(code, detail)
}

// setDeadline sets the deadline by the timeout of the route or that of the
// request, whichever is shorter.
func (j *job) setDeadline() {
	limit := j.route.Timeout
	if j.request.Within > 0 && (limit == 0 || j.request.Within < limit) {
		limit = j.request.Within
	}
	if limit > 0 {
		j.deadline = j.arrived + limit
	}
}

// pickService chooses a service at random by the weights of the shares. It returns "" if none
// has a weight.
func pickService(shares []bluebelldoor.ServiceShare) string {
	total := 0
	for _, s := range shares {
		total += max(0, s.Weight)
	}
	if total == 0 {
		return ""
	}
	n := rand.IntN(total)
	for _, s := range shares {
		if n -= max(0, s.Weight); n < 0 {
			return s.Service
		}
	}
	return ""
}

// permit is the last check before bytes are sent to a target.
func (j *job) permit(t *registrar.Target) error {
	view := j.sources.View()
	if !view.AcceptsNewWork(t.Instance) {
		return errNotPermitted
	}
	if j.Pauses.Remaining(t.Instance) > 0 {
		return errPaused
	}
	if !j.Limits.Allows(j.permitted, t.Instance) {
		return errNoPermit
	}
	if j.checkSuspects() != nil {
		return errQuarantined
	}
	if j.call.Begun() {
		return nil
	}
	return j.checkAccess(view)
}

// checkAccess checks route and key again, as the view may have changed while a
// connection was opened or the VM was suspended.
func (j *job) checkAccess(view *registrar.View) error {
	routing := view.Routing()
	if !routing.Allows(j.request.Host, j.request.Path, j.serviceName) {
		return errNotPermitted
	}
	needsKey := routing.NeedsAPIKey() && !routing.Route(j.request.Host, j.request.Path).Public
	if j.account == "" && !needsKey {
		return nil
	}
	if age, _ := j.sources.EvidenceAge(); age > j.settings.Load().MaxKeyEvidenceAge {
		return errNotPermitted
	}
	if account := routing.Account(j.request.APIKey); account == nil || account.Account != j.account {
		return errNotPermitted
	}
	return nil
}

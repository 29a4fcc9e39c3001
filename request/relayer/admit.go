package relayer

import (
	"math/rand/v2"
	"time"

	"bluebelldoor"
	"bluebelldoor/process/registrar"
)

// admit finds route, client account, time and service, or refuses.
func (j *job) admit() *bluebelldoor.Refusal {
	if j.closed.Load() {
		return bluebelldoor.Refuse(bluebelldoor.Draining, "this VM ends").WithRetryAfter(comeBack / 10)
	}
	view := j.sources.View()
	routing := view.Routing()
	age, proved := j.sources.Evidence()
	if routing == nil || !proved {
		return bluebelldoor.Refuse(bluebelldoor.ViewStale, "no routing has been read yet").WithRetryAfter(comeBack)
	}
	j.route = routing.Route(j.request.Host, j.request.Path)
	if j.route == nil {
		return j.unknown(age, bluebelldoor.UnknownRoute, "no route has this host and path")
	}
	j.priority = j.route.Priority
	if routing.Keyed() && !j.route.Public {
		if age > j.settings.Load().KeyEvidence {
			return bluebelldoor.Refuse(bluebelldoor.ViewStale, "the platform has not confirmed the keys for "+age.Round(time.Millisecond).String()).WithRetryAfter(comeBack)
		}
		account := routing.Account(j.request.APIKey)
		if account == nil {
			return j.unknown(age, bluebelldoor.Unauthorized, "no client account holds this API key")
		}
		j.account = account.Account
		if account.HasPriority {
			j.priority = account.Priority
		}
	}
	if j.leaving.Load() && j.route.Streamed {
		return bluebelldoor.Refuse(bluebelldoor.Draining, "this VM is leaving").WithRetryAfter(comeBack / 10)
	}
	j.limitTime()
	j.name = pickShare(j.route.Shares)
	j.service = routing.Service(j.name)
	if j.service == nil {
		j.service = &bluebelldoor.ServiceKind{Name: j.name}
	}
	return nil
}

// unknown refuses what does not exist, or, where this VM may have missed that
// it was added, what it can't judge.
func (j *job) unknown(age time.Duration, code bluebelldoor.Code, detail string) *bluebelldoor.Refusal {
	if age > j.settings.Load().News {
		return bluebelldoor.Refuse(bluebelldoor.ViewStale, detail+", by a view that is "+age.Round(time.Millisecond).String()+" old").WithRetryAfter(comeBack)
	}
	return bluebelldoor.Refuse(code, detail)
}

func (j *job) limitTime() {
	limit := j.route.Timeout
	if j.request.Within > 0 && (limit == 0 || j.request.Within < limit) {
		limit = j.request.Within
	}
	if limit > 0 {
		j.deadline = j.arrived + limit
	}
}

func pickShare(shares []bluebelldoor.ServiceShare) string {
	total := 0
	for _, s := range shares {
		total += max(0, s.Weight)
	}
	if total == 0 {
		return shares[0].Service
	}
	n := rand.IntN(total)
	for _, s := range shares {
		if n -= max(0, s.Weight); n < 0 {
			return s.Service
		}
	}
	return shares[0].Service
}

// permit is the last check before bytes leave for a target.
func (j *job) permit(t *registrar.Target) error {
	view := j.sources.View()
	if !view.Open(t.Instance) {
		return errClosed
	}
	if j.Pauses.Left(t.Instance) > 0 {
		return errPaused
	}
	if j.call.Begun() {
		return nil
	}
	return j.stillAllowed(view)
}

// stillAllowed checks route and key once more: the view may have changed while
// a connection was opened, or the VM may have been suspended.
func (j *job) stillAllowed(view *registrar.View) error {
	routing := view.Routing()
	if !routing.Allows(j.request.Host, j.request.Path, j.name) {
		return errClosed
	}
	if j.account == "" {
		return nil
	}
	if age, _ := j.sources.Evidence(); age > j.settings.Load().KeyEvidence {
		return errClosed
	}
	if account := routing.Account(j.request.APIKey); account == nil || account.Account != j.account {
		return errClosed
	}
	return nil
}

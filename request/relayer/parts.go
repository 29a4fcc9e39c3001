package relayer

import (
	"fmt"
	"time"

	"bluebelldoor"
	"bluebelldoor/process/registrar"
)

// checkParts returns a refusal if a part of the prompt is kept away from engines, else nil.
// It has no Retry-After: the same prompt would be refused again.
func (j *job) checkParts() *bluebelldoor.Refusal {
	verdict, quarantined := j.Parts.Check(j.serviceName, j.account, j.request.SharedParts)
	if !quarantined {
		return nil
	}
	detail := fmt.Sprintf("part %s of the prompt has crashed %d engines, the last one %s ago", verdict.Part, verdict.Crashes, verdict.Age.Round(time.Millisecond))
	return bluebelldoor.NewRefusal(bluebelldoor.PromptQuarantined, detail)
}

// recordCrash records that a target was lost after it had begun to answer and before the
// first event. One that is leaving may end its streams.
func (j *job) recordCrash(t *registrar.Target) {
	if j.ctx.Err() == nil && j.sources.View().AcceptsNewWork(t.Instance) {
		j.Parts.RecordCrash(j.serviceName, j.account, j.request.SharedParts, t.Incarnation())
	}
}

// recordSound records that a target has answered beyond the first event.
func (j *job) recordSound() { j.Parts.RecordSound(j.serviceName, j.request.SharedParts) }

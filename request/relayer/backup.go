package relayer

import (
	"math"
	"math/rand/v2"

	"bluebelldoor/connection/exchanger"
	"bluebelldoor/process/registrar"
	"bluebelldoor/request/placer"
)

// backupHeldShare is the part of an engine's memory that may be in use when it
// is to keep a copy: copies are for memory that nobody needs.
const backupHeldShare = 0.5

// backup is an engine that keeps a copy of a generation as it grows, against
// the loss of the engine that runs it.
type backup struct {
	target      *registrar.Target
	reservation *placer.Reservation
}

// address returns where the copy is kept of a generation that runs on t.
func (b *backup) address(t *registrar.Target) string {
	if b == nil || b.target.ID == t.ID {
		return ""
	}
	return b.target.Address
}

// backUp chooses an engine to keep a copy of a generation that is to run on t.
func (j *job) backUp(t *registrar.Target) {
	j.dropBackup()
	if !j.route.Generates || j.service.Engine == nil || !j.service.Engine.Moves || !j.long() {
		return
	}
	now := j.clock.Now()
	targets, candidates := j.candidates(now)
	kept := 0
	for i, c := range targets {
		if c.ID != t.ID {
			targets[kept], candidates[kept] = c, candidates[i]
			kept++
		}
	}
	demand := j.demand()
	demand.DataCentre, demand.Copied = t.DataCentre, true
	demand.Limits = &placer.Limits{Prompts: math.Inf(1), Held: backupHeldShare}
	j.mu.Lock()
	defer j.mu.Unlock()
	choice := j.ledger.Pick(candidates[:kept], demand, now, rand.Float64)
	if choice.Index < 0 {
		return
	}
	b := &backup{target: targets[choice.Index], reservation: j.ledger.Keep(targets[choice.Index].ID)}
	b.reservation.Need(demand.Tokens, j.request.PromptTokens)
	j.backup = b
	j.log.Info("backup chosen", "id", j.request.ID, "target", t.ID, "backup", b.target.ID)
}

func (j *job) dropBackup() {
	if j.backup != nil {
		j.end(j.backup.reservation)
		j.backup = nil
	}
}

// fromBackup goes on from the copy that another engine keeps.
func (s *stream) fromBackup() (*exchanger.Answer, *placer.Reservation) {
	j := s.job
	b := j.backup
	if b == nil || b.target.ID == s.target.ID {
		return nil, nil
	}
	j.backup = nil
	j.end(b.reservation)
	j.mu.Lock()
	reservation := j.ledger.Start(b.target.ID, 0, 0)
	j.mu.Unlock()
	j.grow(s, reservation)
	answer := s.sendCopy(b.target, b.target.Address+"/"+j.request.ID)
	if answer == nil {
		j.end(reservation)
		return nil, nil
	}
	j.log.Info("stream goes on from its backup", "id", j.request.ID, "target", b.target.ID, "after", s.events.lastID)
	return answer, reservation
}

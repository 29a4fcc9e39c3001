package keeper

import "time"

// Verdict is a witness's reply to a query about a key.
type Verdict string

// The verdicts. After NotRun the witness never confirms the key.
const (
	// NotRun means that the witness has never confirmed the key and never will.
	NotRun Verdict = "notRun"
	// MayHaveRun means that the witness confirmed the key, or no longer has a
	// record of it.
	MayHaveRun Verdict = "mayHaveRun"
	// NotWitness means that this process is not the key's witness.
	NotWitness Verdict = "notWitness"
)

type witnessRecord struct {
	announced bool
	expires   time.Duration
}

// Witness records the announcements of other homes' keys to one incarnation of
// one VM. It is not safe for concurrent use. Times are durations since the
// process started.
type Witness struct {
	name        string
	incarnation string
	records     map[string]witnessRecord
}

// NewWitness returns a witness without records.
func NewWitness(name, incarnation string) *Witness {
	return &Witness{name: name, incarnation: incarnation, records: map[string]witnessRecord{}}
}

func (w *Witness) isWitnessOf(k Key) bool {
	return k.Witness == w.name && k.WitnessIncarnation == w.incarnation
}

func expiry(k Key) time.Duration { return time.Duration(k.WitnessUntilMs) * time.Millisecond }

// Announce records a home's announcement that it is about to send, and reports
// whether it may. It may not after Query has returned NotRun, nor once the
// record of the key would have expired.
func (w *Witness) Announce(k Key, now time.Duration) bool {
	if !w.isWitnessOf(k) || now >= expiry(k) {
		return false
	}
	r, ok := w.records[k.Nonce]
	if !ok {
		w.records[k.Nonce] = witnessRecord{announced: true, expires: expiry(k)}
		return true
	}
	return r.announced
}

// Query reports whether the key's call may have run. A query about a key that
// was never announced makes it dead: a later announcement is rejected.
func (w *Witness) Query(k Key, now time.Duration) Verdict {
	if !w.isWitnessOf(k) {
		return NotWitness
	}
	if now >= expiry(k) {
		return MayHaveRun
	}
	r, ok := w.records[k.Nonce]
	if !ok {
		w.records[k.Nonce] = witnessRecord{expires: expiry(k)}
		return NotRun
	}
	if r.announced {
		return MayHaveRun
	}
	return NotRun
}

// Expire removes expired records.
func (w *Witness) Expire(now time.Duration) {
	for nonce, r := range w.records {
		if now >= r.expires {
			delete(w.records, nonce)
		}
	}
}

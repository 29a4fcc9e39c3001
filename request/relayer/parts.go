package relayer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"slices"
	"time"

	"bluebelldoor"
)

const (
	// maxSuspectParts bounds the parts of one prompt that may be accused.
	maxSuspectParts = 31
	// suspectBytes is the length of the digest that identifies a request.
	suspectBytes = 16
)

// requestSuspect identifies the request by what it asks for: requests of one caller with the
// same method, path, prompt and body have the same. It is keyed by the fleet's secret and the
// caller's API key, so that it tells nobody else what the request holds.
func (j *job) requestSuspect() string {
	j.suspectOnce.Do(func() {
		mac := hmac.New(sha256.New, []byte(j.settings.Load().Secret+"\x00"+j.request.APIKey))
		r := j.request.HTTP
		for _, field := range []string{j.account, r.Method, j.request.Host, r.URL.RequestURI(), j.request.Prompt, string(j.request.Body)} {
			_ = binary.Write(mac, binary.BigEndian, uint64(len(field))) // a hash never returns an error
			_, _ = io.WriteString(mac, field)
		}
		j.suspect = "request-" + hex.EncodeToString(mac.Sum(nil)[:suspectBytes])
	})
	return j.suspect
}

// suspects returns what a crash of the target accuses: the shared parts of the prompt, and
// the request itself.
func (j *job) suspects() []string {
	parts := j.request.SharedParts
	return append(slices.Clone(parts[:min(len(parts), maxSuspectParts)]), j.requestSuspect())
}

// checkSuspects returns a refusal if the request or a part of its prompt is kept away from
// targets, else nil. It has no Retry-After: the same request would be refused again.
func (j *job) checkSuspects() *bluebelldoor.Refusal {
	if !j.Parts.HasSuspects() {
		return nil
	}
	verdict, quarantined := j.Parts.Check(j.serviceName, j.account, j.suspects())
	if !quarantined {
		return nil
	}
	if probe := j.probe.Load(); probe != nil && *probe == verdict.Set {
		return nil
	}
	if j.Parts.BeginProbe(verdict) {
		j.probe.Store(&verdict.Set)
		return nil
	}
	what := "part " + verdict.Part + " of the prompt"
	if verdict.Part == j.suspect {
		what = "the same request"
	}
	detail := fmt.Sprintf("%s has crashed %d targets, the last one %s ago", what, verdict.Crashes, verdict.Age.Round(time.Millisecond))
	return bluebelldoor.NewRefusal(bluebelldoor.PromptQuarantined, detail)
}

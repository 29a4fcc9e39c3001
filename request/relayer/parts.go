package relayer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"bluebelldoor"
	"bluebelldoor/process/registrar"
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
	what := "part " + verdict.Part + " of the prompt"
	if verdict.Part == j.suspect {
		what = "the same request"
	}
	detail := fmt.Sprintf("%s has crashed %d targets, the last one %s ago", what, verdict.Crashes, verdict.Age.Round(time.Millisecond))
	return bluebelldoor.NewRefusal(bluebelldoor.PromptQuarantined, detail)
}

// recordCrash records that a target was lost after it had begun to answer and before the
// first event. One that is leaving may end its streams.
func (j *job) recordCrash(t *registrar.Target) { j.accuse(t, j.suspects()) }

// recordLostAnswer records that a target ended its connection instead of an answer. That says
// nothing of the parts of the prompt, as it may not have read them.
func (j *job) recordLostAnswer(t *registrar.Target, err error) {
	for _, ended := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, ended) {
			j.accuse(t, []string{j.requestSuspect()})
			return
		}
	}
}

func (j *job) accuse(t *registrar.Target, suspects []string) {
	if j.ctx.Err() == nil && j.sources.View().AcceptsNewWork(t.Instance) {
		j.Parts.RecordCrash(j.serviceName, j.account, suspects, t.Incarnation())
	}
}

// recordSound records that a target has answered beyond the first event.
func (j *job) recordSound() { j.Parts.RecordSound(j.serviceName, j.suspects()) }

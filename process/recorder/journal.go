package recorder

import (
	"fmt"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"bluebelldoor"
)

const (
	maxRequests        = 4096
	maxRefusals        = 32
	maxStepsPerRequest = 64
)

// Step is a decision about a request.
type Step struct {
	At   time.Time `json:"at"`
	Text string    `json:"text"`
}

// RefusalRecord describes a refused request.
type RefusalRecord struct {
	At       time.Time `json:"at"`
	Request  string    `json:"request"`
	Code     int       `json:"code"`
	Name     string    `json:"name"`
	Executed string    `json:"executed"`
	Detail   string    `json:"detail"`
}

// Journal keeps the decisions on the most recent requests. It is safe for
// concurrent use.
type Journal struct {
	mu       sync.Mutex
	requests *lru.Cache[string, []Step]
	refusals []RefusalRecord
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	requests, err := lru.New[string, []Step](maxRequests)
	if err != nil {
		panic(err) // unreachable: the size is a positive constant
	}
	return &Journal{requests: requests}
}

// Record records a decision about a request, up to maxStepsPerRequest of them.
func (j *Journal) Record(request, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	steps, _ := j.requests.Get(request)
	if len(steps) < maxStepsPerRequest {
		j.requests.Add(request, append(steps, Step{At: time.Now(), Text: fmt.Sprintf(format, args...)}))
	}
}

// RecordRefusal records a refusal among the request's steps and in the list of recent
// refusals.
func (j *Journal) RecordRefusal(request string, r *bluebelldoor.Refusal) {
	j.Record(request, "refused: %s", r.Error())
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.refusals) == maxRefusals {
		j.refusals = j.refusals[1:]
	}
	j.refusals = append(j.refusals, RefusalRecord{
		At:       time.Now(),
		Request:  request,
		Code:     int(r.Code()),
		Name:     r.Code().String(),
		Executed: string(r.Executed()),
		Detail:   r.Detail(),
	})
}

// Steps returns the steps recorded for a request, and whether there are any.
func (j *Journal) Steps(request string) ([]Step, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	steps, ok := j.requests.Get(request)
	return append([]Step(nil), steps...), ok
}

// Refusals returns the most recent refusals, oldest first.
func (j *Journal) Refusals() []RefusalRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]RefusalRecord(nil), j.refusals...)
}

package ramper

import (
	"slices"
	"time"

	"bluebelldoor"
)

const (
	// fixedTime is the part of the time to an answer that doesn't depend on the prompt:
	// connection, network and steps of the engine.
	fixedTime = 100 * time.Millisecond
	// goodRatio and slowRatio are the times to an answer, relative to the norm, up to which
	// it is good and above which it is trouble. Engines differ by a factor of two and are
	// slower by 2.5 for a moment; neither is trouble, and both together earn no credit.
	goodRatio = 3
	slowRatio = 6
	// minNorm bounds the norm, so that answers within half of the expected time don't make
	// those within the expected time look slow.
	minNorm = 0.5
	// maxAnswers is how many answers of a service make the norm.
	maxAnswers = 64
	// minPeerAnswers is how many answers of other targets there must be to call one slow.
	minPeerAnswers = 8
)

// Attempt is one request that was sent to a target.
type Attempt struct {
	Target bluebelldoor.TargetIncarnation
	SentAt time.Duration
	// Expected is the time in which a usual target reads the prompts that wait there,
	// that of this request among them, and generates what comes before the answer.
	Expected time.Duration
}

// Verdict is what an answer says of its target.
type Verdict string

// The verdicts.
const (
	// VerdictNone is that of an answer that counts for nothing: its target is unknown.
	VerdictNone Verdict = ""
	// VerdictGood is that of an answer in good time.
	VerdictGood Verdict = "good"
	// VerdictDelayed is that of an answer that is neither good nor trouble.
	VerdictDelayed Verdict = "delayed"
	// VerdictSlow is that of an answer much slower than those of other targets.
	VerdictSlow Verdict = "slow"
	// VerdictFailed is that of an error, a reset or a time-out.
	VerdictFailed Verdict = "failed"
)

// answerTimes holds the latest times to an answer of a service's targets, each relative to
// what was expected.
type answerTimes struct {
	ids    []string
	ratios []float64
	next   int
}

func (a *answerTimes) add(id string, ratio float64) {
	if len(a.ids) < maxAnswers {
		a.ids, a.ratios = append(a.ids, id), append(a.ratios, ratio)
		return
	}
	a.ids[a.next], a.ratios[a.next] = id, ratio
	a.next = (a.next + 1) % maxAnswers
}

// norm returns the median of the answers of targets other than id, and whether there are
// enough of them. If this VM itself is slow, so are they.
func (a *answerTimes) norm(id string) (float64, bool) {
	var others []float64
	for i, ratio := range a.ratios {
		if a.ids[i] != id {
			others = append(others, ratio)
		}
	}
	if len(others) < minPeerAnswers {
		return 1, false
	}
	slices.Sort(others)
	return max(minNorm, others[len(others)/2]), true
}

// find returns the state of an attempt's target, nil if it is unknown.
func (r *Ramper) find(a Attempt) *target {
	if t := r.targets[a.Target.ID]; t != nil && t.TargetIncarnation == a.Target {
		return t
	}
	return nil
}

// judge returns the verdict on an attempt that took this long, and its ratio to what was
// expected.
func (t *target) judge(a Attempt, took time.Duration) (Verdict, float64) {
	ratio := float64(took) / float64(a.Expected+fixedTime)
	norm, known := t.service.answers.norm(t.ID)
	switch {
	case ratio <= goodRatio*norm:
		return VerdictGood, ratio
	case known && ratio > slowRatio*norm:
		return VerdictSlow, ratio
	default:
		return VerdictDelayed, ratio
	}
}

// RecordAnswer records the answer to an attempt: the first event of a stream, or the whole
// answer of another generation.
func (r *Ramper) RecordAnswer(a Attempt, fleet Fleet, now time.Duration) Verdict {
	t := r.find(a)
	if t == nil {
		return VerdictNone
	}
	verdict, ratio := t.judge(a, now-a.SentAt)
	t.service.answers.add(t.ID, ratio)
	switch verdict {
	case VerdictGood:
		t.addCredit(fleet.Share)
	case VerdictSlow:
		r.stepBack(t, a.SentAt, string(VerdictSlow), fleet, now)
	}
	return verdict
}

// RecordUnanswered records that the VM has ended an attempt without an answer, as its time
// was over or the caller has left. An answer that was in good time until then is no
// trouble, nor is one that only its caller found too slow.
func (r *Ramper) RecordUnanswered(a Attempt, timedOut bool, fleet Fleet, now time.Duration) Verdict {
	t := r.find(a)
	if t == nil {
		return VerdictNone
	}
	verdict, ratio := t.judge(a, now-a.SentAt)
	if verdict == VerdictGood || verdict == VerdictDelayed && !timedOut {
		return VerdictNone
	}
	t.service.answers.add(t.ID, ratio)
	r.stepBack(t, a.SentAt, "unanswered", fleet, now)
	return VerdictSlow
}

// RecordTrouble records that an attempt has failed, and why.
func (r *Ramper) RecordTrouble(a Attempt, reason string, fleet Fleet, now time.Duration) Verdict {
	t := r.find(a)
	if t == nil {
		return VerdictNone
	}
	r.stepBack(t, a.SentAt, reason, fleet, now)
	return VerdictFailed
}

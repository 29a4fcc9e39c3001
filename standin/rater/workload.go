package rater

import (
	"math"
	"math/rand/v2"
	"time"

	"bluebelldoor"
	"bluebelldoor/standin/batcher"
)

// Kind describes the requests of one class of a workload. Output lengths follow a
// lognormal distribution.
type Kind struct {
	Class        string
	Share        float64 // of all requests
	PromptTokens int
	MeanTokens   float64 // of the output
	Sigma        float64
	MaxTokens    int // of the output
	// SharedPrefix is the fraction of the prompt that is the same for all prompts
	// of an account and class.
	SharedPrefix float64
	TimeLimit    time.Duration
}

// Workload describes the traffic and the engines of a deployment.
type Workload struct {
	Name     string
	Kinds    []Kind
	Engine   batcher.Config
	Engines  int
	VMs      int
	Accounts int
}

// Instituto returns a workload of gait reports, shoe checks and desk traffic.
func Instituto() Workload {
	return Workload{
		Name: "instituto",
		Kinds: []Kind{
			{Class: "report", Share: 0.25, PromptTokens: 800, MeanTokens: 900, Sigma: 0.6, MaxTokens: 4000, TimeLimit: 60 * time.Second},
			{Class: "check", Share: 0.35, PromptTokens: 300, MeanTokens: 200, Sigma: 0.5, MaxTokens: 1000, TimeLimit: 20 * time.Second},
			{Class: "desk", Share: 0.40, PromptTokens: 100, MeanTokens: 60, Sigma: 0.5, MaxTokens: 400, TimeLimit: 20 * time.Second},
		},
		Engine:  engine(24_000),
		Engines: 6, VMs: 6, Accounts: 10,
	}
}

// Backupolo returns a workload of long restore plans, triage and portal traffic.
func Backupolo() Workload {
	return Workload{
		Name: "backupolo",
		Kinds: []Kind{
			{Class: "restore", Share: 0.20, PromptTokens: 2000, MeanTokens: 2000, Sigma: 0.9, MaxTokens: 12_000, TimeLimit: 4 * time.Minute},
			{Class: "triage", Share: 0.50, PromptTokens: 1200, MeanTokens: 300, Sigma: 0.6, MaxTokens: 1500, TimeLimit: time.Minute},
			{Class: "portal", Share: 0.30, PromptTokens: 100, MeanTokens: 80, Sigma: 0.5, MaxTokens: 400, TimeLimit: 20 * time.Second},
		},
		Engine:  engine(60_000),
		Engines: 6, VMs: 6, Accounts: 10,
	}
}

// Reclaimed returns the restore plans and triage of the users' platform, on engines
// as in the data sheets of its smaller deployment. ReclaimedRate is its normal
// request rate.
func Reclaimed() Workload {
	return Workload{
		Name: "reclaimed",
		Kinds: []Kind{
			{Class: "plan", Share: 0.42, PromptTokens: 3000, MeanTokens: 932, Sigma: 0.84, MaxTokens: 2200, TimeLimit: 39 * time.Second},
			{Class: "triage", Share: 0.58, PromptTokens: 2200, MeanTokens: 13, Sigma: 0.89, MaxTokens: 46, TimeLimit: 6 * time.Second},
		},
		Engine: batcher.Config{
			MemoryTokens: 34_000, MaxRunning: 32, ColdSlots: 32, ColdFactor: 1, WarmAfter: 1,
			StepBase: 7 * time.Millisecond, StepPerRunning: 120 * time.Microsecond, PrefillPerToken: 71 * time.Microsecond,
		},
		Engines: 12, VMs: 7, Accounts: 10,
	}
}

// ReclaimedRate is the normal request rate of Reclaimed, in requests a second.
const ReclaimedRate = 11.0

// Cached returns the workload with prompts three times as long, most of each
// shared within an account and class, on engines that cache a few prefixes.
func (w Workload) Cached() Workload {
	const (
		promptFactor    = 3
		sharedPrefix    = 0.7
		cacheTokens     = 12_000
		prefillPerToken = 60 * time.Microsecond
	)
	w.Name += ", shared prefixes"
	w.Kinds = append([]Kind(nil), w.Kinds...)
	for i := range w.Kinds {
		w.Kinds[i].PromptTokens *= promptFactor
		w.Kinds[i].SharedPrefix = sharedPrefix
	}
	w.Engine.MemoryTokens *= 2
	w.Engine.CacheTokens = cacheTokens
	w.Engine.PrefillPerToken = prefillPerToken
	return w
}

func engine(memoryTokens int) batcher.Config {
	c := batcher.DefaultConfig()
	c.MemoryTokens = memoryTokens
	return c
}

// draw returns the kind and the output length of a random request.
func (w Workload) draw(r *rand.Rand) (Kind, int) {
	x := r.Float64()
	k := w.Kinds[len(w.Kinds)-1]
	for _, candidate := range w.Kinds {
		if x < candidate.Share {
			k = candidate
			break
		}
		x -= candidate.Share
	}
	mu := math.Log(k.MeanTokens) - k.Sigma*k.Sigma/2
	outputTokens := int(math.Exp(mu + k.Sigma*r.NormFloat64()))
	return k, min(max(outputTokens, 1), k.MaxTokens)
}

// document returns the operators' document of the workload, with the given data
// centre out of service; "" for none.
func (w Workload) document(outOfService string) *bluebelldoor.Document {
	spec := bluebelldoor.DocumentSpec{
		Revision: 1,
		Models:   []string{model},
		Limits:   bluebelldoor.Limits{QueueLength: 256, WarmAfter: w.Engine.WarmAfter},
	}
	for i, k := range w.Kinds {
		spec.Classes = append(spec.Classes, bluebelldoor.NewClass(bluebelldoor.ClassSpec{Name: k.Class, Priority: i + 1, DefaultWithin: k.TimeLimit}))
	}
	for _, name := range dataCentres {
		spec.DataCentres = append(spec.DataCentres, bluebelldoor.NewDataCentre(bluebelldoor.DataCentreSpec{Name: name, InService: name != outOfService}))
	}
	for i := range w.Engines {
		spec.Targets = append(spec.Targets, bluebelldoor.NewTarget(bluebelldoor.TargetSpec{
			Name: engineName(i), Kind: bluebelldoor.KindEngine, DataCentre: dataCentres[i%len(dataCentres)], Models: []string{model},
			ColdSlots: w.Engine.ColdSlots, MemoryTokens: w.Engine.MemoryTokens, MaxRunning: w.Engine.MaxRunning,
		}))
	}
	return bluebelldoor.NewDocument(spec)
}

// Capacity returns the number of requests a second that the workload's engines
// finish at full load. It simulates one engine, with a fixed seed.
func (w Workload) Capacity() float64 {
	const (
		seed      = 42
		simulated = 300 * time.Second
	)
	random := rand.New(rand.NewPCG(seed, 0))
	b := batcher.New(w.Engine)
	finished := 0
	for now := time.Duration(0); now < simulated; {
		for b.Waiting() < 1 {
			k, outputTokens := w.draw(random)
			b.Add(&batcher.Sequence{PromptTokens: k.PromptTokens, OutputTokens: outputTokens})
		}
		duration, produced := b.Step()
		for _, s := range produced {
			if s.Done() {
				finished++
			}
		}
		now += duration
	}
	return float64(finished) / simulated.Seconds() * float64(w.Engines)
}

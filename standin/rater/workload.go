package rater

import (
	"math"
	"math/rand/v2"
	"time"

	"bluebelldoor"
	"bluebelldoor/standin/batcher"
)

// Kind is one class of requests of a workload. Outputs are lognormal.
type Kind struct {
	Class  string
	Share  float64
	Prompt int
	Mean   float64
	Sigma  float64
	Most   int
	// Shared is the share of the prompt that all prompts of an account and
	// class begin with.
	Shared float64
	Within time.Duration
}

// Workload is the traffic of one deployment, and its engines.
type Workload struct {
	Name     string
	Kinds    []Kind
	Engine   batcher.Config
	Engines  int
	VMs      int
	Accounts int
}

// Instituto returns gait reports, shoe checks and desk traffic.
func Instituto() Workload {
	return Workload{
		Name: "instituto",
		Kinds: []Kind{
			{Class: "report", Share: 0.25, Prompt: 800, Mean: 900, Sigma: 0.6, Most: 4000, Within: 60 * time.Second},
			{Class: "check", Share: 0.35, Prompt: 300, Mean: 200, Sigma: 0.5, Most: 1000, Within: 20 * time.Second},
			{Class: "desk", Share: 0.40, Prompt: 100, Mean: 60, Sigma: 0.5, Most: 400, Within: 20 * time.Second},
		},
		Engine:  engine(24_000),
		Engines: 6, VMs: 6, Accounts: 10,
	}
}

// Backupolo returns long restore plans, triage and portal traffic.
func Backupolo() Workload {
	return Workload{
		Name: "backupolo",
		Kinds: []Kind{
			{Class: "restore", Share: 0.20, Prompt: 2000, Mean: 2000, Sigma: 0.9, Most: 12_000, Within: 4 * time.Minute},
			{Class: "triage", Share: 0.50, Prompt: 1200, Mean: 300, Sigma: 0.6, Most: 1500, Within: time.Minute},
			{Class: "portal", Share: 0.30, Prompt: 100, Mean: 80, Sigma: 0.5, Most: 400, Within: 20 * time.Second},
		},
		Engine:  engine(60_000),
		Engines: 6, VMs: 6, Accounts: 10,
	}
}

// Reclaimed returns the restore plans and triage of the users' platform on its
// engines, by the sheets of its smaller deployment. CalmRate is what it gets.
func Reclaimed() Workload {
	return Workload{
		Name: "reclaimed",
		Kinds: []Kind{
			{Class: "plan", Share: 0.42, Prompt: 3000, Mean: 932, Sigma: 0.84, Most: 2200, Within: 39 * time.Second},
			{Class: "triage", Share: 0.58, Prompt: 2200, Mean: 13, Sigma: 0.89, Most: 46, Within: 6 * time.Second},
		},
		Engine: batcher.Config{
			MemoryTokens: 34_000, MaxRunning: 32, ColdSlots: 32, ColdFactor: 1, WarmAfter: 1,
			StepBase: 7 * time.Millisecond, StepPerRunning: 120 * time.Microsecond, PrefillPerToken: 71 * time.Microsecond,
		},
		Engines: 12, VMs: 7, Accounts: 10,
	}
}

// CalmRate is how many requests a second Reclaimed gets on a calm day.
const CalmRate = 11.0

// Cached returns the workload with prompts three times as long, most of them
// shared by the account, on engines that keep a few prefixes.
func (w Workload) Cached() Workload {
	const (
		longer      = 3
		shared      = 0.7
		cacheTokens = 12_000
		prefillTime = 60 * time.Microsecond
	)
	w.Name += ", shared prefixes"
	w.Kinds = append([]Kind(nil), w.Kinds...)
	for i := range w.Kinds {
		w.Kinds[i].Prompt *= longer
		w.Kinds[i].Shared = shared
	}
	w.Engine.MemoryTokens *= 2
	w.Engine.CacheTokens = cacheTokens
	w.Engine.PrefillPerToken = prefillTime
	return w
}

func engine(memory int) batcher.Config {
	c := batcher.DefaultConfig()
	c.MemoryTokens = memory
	return c
}

// draw returns a kind and an output length.
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
	mu := math.Log(k.Mean) - k.Sigma*k.Sigma/2
	length := int(math.Exp(mu + k.Sigma*r.NormFloat64()))
	return k, min(max(length, 1), k.Most)
}

// document returns the operators' document of the workload.
func (w Workload) document(out string) *bluebelldoor.Document {
	spec := bluebelldoor.DocumentSpec{
		Revision: 1,
		Models:   []string{model},
		Limits:   bluebelldoor.Limits{QueueLength: 256, WarmAfter: w.Engine.WarmAfter},
	}
	for i, k := range w.Kinds {
		spec.Classes = append(spec.Classes, bluebelldoor.NewClass(bluebelldoor.ClassSpec{Name: k.Class, Priority: i + 1, DefaultWithin: k.Within}))
	}
	for _, name := range dataCentres {
		spec.DataCentres = append(spec.DataCentres, bluebelldoor.NewDataCentre(bluebelldoor.DataCentreSpec{Name: name, InService: name != out}))
	}
	for i := range w.Engines {
		spec.Targets = append(spec.Targets, bluebelldoor.NewTarget(bluebelldoor.TargetSpec{
			Name: engineName(i), Kind: bluebelldoor.KindEngine, DataCentre: dataCentres[i%len(dataCentres)], Models: []string{model},
			ColdSlots: w.Engine.ColdSlots, MemoryTokens: w.Engine.MemoryTokens, MaxRunning: w.Engine.MaxRunning,
		}))
	}
	return bluebelldoor.NewDocument(spec)
}

// Capacity returns the requests a second that the workload's engines finish
// when they are kept full, measured on one engine with a fixed seed.
func (w Workload) Capacity() float64 {
	const (
		seed     = 42
		duration = 300 * time.Second
	)
	random := rand.New(rand.NewPCG(seed, 0))
	b := batcher.New(w.Engine)
	finished := 0
	for now := time.Duration(0); now < duration; {
		for b.Waiting() < 1 {
			k, length := w.draw(random)
			b.Add(&batcher.Sequence{PromptTokens: k.Prompt, OutputTokens: length})
		}
		took, produced := b.Step()
		for _, s := range produced {
			if s.Done() {
				finished++
			}
		}
		now += took
	}
	return float64(finished) / duration.Seconds() * float64(w.Engines)
}

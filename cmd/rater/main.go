// Command rater compares the system's policies with baselines, in a simulation
// with engine stand-ins and virtual time.
package main

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"bluebelldoor/standin/rater"
)

func main() {
	seeds := flag.String("seeds", "1,2,3,4,5", "random seeds")
	loads := flag.String("loads", "0.7,0.9,1.1", "offered load as shares of capacity")
	faults := flag.String("faults", "calm,engine lost,engine cold,data centre out", "faults during the middle third of a run")
	duration := flag.Duration("duration", 6*time.Minute, "virtual time of a run")
	cached := flag.Bool("cached", false, "use prompts with shared prefixes, on engines that cache prefixes")
	reclaimed := flag.Bool("reclaimed", false, "use the workload of the users' platform; loads are shares of the load on a calm day")
	flag.Parse()
	workloads := []rater.Workload{rater.Instituto(), rater.Backupolo()}
	if *reclaimed {
		workloads = []rater.Workload{rater.Reclaimed()}
	}
	for _, w := range workloads {
		if *cached {
			w = w.Cached()
		}
		capacity := w.Capacity()
		if *reclaimed {
			capacity = rater.ReclaimedRate
		}
		fmt.Printf("\n## %s, capacity %.1f requests/s, %d VMs, %d engines, seeds %s, %s each\n", w.Name, capacity, w.VMs, w.Engines, *seeds, *duration)
		for _, load := range strings.Split(*loads, ",") {
			for _, fault := range strings.Split(*faults, ",") {
				fmt.Printf("\n%s, load %s\n\n%s\n", fault, load, rater.Head(w.Kinds))
				for _, policy := range policiesFor(fault) {
					t := measure(w, capacity, policy, rater.Fault(fault), mustParseFloat(load), strings.Split(*seeds, ","), *duration)
					fmt.Println(t.Row(string(policy), w.Kinds))
					if *cached {
						fmt.Printf("prefixes found in caches: %.2f\n", t.Hits())
					}
				}
			}
		}
	}
}

func mustParseFloat(text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err)
	}
	return x
}

// measure runs all seeds concurrently and merges their results.
func measure(w rater.Workload, capacity float64, p rater.Policy, f rater.Fault, load float64, seeds []string, d time.Duration) *rater.Table {
	var wg sync.WaitGroup
	tables := make([]rater.Table, len(seeds))
	for i, seed := range seeds {
		wg.Go(func() {
			tables[i] = rater.Measure(rater.Run{
				Workload: w, Policy: p, Fault: f, Load: load, Capacity: capacity, Duration: d, Seed: uint64(mustParseFloat(seed)),
			})
		})
	}
	wg.Wait()
	merged := &rater.Table{}
	for _, t := range tables {
		merged.Join(t)
	}
	return merged
}

// policiesFor returns the policies to compare. The variant without moves is
// included only where engines are reclaimed, as it makes no difference elsewhere.
func policiesFor(fault string) []rater.Policy {
	policies := []rater.Policy{rater.Admitter, rater.Relay, rater.LeastOutstanding, rater.RoundRobin}
	if fault == string(rater.EnginesReclaimed) {
		policies = append(policies, rater.RelayWithoutMoves)
	}
	return policies
}

// Package ranker orders VMs and targets by rendezvous hashing, so that all VMs
// with the same list agree on an assignment without communicating.
//
// Callers must handle the effects of lists that differ between VMs.
package ranker

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Score returns the rendezvous weight of name for key; the highest weight wins.
func Score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// First returns the name with the highest score for key, "" if there is none.
func First(key string, names []string) string {
	best, bestScore := "", uint64(0)
	for _, name := range names {
		if s := Score(key, name); best == "" || s > bestScore || s == bestScore && name < best {
			best, bestScore = name, s
		}
	}
	return best
}

// Top returns up to n names in descending order of their score for key.
func Top(key string, names []string, n int) []string {
	sorted := append([]string(nil), names...)
	sort.Slice(sorted, func(i, j int) bool {
		a, b := Score(key, sorted[i]), Score(key, sorted[j])
		return a > b || a == b && sorted[i] < sorted[j]
	})
	return sorted[:min(n, len(sorted))]
}

package estimator_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bluebelldoor/request/estimator"
)

// TestRemaining checks that the prediction is conditional on the tokens produced:
// of outputs of 10 and 1000 tokens, one that has 50 is a long one.
func TestRemaining(t *testing.T) {
	e := estimator.New()
	k := estimator.Key{Model: "m", Class: "c"}
	assert.Equal(t, e.Remaining(k, 0, 100), 100, "no observations")
	assert.Equal(t, e.Remaining(k, 400, 4096), 400, "as many as produced")
	for range 50 {
		e.Observe(k, 10)
		e.Observe(k, 1000)
	}
	for name, c := range map[string]struct{ produced, limit, low, high int }{
		"at the start":    {0, 4096, 480, 530},
		"a long one":      {50, 4096, 930, 970},
		"near the limit":  {50, 60, 10, 10},
		"longer than any": {2000, 4096, 2000, 2096},
		"at the limit":    {60, 60, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			got := e.Remaining(k, c.produced, c.limit)
			assert.Assert(t, got >= c.low && got <= c.high, "%d", got)
		})
	}
}

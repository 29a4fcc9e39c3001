package accountant_test

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"bluebelldoor/process/accountant"
)

const small = 8 << 10

func TestResize(t *testing.T) {
	for name, c := range map[string]struct {
		sizes []int
		taken []bool
		used  int64
	}{
		"small bytes are not counted": {[]int{small}, []bool{true}, 0},
		"the rest is counted":         {[]int{small + 10}, []bool{true}, 10},
		"up to the limit":             {[]int{small + 100}, []bool{true}, 100},
		"beyond the limit":            {[]int{small + 101}, []bool{false}, 0},
		"growth beyond the limit":     {[]int{small + 60, small + 101}, []bool{true, false}, 60},
		"less, then more":             {[]int{small + 90, small + 10, small + 100}, []bool{true, true, true}, 100},
		"nothing any more":            {[]int{small + 90, 0}, []bool{true, true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			a := accountant.New(100)
			allocation := a.Begin()
			for i, size := range c.sizes {
				assert.Equal(t, allocation.Resize(size), c.taken[i])
			}
			assert.Equal(t, a.Used(), c.used)
			allocation.End()
			allocation.End()
			assert.Equal(t, a.Used(), int64(0))
		})
	}
}

// TestAppend checks that the whole capacity of a buffer is counted.
func TestAppend(t *testing.T) {
	const limit, chunk = 100 << 10, 1000
	a := accountant.New(1 << 20)
	allocation := a.Begin()
	var b []byte
	for len(b)+chunk <= limit {
		var ok bool
		b, ok = allocation.Append(b, make([]byte, chunk), limit)
		assert.Assert(t, ok)
		assert.Equal(t, a.Used(), int64(max(0, cap(b)-small)))
		assert.Assert(t, cap(b) <= limit)
	}
	other := a.Begin()
	assert.Assert(t, other.Resize(1<<20-limit+small))
	held, ok := allocation.Append(b, make([]byte, 10*chunk), limit)
	assert.Assert(t, !ok)
	assert.Equal(t, len(held), len(b))
}

// TestSum guards against allocations that are each within their bound and exceed the
// memory together.
func TestSum(t *testing.T) {
	a := accountant.New(100)
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			allocation := a.Begin()
			defer allocation.End()
			for n := range 30 {
				allocation.Resize(small + n)
				if allocation.Resize(small + n/2); a.Used() < 0 {
					t.Error("less than nothing is used")
				}
			}
		})
	}
	wg.Wait()
	assert.Equal(t, a.Used(), int64(0))
	first, second := a.Begin(), a.Begin()
	assert.Assert(t, first.Resize(small+60))
	assert.Assert(t, !second.Resize(small+60))
	assert.Assert(t, a.Refused() > 0)
	first.End()
	assert.Assert(t, second.Resize(small+60))
}

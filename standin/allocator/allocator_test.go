package allocator_test

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"bluebelldoor/standin/allocator"
)

func TestAddress(t *testing.T) {
	seen := map[string]bool{}
	for range 1200 {
		address, err := allocator.Address()
		assert.NilError(t, err)
		assert.Assert(t, !seen[address], "%s was returned twice", address)
		seen[address] = true
		if len(seen)%100 == 0 {
			l, err := net.Listen("tcp", address)
			assert.NilError(t, err)
			assert.NilError(t, l.Close())
		}
	}
}

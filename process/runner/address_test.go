package runner_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bluebelldoor/standin/allocator"
)

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := allocator.Address()
	assert.NilError(t, err)
	return address
}

package limiter_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"bluebelldoor"
)

// TestPermitBytes bounds the bytes of a request for a permit and its reply: ten a second
// must fit into half of the 5 KB a second that a VM may send for control.
func TestPermitBytes(t *testing.T) {
	limit := bluebelldoor.TargetLimit{
		Target: bluebelldoor.TargetIncarnation{ID: "i-96bd8c4f73", StartedAt: 1767590450259}, PerSecond: 2.7, AgeMs: 12345,
	}
	request, err := cbor.Marshal(bluebelldoor.PermitRequest{From: "front-palermo-b-1", Limit: limit})
	assert.NilError(t, err)
	reply, err := cbor.Marshal(bluebelldoor.PermitReply{Granted: true, RetryMs: 1234, Limit: limit})
	assert.NilError(t, err)
	t.Logf("request %d bytes, reply %d bytes", len(request), len(reply))
	assert.Check(t, 10*(len(request)+len(reply)) <= 2500, "%d and %d bytes", len(request), len(reply))
}

package messenger

import (
	"testing"

	"gotest.tools/v3/assert"

	"bluebelldoor"
)

// TestSealTellsTypesApart checks that a message is rejected as another type or
// after a change.
func TestSealTellsTypesApart(t *testing.T) {
	e := macEncoding{[]byte("secret")}
	data, err := e.Marshal(&bluebelldoor.KeyRequest{Key: "k"})
	assert.NilError(t, err)
	assert.NilError(t, e.Unmarshal(data, &bluebelldoor.KeyRequest{}))
	assert.Equal(t, e.Unmarshal(data, &bluebelldoor.LeaveRequest{}), errInvalidMAC)
	data[len(data)-1]++
	assert.Equal(t, e.Unmarshal(data, &bluebelldoor.KeyRequest{}), errInvalidMAC)
}

func FuzzSeal(f *testing.F) {
	e := macEncoding{[]byte("secret")}
	for _, msg := range []any{&bluebelldoor.StateReply{Name: "vm"}, &bluebelldoor.ForwardRequest{Key: "k"}} {
		data, _ := e.Marshal(msg)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, body []byte) {
		// A valid MAC lets the body reach the CBOR decoder.
		for _, msg := range []any{&bluebelldoor.StateReply{}, &bluebelldoor.ForwardRequest{}, &bluebelldoor.ForwardReply{}} {
			_ = e.Unmarshal(append(e.mac(msg, body), body...), msg)
		}
	})
}

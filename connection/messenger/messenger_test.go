package messenger_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor"
	"bluebelldoor/connection/messenger"
)

type handler struct{ bluebelldoor.PeerHandler }

// State implements bluebelldoor.PeerHandler.
func (handler) State(_ context.Context, in *bluebelldoor.StateRequest) (*bluebelldoor.StateReply, error) {
	return &bluebelldoor.StateReply{Name: "vm-1", Revision: in.Revision + 1, Text: make([]byte, 1<<20)}, nil
}

// Loads implements bluebelldoor.PeerHandler.
func (handler) Loads(_ context.Context, in *bluebelldoor.LoadsMessage) (*bluebelldoor.LoadsMessage, error) {
	return &bluebelldoor.LoadsMessage{From: "vm-1", Loads: append(in.Loads, bluebelldoor.TargetLoad{Target: "e2", HeldTokens: 7})}, nil
}

// startServer serves handler and returns the address.
func startServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	stop, err := messenger.Serve(address, []byte("secret"), handler{})
	assert.NilError(t, err)
	t.Cleanup(stop)
	return address
}

func TestState(t *testing.T) {
	address := startServer(t)
	reply, err := messenger.New([]byte("secret")).State(context.Background(), address, &bluebelldoor.StateRequest{Revision: 6})
	assert.NilError(t, err)
	assert.Equal(t, reply.Revision, uint64(7))
	assert.Equal(t, len(reply.Text), 1<<20)
}

func TestLoads(t *testing.T) {
	address := startServer(t)
	in := &bluebelldoor.LoadsMessage{From: "vm-2", Loads: []bluebelldoor.TargetLoad{{Target: "e1", Requests: 1, Tokens: 2, HeldTokens: 3, PrefillTokens: 4}}}
	reply, err := messenger.New([]byte("secret")).Loads(context.Background(), address, in)
	assert.NilError(t, err)
	assert.DeepEqual(t, reply.Loads, append(in.Loads, bluebelldoor.TargetLoad{Target: "e2", HeldTokens: 7}))
}

// TestWrongSecret checks that messages authenticated with another secret are
// rejected.
func TestWrongSecret(t *testing.T) {
	address := startServer(t)
	_, err := messenger.New([]byte("guess")).State(context.Background(), address, &bluebelldoor.StateRequest{})
	assert.Assert(t, err != nil)
}

// TestNoise checks that the server keeps serving after invalid input.
func TestNoise(t *testing.T) {
	address := startServer(t)
	for _, input := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00", string(make([]byte, 1<<16))} {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		_, _ = conn.Write([]byte(input))
		time.Sleep(10 * time.Millisecond)
		_ = conn.Close()
	}
	_, err := messenger.New([]byte("secret")).State(context.Background(), address, &bluebelldoor.StateRequest{})
	assert.NilError(t, err)
}

package messenger

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"bluebelldoor"
	"bluebelldoor/connection/server"
)

const (
	dialTimeout     = 500 * time.Millisecond
	poolIdleTimeout = 30 * time.Second
	maxMessageBytes = 8 << 20
)

// RPC names.
const (
	rpcState    = "/bluebelldoor/state"
	rpcForward  = "/bluebelldoor/forward"
	rpcAnnounce = "/bluebelldoor/announce"
	rpcAsk      = "/bluebelldoor/ask"
	rpcLeave    = "/bluebelldoor/leave"
	rpcLoads    = "/bluebelldoor/loads"
)

// Messenger is the RPC client for peers. It is safe for concurrent use. State,
// Loads and the RPCs of FleetClient use pooled connections, as they are frequent
// and may be repeated. Each other RPC opens its own connection, so that none is
// lost on a stale one.
type Messenger struct {
	encoding macEncoding
	pool     *drpcpool.Pool[string, drpcpool.Conn]
}

var _ bluebelldoor.PeerClient = (*Messenger)(nil)

// New returns a Messenger that authenticates messages with the fleet's secret.
func New(secret []byte) *Messenger {
	return &Messenger{
		encoding: macEncoding{secret},
		pool:     drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: poolIdleTimeout, KeyCapacity: 1}),
	}
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

func dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
}

// invokeDial invokes an RPC on a new connection, so that a stalled RPC does not
// block others.
func invokeDial[Out any](ctx context.Context, m *Messenger, address, rpc string, in any) (*Out, error) {
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return invoke[Out](ctx, m, conn, rpc, in)
}

// invoke invokes an RPC on conn and closes it; a pooled connection returns to the
// pool instead.
func invoke[Out any](ctx context.Context, m *Messenger, conn drpc.Conn, rpc string, in any) (*Out, error) {
	defer conn.Close()
	out := new(Out)
	if err := conn.Invoke(ctx, rpc, m.encoding, in, out); err != nil {
		return nil, errors.Wrap(err, "call peer")
	}
	return out, nil
}

// State implements bluebelldoor.PeerClient.
func (m *Messenger) State(ctx context.Context, address string, in *bluebelldoor.StateRequest) (*bluebelldoor.StateReply, error) {
	return invoke[bluebelldoor.StateReply](ctx, m, m.pool.Get(ctx, address, dial), rpcState, in)
}

// Forward implements bluebelldoor.PeerClient.
func (m *Messenger) Forward(ctx context.Context, address string, in *bluebelldoor.ForwardRequest) (*bluebelldoor.ForwardReply, error) {
	return invokeDial[bluebelldoor.ForwardReply](ctx, m, address, rpcForward, in)
}

// Announce implements bluebelldoor.PeerClient.
func (m *Messenger) Announce(ctx context.Context, address string, in *bluebelldoor.KeyRequest) (*bluebelldoor.AnnounceReply, error) {
	return invokeDial[bluebelldoor.AnnounceReply](ctx, m, address, rpcAnnounce, in)
}

// Ask implements bluebelldoor.PeerClient.
func (m *Messenger) Ask(ctx context.Context, address string, in *bluebelldoor.KeyRequest) (*bluebelldoor.AskReply, error) {
	return invokeDial[bluebelldoor.AskReply](ctx, m, address, rpcAsk, in)
}

// Leave implements bluebelldoor.PeerClient.
func (m *Messenger) Leave(ctx context.Context, address string, in *bluebelldoor.LeaveRequest) (*bluebelldoor.LeaveReply, error) {
	return invokeDial[bluebelldoor.LeaveReply](ctx, m, address, rpcLeave, in)
}

// Loads implements bluebelldoor.PeerClient.
func (m *Messenger) Loads(ctx context.Context, address string, in *bluebelldoor.LoadsMessage) (*bluebelldoor.LoadsMessage, error) {
	return invoke[bluebelldoor.LoadsMessage](ctx, m, m.pool.Get(ctx, address, dial), rpcLoads, in)
}

// service implements drpc.Description.
type service struct {
	encoding macEncoding
	methods  []method
}

type method struct {
	name     string
	receiver drpc.Receiver
	method   any
}

func peerReceiver[In, Out any](call func(bluebelldoor.PeerHandler, context.Context, *In) (*Out, error)) drpc.Receiver {
	return func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return call(srv.(bluebelldoor.PeerHandler), ctx, in.(*In))
	}
}

var peerMethods = []method{
	{rpcState, peerReceiver(bluebelldoor.PeerHandler.State), bluebelldoor.PeerHandler.State},
	{rpcForward, peerReceiver(bluebelldoor.PeerHandler.Forward), bluebelldoor.PeerHandler.Forward},
	{rpcAnnounce, peerReceiver(bluebelldoor.PeerHandler.Announce), bluebelldoor.PeerHandler.Announce},
	{rpcAsk, peerReceiver(bluebelldoor.PeerHandler.Ask), bluebelldoor.PeerHandler.Ask},
	{rpcLeave, peerReceiver(bluebelldoor.PeerHandler.Leave), bluebelldoor.PeerHandler.Leave},
	{rpcLoads, peerReceiver(bluebelldoor.PeerHandler.Loads), bluebelldoor.PeerHandler.Loads},
}

// NumMethods implements drpc.Description.
func (s service) NumMethods() int { return len(s.methods) }

// Method implements drpc.Description.
func (s service) Method(n int) (string, drpc.Encoding, drpc.Receiver, interface{}, bool) {
	if n < 0 || n >= len(s.methods) {
		return "", nil, nil, nil, false
	}
	m := s.methods[n]
	return m.name, s.encoding, m.receiver, m.method, true
}

// Serve serves the RPCs of peers on address. The returned function stops the
// server and waits for active RPCs.
func Serve(address string, secret []byte, handler bluebelldoor.PeerHandler) (func(), error) {
	return serve(address, handler, service{macEncoding{secret}, peerMethods})
}

func serve(address string, handler any, description service) (func(), error) {
	mux := drpcmux.New()
	if err := mux.Register(handler, description); err != nil {
		return nil, errors.Wrap(err, "register RPC handlers")
	}
	listener, err := server.Listen(address, func(error) {})
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()}).Serve(ctx, listener)
	}()
	return func() {
		cancel()
		<-done
	}, nil
}

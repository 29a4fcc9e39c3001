package messenger

import (
	"context"

	"storj.io/drpc"

	"bluebelldoor"
)

// Names of the RPCs between VMs that discover each other through seeds.
const (
	rpcExchange = "/bluebelldoor/exchange"
	rpcTurn     = "/bluebelldoor/turn"
	rpcPermit   = "/bluebelldoor/permit"
	rpcFetch    = "/bluebelldoor/fetch"
)

var _ bluebelldoor.FleetClient = (*Messenger)(nil)

// Exchange implements bluebelldoor.FleetClient.
func (m *Messenger) Exchange(ctx context.Context, address string, in *bluebelldoor.ExchangeMessage) (*bluebelldoor.ExchangeMessage, error) {
	return invoke[bluebelldoor.ExchangeMessage](ctx, m, m.pool.Get(ctx, address, dial), rpcExchange, in)
}

// Turn implements bluebelldoor.FleetClient.
func (m *Messenger) Turn(ctx context.Context, address string, in *bluebelldoor.TurnRequest) (*bluebelldoor.TurnReply, error) {
	return invoke[bluebelldoor.TurnReply](ctx, m, m.pool.Get(ctx, address, dial), rpcTurn, in)
}

// Permit implements bluebelldoor.FleetClient.
func (m *Messenger) Permit(ctx context.Context, address string, in *bluebelldoor.PermitRequest) (*bluebelldoor.PermitReply, error) {
	return invoke[bluebelldoor.PermitReply](ctx, m, m.pool.Get(ctx, address, dial), rpcPermit, in)
}

// Fetch implements bluebelldoor.FleetClient.
func (m *Messenger) Fetch(ctx context.Context, address string, in *bluebelldoor.FetchRequest) (*bluebelldoor.FetchReply, error) {
	return invoke[bluebelldoor.FetchReply](ctx, m, m.pool.Get(ctx, address, dial), rpcFetch, in)
}

func fleetReceiver[In, Out any](call func(bluebelldoor.FleetHandler, context.Context, *In) (*Out, error)) drpc.Receiver {
	return func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return call(srv.(bluebelldoor.FleetHandler), ctx, in.(*In))
	}
}

var fleetMethods = []method{
	{rpcExchange, fleetReceiver(bluebelldoor.FleetHandler.Exchange), bluebelldoor.FleetHandler.Exchange},
	{rpcTurn, fleetReceiver(bluebelldoor.FleetHandler.Turn), bluebelldoor.FleetHandler.Turn},
	{rpcPermit, fleetReceiver(bluebelldoor.FleetHandler.Permit), bluebelldoor.FleetHandler.Permit},
	{rpcFetch, fleetReceiver(bluebelldoor.FleetHandler.Fetch), bluebelldoor.FleetHandler.Fetch},
}

// ServeFleet serves the RPCs of VMs that discover each other through seeds. The
// returned function stops the server and waits for active RPCs.
func ServeFleet(address string, secret []byte, handler bluebelldoor.FleetHandler) (func(), error) {
	return serve(address, handler, service{macEncoding{secret}, fleetMethods})
}
